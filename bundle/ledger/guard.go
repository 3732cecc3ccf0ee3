package ledger

import (
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// guard names one of the rules that the ledger's promises rest on.
type guard int

// The guards. All are always on; the model check in the tests takes one away at
// a time and shows that a promise then breaks.
const (
	noGuard guard = iota
	// guardRising: only a version above the one in force comes into force.
	guardRising
	// guardManifest: the target's manifest descends from trusted approvers.
	guardManifest
	// guardRoll: a quorum of the target's approvers signed the roll.
	guardRoll
	// guardOrder: a roll follows the one before it.
	guardOrder
	// guardCoverage: a canary comes into force only where the roll says.
	guardCoverage
	// guardAbandoned: an abandoned version comes into force nowhere.
	guardAbandoned
	// guardChain: a version directly above the one in force names its digest.
	guardChain
	// guardAnswers: a starting instance hears its sources before it decides.
	guardAnswers
	// guardEvidence: the platform or a ready peer is among them.
	guardEvidence
	// guardFence: no upstream has seen a newer version than the roll's.
	guardFence
	// guardConflict: two digests of one version raise an alarm.
	guardConflict
)

// on reports whether a guard is in place.
func (l *Ledger) on(g guard) bool { return l.removed != g }

// checker holds the checks of documents, which are costly. The tests put a cache
// before them.
type checker struct {
	head     func(*bundle.Head, bundle.Approvers) error
	roll     func(*bundle.SignedRoll, bundle.Approvers) error
	missing  func(*bundle.Manifest, bundle.PartSource) ([]bundle.Digest, error)
	assemble func(*bundle.Manifest, bundle.PartSource) (*config.Content, error)
	// memo is what missing and assemble remember.
	memo *bundle.Memo
}

func newChecker() checker {
	memo := bundle.NewMemo()
	return checker{
		head: bundle.Verify, roll: bundle.VerifyRoll,
		missing: memo.MissingParts, assemble: memo.Assemble, memo: memo,
	}
}
