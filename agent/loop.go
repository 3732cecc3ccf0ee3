package agent

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// Timing of the loop.
const (
	// tick is the time between two looks at what is due.
	tick = 200 * time.Millisecond
	// minPauseAfter keeps a busy machine from looking paused.
	minPauseAfter = 3 * tick
	// inboxSize bounds what waits for the loop.
	inboxSize = 256
)

// post hands f to the loop, which runs it with the present time in a.now. It
// returns false when the agent has stopped.
func (a *Agent) post(f func()) bool {
	select {
	case a.inbox <- f:
		return true
	case <-a.stopped:
		return false
	}
}

// ask runs f on the loop and returns its result. Errors are the context's and
// *peer.StoppingError.
func ask[T any](ctx context.Context, a *Agent, f func() T) (T, error) {
	var zero T
	result := make(chan T, 1)
	if !a.post(func() { result <- f() }) {
		return zero, &peer.StoppingError{}
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-a.stopped:
		return zero, &peer.StoppingError{}
	}
}

// spawn runs a call over the network beside the loop. The context ends when the
// agent stops.
func (a *Agent) spawn(f func(context.Context)) {
	a.calls.Go(func() { f(a.callCtx) })
}

// run is the loop. It ends with ctx.
func (a *Agent) run(ctx context.Context) {
	defer close(a.stopped)
	a.now = clock.Now()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case f := <-a.inbox:
			a.begin()
			f()
		case <-ticker.C:
			a.begin()
			a.due()
		case <-ctx.Done():
			return
		}
		a.follow()
	}
}

// begin reads the clock and notices that the process did not run for a while,
// before anything is made of what arrived meanwhile.
func (a *Agent) begin() {
	last := a.now
	clock.Check()
	a.now = clock.Now()
	if gap := a.now.Sub(last); gap >= a.settings.PauseAfter {
		a.paused(gap)
	}
}

// due does what is due by the time.
func (a *Agent) due() {
	if a.now.Sub(a.secondAt) >= time.Second {
		a.secondAt = a.now
		a.everySecond()
	}
	a.pollLoads()
	a.runLeftovers()
	a.runOrders()
	if a.viewDirty && a.now.Sub(a.view.At) >= a.viewInterval() {
		a.refreshView()
	}
}

// everySecond does what is cheap to do late.
func (a *Agent) everySecond() {
	a.step(tickEvent)
	if a.rosterDue() {
		a.updateRoster()
	}
	a.fallBack()
	a.electReaders()
	if a.now.Sub(a.loads.assignedAt) >= assignInterval {
		a.assignLoads()
	}
	a.viewDirty = true
}

// follow sends what became due by what was just taken in.
func (a *Agent) follow() {
	a.sendDue()
	a.feedEntry()
}

// paused follows up on a time in which the process did not run: what it believes
// may be out of date until it was refreshed.
func (a *Agent) paused(gap time.Duration) {
	a.log.Warn("process was paused", "gap", gap.String())
	a.counters.Pauses++
	a.machine.Paused(a.now, gap)
	a.step(tickEvent)
	a.feed.pause = max(a.feed.pause, gap)
	a.orderPlanner.Paused(a.now)
	// The ledger asks for the roll by itself.
	a.readKey(configservice.KeyInstances)
	a.readKey(configservice.KeyUpstreams)
	a.refreshView()
}
