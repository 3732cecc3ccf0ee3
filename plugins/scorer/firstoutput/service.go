package firstoutput

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// initialCallTime is the assumed duration of a call, in seconds, to a
	// service of which no call has completed yet.
	initialCallTime = 0.02
	// averageWeight is the weight of the newest call in the moving average.
	averageWeight = 0.1
	// occupancyWeight is the cost of one occupied slot, as a fraction of a call's
	// duration. It spreads calls over the upstreams while no call has to wait.
	occupancyWeight = 0.1
	// maxCalls limits the number of calls whose start time is stored.
	maxCalls = 1 << 16
)

// callTimes measures the durations of calls to plain services.
type callTimes struct {
	// started is the start time of each call in progress.
	started map[ident.RequestID]time.Time
	// mean is the exponential moving average of the call duration, in seconds,
	// by service.
	mean map[string]float64
}

// cost returns the expected wait at u, in seconds, for the calls that are ahead,
// plus a small amount for each occupied slot.
func (s *callTimes) cost(d *kernel.Decision, u *kernel.Upstream) float64 {
	mean, ok := s.mean[d.Request.Service]
	if !ok {
		mean = initialCallTime
	}
	slots := float64(max(u.Load.Slots, 1))
	ahead := float64(max(u.LocalLoad.Requests, u.Load.Running+u.Load.Waiting))
	ahead *= slowStartFactor(u, d.Now)
	queued := max(ahead+1-slots, 0)
	return mean * (queued + occupancyWeight*ahead) / slots
}

// observe records the start and the completion of calls. Calls that end in any
// other way are not measured.
func (s *callTimes) observe(r *kernel.Request, rec kernel.Record) {
	switch rec.Step {
	case kernel.StepCalled:
		s.start(r, rec.Time)
	case kernel.StepCompleted:
		s.completed(r, rec.Time)
	case kernel.StepRefused, kernel.StepRetrying, kernel.StepCancelled, kernel.StepFailed:
		delete(s.started, r.ID)
	}
}

// start stores the start time of a call. At maxCalls it discards all stored times,
// so that calls of which no end is observed cannot fill the memory.
func (s *callTimes) start(r *kernel.Request, now time.Time) {
	if s.started == nil || len(s.started) >= maxCalls {
		s.started = map[ident.RequestID]time.Time{}
	}
	s.started[r.ID] = now
}

// completed adds the duration of a completed call to the moving average of its
// service.
func (s *callTimes) completed(r *kernel.Request, now time.Time) {
	began, ok := s.started[r.ID]
	if !ok {
		return
	}
	delete(s.started, r.ID)
	took := now.Sub(began).Seconds()
	if s.mean == nil {
		s.mean = map[string]float64{}
	}
	old, seen := s.mean[r.Service]
	if !seen {
		s.mean[r.Service] = took
		return
	}
	s.mean[r.Service] = old + averageWeight*(took-old)
}
