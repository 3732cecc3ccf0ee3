package agent

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/leftover"
)

// leftoverState is the loop's state of releasing leftovers, attempts that dead
// instances left on engines.
type leftoverState struct {
	// reading holds the engines whose lists of attempts are being read.
	reading map[ident.UpstreamID]bool
}

// runLeftovers reads the engines' lists of attempts and repeats the releases that
// are due.
func (a *Agent) runLeftovers() {
	wake, ok := a.leftoverPlanner.NextWake()
	if !ok || a.now.Before(wake) {
		return
	}
	plan := a.leftoverPlanner.Tick(a.now)
	for _, r := range plan.Reads {
		a.readHeld(r.Upstream)
	}
	a.release(plan.Releases)
}

// readHeld reads the list of attempts that an engine holds.
func (a *Agent) readHeld(id ident.UpstreamID) {
	if a.leftoverReads.reading[id] {
		return
	}
	if a.leftoverReads.reading == nil {
		a.leftoverReads.reading = map[ident.UpstreamID]bool{}
	}
	a.leftoverReads.reading[id] = true
	a.counters.HeldReads++
	address := a.directory.upstreams[id].Address
	a.spawn(func(ctx context.Context) {
		attempts, err := a.engines.HeldAttempts(ctx, address)
		a.post(func() {
			delete(a.leftoverReads.reading, id)
			if err != nil {
				a.counters.HeldReadsFailed++
				a.leftoverPlanner.ReadFailed(a.now, id)
				return
			}
			a.release(a.leftoverPlanner.Held(a.now, id, attempts))
		})
	})
}

// release tells engines to release attempts and logs each of them.
func (a *Agent) release(releases []leftover.Release) {
	for _, r := range releases {
		a.counters.Releases++
		a.log.Info("release leftover", "upstream", r.Upstream, "attempt", r.Attempt.String(),
			"reason", string(r.Reason), "held", r.Held.String())
		a.sendRelease(r)
	}
}

// sendRelease sends one release. The planner repeats it until it is acknowledged.
func (a *Agent) sendRelease(r leftover.Release) {
	address := a.directory.upstreams[r.Upstream].Address
	a.spawn(func(ctx context.Context) {
		released, err := a.engines.Abort(ctx, address, r.Attempt.String())
		a.post(func() {
			if err != nil {
				a.log.Info("release not acknowledged", "upstream", r.Upstream, "attempt", r.Attempt.String(), "error", err)
				return
			}
			a.counters.Released++
			a.leftoverPlanner.Released(r.Upstream, r.Attempt)
			a.log.Info("leftover released", "upstream", r.Upstream, "attempt", r.Attempt.String(),
				"was_held", released, "age", a.now.Sub(r.Attempt.Deadline).Round(time.Millisecond).String())
		})
	})
}
