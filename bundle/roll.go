package bundle

import (
	"crypto/ed25519"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// Stage is how far a roll has come.
type Stage string

// The stages.
const (
	// StageCanary puts the target in force on a part of the instances.
	StageCanary Stage = "canary"
	// StageAll puts the target in force everywhere. It is final: from then on
	// the target is the floor of every instance.
	StageAll Stage = "all"
	// StageAbandoned stops a canary. It is final: the target comes into force
	// on no further instance, and where it is in force it stays until a higher
	// version. Undoing is a new version.
	StageAbandoned Stage = "abandoned"
)

// FullShare is the share, in thousandths, that covers every instance.
const FullShare = 1000

// Roll says on which instances which bundle is in force. Rolls are signed like
// manifests and numbered on their own.
type Roll struct {
	Format int `json:"format"`
	// Sequence rises with each roll document, whatever its target.
	Sequence uint64 `json:"sequence"`
	// Base is in force where Target does not reach: the last version that was
	// rolled to all. It is zero while there was none.
	Base Ref `json:"base"`
	// Target is the version being rolled.
	Target Ref   `json:"target"`
	Stage  Stage `json:"stage"`
	// Zones limits a canary to these zones; empty means every zone.
	Zones []ident.Zone `json:"zones,omitempty"`
	// Share limits a canary to so many thousandths of the instances in Zones.
	Share int `json:"share,omitempty"`
}

// SignedRoll is the document that publishes a roll. It carries the heads that it
// names, so that one read tells an instance all but the parts.
type SignedRoll struct {
	Roll       Roll        `json:"roll"`
	Signatures []Signature `json:"signatures"`
	Target     Head        `json:"target"`
	// Base is the head of Roll.Base, nil where that is zero.
	Base *Head `json:"base,omitempty"`
}

// Covers reports whether the target comes into force on an instance.
func (r *Roll) Covers(instance ident.InstanceID, zone ident.Zone) bool {
	switch r.Stage {
	case StageAll:
		return true
	case StageCanary:
		return r.inZones(zone) && instanceShare(r.Target, instance) < r.Share
	default:
		return false
	}
}

func (r *Roll) inZones(zone ident.Zone) bool {
	for _, z := range r.Zones {
		if z == zone {
			return true
		}
	}
	return len(r.Zones) == 0
}

// instanceShare places an instance at 0 to FullShare-1. The place depends on the
// target too, so that not the same instances take every canary; it does not
// depend on the share, so that widening a canary only adds instances.
func instanceShare(target Ref, instance ident.InstanceID) int {
	b := binary.BigEndian.AppendUint64(nil, target.Version)
	b = append(b, instance...)
	return int(xxhash.Sum64(b) % FullShare)
}

// Assigned returns the bundle that the roll puts in force on an instance.
func (r *Roll) Assigned(instance ident.InstanceID, zone ident.Zone) Ref {
	if r.Covers(instance, zone) {
		return r.Target
	}
	return r.Base
}

// Baseline returns the last version that is rolled to all, as of this roll.
func (r *Roll) Baseline() Ref {
	if r.Stage == StageAll {
		return r.Target
	}
	return r.Base
}

// Final reports whether the roll ends the roll of its target.
func (r *Roll) Final() bool { return r.Stage == StageAll || r.Stage == StageAbandoned }

// Digest returns the digest of the roll's canonical form.
func (r *Roll) Digest() Digest { return DigestOf(encode(r)) }

// SignRoll signs a roll. The caller sees to it that one approver signs one roll
// of a sequence number only.
func SignRoll(key ed25519.PrivateKey, r *Roll) Signature {
	return sign(key, purposeRoll, r.Digest())
}

// RollOrderError reports a roll that may not come after the one before it.
type RollOrderError struct {
	// Before and After are the sequence numbers.
	Before, After uint64
	// Reason says which rule forbids it.
	Reason string
}

// Error implements error.
func (e *RollOrderError) Error() string {
	return fmt.Sprintf("roll %d may not follow roll %d: %s", e.After, e.Before, e.Reason)
}

// CheckOrder checks that next may come after r: its sequence is higher, its
// target no lower, its base no lower than what r rolled to all, and it does not
// reopen a target that was rolled to all or abandoned. It returns a
// *RollOrderError.
func (r *Roll) CheckOrder(next *Roll) error {
	bad := func(format string, args ...any) error {
		return &RollOrderError{Before: r.Sequence, After: next.Sequence, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case next.Sequence <= r.Sequence:
		return bad("sequence numbers rise")
	case next.Target.Version < r.Target.Version:
		return bad("its target %s is older than %s", next.Target, r.Target)
	case next.Target.Version == r.Target.Version && r.Final():
		return bad("version %d is %s already, and that is final", r.Target.Version, r.Stage)
	case next.Base.Version < r.Baseline().Version:
		return bad("its base %s is older than %s, which is in force everywhere", next.Base, r.Baseline())
	}
	return nil
}

// check checks the roll's structure, not its signatures.
func (r *Roll) check() error {
	bad := func(format string, args ...any) error {
		return &StructureError{What: fmt.Sprintf("roll %d", r.Sequence), Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case r.Format != Format:
		return &FormatError{What: "roll", Format: r.Format, Known: Format}
	case r.Sequence == 0:
		return bad("sequence numbers count from 1")
	case r.Target.Version == 0:
		return bad("there is no target")
	case r.Base.Version >= r.Target.Version:
		return bad("the base %s must be older than the target %s", r.Base, r.Target)
	case r.Base.Version == 0 && !r.Base.IsZero():
		return bad("the base has a digest but no version")
	case len(r.Zones) > MaxZones:
		return &SizeError{What: "zones", Size: len(r.Zones), Limit: MaxZones}
	}
	return r.checkStage(bad)
}

func (r *Roll) checkStage(bad func(string, ...any) error) error {
	for i, z := range r.Zones {
		if !ident.ValidName(string(z)) || (i > 0 && r.Zones[i-1] >= z) {
			return bad("zones must be valid names, sorted, none twice")
		}
	}
	switch r.Stage {
	case StageCanary:
		if r.Share < 1 || r.Share > FullShare {
			return bad("a canary's share is from 1 to %d thousandths", FullShare)
		}
	case StageAll, StageAbandoned:
		if len(r.Zones) > 0 || r.Share != 0 {
			return bad("stage %q takes no zones and no share", r.Stage)
		}
	default:
		return bad("there is no stage %q", clip(string(r.Stage)))
	}
	return nil
}
