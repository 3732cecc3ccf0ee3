package bundle

import (
	"crypto/ed25519"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// Stage is the stage of a roll.
type Stage string

// The stages.
const (
	// StageCanary puts the target in force on a subset of the instances.
	StageCanary Stage = "canary"
	// StageAll puts the target in force on every instance. It is final: from
	// then on, the target is the lowest version that an instance may run.
	StageAll Stage = "all"
	// StageAbandoned stops a canary. It is final: the target does not come into
	// force on any further instance, but stays in force where it already is,
	// until a higher version replaces it. A rollback is a new version.
	StageAbandoned Stage = "abandoned"
)

// FullShare is the share that covers every instance. Shares are in thousandths.
const FullShare = 1000

// Roll says which bundle is in force on which instances. Rolls are signed like
// manifests and have their own sequence numbers.
type Roll struct {
	Format int `json:"format"`
	// Sequence increases with each roll, also when the target changes.
	Sequence uint64 `json:"sequence"`
	// Base is in force on the instances that the roll does not cover. It is the
	// last version that was rolled out to all instances, zero if there is none.
	Base Ref `json:"base"`
	// Target is the version that is being rolled out.
	Target Ref   `json:"target"`
	Stage  Stage `json:"stage"`
	// Zones limits a canary to these zones; empty means every zone.
	Zones []ident.Zone `json:"zones,omitempty"`
	// Share limits a canary to this share, in thousandths, of the instances in
	// Zones.
	Share int `json:"share,omitempty"`
}

// SignedRoll is the document that publishes a roll. It includes the heads that the
// roll refers to, so that an instance needs only one read for everything except
// the parts.
type SignedRoll struct {
	Roll       Roll        `json:"roll"`
	Signatures []Signature `json:"signatures"`
	Target     Head        `json:"target"`
	// Base is the head of Roll.Base, nil if Roll.Base is zero.
	Base *Head `json:"base,omitempty"`
}

// Covers reports whether the roll puts the target in force on an instance.
func (r *Roll) Covers(instance ident.InstanceID, zone ident.Zone) bool {
	switch r.Stage {
	case StageAll:
		return true
	case StageCanary:
		return r.inZones(zone) && instancePosition(r.Target, instance) < r.Share
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

// instancePosition maps an instance to a position from 0 to FullShare-1. A canary
// covers the instances whose position is below its share. The position depends on
// the target, so that different versions start on different instances. It does not
// depend on the share, so that widening a canary only adds instances.
func instancePosition(target Ref, instance ident.InstanceID) int {
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

// Baseline returns the last version that was rolled out to all instances, as of
// this roll.
func (r *Roll) Baseline() Ref {
	if r.Stage == StageAll {
		return r.Target
	}
	return r.Base
}

// Final reports whether the stage is final: no later roll of the same target is
// allowed.
func (r *Roll) Final() bool { return r.Stage == StageAll || r.Stage == StageAbandoned }

// Digest returns the digest of the roll's canonical form.
func (r *Roll) Digest() Digest { return DigestOf(encode(r)) }

// SignRoll signs a roll. The caller must ensure that an approver signs at most one
// roll for each sequence number.
func SignRoll(key ed25519.PrivateKey, r *Roll) Signature {
	return sign(key, purposeRoll, r.Digest())
}

// RollOrderError reports a roll that is not a valid successor of another one.
type RollOrderError struct {
	// Before and After are the sequence numbers of the two rolls.
	Before, After uint64
	// Reason says which rule is violated.
	Reason string
}

// Error implements error.
func (e *RollOrderError) Error() string {
	return fmt.Sprintf("roll %d may not follow roll %d: %s", e.After, e.Before, e.Reason)
}

// CheckOrder checks that next is a valid successor of r: its sequence number is
// higher, its target is not older, its base is not older than the baseline of r,
// and its target has another version if r is final. It returns a *RollOrderError.
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

// check validates the structure of the roll. It does not verify signatures.
func (r *Roll) check() error {
	bad := func(format string, args ...any) error {
		return &StructureError{What: fmt.Sprintf("roll %d", r.Sequence), Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case r.Format != Format:
		return &FormatError{What: "roll", Format: r.Format, Known: Format}
	case r.Sequence == 0:
		return bad("the sequence number must be at least 1")
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
			return bad("zones must be valid names, sorted and unique")
		}
	}
	switch r.Stage {
	case StageCanary:
		if r.Share < 1 || r.Share > FullShare {
			return bad("a canary's share is from 1 to %d thousandths", FullShare)
		}
	case StageAll, StageAbandoned:
		if len(r.Zones) > 0 || r.Share != 0 {
			return bad("stage %q must not have zones or a share", r.Stage)
		}
	default:
		return bad("unknown stage %q", truncate(string(r.Stage)))
	}
	return nil
}
