package ledger

import (
	"fmt"
	"slices"

	"github.com/wardspool/wardspool/bundle"
)

// invariant is an invariant of the ledger, described by its value. The model
// checks each after every step.
type invariant string

const (
	monotonic        invariant = "the version in force on an instance only increases until the instance is replaced"
	onlyRolled       invariant = "only bundles that a published, signed roll assigns to an instance are put into force on it"
	noAbandoned      invariant = "a version known to be abandoned is not put into force"
	chained          invariant = "a version directly above the one in force names its digest"
	noSplit          invariant = "two digests of one version are in force only if an approver signed both"
	splitAlarm       invariant = "an instance that receives two signed digests of one version raises an alarm"
	peersFloor       invariant = "a new instance is not ready with a roll older than a ready peer had when it started"
	fencesFloor      invariant = "a new instance is not ready if an upstream has reported a fencing number above every version it knows"
	converges        invariant = "once everything is published and read, every instance is ready with the bundle that the last roll assigns to it"
	notReadyIsolated invariant = "a new instance without an answer from the platform or a ready peer is not ready"
)

// violation is the violation of an invariant by a step.
type violation struct {
	invariant invariant
	instance  int
}

func (e *violation) Error() string {
	return fmt.Sprintf("violated on entry-%d: %s", e.instance, e.invariant)
}

// check checks every invariant after instance i has processed an event.
func (m *model) check(w *modelState, i int, before *Ledger, e Event, actions []Action) error {
	v := w.incarnations[i]
	checks := []struct {
		invariant invariant
		holds     func() bool
	}{
		{monotonic, func() bool { return isMonotonic(before.inForceRef, v.ledger.inForceRef) }},
		{onlyRolled, func() bool { return m.inForceIsAssigned(w, i) }},
		{noAbandoned, func() bool {
			return before.inForceRef == v.ledger.inForceRef || !slices.Contains(v.abandoned, v.ledger.inForceRef.Version)
		}},
		{chained, func() bool {
			return before.inForce == nil || before.inForceRef == v.ledger.inForceRef || v.ledger.inForce.Manifest.Follows(before.inForceRef)
		}},
		{noSplit, func() bool { return m.signedTwice || !w.isSplit() }},
		{splitAlarm, func() bool { return m.receivedSplit(before, e) == nil || hasSplitAlarm(before, actions) }},
		{peersFloor, func() bool { return !becameReady(before, v) || m.reachesPeersFloor(i, v) }},
		{fencesFloor, func() bool {
			return !becameReady(before, v) || !hasAnswered(v, engine) || v.ledger.targetVersion() >= v.fenceFloor
		}},
		{notReadyIsolated, func() bool { return !becameReady(before, v) || hasAuthoritativeAnswer(v) }},
	}
	for _, c := range checks {
		if (m.only == "" || m.only == c.invariant) && !c.holds() {
			return &violation{invariant: c.invariant, instance: i}
		}
	}
	return nil
}

func isMonotonic(before, after bundle.Ref) bool {
	return before == after || after.Version > before.Version
}

// inForceIsAssigned reports whether the bundle in force on instance i was assigned
// to it by a published roll.
func (m *model) inForceIsAssigned(w *modelState, i int) bool {
	l := w.incarnations[i].ledger
	if l.inForce == nil {
		return true
	}
	published := m.rolls[:w.published]
	if m.preload != nil {
		published = append([]*bundle.SignedRoll{m.preload}, published...)
	}
	return slices.ContainsFunc(published, func(s *bundle.SignedRoll) bool {
		return s.Roll.Assigned(l.settings.Instance, l.settings.Zone) == l.inForceRef
	})
}

// isSplit reports whether two digests of one version are in force.
func (w *modelState) isSplit() bool {
	for i, v := range w.incarnations {
		for _, other := range w.incarnations[:i] {
			a, b := v.ledger.inForceRef, other.ledger.inForceRef
			if a.Version == b.Version && a.Digest != b.Digest {
				return true
			}
		}
	}
	return false
}

// receivedSplit returns a signed bundle of the event that conflicts with one that
// the ledger knew, nil if there is none.
func (m *model) receivedSplit(before *Ledger, e Event) *bundle.Ref {
	r := rollOf(e)
	if r == nil || m.checker.roll(r, before.approvers) != nil {
		return nil
	}
	for _, ref := range []bundle.Ref{r.Roll.Target, r.Roll.Base} {
		if _, clash := before.conflicting(ref); clash {
			return &ref
		}
	}
	return nil
}

// hasSplitAlarm reports whether AlarmSplitVersion was active or has just been
// raised.
func hasSplitAlarm(before *Ledger, actions []Action) bool {
	alarms := before.Alarms()
	for _, a := range actions {
		if alarm, ok := a.(Alarm); ok {
			alarms = append(alarms, alarm)
		}
	}
	return slices.ContainsFunc(alarms, func(a Alarm) bool { return a.Type == AlarmSplitVersion })
}

func becameReady(before *Ledger, v *incarnation) bool {
	return before.Status() == StatusStarting && v.ledger.Status() == StatusReady
}

// reachesPeersFloor reports whether an incarnation that became ready has a roll at
// least as new as each reachable peer had when the incarnation started, and
// serves a version at least as high as that roll assigns to it.
func (m *model) reachesPeersFloor(i int, v *incarnation) bool {
	l := v.ledger
	for j, sequence := range v.peersFloor {
		reachable := !m.isCut(i) && !m.isCut(j)
		if reachable && l.roll.Roll.Sequence < sequence {
			return false
		}
	}
	return l.inForceRef.Version >= l.roll.Roll.Assigned(l.settings.Instance, l.settings.Zone).Version
}

func hasAnswered(v *incarnation, s Source) bool {
	a := v.ledger.floor.find(s)
	return a != nil && a.answered
}

func hasAuthoritativeAnswer(v *incarnation) bool {
	return slices.ContainsFunc(v.ledger.floor.answers, func(a answer) bool { return a.answered && a.authoritative })
}

// converged reports whether every instance is ready with the bundle that the last
// roll assigns to it once it has read everything published and the reports of all
// peers. It otherwise returns an instance that is not. Partitioned instances are
// exempt.
func (m *model) converged(w *modelState) (int, bool) {
	last := m.rolls[len(m.rolls)-1]
	c := *w
	c.incarnations = slices.Clone(w.incarnations)
	for i := range c.incarnations {
		c = *c.clone(i)
	}
	for range 2 {
		for i, v := range c.incarnations {
			m.readAll(&c, i, v)
		}
	}
	for i, v := range c.incarnations {
		s := v.ledger.settings
		assigned := last.Roll.Assigned(s.Instance, s.Zone)
		if !m.isCut(i) && (v.ledger.Status() != StatusReady || v.ledger.inForceRef != assigned) {
			return i, false
		}
	}
	return 0, true
}

// readAll makes an incarnation read from every source that it can reach.
func (m *model) readAll(w *modelState, i int, v *incarnation) {
	if m.hasFencing(i) {
		v.ledger.Step(v.now, FloorReport{From: engine, Fence: w.fence})
	}
	if m.isCut(i) {
		return
	}
	for _, r := range m.rolls {
		v.ledger.Step(v.now, FloorReport{From: platform, Roll: r})
	}
	for j, other := range w.incarnations {
		if j != i && !m.isCut(j) {
			v.ledger.Step(v.now, other.ledger.Report())
		}
	}
	if len(m.cut) > 0 && !v.timedOut {
		v.timedOut = true
		v.now = v.now.Add(v.ledger.settings.StartTimeout)
		v.ledger.Step(v.now, Tick{})
	}
}
