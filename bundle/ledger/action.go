package ledger

import (
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// Action is an output of Step that the caller carries out or reports.
type Action interface{ isAction() }

// InForce reports that a bundle is now in force on the instance. Its version is
// also the fencing number of the orders derived from it. The instance must not
// give orders or serve requests before the ledger is ready.
type InForce struct {
	Ref bundle.Ref
	// From is the bundle previously in force, zero if none.
	From    bundle.Ref
	Content *config.Content
}

// Ready reports that the instance may serve.
type Ready struct {
	InForce bundle.Ref
	// Unconfirmed lists the sources that did not answer. A version that only
	// they know of is unknown to the instance.
	Unconfirmed []Source
}

// QueryFloor requests a FloorReport from a source. The report must carry the same
// Round.
type QueryFloor struct {
	From  Source
	Round uint64
}

// FetchRoll requests the newest roll that a source has.
type FetchRoll struct{ From Source }

// FetchHead requests the newest bundle head that a source has.
type FetchHead struct{ From Source }

// FetchParts requests parts from a source by digest.
type FetchParts struct {
	From    Source
	Digests []bundle.Digest
}

// Announce requests that the instance's Summary be sent to its peers.
type Announce struct{ Summary Summary }

// Refused reports a document that was rejected, and why. The bundle in force is
// unchanged.
type Refused struct {
	From Source
	Err  error
}

func (InForce) isAction()    {}
func (Ready) isAction()      {}
func (QueryFloor) isAction() {}
func (FetchRoll) isAction()  {}
func (FetchHead) isAction()  {}
func (FetchParts) isAction() {}
func (Announce) isAction()   {}
func (Refused) isAction()    {}
func (Alarm) isAction()      {}
