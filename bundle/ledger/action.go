package ledger

import (
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// Action is something that the ledger wants done or known.
type Action interface{ isAction() }

// InForce says that a bundle is now in force on the instance. Its version is
// also the fencing number of the orders that follow from it. Orders and requests
// wait until the ledger is ready.
type InForce struct {
	Ref bundle.Ref
	// From is the bundle that was in force before, zero if none.
	From    bundle.Ref
	Content *config.Content
}

// Ready says that the instance may serve.
type Ready struct {
	InForce bundle.Ref
	// Unconfirmed lists the sources that did not answer: what only they know,
	// the instance does not.
	Unconfirmed []Source
}

// AskFloor asks for a source's FloorReport, which must repeat the Round.
type AskFloor struct {
	From  Source
	Round uint64
}

// FetchRoll asks a source for its newest roll.
type FetchRoll struct{ From Source }

// FetchHead asks a source for its newest bundle head.
type FetchHead struct{ From Source }

// FetchParts asks a source for parts.
type FetchParts struct {
	From    Source
	Digests []bundle.Digest
}

// Announce asks that peers be told the instance's Summary.
type Announce struct{ Summary Summary }

// Refused says that something was refused and why. The bundle in force stays.
type Refused struct {
	From Source
	Err  error
}

func (InForce) isAction()    {}
func (Ready) isAction()      {}
func (AskFloor) isAction()   {}
func (FetchRoll) isAction()  {}
func (FetchHead) isAction()  {}
func (FetchParts) isAction() {}
func (Announce) isAction()   {}
func (Refused) isAction()    {}
func (Alarm) isAction()      {}
