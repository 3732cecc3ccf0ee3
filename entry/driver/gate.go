package driver

import (
	"context"
	"sync"
	"time"
)

// pauseGate detects pauses of the process and delays new attempts until the
// kernel has been notified of the pause. A gap is measured on both the
// monotonic and the wall clock, because the monotonic clock does not advance
// while the machine is suspended. A forward step of the wall clock is therefore
// treated as a pause, which costs no more than a refresh.
type pauseGate struct {
	after time.Duration

	mu   sync.Mutex
	last time.Time
	// marked is closed and replaced at each call of markRunning.
	marked chan struct{}
}

func newPauseGate(after time.Duration) *pauseGate {
	return &pauseGate{after: after, marked: make(chan struct{})}
}

// markRunning records that the driver ran at now and has handled any pause
// before.
func (g *pauseGate) markRunning(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = now
	close(g.marked)
	g.marked = make(chan struct{})
}

// gap returns how long the process did not run before now, or 0 if that is
// shorter than the threshold.
func (g *pauseGate) gap(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gapLocked(now)
}

func (g *pauseGate) gapLocked(now time.Time) time.Duration {
	monotonic := now.Sub(g.last)
	wall := now.Round(0).Sub(g.last.Round(0))
	gap := max(monotonic, wall)
	if gap < g.after {
		return 0
	}
	return gap
}

// wait blocks until no detected pause is unhandled. It returns ctx's error if
// ctx has ended.
func (g *pauseGate) wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		open := g.gapLocked(time.Now()) == 0
		beats := g.marked
		g.mu.Unlock()
		if open {
			return ctx.Err()
		}
		select {
		case <-beats:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
