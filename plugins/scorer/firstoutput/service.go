package firstoutput

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// firstGuess is a call's time before any was seen, in seconds.
	firstGuess = 0.02
	// learning is the weight of the newest call in the mean.
	learning = 0.1
	// balance is the cost of an occupied place, as a share of a call's time. It
	// spreads calls while no one has to wait yet.
	balance = 0.1
	// maxCalls bounds the calls whose start is remembered.
	maxCalls = 1 << 16
)

// services learns how long calls of plain services take.
type services struct {
	started map[ident.RequestID]time.Time
	// mean is the mean time of a call by service, in seconds.
	mean map[string]float64
}

// cost is the expected wait at u, in seconds, for those ahead.
func (s *services) cost(d *kernel.Decision, u *kernel.Upstream) float64 {
	mean, ok := s.mean[d.Request.Service]
	if !ok {
		mean = firstGuess
	}
	places := float64(max(u.Load.Slots, 1))
	ahead := float64(max(u.Own.Requests, u.Load.Running+u.Load.Waiting))
	ahead *= ramp(u, d.Now)
	queued := max(ahead+1-places, 0)
	return mean * (queued + balance*ahead) / places
}

// observe follows calls from start to end.
func (s *services) observe(r *kernel.Request, rec kernel.Record) {
	switch rec.Step {
	case kernel.StepCalled:
		s.start(r, rec.Time)
	case kernel.StepCompleted:
		s.completed(r, rec.Time)
	case kernel.StepRefused, kernel.StepRetrying, kernel.StepCancelled, kernel.StepFailed:
		delete(s.started, r.ID)
	}
}

// start notes a call's start.
func (s *services) start(r *kernel.Request, now time.Time) {
	if s.started == nil || len(s.started) >= maxCalls {
		s.started = map[ident.RequestID]time.Time{}
	}
	s.started[r.ID] = now
}

// completed learns from a call's time.
func (s *services) completed(r *kernel.Request, now time.Time) {
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
	s.mean[r.Service] = old + learning*(took-old)
}
