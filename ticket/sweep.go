package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
)

// retentionEnd is the time at which a ticket may be forgotten.
type retentionEnd struct {
	at       time.Time
	sequence uint64
}

// Sweep forgets the tickets whose retention is over and returns their number. The
// ticket of a running call is never forgotten. Sweep is to be called at the time
// that NextSweep returns.
func (e *Executor) Sweep(now time.Time) int {
	return e.sweepExpired(now) + e.sweepLate(now)
}

// sweepExpired forgets tickets whose retention after expiry is over, except those
// whose call is still running or ended after the expiry.
func (e *Executor) sweepExpired(now time.Time) int {
	return e.byExpiry.sweep(now, func(r retentionEnd) bool {
		en := e.entries[r.sequence]
		if en == nil {
			return false // sweepLate has forgotten it, after the clock was set back
		}
		if en.state == StateRunning {
			en.endsAfterExpiry = true
		}
		if en.endsAfterExpiry {
			return false
		}
		e.forget(r.sequence, en)
		return true
	})
}

// sweepLate forgets tickets whose call ended after their expiry.
func (e *Executor) sweepLate(now time.Time) int {
	return e.afterExpiry.sweep(now, func(r retentionEnd) bool {
		e.forget(r.sequence, e.entries[r.sequence])
		return true
	})
}

// forget removes a ticket from memory. After that nothing can run with it.
func (e *Executor) forget(sequence uint64, en *entry) {
	e.answers.remove(en)
	delete(e.entries, sequence)
	e.workspaceTickets[en.workspace]--
	if e.workspaceTickets[en.workspace] == 0 {
		delete(e.workspaceTickets, en.workspace)
	}
}

// NextSweep returns the time at which Sweep has work to do, or false if there are
// no tickets.
func (e *Executor) NextSweep() (time.Time, bool) {
	issued, ok := e.byExpiry.first()
	late, okLate := e.afterExpiry.first()
	switch {
	case !ok:
		return late.at, okLate
	case okLate && late.at.Before(issued.at):
		return late.at, true
	default:
		return issued.at, true
	}
}

// retentionQueue is a queue of retention ends, normally in the order of their
// times.
type retentionQueue struct{ fifo[retentionEnd] }

// sweep removes the tickets that are due and returns the number of those for
// which forget returned true.
func (s *retentionQueue) sweep(now time.Time, forget func(retentionEnd) bool) int {
	count := 0
	for {
		r, ok := s.first()
		if !ok || now.Before(r.at) {
			return count
		}
		s.pop()
		if forget(r) {
			count++
		}
	}
}

// Paused reports that the process was paused for the duration gap. Its clocks may
// not have counted the pause, so fresh tickets that would have expired within it
// are voided: a call must not start long after its caller gave up on the ticket.
func (e *Executor) Paused(now time.Time, gap time.Duration) {
	for _, en := range e.entries {
		if en.state == StateFresh && !now.Add(gap).Before(en.expires) {
			en.void(api.ProblemTicketExpired)
		}
	}
}

// Stop begins a graceful shutdown. No ticket is issued and no call starts from
// then on; running calls continue, and results stay available.
func (e *Executor) Stop() { e.stopping = true }

// Stats are the counts of what an executor keeps.
type Stats struct {
	// Tickets is the number of tickets in memory.
	Tickets int
	// AnswerBytes is the total size of the kept answers.
	AnswerBytes int
}

// Stats returns the current counts.
func (e *Executor) Stats() Stats {
	return Stats{Tickets: len(e.entries), AnswerBytes: e.answers.bytes}
}
