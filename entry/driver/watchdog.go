package driver

import (
	"sync"
	"time"
)

// watchdog calls stalled when an attempt makes no progress within its time
// limit, and again after each further time limit.
type watchdog struct {
	limits     progressLimits
	pauseAfter time.Duration
	stalled    func(after time.Duration)

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	limit time.Duration
	// reported is set from a call of stalled to the next token.
	reported bool
	stopped  bool
}

// newWatchdog starts a watchdog with the time limit for the first token.
func newWatchdog(p progressLimits, pauseAfter time.Duration, stalled func(time.Duration)) *watchdog {
	w := &watchdog{limits: p, pauseAfter: pauseAfter, stalled: stalled}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = p.first
	w.due = time.Now().Add(w.limit)
	w.timer = time.AfterFunc(w.limit, w.fire)
	return w
}

// fire reports a stream that is overdue. If the timer fires late by pauseAfter
// or more, this process was paused itself, and the stream gets its time limit
// again.
func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if now.Before(w.due) {
		w.timer.Reset(w.due.Sub(now))
		return
	}
	late := now.Sub(w.due)
	w.due = now.Add(w.limit)
	w.timer.Reset(w.limit)
	if late >= w.pauseAfter {
		return
	}
	w.reported = true
	// The lock keeps the order of this report and the one of the next token.
	w.stalled(w.limit)
}

// pause suspends the time limit while a token is written to the caller.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(callerWriteAllowance)
}

// callerWriteAllowance suspends the watchdog during a write to the caller. It
// only has to exceed the write's own time limit.
const callerWriteAllowance = time.Hour

// progress records a token and restarts the time limit. It returns whether the
// attempt was reported as stalled. The timer itself is not reset: if it fires
// early, fire resets it.
func (w *watchdog) progress() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = w.limits.next
	w.due = time.Now().Add(w.limit)
	reported := w.reported
	w.reported = false
	return reported
}

// stop stops the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
