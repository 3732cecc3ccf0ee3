package engine

import (
	"time"

	"github.com/wardspool/wardspool/standin/perf"
)

// transfers simulates the transfers of prefill results from this engine over
// its network link. The engine's mutex guards it.
type transfers struct {
	engine *Engine
	state  *engineState
	link   *perf.Link
	timer  *time.Timer
	nextID perf.FlowID
	flows  map[perf.FlowID]*flow
}

// flow is a transfer in progress.
type flow struct {
	id      perf.FlowID
	attempt *attempt
	// done is closed at the end of the transfer; sent is then true if all bytes
	// were sent.
	done chan struct{}
	sent bool
}

// newTransfers returns an empty set of transfers for a new incarnation.
func newTransfers(e *Engine, state *engineState) *transfers {
	t := &transfers{
		engine: e,
		state:  state,
		link:   perf.NewLink(e.linkRate()),
		flows:  make(map[perf.FlowID]*flow),
	}
	t.timer = time.AfterFunc(time.Hour, t.onTimer)
	t.timer.Stop()
	return t
}

// linkRate returns the link's current rate, in bytes per second.
func (e *Engine) linkRate() float64 {
	if e.faults.StallTransfers {
		return 0
	}
	return e.cfg.Perf.LinkBytesPerSecond
}

// now returns the current time as the link's time offset.
func (t *transfers) now() time.Duration { return time.Since(t.engine.started) }

// start begins to send a held prefill result. The result doesn't expire during
// the transfer.
func (t *transfers) start(a *attempt) *flow {
	a.stage = StageSending
	a.timer.Stop()
	t.nextID++
	f := &flow{id: t.nextID, attempt: a, done: make(chan struct{})}
	t.flows[f.id] = f
	t.link.Add(t.now(), f.id, t.engine.cfg.Perf.TransferBytes(a.promptTokens))
	t.completeFinished()
	return f
}

// cancelAndHold cancels a transfer whose receiver has disconnected. The result
// is held again for the rest of its lifetime.
func (t *transfers) cancelAndHold(f *flow) {
	if t.flows[f.id] != f {
		return
	}
	t.remove(f, false)
	t.completeFinished()
	if f.attempt.stage != StageSending {
		return
	}
	f.attempt.stage = StageHeld
	f.attempt.timer.Reset(max(time.Until(f.attempt.expiresAt), 0))
}

// cancel cancels the transfer of an attempt, if there is one.
func (t *transfers) cancel(a *attempt) {
	for _, f := range t.flows {
		if f.attempt == a {
			t.remove(f, false)
			t.completeFinished()
			return
		}
	}
}

// remove removes a transfer and closes its done channel.
func (t *transfers) remove(f *flow, sent bool) {
	t.link.Remove(t.now(), f.id)
	delete(t.flows, f.id)
	f.sent = sent
	close(f.done)
}

// setRate changes the link's rate, in bytes per second.
func (t *transfers) setRate(rate float64) {
	t.link.SetRate(t.now(), rate)
	t.completeFinished()
}

// completeFinished completes the transfers that have sent all bytes and sets the
// timer for the next completion.
func (t *transfers) completeFinished() {
	for _, id := range t.link.Finished(t.now()) {
		f := t.flows[id]
		t.remove(f, true)
		t.engine.ledger.transferred()
		t.engine.end(f.attempt, nil)
	}
	next, ok := t.link.Next()
	if !ok {
		t.timer.Stop()
		return
	}
	t.timer.Reset(max(next-t.now(), 0))
}

// onTimer runs at the expected completion of the next transfer.
func (t *transfers) onTimer() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if t.engine.state == t.state {
		t.completeFinished()
	}
}

// close stops the timer. The caller has cancelled all transfers before.
func (t *transfers) close() { t.timer.Stop() }
