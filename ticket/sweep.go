package ticket

import (
	"time"

	"github.com/wardspool/wardspool/api"
)

// release says when a ticket may be forgotten.
type release struct {
	at       time.Time
	sequence uint64
}

// Sweep forgets the tickets whose retention is over and returns how many. A
// running call's ticket is never forgotten. Call it when NextSweep says.
func (e *Executor) Sweep(now time.Time) int {
	return e.sweepExpired(now) + e.sweepLate(now)
}

// sweepExpired forgets tickets by their expiry, but for those whose call ends
// later.
func (e *Executor) sweepExpired(now time.Time) int {
	return e.issued.sweep(now, func(r release) bool {
		en := e.entries[r.sequence]
		if en == nil {
			return false // by sweepLate, after the clock was set back
		}
		if en.state == StateRunning {
			en.late = true
		}
		if en.late {
			return false
		}
		e.forget(r.sequence, en)
		return true
	})
}

// sweepLate forgets tickets whose call ended after their expiry.
func (e *Executor) sweepLate(now time.Time) int {
	return e.late.sweep(now, func(r release) bool {
		e.forget(r.sequence, e.entries[r.sequence])
		return true
	})
}

// forget drops a ticket from memory. Nothing can run with it any more.
func (e *Executor) forget(sequence uint64, en *entry) {
	e.answers.remove(en)
	delete(e.entries, sequence)
	e.held[en.workspace]--
	if e.held[en.workspace] == 0 {
		delete(e.held, en.workspace)
	}
}

// NextSweep returns when Sweep next has something to do, false if never.
func (e *Executor) NextSweep() (time.Time, bool) {
	issued, ok := e.issued.first()
	late, okLate := e.late.first()
	switch {
	case !ok:
		return late.at, okLate
	case okLate && late.at.Before(issued.at):
		return late.at, true
	default:
		return issued.at, true
	}
}

// schedule lists releases, the earliest first.
type schedule struct{ fifo[release] }

// sweep takes the due releases off the list and returns how many of them
// forget carried out.
func (s *schedule) sweep(now time.Time, forget func(release) bool) int {
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

// Paused reports that the process did not run for a while. Its clocks may not
// have counted the pause, so that fresh tickets which would have expired
// within it are taken as expired: a call must not start long after its caller
// gave the ticket up.
func (e *Executor) Paused(now time.Time, gap time.Duration) {
	for _, en := range e.entries {
		if en.state == StateFresh && !now.Add(gap).Before(en.expires) {
			en.void(api.ProblemTicketExpired)
		}
	}
}

// Stop begins a graceful shutdown: no ticket is issued and no call starts any
// more; running ones go on, and results stay available.
func (e *Executor) Stop() { e.stopping = true }

// Stats counts what an executor holds.
type Stats struct {
	// Tickets counts the remembered tickets.
	Tickets int
	// AnswerBytes is the size of the kept answers.
	AnswerBytes int
}

// Stats returns the present counts.
func (e *Executor) Stats() Stats {
	return Stats{Tickets: len(e.entries), AnswerBytes: e.answers.bytes}
}
