package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Limits bound an executor's memory. All must be positive.
type Limits struct {
	// Tickets is the maximum number of tickets that are kept at once, used or
	// not. When it is reached, no ticket is issued: a used ticket is never
	// forgotten early.
	Tickets int
	// TicketsPerWorkspace is the maximum number for one workspace, so that no
	// workspace can keep others from getting tickets.
	TicketsPerWorkspace int
	// AnswerBytes is the size of the largest answer that is kept for replay.
	AnswerBytes int
	// TotalAnswerBytes is the total size of the kept answers. The oldest are
	// dropped first.
	TotalAnswerBytes int
	// Lifetime is the time from issue to expiry.
	Lifetime time.Duration
	// Retention is how long a ticket is kept after its expiry or the end of its
	// call, whichever is later.
	Retention time.Duration
}

// DefaultLimits returns limits for a small instance: a sustained rate of 436
// tickets a second, and at most 32 MiB of answers.
func DefaultLimits() Limits {
	return Limits{
		Tickets:             1 << 16,
		TicketsPerWorkspace: 1 << 14,
		AnswerBytes:         64 << 10,
		TotalAnswerBytes:    32 << 20,
		Lifetime:            2 * time.Minute,
		Retention:           30 * time.Second,
	}
}

// Executor issues the tickets of one process of an instance and decides on the
// calls presented with them. Times should have a monotonic clock reading, as
// those of time.Now have, so that a step of the wall clock does not extend the
// lifetime of tickets. Whether a call runs twice never depends on a clock. An
// Executor is not safe for concurrent use.
type Executor struct {
	process          Process
	limits           Limits
	nextSequence     uint64
	stopping         bool
	entries          map[uint64]*entry
	workspaceTickets map[ident.Workspace]int
	// byExpiry lists all tickets by expiry; afterExpiry lists those whose call
	// ended after their expiry.
	byExpiry    retentionQueue
	afterExpiry retentionQueue
	answers     answers
}

// NewExecutor returns the executor of a newly started process, without any
// tickets.
func NewExecutor(process Process, limits Limits) *Executor {
	return &Executor{
		process:          process,
		limits:           limits,
		entries:          make(map[uint64]*entry),
		workspaceTickets: make(map[ident.Workspace]int),
		answers:          answers{limit: limits.TotalAnswerBytes},
	}
}

// Process returns the process that the executor's tickets name.
func (e *Executor) Process() Process { return e.process }

// Issue returns a new ticket, or the reason why there is none. The memory for the
// ticket's whole lifetime is reserved here, so that its use never fails for lack
// of memory.
func (e *Executor) Issue(now time.Time, w ident.Workspace) (Ticket, *api.Problem) {
	if e.stopping {
		return Ticket{}, api.NewProblem(api.ProblemStopping, api.NotRun, "no tickets: the instance is stopping")
	}
	if p := e.capacityProblem(now, w); p != nil {
		return Ticket{}, p
	}
	expires := now.Add(e.limits.Lifetime)
	t := Ticket{
		Executor: e.process,
		Sequence: e.nextSequence,
		Issued:   toMilliseconds(now),
		Expires:  toMilliseconds(expires),
	}
	e.entries[e.nextSequence] = &entry{state: StateFresh, workspace: w, expires: expires}
	e.byExpiry.push(retentionEnd{at: expires.Add(e.limits.Retention), sequence: e.nextSequence})
	e.workspaceTickets[w]++
	e.nextSequence++
	return t, nil
}

// capacityProblem returns why the workspace can't get a ticket, or nil if it can.
func (e *Executor) capacityProblem(now time.Time, w ident.Workspace) *api.Problem {
	var detail string
	switch {
	case len(e.entries) >= e.limits.Tickets:
		detail = "no tickets: the instance remembers as many as it can"
	case e.workspaceTickets[w] >= e.limits.TicketsPerWorkspace:
		detail = "no tickets: the workspace has as many as it may"
	default:
		return nil
	}
	p := api.NewProblem(api.ProblemOverloaded, api.NotRun, detail)
	if at, ok := e.NextSweep(); ok {
		p.WithRetryAfter(max(at.Sub(now), time.Second))
	}
	return p
}

// toMilliseconds truncates a time to the resolution of tickets.
func toMilliseconds(t time.Time) time.Time { return time.UnixMilli(t.UnixMilli()) }

// Present decides on a call that carries the ticket.
func (e *Executor) Present(now time.Time, t Ticket, d Digest) Verdict {
	if t.Executor != e.process {
		return Verdict{Action: Refuse, Problem: otherExecutorProblem(t, e.process)}
	}
	en := e.entries[t.Sequence]
	if en == nil {
		// The ticket may have been used before it was forgotten.
		return refuse(api.ProblemTicketExpired, api.Unknown, "the ticket expired too long ago to know whether it was used")
	}
	if en.state == StateFresh {
		e.voidIfUnusable(now, en)
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

// voidIfUnusable voids a fresh ticket if it must no longer be used. The caller is
// about to be told "not-run", so the change must be permanent.
func (e *Executor) voidIfUnusable(now time.Time, en *entry) {
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
		// The ticket stays bound to the other call, so this call has not run with
		// it and never will.
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

// RemoveWaiter reports that a presentation that was told to run or join no
// longer waits, and returns the number of those that still do. The running call
// has no caller left only if it returns 0.
func (e *Executor) RemoveWaiter(t Ticket) int {
	en := e.find(t)
	if en == nil || en.state != StateRunning {
		return 0
	}
	en.waiters = max(en.waiters-1, 0)
	return en.waiters
}

// Finish records the end of a call that Present told to run. The ticket is used
// up whatever the outcome: after a caller was told "not-run", a delayed duplicate
// of its call must not run. It returns a *NotRunningError if the call is not
// running.
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
		en.dropAnswer()
	}
	e.answers.add(en)
	if en.endsAfterExpiry || now.After(en.expires) {
		en.endsAfterExpiry = true
		e.afterExpiry.push(retentionEnd{at: now.Add(e.limits.Retention), sequence: t.Sequence})
	}
	return nil
}

// find returns the entry of the ticket, or nil if there is none.
func (e *Executor) find(t Ticket) *entry {
	if t.Executor != e.process {
		return nil
	}
	return e.entries[t.Sequence]
}

// stateOf returns the state of an entry, which may be nil.
func stateOf(en *entry) State {
	if en == nil {
		return StateForgotten
	}
	return en.state
}
