package ledger

import (
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// guard is one of the rules that ensure the ledger's invariants.
type guard int

// The guards. All are always enabled in production; the model check in the tests
// disables one at a time and shows that an invariant is then violated.
const (
	noGuard guard = iota
	// guardMonotonic: only a version above the one in force is put into force.
	guardMonotonic
	// guardManifest: the target's manifest is signed by trusted approvers, or by
	// approvers that a chain of rotations leads to from the trusted ones.
	guardManifest
	// guardRoll: a quorum of the target's approvers signed the roll.
	guardRoll
	// guardOrder: a roll follows the one before it.
	guardOrder
	// guardCoverage: a canary is put into force only on instances that the roll
	// assigns it to.
	guardCoverage
	// guardAbandoned: an abandoned version is not put into force.
	guardAbandoned
	// guardChain: a version directly above the one in force must name the digest
	// of the bundle in force.
	guardChain
	// guardAnswers: a starting instance waits for its sources' answers before it
	// puts a bundle into force.
	guardAnswers
	// guardAuthoritative: the platform or a ready peer must be among those answers.
	guardAuthoritative
	// guardFence: no upstream may have reported a fencing number above the version
	// of the roll's target.
	guardFence
	// guardConflict: two signed digests of one version raise an alarm.
	guardConflict
)

// enabled reports whether a guard is enabled.
func (l *Ledger) enabled(g guard) bool { return l.disabledGuard != g }

// checker holds the costly document checks as functions, so that tests can
// cache their results.
type checker struct {
	head     func(*bundle.Head, bundle.Approvers) error
	roll     func(*bundle.SignedRoll, bundle.Approvers) error
	missing  func(*bundle.Manifest, bundle.PartSource) ([]bundle.Digest, error)
	assemble func(*bundle.Manifest, bundle.PartSource) (*config.Content, error)
	// partCache caches the work of missing and assemble.
	partCache *bundle.PartCache
}

func newChecker() checker {
	partCache := bundle.NewPartCache()
	return checker{
		head: bundle.Verify, roll: bundle.VerifyRoll,
		missing: partCache.MissingParts, assemble: partCache.Assemble, partCache: partCache,
	}
}
