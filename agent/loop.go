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
	// tickInterval is the interval at which the loop checks for due work.
	tickInterval = 200 * time.Millisecond
	// minPauseAfter is the smallest pause threshold; a lower one would report a
	// busy machine as paused.
	minPauseAfter = 3 * tickInterval
	// inboxSize limits the functions queued for the loop.
	inboxSize = 256
)

// post queues f for the loop, which runs it with the current time in a.now. It
// returns false if the agent has stopped.
func (a *Agent) post(f func()) bool {
	select {
	case a.inbox <- f:
		return true
	case <-a.stopped:
		return false
	}
}

// callLoop runs f on the loop and returns its result. Errors are the context's
// and *peer.StoppingError.
func callLoop[T any](ctx context.Context, a *Agent, f func() T) (T, error) {
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

// spawn runs f, which calls over the network, in a goroutine outside the loop.
// Its context is cancelled when the agent stops.
func (a *Agent) spawn(f func(context.Context)) {
	a.calls.Go(func() { f(a.callCtx) })
}

// run is the loop. It returns when ctx ends.
func (a *Agent) run(ctx context.Context) {
	defer close(a.stopped)
	a.now = clock.Now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-a.inbox:
			a.updateClock()
			f()
		case <-ticker.C:
			a.updateClock()
			a.runPeriodic()
		case <-ctx.Done():
			return
		}
		a.sendPending()
	}
}

// updateClock updates the loop's time and detects that the process did not run
// for a while, before anything received meanwhile is handled.
func (a *Agent) updateClock() {
	last := a.now
	clock.Check()
	a.now = clock.Now()
	if gap := a.now.Sub(last); gap >= a.settings.PauseAfter {
		a.handlePause(gap)
	}
}

// runPeriodic does the periodic work that is due.
func (a *Agent) runPeriodic() {
	if a.now.Sub(a.lastSecondAt) >= time.Second {
		a.lastSecondAt = a.now
		a.everySecond()
	}
	a.pollLoads()
	a.runLeftovers()
	a.runOrders()
	if a.viewDirty && a.now.Sub(a.view.At) >= a.viewInterval() {
		a.refreshView()
	}
}

// everySecond does the periodic work that needs no finer resolution.
func (a *Agent) everySecond() {
	a.stepLedger(tickEvent)
	if a.sourceSetDue() {
		a.updateSourceSet()
	}
	a.startFallback()
	a.electReaders()
	if a.now.Sub(a.loads.assignedAt) >= assignInterval {
		a.assignLoads()
	}
	a.viewDirty = true
}

// sendPending sends what became due by the work just done.
func (a *Agent) sendPending() {
	a.sendHeartbeats()
	a.feedEntry()
}

// handlePause handles a period in which the process did not run: its state may be
// out of date until it is refreshed.
func (a *Agent) handlePause(gap time.Duration) {
	a.log.Warn("process was paused", "gap", gap.String())
	a.counters.Pauses++
	a.machine.RecordPause(a.now, gap)
	a.stepLedger(tickEvent)
	a.feed.pause = max(a.feed.pause, gap)
	a.orderPlanner.Paused(a.now)
	// The ledger requests the roll by itself.
	a.readKey(configservice.KeyInstances)
	a.readKey(configservice.KeyUpstreams)
	a.refreshView()
}
