package ledger

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/bundle"
)

// StaleError reports a document that is older than one already accepted, because
// of a stale read or a replay.
type StaleError struct {
	What string
	// Have is the number already accepted, and Seen the rejected document's.
	Have, Seen uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s %d is older than %d", e.What, e.Seen, e.Have)
}

// ConflictError reports a signed document with the number of an accepted one but
// a different digest.
type ConflictError struct {
	What   string
	Number uint64
	// Have is the accepted digest, and Seen the rejected document's.
	Have, Seen bundle.Digest
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %d is signed as %s and as %s", e.What, e.Number, e.Have.Short(), e.Seen.Short())
}

// refuse emits a Refused action.
func (l *Ledger) refuse(from Source, err error) { l.emit(Refused{From: from, Err: err}) }

// apply implements Event.
func (e Undecodable) apply(l *Ledger) {
	l.refuse(e.From, e.Err)
	l.alarm(Alarm{Type: AlarmUndecodable, From: e.From, Document: e.Document, Err: e.Err})
}

// apply implements Event.
func (e HeadReceived) apply(l *Ledger) {
	l.clearUndecodable(e.From, DocumentHead)
	ref := e.Head.Ref()
	if l.known(ref) {
		l.parts.addHolder(e.From)
		return
	}
	other, conflict := l.conflicting(ref)
	newest := l.newestVersion()
	if ref.Version <= newest && !conflict {
		l.refuse(e.From, &StaleError{What: "version", Have: newest, Seen: ref.Version})
		return
	}
	if err := l.checker.head(e.Head, l.approvers); err != nil {
		l.refuse(e.From, err)
		l.alarm(Alarm{Type: AlarmUnverified, Ref: ref, From: e.From, Err: err})
		return
	}
	if conflict {
		l.refuse(e.From, &ConflictError{What: "version", Number: ref.Version, Have: other.Digest, Seen: ref.Digest})
		l.alarmSplit(other, ref)
		return
	}
	l.next, l.nextRef = e.Head, ref
	l.parts.addHolder(e.From)
	l.parts.stale = true
	l.parts.since = l.now
	l.emit(Announce{Summary: l.Summary()})
}

// refs lists the bundles whose signatures the ledger has verified.
func (l *Ledger) refs() []bundle.Ref {
	refs := []bundle.Ref{l.inForceRef, l.nextRef}
	if l.roll != nil {
		refs = append(refs, l.roll.Roll.Target, l.roll.Roll.Base)
	}
	return refs
}

func (l *Ledger) known(ref bundle.Ref) bool {
	for _, r := range l.refs() {
		if r == ref {
			return true
		}
	}
	return false
}

// conflicting returns a known bundle with the same version as ref but a
// different digest.
func (l *Ledger) conflicting(ref bundle.Ref) (bundle.Ref, bool) {
	for _, r := range l.refs() {
		if r.Version == ref.Version && r.Digest != ref.Digest && !r.IsZero() {
			return r, true
		}
	}
	return bundle.Ref{}, false
}

func (l *Ledger) newestVersion() uint64 {
	var newest uint64
	for _, r := range l.refs() {
		newest = max(newest, r.Version)
	}
	return newest
}

// alarmSplit raises AlarmSplitVersion for two signed bundles with one version.
func (l *Ledger) alarmSplit(have, seen bundle.Ref) {
	if l.enabled(guardConflict) {
		l.alarm(Alarm{Type: AlarmSplitVersion, Ref: have, Other: seen})
	}
}

// apply implements Event.
func (e RollReceived) apply(l *Ledger) { l.processRoll(e.From, e.Roll) }

// processRoll accepts or rejects a roll. It returns false only if the roll cannot
// be verified but may be newer than the ledger's.
func (l *Ledger) processRoll(from Source, s *bundle.SignedRoll) bool {
	l.clearUndecodable(from, DocumentRoll)
	if l.roll != nil && l.rollDigest == s.Roll.Digest() {
		l.parts.addHolder(from)
		return true
	}
	if l.refusedStale(from, s) {
		return true
	}
	if err := l.verifyRoll(s); err != nil {
		l.refuse(from, err)
		l.alarm(Alarm{Type: AlarmUnverified, Ref: s.Roll.Target, Number: s.Roll.Sequence, From: from, Err: err})
		return false
	}
	l.reportSplits(s)
	if l.refusedOrder(from, s) {
		return true
	}
	l.acceptRoll(from, s)
	return true
}

// refusedStale rejects a roll that is older than the current one, and reports
// whether it did. Such a roll may still reveal two signed bundles with one
// version, so it is checked for conflicts.
func (l *Ledger) refusedStale(from Source, s *bundle.SignedRoll) bool {
	if l.roll == nil || s.Roll.Sequence >= l.roll.Roll.Sequence || !l.enabled(guardOrder) {
		return false
	}
	l.refuse(from, &StaleError{What: "roll", Have: l.roll.Roll.Sequence, Seen: s.Roll.Sequence})
	if l.conflicts(s) && l.verifyRoll(s) == nil {
		l.reportSplits(s)
	}
	return true
}

// conflicts reports whether the roll's target or base conflicts with a known bundle.
func (l *Ledger) conflicts(s *bundle.SignedRoll) bool {
	_, target := l.conflicting(s.Roll.Target)
	_, base := l.conflicting(s.Roll.Base)
	return target || base
}

// verifyRoll verifies the signatures of the roll and of its target.
func (l *Ledger) verifyRoll(s *bundle.SignedRoll) error {
	trusted := l.approvers
	if !l.enabled(guardManifest) {
		trusted = s.Target.Manifest.Approvers
	}
	if !l.enabled(guardRoll) {
		return l.checker.head(&s.Target, trusted)
	}
	return l.checker.roll(s, trusted)
}

// reportSplits raises alarms for bundles of the roll that conflict with known
// ones.
func (l *Ledger) reportSplits(s *bundle.SignedRoll) {
	for _, ref := range []bundle.Ref{s.Roll.Target, s.Roll.Base} {
		if other, conflict := l.conflicting(ref); conflict {
			l.alarmSplit(other, ref)
		}
	}
}

// refusedOrder rejects a signed roll that may not follow the current one, and
// reports whether it did.
func (l *Ledger) refusedOrder(from Source, s *bundle.SignedRoll) bool {
	if l.roll == nil || !l.enabled(guardOrder) {
		return false
	}
	current := &l.roll.Roll
	if current.Sequence == s.Roll.Sequence {
		l.refuse(from, &ConflictError{What: "roll", Number: current.Sequence, Have: l.rollDigest, Seen: s.Roll.Digest()})
		l.alarm(Alarm{Type: AlarmSplitRoll, Ref: current.Target, Other: s.Roll.Target, Number: current.Sequence})
		return true
	}
	if err := current.CheckOrder(&s.Roll); err != nil {
		l.refuse(from, err)
		l.alarm(Alarm{Type: AlarmRollOrder, Ref: s.Roll.Target, Number: s.Roll.Sequence, From: from, Err: err})
		return true
	}
	return false
}

func (l *Ledger) acceptRoll(from Source, s *bundle.SignedRoll) {
	l.roll, l.rollDigest = s, s.Roll.Digest()
	if epoch := s.Target.Manifest.Approvers.Epoch; epoch > l.approvers.Epoch {
		l.approvers = s.Target.Manifest.Approvers
	}
	if l.nextRef.Version <= s.Roll.Target.Version {
		l.next, l.nextRef = nil, bundle.Ref{}
	}
	l.clearAlarms(func(a Alarm) bool {
		return a.Type == AlarmNoRoll || (a.Number != 0 && a.Number < s.Roll.Sequence && a.Type != AlarmFloorAbove)
	})
	l.parts.reset(l.now, from)
	l.emit(Announce{Summary: l.Summary()})
}

// apply implements Event.
func (e SummaryReceived) apply(l *Ledger) {
	mine := l.Summary()
	switch {
	case e.Summary.RollSequence > mine.RollSequence,
		e.Summary.RollSequence == mine.RollSequence && e.Summary.RollDigest != mine.RollDigest:
		l.emit(FetchRoll{From: e.From})
	case e.Summary.RollDigest == mine.RollDigest && e.Summary.Complete:
		if l.parts.addCompletePeer(e.From) {
			// Fetch from this peer immediately, even if a fetch from another source
			// is pending.
			l.parts.fetchedAt, l.parts.fetches = time.Time{}, 0
		}
	}
	if e.Summary.Newest.Version > mine.Newest.Version {
		l.emit(FetchHead{From: e.From})
	}
}
