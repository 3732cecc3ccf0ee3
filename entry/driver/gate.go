package driver

import (
	"context"
	"sync"
	"time"
)

// pauseGate notices pauses of the process and holds back new attempts until the
// kernel was told. A gap is measured on the monotonic clock and on the wall
// clock, since the former stands still while a machine is suspended; a step of
// the wall clock is taken for a pause, which costs no more than a refresh.
type pauseGate struct {
	after time.Duration

	mu   sync.Mutex
	last time.Time
	// beats is closed and replaced at each beat.
	beats chan struct{}
}

func newPauseGate(after time.Duration) *pauseGate {
	return &pauseGate{after: after, beats: make(chan struct{})}
}

// beat notes that the driver ran at now and has handled any pause before.
func (g *pauseGate) beat(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = now
	close(g.beats)
	g.beats = make(chan struct{})
}

// gap returns how long the process did not run until now, 0 if that is short.
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

// pass waits until no pause is left unhandled.
func (g *pauseGate) pass(ctx context.Context) error {
	for {
		g.mu.Lock()
		open := g.gapLocked(time.Now()) == 0
		beats := g.beats
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
