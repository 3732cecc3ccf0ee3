package engine

import (
	"time"

	"github.com/wardspool/wardspool/standin/perf"
)

// transfers carries prefill results out of the engine over its link. It is
// guarded by the engine's mutex.
type transfers struct {
	engine *Engine
	life   *life
	link   *perf.Link
	timer  *time.Timer
	nextID perf.FlowID
	flows  map[perf.FlowID]*flow
}

// flow is one transfer in flight.
type flow struct {
	id perf.FlowID
	a  *attempt
	// done is closed at the end; sent then tells whether all was sent.
	done chan struct{}
	sent bool
}

// newTransfers returns the transfers of a new life.
func newTransfers(e *Engine, l *life) *transfers {
	t := &transfers{
		engine: e,
		life:   l,
		link:   perf.NewLink(e.linkRate()),
		flows:  make(map[perf.FlowID]*flow),
	}
	t.timer = time.AfterFunc(time.Hour, t.onTimer)
	t.timer.Stop()
	return t
}

// linkRate returns the link's present rate, in bytes per second.
func (e *Engine) linkRate() float64 {
	if e.faults.StallTransfers {
		return 0
	}
	return e.cfg.Perf.LinkBytesPerSecond
}

// now returns the link's time.
func (t *transfers) now() time.Duration { return time.Since(t.engine.started) }

// start begins to send a held prefill result, which can't expire meanwhile.
func (t *transfers) start(a *attempt) *flow {
	a.stage = StageSending
	a.timer.Stop()
	t.nextID++
	f := &flow{id: t.nextID, a: a, done: make(chan struct{})}
	t.flows[f.id] = f
	t.link.Add(t.now(), f.id, t.engine.cfg.Perf.TransferBytes(a.promptTokens))
	t.settle()
	return f
}

// giveUp ends a transfer whose receiver has left. The result is held again for
// what remains of its lifetime.
func (t *transfers) giveUp(f *flow) {
	if t.flows[f.id] != f {
		return
	}
	t.drop(f, false)
	t.settle()
	if f.a.stage != StageSending {
		return
	}
	f.a.stage = StageHeld
	f.a.timer.Reset(max(time.Until(f.a.expires), 0))
}

// cancel ends the transfer of an attempt, if there is one.
func (t *transfers) cancel(a *attempt) {
	for _, f := range t.flows {
		if f.a == a {
			t.drop(f, false)
			t.settle()
			return
		}
	}
}

// drop takes a transfer out and tells its waiter.
func (t *transfers) drop(f *flow, sent bool) {
	t.link.Remove(t.now(), f.id)
	delete(t.flows, f.id)
	f.sent = sent
	close(f.done)
}

// setRate follows a change of the link's rate.
func (t *transfers) setRate(rate float64) {
	t.link.SetRate(t.now(), rate)
	t.settle()
}

// settle completes the transfers that are done and sets the timer for the next.
func (t *transfers) settle() {
	for _, id := range t.link.Finished(t.now()) {
		f := t.flows[id]
		t.drop(f, true)
		t.engine.ledger.transferred()
		t.engine.end(f.a, nil)
	}
	next, ok := t.link.Next()
	if !ok {
		t.timer.Stop()
		return
	}
	t.timer.Reset(max(next-t.now(), 0))
}

// onTimer runs when the next transfer should be done.
func (t *transfers) onTimer() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if t.engine.life == t.life {
		t.settle()
	}
}

// close stops the timer. All transfers have been cancelled before.
func (t *transfers) close() { t.timer.Stop() }
