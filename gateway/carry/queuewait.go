package carry

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/internal/clock"
)

const (
	// pollInterval is how often the first waiting request checks for capacity. The streams of other
	// instances end without a notification to this one.
	pollInterval = 15 * time.Millisecond
	// decisionInterval is how often it is decided anew whether a request waits on. The inputs change
	// with each stream that ends here and with each report of the peers.
	decisionInterval = 50 * time.Millisecond
)

// queueWait is the wait of a stream for a decode engine.
type queueWait struct {
	s *stream
	// waiter is the place in the service's queue, nil for a stream that is under way.
	waiter    *admission.Waiter
	enteredAt time.Time
	decidedAt time.Time
	verdict   admission.Verdict
	lead      time.Duration
	// held is set while the stream is held back for more urgent requests.
	held   admission.Hold
	isHeld bool
}

// enterQueue adds the stream to its service's queue. A stream that is under way searches for capacity
// outside the queue: it cannot wait for its turn, and a large one must not block those behind it.
func (s *stream) enterQueue() *queueWait {
	l := &queueWait{s: s, enteredAt: clock.Now()}
	if s.headSent {
		return l
	}
	l.waiter = s.c.o.Admission.Enter(l.enteredAt, admission.Request{
		Service: s.j.Service.Name, ID: s.j.Call.ID, Content: uint64(s.j.Content), Priority: s.j.Priority, MostUrgent: s.mostUrgent(), Arrived: s.j.Arrived, Deadline: s.j.Deadline,
		Timeout: s.j.Route.Timeout, Objective: s.j.Route.Objective, Late: s.resumed(),
	})
	return l
}

// mostUrgent returns the most urgent priority that requests of the service can have.
func (s *stream) mostUrgent() int {
	if table := s.c.o.View().Table; table != nil {
		if priority, ok := table.MostUrgent(s.j.Service.Name); ok {
			return priority
		}
	}
	return s.j.Priority
}

// leave ends the wait. placed means that an engine was reserved.
func (l *queueWait) leave(placed bool) {
	if l.waiter == nil {
		return
	}
	stay := l.waiter.Leave(clock.Now(), placed)
	if placed {
		l.s.c.o.ObserveStay(stay)
	}
	if placed && stay.Asked {
		l.s.expectedFirst, l.s.placedAt = l.lead, clock.Now()
	}
	if stay.Returned && placed {
		l.s.c.o.Count("returned_placed")
	} else if stay.Returned {
		l.s.c.o.Count("returned_not_placed")
	}
}

// mayPlace reports whether it is the stream's turn to be placed.
func (l *queueWait) mayPlace(now time.Time) bool {
	if l.waiter == nil {
		return true
	}
	if !l.waiter.First() {
		return false
	}
	held, isHeld := l.waiter.Held(now, func() bool { return l.s.hasRoom(now) })
	if isHeld && !l.isHeld {
		l.s.c.o.Count("held_back")
		l.s.log.Info("held back", "for_priority", held.For, "priority", l.s.j.Priority, "waiting_elsewhere", held.Waiting, "age_ms", held.Age.Milliseconds())
	}
	l.held, l.isHeld = held, isHeld
	return !isHeld
}

// mustRefuse reports whether the request is to be refused: its first event could not be on time, or a
// resumed stream has waited too long. A stream that is under way is never refused: its caller is
// still reading, and the only way to report a refusal would be to close the connection.
func (l *queueWait) mustRefuse(now time.Time) bool {
	if l.s.headSent {
		return false
	}
	if l.s.resumed() {
		patience := resumeWaitShare * float64(l.s.j.Deadline.Sub(l.enteredAt))
		return now.After(l.enteredAt.Add(time.Duration(patience)))
	}
	if !l.decidedAt.IsZero() && now.Sub(l.decidedAt) < decisionInterval {
		return false
	}
	l.decidedAt, l.lead = now, l.s.lead(now)
	l.verdict = l.waiter.Decide(now, l.s.supply(now), l.lead)
	return l.verdict.Refuse
}

// refusalCause names why the request is refused, for counters and logs: its expected wait was too
// long, it waited until it could not be on time any more, or it is resumed and waited its share.
func (l *queueWait) refusalCause() string {
	switch {
	case l.s.resumed():
		return "resumed"
	case l.verdict.Late:
		return "late"
	default:
		return "expected"
	}
}

// wait blocks until the stream is woken, pollInterval has passed, or ctx ends.
func (l *queueWait) wait(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	var woken <-chan struct{}
	if l.waiter != nil {
		woken = l.waiter.Woken()
	}
	select {
	case <-woken:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// explain returns the log attributes of the last decision.
func (l *queueWait) explain() []any {
	v := l.verdict
	out := []any{
		"expected_ms", v.Expected.Milliseconds(), "lead_ms", l.lead.Milliseconds(), "ahead", v.Ahead, "places", v.Places,
		"alone", v.Alone, "sums_age_ms", v.Age.Milliseconds(),
	}
	if l.isHeld {
		out = append(out, "held_for_priority", l.held.For, "waiting_elsewhere", l.held.Waiting)
	}
	return out
}

// hasRoom reports whether a decode engine has room for the stream now.
func (s *stream) hasRoom(now time.Time) bool {
	return s.c.o.Scheduler.HasRoom(now, s.eligible(), s.j.Service.Engine, s.sizeWithoutCache(), s.excluded)
}

// supply returns the room that decode engines are expected to have for requests like this one.
func (s *stream) supply(now time.Time) admission.Supply {
	return s.c.o.Scheduler.DecodeSupply(now, s.eligible(), s.j.Service.Engine, s.size(), s.excluded)
}
