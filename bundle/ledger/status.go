package ledger

import (
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

// Summary is the state that instances announce to each other frequently. It lets
// a receiver see which documents the other instance has that it lacks.
type Summary struct {
	// RollSequence and RollDigest identify the newest roll, zero if there is none.
	RollSequence uint64        `json:"roll_sequence"`
	RollDigest   bundle.Digest `json:"roll_digest"`
	// Newest is the highest signed bundle known, whether or not a roll covers it.
	Newest bundle.Ref `json:"newest"`
	// InForce is the bundle in force, zero if there is none.
	InForce bundle.Ref `json:"in_force"`
	Status  Status     `json:"status"`
	// Complete is set if the instance has every part of the newest roll's target.
	Complete bool `json:"whole"`
}

// Summary returns the instance's summary.
func (l *Ledger) Summary() Summary {
	s := Summary{InForce: l.inForceRef, Newest: l.nextRef, Status: l.floor.status}
	if l.roll != nil {
		s.RollSequence = l.roll.Roll.Sequence
		s.RollDigest = l.rollDigest
		s.Complete = l.targetComplete()
		if s.Newest.IsZero() {
			s.Newest = l.roll.Roll.Target
		}
	}
	return s
}

// Report returns the instance's answer to a peer's QueryFloor.
func (l *Ledger) Report() FloorReport {
	return FloorReport{
		From:  Source{Kind: SourcePeer, Name: string(l.settings.Instance)},
		Ready: l.floor.status != StatusStarting, InForce: l.inForceRef, Roll: l.roll,
	}
}

// Status returns the instance's state.
func (l *Ledger) Status() Status { return l.floor.status }

// InForce returns the bundle in force and its content; ok is false if there is
// none yet.
func (l *Ledger) InForce() (ref bundle.Ref, content *config.Content, ok bool) {
	return l.inForceRef, l.content, l.inForce != nil
}

// Roll returns the newest roll, nil if there is none. It serves peers' fetches.
func (l *Ledger) Roll() *bundle.SignedRoll { return l.roll }

// Newest returns the head of the highest signed bundle, nil if there is none. It
// serves peers' fetches.
func (l *Ledger) Newest() *bundle.Head {
	if l.next != nil {
		return l.next
	}
	if l.roll != nil {
		return &l.roll.Target
	}
	return nil
}

// Part returns the part with the given digest. It serves peers' fetches. The
// caller must not modify the bytes.
func (l *Ledger) Part(d bundle.Digest) ([]byte, bool) { return l.parts.have.Part(d) }

// Missing returns the number of parts known to be missing.
func (l *Ledger) Missing() int { return len(l.parts.missing) }
