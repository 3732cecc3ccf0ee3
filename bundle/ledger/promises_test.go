package ledger

import (
	"fmt"
	"slices"

	"github.com/wardspool/wardspool/bundle"
)

// promise is an invariant of the ledger, described by its value. The model checks
// each after every step.
type promise string

const (
	neverReverts  promise = "the version in force on an instance only increases until the instance is replaced"
	onlyRolled    promise = "only bundles that a published, signed roll assigns to an instance are put into force on it"
	noAbandoned   promise = "a version known to be abandoned is not put into force"
	chained       promise = "a version directly above the one in force names its digest"
	noSplit       promise = "two digests of one version are in force only if an approver signed both"
	splitAlarm    promise = "an instance that receives two signed digests of one version raises an alarm"
	peersFloor    promise = "a new instance is not ready with a roll older than a ready peer had when it started"
	fencesFloor   promise = "a new instance is not ready if an upstream has reported a fencing number above every version it knows"
	converges     promise = "once everything is published and read, every instance is ready with the bundle that the last roll assigns to it"
	notReadyAlone promise = "a new instance without an answer from the platform or a ready peer is not ready"
)

// brokenPromise is the violation of a promise by a step.
type brokenPromise struct {
	promise  promise
	instance int
}

func (e *brokenPromise) Error() string {
	return fmt.Sprintf("violated on entry-%d: %s", e.instance, e.promise)
}

// check checks every promise after instance i has processed an event.
func (m *model) check(w *world, i int, before *Ledger, e Event, actions []Action) error {
	v := w.lives[i]
	checks := []struct {
		promise promise
		holds   func() bool
	}{
		{neverReverts, func() bool { return rises(before.inForceRef, v.ledger.inForceRef) }},
		{onlyRolled, func() bool { return m.rolledHere(w, i) }},
		{noAbandoned, func() bool {
			return before.inForceRef == v.ledger.inForceRef || !slices.Contains(v.abandoned, v.ledger.inForceRef.Version)
		}},
		{chained, func() bool {
			return before.inForce == nil || before.inForceRef == v.ledger.inForceRef || v.ledger.inForce.Manifest.Follows(before.inForceRef)
		}},
		{noSplit, func() bool { return m.signedTwice || !w.isSplit() }},
		{splitAlarm, func() bool { return m.shownSplit(before, e) == nil || raisedSplit(before, actions) }},
		{peersFloor, func() bool { return !becameReady(before, v) || m.paidPeers(i, v) }},
		{fencesFloor, func() bool {
			return !becameReady(before, v) || !heard(v, engine) || v.ledger.targetVersion() >= v.fenceOwed
		}},
		{notReadyAlone, func() bool { return !becameReady(before, v) || heardAnyone(v) }},
	}
	for _, c := range checks {
		if (m.only == "" || m.only == c.promise) && !c.holds() {
			return &brokenPromise{promise: c.promise, instance: i}
		}
	}
	return nil
}

func rises(before, after bundle.Ref) bool {
	return before == after || after.Version > before.Version
}

// rolledHere reports whether the bundle in force on instance i was assigned to it
// by a published roll.
func (m *model) rolledHere(w *world, i int) bool {
	l := w.lives[i].ledger
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
func (w *world) isSplit() bool {
	for i, v := range w.lives {
		for _, other := range w.lives[:i] {
			a, b := v.ledger.inForceRef, other.ledger.inForceRef
			if a.Version == b.Version && a.Digest != b.Digest {
				return true
			}
		}
	}
	return false
}

// shownSplit returns a signed bundle of the event that conflicts with one that
// the ledger knew, nil if there is none.
func (m *model) shownSplit(before *Ledger, e Event) *bundle.Ref {
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

// raisedSplit reports whether AlarmSplitVersion was active or has just been
// raised.
func raisedSplit(before *Ledger, actions []Action) bool {
	alarms := before.Alarms()
	for _, a := range actions {
		if alarm, ok := a.(Alarm); ok {
			alarms = append(alarms, alarm)
		}
	}
	return slices.ContainsFunc(alarms, func(a Alarm) bool { return a.Type == AlarmSplitVersion })
}

func becameReady(before *Ledger, v *life) bool {
	return before.Status() == StatusStarting && v.ledger.Status() == StatusReady
}

// paidPeers reports whether a life that became ready has a roll at least as new as
// each reachable peer had when the life began, and serves a version at least as
// high as that roll assigns to it.
func (m *model) paidPeers(i int, v *life) bool {
	l := v.ledger
	for j, sequence := range v.owed {
		reachable := !m.isCut(i) && !m.isCut(j)
		if reachable && l.roll.Roll.Sequence < sequence {
			return false
		}
	}
	return l.inForceRef.Version >= l.roll.Roll.Assigned(l.settings.Instance, l.settings.Zone).Version
}

func heard(v *life, s Source) bool {
	a := v.ledger.floor.find(s)
	return a != nil && a.answered
}

func heardAnyone(v *life) bool {
	return slices.ContainsFunc(v.ledger.floor.answers, func(a answer) bool { return a.answered && a.vouches })
}

// converged reports whether every instance is ready with the bundle that the last
// roll assigns to it once it has read everything published and the reports of all
// peers. It otherwise returns an instance that is not. Partitioned instances are
// exempt.
func (m *model) converged(w *world) (int, bool) {
	last := m.rolls[len(m.rolls)-1]
	c := *w
	c.lives = slices.Clone(w.lives)
	for i := range c.lives {
		c = *c.clone(i)
	}
	for range 2 {
		for i, v := range c.lives {
			m.readAll(&c, i, v)
		}
	}
	for i, v := range c.lives {
		s := v.ledger.settings
		assigned := last.Roll.Assigned(s.Instance, s.Zone)
		if !m.isCut(i) && (v.ledger.Status() != StatusReady || v.ledger.inForceRef != assigned) {
			return i, false
		}
	}
	return 0, true
}

// readAll makes a life read from every source that it can reach.
func (m *model) readAll(w *world, i int, v *life) {
	if m.hasFencing(i) {
		v.ledger.Step(v.now, FloorReport{From: engine, Fence: w.fence})
	}
	if m.isCut(i) {
		return
	}
	for _, r := range m.rolls {
		v.ledger.Step(v.now, FloorReport{From: platform, Roll: r})
	}
	for j, other := range w.lives {
		if j != i && !m.isCut(j) {
			v.ledger.Step(v.now, other.ledger.Report())
		}
	}
	if len(m.cut) > 0 && !v.late {
		v.late = true
		v.now = v.now.Add(v.ledger.settings.StartTimeout)
		v.ledger.Step(v.now, Tick{})
	}
}
