package driver

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// defaultStall is used where the bundle sets no transfer_stall.
	defaultStall = 5 * time.Second
	// stallPaces is how many times the target pace a stream may be silent.
	stallPaces = 20
	// transferSlack is how many times its expected duration a transfer may
	// take, before the stall time is counted.
	transferSlack = 2
)

// patience is how long a decode attempt may make no progress.
type patience struct {
	// first bounds the wait for the first token: transfer and import.
	first time.Duration
	// next bounds the wait for each further one.
	next time.Duration
}

// patience returns the bounds for an attempt whose KV cache comes from the
// given engine, which is empty if it does not have to come.
func (d *Driver) patience(a *attempt, from ident.UpstreamID) patience {
	stall := defaultStall
	if d.content != nil && d.content.Policy.TransferStall > 0 {
		stall = d.content.Policy.TransferStall
	}
	r := a.exchange.Request
	p := patience{first: stall, next: max(stall, stallPaces*r.Pace)}
	source, target := d.specs[from], d.specs[a.target.Upstream]
	if source != nil && target != nil {
		p.first += transferSlack * transferTime(d.models[r.Model], r.PromptTokens, source, target)
	}
	return p
}

// transferTime is the expected time to move a prompt's KV cache.
func transferTime(m *config.Model, tokens int, from, to *config.Upstream) time.Duration {
	return kernel.TransferTime(m, tokens, &kernel.Upstream{Spec: *from}, &kernel.Upstream{Spec: *to})
}

// sink takes the tokens of one decode attempt.
type sink struct {
	d       *Driver
	a       *attempt
	watch   *watchdog
	started bool
}

func (d *Driver) newSink(a *attempt, p patience) *sink {
	stalled := func(after time.Duration) { a.cancel(&StalledError{After: after}) }
	return &sink{d: d, a: a, watch: newWatchdog(p, d.opts.PauseAfter, stalled)}
}

// Token implements adapter.Sink.
func (s *sink) Token(c adapter.Chunk) error {
	s.watch.pause()
	v, err := s.a.exchange.delivery.token(s.a.id, c)
	s.watch.progress()
	if v == tokenDropped {
		s.d.opts.Observer.Late()
	}
	if err != nil {
		return err
	}
	if !s.started && v == tokenPassed {
		s.started = true
		s.d.send(message{event: kernel.FirstOutput{Attempt: s.a.id}, attempt: s.a})
	}
	return nil
}

// watchdog calls stalled when a stream makes no progress.
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
