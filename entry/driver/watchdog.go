package driver

import (
	"sync"
	"time"
)

// watchdog calls stalled when an attempt makes no progress.
type watchdog struct {
	patience   patience
	pauseAfter time.Duration
	stalled    func(after time.Duration)

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time
	limit   time.Duration
	stopped bool
}

// newWatchdog starts a watchdog that waits for the first token.
func newWatchdog(p patience, pauseAfter time.Duration, stalled func(time.Duration)) *watchdog {
	w := &watchdog{patience: p, pauseAfter: pauseAfter, stalled: stalled}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = p.first
	w.due = time.Now().Add(w.limit)
	w.timer = time.AfterFunc(w.limit, w.fire)
	return w
}

// fire ends a stream that is overdue. A timer that fires much too late says
// that this process was paused, and its stream gets another chance.
func (w *watchdog) fire() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	now := time.Now()
	if now.Before(w.due) {
		w.timer.Reset(w.due.Sub(now))
		w.mu.Unlock()
		return
	}
	if now.Sub(w.due) >= w.pauseAfter {
		w.due = now.Add(w.limit)
		w.timer.Reset(w.limit)
		w.mu.Unlock()
		return
	}
	limit := w.limit
	w.mu.Unlock()
	w.stalled(limit)
}

// pause stops the clock while the caller is written to.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(callerPatience)
}

// callerPatience keeps the watchdog still during a write to the caller, which
// has a time limit of its own.
const callerPatience = time.Hour

// progress notes a token. The timer is left alone: when it fires early, fire
// sets it anew.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = w.patience.next
	w.due = time.Now().Add(w.limit)
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
