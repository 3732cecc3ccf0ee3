package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Limits bound an executor's memory. All are positive.
type Limits struct {
	// Tickets is how many tickets are remembered at once, used or not. When
	// they are, none is issued: a used one is never forgotten early.
	Tickets int
	// TicketsPerWorkspace bounds one workspace's part of Tickets, so that none
	// can keep the others from getting tickets.
	TicketsPerWorkspace int
	// AnswerBytes is the largest answer that is kept for a replay.
	AnswerBytes int
	// HeldBytes bounds all kept answers together; the oldest go first.
	HeldBytes int
	// Lifetime is the time from issue to expiry.
	Lifetime time.Duration
	// Retention is how long a ticket is remembered after its expiry or the end
	// of its call, whichever is later.
	Retention time.Duration
}

// DefaultLimits returns limits for a small instance: 436 tickets a second
// without end, and at most 32 MiB of answers.
func DefaultLimits() Limits {
	return Limits{
		Tickets:             1 << 16,
		TicketsPerWorkspace: 1 << 14,
		AnswerBytes:         64 << 10,
		HeldBytes:           32 << 20,
		Lifetime:            2 * time.Minute,
		Retention:           30 * time.Second,
	}
}

// Executor issues the tickets of one life of an instance and decides on the
// calls presented with them. Times should carry a monotonic clock reading, as
// those of time.Now do, so that a wall-clock step does not lengthen the life
// of tickets; whether a call runs twice never depends on a clock.
// An Executor must be used from one goroutine at a time.
type Executor struct {
	life     Life
	limits   Limits
	next     uint64
	stopping bool
	entries  map[uint64]*entry
	held     map[ident.Workspace]int
	// issued lists all tickets by expiry, late those whose call ended after it.
	issued  schedule
	late    schedule
	answers answers
}

// NewExecutor returns the executor of a new life, which has issued nothing.
func NewExecutor(life Life, limits Limits) *Executor {
	return &Executor{
		life:    life,
		limits:  limits,
		entries: make(map[uint64]*entry),
		held:    make(map[ident.Workspace]int),
		answers: answers{limit: limits.HeldBytes},
	}
}

// Life returns the life that the executor's tickets name.
func (e *Executor) Life() Life { return e.life }

// Issue returns a new ticket, or why there is none. Memory for its whole life
// is set aside here, so that using it never fails for want of room.
func (e *Executor) Issue(now time.Time, w ident.Workspace) (Ticket, *api.Problem) {
	if e.stopping {
		return Ticket{}, api.NewProblem(api.ProblemStopping, api.NotRun, "no tickets: the instance is stopping")
	}
	if p := e.fullProblem(now, w); p != nil {
		return Ticket{}, p
	}
	expires := now.Add(e.limits.Lifetime)
	t := Ticket{
		Executor: e.life,
		Sequence: e.next,
		Issued:   toMilliseconds(now),
		Expires:  toMilliseconds(expires),
	}
	e.entries[e.next] = &entry{state: StateFresh, workspace: w, expires: expires}
	e.issued.push(release{at: expires.Add(e.limits.Retention), sequence: e.next})
	e.held[w]++
	e.next++
	return t, nil
}

// fullProblem returns why the workspace can't have a ticket, nil if it can.
func (e *Executor) fullProblem(now time.Time, w ident.Workspace) *api.Problem {
	var detail string
	switch {
	case len(e.entries) >= e.limits.Tickets:
		detail = "no tickets: the instance remembers as many as it can"
	case e.held[w] >= e.limits.TicketsPerWorkspace:
		detail = "no tickets: the workspace has as many as it may"
	default:
		return nil
	}
	p := api.NewProblem(api.ProblemOverloaded, api.NotRun, detail)
	if at, ok := e.NextSweep(); ok {
		p.RetryAfter(max(at.Sub(now), time.Second))
	}
	return p
}

// toMilliseconds cuts a time to the resolution of a ticket.
func toMilliseconds(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }

// Present decides on a call that carries the ticket.
func (e *Executor) Present(now time.Time, t Ticket, d Digest) Verdict {
	if t.Executor != e.life {
		return Verdict{Action: Refuse, Problem: foreignProblem(t, e.life)}
	}
	en := e.entries[t.Sequence]
	if en == nil {
		// It may have been used before it was forgotten.
		return refuse(api.ProblemTicketExpired, api.Unknown, "the ticket expired too long ago to know whether it was used")
	}
	if en.state == StateFresh {
		e.voidIfDue(now, en)
	}
	switch en.state {
	case StateFresh:
		en.state = StateRunning
		en.digest = d
		en.waiters = 1
		return Verdict{Action: Run}
	case StateVoid:
		return refuse(en.cause, api.NotRun, "the ticket was never used and never will be; take a new one")
	default:
		return en.presentAgain(d)
	}
}

// voidIfDue makes a fresh ticket void if it must not be used any more. The
// caller is about to be told "not-run", so this must last.
func (e *Executor) voidIfDue(now time.Time, en *entry) {
	switch {
	case !now.Before(en.expires):
		en.void(api.ProblemTicketExpired)
	case e.stopping:
		en.void(api.ProblemStopping)
	}
}

// presentAgain decides on a call whose ticket is in use or was used.
func (en *entry) presentAgain(d Digest) Verdict {
	if en.digest != d {
		// The ticket is bound to the other call for good, so this one did not
		// run with it and never will.
		return refuse(api.ProblemTicketReused, api.NotRun, "the ticket was used for a different call")
	}
	if en.state == StateRunning {
		en.waiters++
		return Verdict{Action: Join}
	}
	if en.answerDropped {
		return refuse(api.ProblemTicketReused, en.result.Outcome, "the call has ended and its answer is no longer kept")
	}
	return Verdict{Action: Replay, Result: &en.result}
}

// Leave reports that a presentation which was told to run or join no longer
// waits, and returns how many still do. The running call's caller is gone
// only when none does.
func (e *Executor) Leave(t Ticket) int {
	en := e.find(t)
	if en == nil || en.state != StateRunning {
		return 0
	}
	en.waiters = max(en.waiters-1, 0)
	return en.waiters
}

// Finish records the end of a call that Present said to run. Whatever the
// outcome, the ticket is used up: a caller that was told "not-run" must not
// see a delayed duplicate of its call run later.
// It returns a *NotRunningError if the call is not running.
func (e *Executor) Finish(now time.Time, t Ticket, r Result) error {
	en := e.find(t)
	if en == nil || en.state != StateRunning {
		return &NotRunningError{Sequence: t.Sequence, State: stateOf(en)}
	}
	en.state = StateDone
	en.result = r
	if r.Outcome == "" {
		en.result.Outcome = api.Unknown
	}
	if len(r.Body) > e.limits.AnswerBytes {
		en.drop()
	}
	e.answers.add(en)
	if en.late || now.After(en.expires) {
		en.late = true
		e.late.push(release{at: now.Add(e.limits.Retention), sequence: t.Sequence})
	}
	return nil
}

// find returns the memory of the ticket, nil if there is none.
func (e *Executor) find(t Ticket) *entry {
	if t.Executor != e.life {
		return nil
	}
	return e.entries[t.Sequence]
}

// stateOf returns the state of an entry that may be missing.
func stateOf(en *entry) State {
	if en == nil {
		return StateForgotten
	}
	return en.state
}
