package ledger

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/bundle"
)

// answer is the state of the floor query to one source of the source set.
type answer struct {
	source   Source
	askedAt  time.Time
	answered bool
	// authoritative is set if the source can know the floor: a ready peer, or the
	// platform if it has a roll.
	authoritative bool
	// inForce and fence are as in FloorReport.
	inForce bundle.Ref
	fence   uint64
}

// floorState is the progress of a starting or rechecking instance in determining
// the floor.
type floorState struct {
	status Status
	since  time.Time
	// round counts the query rounds, so that reports of earlier ones are
	// recognised.
	round uint64
	// answers holds one entry for each source of the source set.
	answers []answer
}

func newFloorState(status Status, now time.Time) floorState {
	return floorState{status: status, since: now}
}

// recheck starts a new query round after the process was paused, since the
// answers received before may be long out of date.
func (l *Ledger) recheck() {
	status := StatusStarting
	if l.floor.status != StatusStarting {
		status = StatusRechecking
	}
	sources, round := l.sourceSet(), l.floor.round
	l.floor = newFloorState(status, l.now)
	l.floor.round = round + 1
	SourceSet{Sources: sources}.apply(l)
	l.parts.since = l.now
}

func (l *Ledger) sourceSet() []Source {
	sources := make([]Source, len(l.floor.answers))
	for i, a := range l.floor.answers {
		sources[i] = a.source
	}
	return sources
}

// apply implements Event. While the instance is starting, a peer that has
// answered is kept even if the new set omits it: the bundle that it had in
// force is part of the floor.
func (e SourceSet) apply(l *Ledger) {
	answers := make([]answer, 0, len(e.Sources))
	if l.floor.status == StatusStarting {
		for _, a := range l.floor.answers {
			if a.answered && a.source.Kind == SourcePeer && !slices.Contains(e.Sources, a.source) {
				answers = append(answers, a)
			}
		}
	}
	for _, s := range e.Sources {
		if a := l.floor.find(s); a != nil {
			answers = append(answers, *a)
			continue
		}
		answers = append(answers, answer{source: s})
	}
	l.floor.answers = answers
}

func (f *floorState) find(s Source) *answer {
	i := slices.IndexFunc(f.answers, func(a answer) bool { return a.source == s })
	if i < 0 {
		return nil
	}
	return &f.answers[i]
}

// apply implements Event. A report whose roll cannot be verified does not count
// as an answer, since what its source knows remains unknown.
func (e FloorReport) apply(l *Ledger) {
	usable := true
	if e.Roll != nil {
		usable = l.processRoll(e.From, e.Roll)
	}
	a := l.floor.find(e.From)
	if a == nil || e.Round != l.floor.round {
		return
	}
	a.answered = usable
	a.authoritative = (e.From.Kind == SourcePeer && e.Ready) || (e.From.Kind == SourcePlatform && e.Roll != nil)
	a.inForce = e.InForce
	a.fence = e.Fence
}

// apply implements Event.
func (e Unreachable) apply(l *Ledger) {
	if a := l.floor.find(e.From); a != nil {
		a.answered = false
	}
}

// querySources queries the sources that have not answered, each once per
// RetryInterval.
func (l *Ledger) querySources() {
	if l.floor.status == StatusReady {
		return
	}
	for i := range l.floor.answers {
		a := &l.floor.answers[i]
		due := a.askedAt.IsZero() || l.now.Sub(a.askedAt) >= l.settings.RetryInterval
		if !a.answered && due {
			a.askedAt = l.now
			l.emit(QueryFloor{From: a.source, Round: l.floor.round})
		}
	}
}

// timedOut reports whether StartTimeout has passed since the query round began.
func (l *Ledger) timedOut() bool {
	return l.now.Sub(l.floor.since) >= l.settings.StartTimeout
}

// floorDetermined reports whether the ledger may put a bundle into force: always
// when ready, and otherwise once the floor is known as far as it can be.
func (l *Ledger) floorDetermined() bool {
	if l.floor.status == StatusReady || !l.enabled(guardAnswers) {
		return true
	}
	if !l.floor.complete() && !l.timedOut() {
		return false
	}
	if l.enabled(guardAuthoritative) && !l.hasAuthoritativeSource() {
		return false
	}
	return !l.enabled(guardFence) || l.highestFence() <= l.targetVersion()
}

// complete reports whether every source has answered.
func (f *floorState) complete() bool {
	return len(f.answers) > 0 && !slices.ContainsFunc(f.answers, func(a answer) bool { return !a.answered })
}

// hasAuthoritativeSource reports whether a source that can know the floor has
// answered. An instance that was ready before knows the floor itself, and one
// with IsolatedServePreload does without such a source after StartTimeout.
func (l *Ledger) hasAuthoritativeSource() bool {
	if l.floor.status == StatusRechecking || (l.settings.Isolated == IsolatedServePreload && l.timedOut()) {
		return true
	}
	return slices.ContainsFunc(l.floor.answers, func(a answer) bool { return a.answered && a.authoritative })
}

// highestFence returns the highest fencing number that an upstream has reported.
func (l *Ledger) highestFence() uint64 {
	var highest uint64
	for _, a := range l.floor.answers {
		if a.source.Kind == SourceUpstream {
			highest = max(highest, a.fence)
		}
	}
	return highest
}

func (l *Ledger) targetVersion() uint64 {
	if l.roll == nil {
		return 0
	}
	return l.roll.Roll.Target.Version
}

// baseReplacesTarget reports whether this starting instance may use the roll's base in
// place of a target that covers it but is incomplete. It may if parts of the
// target have been missing for PartsTimeout, every source has answered, and none
// reports the target's version or a higher one: the publication of the target was
// then interrupted.
func (l *Ledger) baseReplacesTarget() bool {
	target := l.roll.Roll.Target
	if l.floor.status != StatusStarting || l.roll.Roll.Base.IsZero() || !l.floor.complete() {
		return false
	}
	if !l.parts.isIncomplete(target) || l.now.Sub(l.parts.since) < l.settings.PartsTimeout {
		return false
	}
	return !slices.ContainsFunc(l.floor.answers, func(a answer) bool {
		return a.inForce.Version >= target.Version || a.fence >= target.Version
	})
}

// becomeReady makes the instance ready once the assigned bundle or a higher
// version is in force.
func (l *Ledger) becomeReady() {
	if l.floor.status == StatusReady || l.inForce == nil {
		return
	}
	if l.floor.status == StatusStarting && l.inForceRef.Version < l.assigned().Version {
		return
	}
	l.floor.status = StatusReady
	var unconfirmed []Source
	for _, a := range l.floor.answers {
		if !a.answered {
			unconfirmed = append(unconfirmed, a.source)
		}
	}
	l.clearAlarms(func(a Alarm) bool {
		return a.Type == AlarmIsolated || a.Type == AlarmFloorAbove || a.Type == AlarmNoRoll
	})
	l.emit(Ready{InForce: l.inForceRef, Unconfirmed: unconfirmed})
	l.emit(Announce{Summary: l.Summary()})
}

// watchTimeouts raises the alarms for waits that exceed their timeouts.
func (l *Ledger) watchTimeouts() {
	if len(l.parts.incomplete) > 0 && l.now.Sub(l.parts.since) >= l.settings.PartsTimeout {
		l.alarm(Alarm{Type: AlarmIncompletelyPublished, Ref: l.parts.incomplete[0]})
	}
	if l.floor.status != StatusStarting || !l.timedOut() {
		return
	}
	switch fence := l.highestFence(); {
	case fence > l.targetVersion():
		l.alarm(Alarm{Type: AlarmFloorAbove, Number: fence})
	case l.roll == nil && slices.ContainsFunc(l.floor.answers, func(a answer) bool { return a.answered }):
		l.alarm(Alarm{Type: AlarmNoRoll})
	case !l.hasAuthoritativeSource():
		l.alarm(Alarm{Type: AlarmIsolated})
	}
}
