package carry

import (
	"context"
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// holdFactor is how long the events of an engine that was silent are held back while another engine may
	// already be running the stream, as a multiple of the time that engines take to a stream's first event. An
	// engine that begins after that runs the stream beside the first one.
	holdFactor = 4
	// minHold and maxHold bound that time. Callers leave a stream that pauses for two seconds or more, and the
	// engine was silent for some hundred milliseconds before.
	minHold = 300 * time.Millisecond
	maxHold = time.Second
)

// takeoverPhase is the progress of a takeover.
type takeoverPhase int

const (
	// takeoverIdle means that no other run is being started.
	takeoverIdle takeoverPhase = iota
	// takeoverPreparing means that another engine is being reserved or computes the prompt. An event
	// of the current run cancels that.
	takeoverPreparing
	// takeoverSent means that the stream was sent to another engine. Both engines may run it, so
	// events of the current run are held back until the other run has begun or failed.
	takeoverSent
	// takeoverWon means that the other run has begun. The current one is canceled, and no more of
	// its events are delivered.
	takeoverWon
	// takeoverClosed means that the stream has ended.
	takeoverClosed
)

// takeoverFailures are the effects of takeovers that failed.
type takeoverFailures struct {
	// runs is the number of engines that may have run the stream.
	runs int
	// engines are those that failed the stream.
	engines []ident.UpstreamID
	// crashedEarly means that an engine crashed before the first event.
	crashedEarly bool
}

// takeover decides which of two runs of a stream delivers its events: the current one, at an engine
// that has fallen silent, or another one, which is started to continue it. The current run is kept
// until the other one has begun, because silence does not prove a failure and the other run may fail
// as well. It is safe for concurrent use.
type takeover struct {
	mu    sync.Mutex
	phase takeoverPhase
	// generation is incremented by each takeover. One that was abandoned must not affect the next.
	generation int
	// delivering means that events of the current run are being delivered.
	delivering bool
	// cancel cancels the start of the other run. settled is closed when that start has begun or
	// failed. Both are set while the phase is preparing or sent.
	cancel  context.CancelFunc
	settled chan struct{}
	// hold is how long events of the current run are held back while the phase is sent.
	hold time.Duration
	// next is the other run once it has begun.
	next *run
	// runNumber is incremented by each run of the stream. ended means that the last one has ended, so
	// that nothing is started in its place.
	runNumber int
	ended     bool
	// failed adds up the starts that failed. abandonedSent is the number of the last takeover that was
	// abandoned after the stream had been sent, 0 for none; it is counted already.
	failed        takeoverFailures
	abandonedSent int
}

// newRun records that a run of the stream begins, and returns its number.
func (t *takeover) newRun() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runNumber++
	t.ended = false
	return t.runNumber
}

// begin starts a takeover of the run with the given number and calls snapshot, while no event is being
// delivered. ok is false if that is not possible now. cancel is called if the takeover is abandoned.
func (t *takeover) begin(runNumber int, cancel context.CancelFunc, snapshot func()) (generation int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase != takeoverIdle || t.delivering || t.ended || t.runNumber != runNumber {
		return 0, false
	}
	t.generation++
	t.phase, t.cancel, t.settled = takeoverPreparing, cancel, make(chan struct{})
	snapshot()
	return t.generation, true
}

// in reports whether a takeover is still in the given phase. The caller holds mu.
func (t *takeover) in(generation int, phase takeoverPhase) bool {
	return t.generation == generation && t.phase == phase
}

// pending reports whether another run is being started. The caller holds mu.
func (t *takeover) pending() bool {
	return t.phase == takeoverPreparing || t.phase == takeoverSent
}

// commit is called just before the stream is sent to the other engine. hold is how long events of the current run
// wait for that one's first event. commit returns false if the takeover was abandoned.
func (t *takeover) commit(generation int, hold time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.in(generation, takeoverPreparing) {
		return false
	}
	t.phase, t.hold = takeoverSent, hold
	return true
}

// win makes next the stream's run. It returns false if the takeover was abandoned.
func (t *takeover) win(generation int, next *run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.in(generation, takeoverSent) {
		return false
	}
	t.phase, t.next = takeoverWon, next
	close(t.settled)
	return true
}

// fail ends a takeover that did not succeed.
func (t *takeover) fail(generation int, f takeoverFailures) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.abandonedSent == generation {
		f.runs = max(0, f.runs-1)
	}
	t.failed.runs += f.runs
	t.failed.engines = append(t.failed.engines, f.engines...)
	t.failed.crashedEarly = t.failed.crashedEarly || f.crashedEarly
	if t.generation == generation && t.pending() {
		t.phase = takeoverIdle
		close(t.settled)
	}
}

// abandon cancels a takeover that has not succeeded. The caller holds mu.
func (t *takeover) abandon() {
	if t.pending() {
		if t.phase == takeoverSent {
			// The other engine may run the stream, whatever its attempt reports later.
			t.failed.runs++
			t.abandonedSent = t.generation
		}
		t.phase = takeoverIdle
		t.cancel()
		close(t.settled)
	}
}

// enterDelivery is called before events of the current run are delivered. It returns false if they
// must not be delivered, because another run has taken over. Otherwise exitDelivery must be called
// after the delivery.
func (t *takeover) enterDelivery() bool {
	t.awaitSent()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == takeoverWon {
		return false
	}
	t.abandon()
	t.delivering = true
	return true
}

// exitDelivery is called after events of the current run were delivered.
func (t *takeover) exitDelivery() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delivering = false
}

// awaitSent waits for the outcome of a takeover that was sent to another engine, at most for its hold.
func (t *takeover) awaitSent() {
	t.mu.Lock()
	sent, settled, hold := t.phase == takeoverSent, t.settled, t.hold
	t.mu.Unlock()
	if !sent {
		return
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	}
}

// won reports whether another run has begun.
func (t *takeover) won() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase == takeoverWon
}

// result is called when the current run has ended. It waits for a takeover that is under way and
// returns the other run, or nil if there is none. The caller must close the run.
func (t *takeover) result(ctx context.Context) *run {
	t.mu.Lock()
	t.ended = true
	pending, settled := t.pending(), t.settled
	t.mu.Unlock()
	if pending {
		select {
		case <-settled:
		case <-ctx.Done():
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandon()
	if t.phase != takeoverWon {
		return nil
	}
	next := t.next
	t.phase, t.next = takeoverIdle, nil
	return next
}

// failures returns what the takeovers that failed have done.
func (t *takeover) failures() takeoverFailures {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

// takeFailures is like failures and resets them.
func (t *takeover) takeFailures() takeoverFailures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.failed
	t.failed = takeoverFailures{}
	return f
}

// close ends all takeovers of a stream that has ended.
func (t *takeover) close() {
	t.mu.Lock()
	t.abandon()
	next := t.next
	t.phase, t.next = takeoverClosed, nil
	t.mu.Unlock()
	if next != nil {
		next.close()
	}
}
