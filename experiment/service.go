package experiment

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Bounds of the uniformly distributed duration of a plain service call.
const (
	serviceTimeMin = 20 * time.Millisecond
	serviceTimeMax = 80 * time.Millisecond
)

// serviceRunner simulates a plain service. Like the services of both examples,
// it neither deduplicates calls nor can it stop a running one.
type serviceRunner struct {
	upstream
	w       *world
	running map[ident.AttemptID]*attempt
}

func newServiceRunner(w *world, u upstream) *serviceRunner {
	return &serviceRunner{upstream: u, w: w, running: map[ident.AttemptID]*attempt{}}
}

func (s *serviceRunner) accept(a *attempt) *kernel.AttemptFailed {
	if a.role != config.RoleService {
		return newRefusal(a, kernel.FailureModel)
	}
	a.started = true
	s.running[a.id] = a
	s.w.checker.addServiceRun(a)
	spread := s.w.rng.Int64N(int64(serviceTimeMax - serviceTimeMin))
	incarnation := s.incarnation
	s.w.clock.after(serviceTimeMin+time.Duration(spread), func() {
		if s.incarnation != incarnation || s.running[a.id] != a {
			return
		}
		delete(s.running, a.id)
		a.ended = true
		s.w.report(a, kernel.AttemptDone{Attempt: a.id})
	})
	return nil
}

// cancel does nothing: a running call cannot be undone.
func (s *serviceRunner) cancel(ident.AttemptID) {}

func (s *serviceRunner) kill() {
	lost := s.running
	s.running = map[ident.AttemptID]*attempt{}
	s.markDead(s.w.clock.now)
	for _, id := range sortedAttempts(lost) {
		lost[id].ended = true
		s.w.reportBroken(lost[id])
	}
}

func (s *serviceRunner) load() kernel.Load {
	return kernel.Load{At: s.w.clock.time(), Running: len(s.running)}
}

// heldAttempts returns nothing, because services hold no engine memory.
func (s *serviceRunner) heldAttempts() []*attempt { return nil }
