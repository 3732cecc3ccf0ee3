package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/testclock"
)

// runSuspensionTest runs a scenario with a fleet of seven instances in virtual time. Suspending the
// clock suspends all machines at the same time.
func runSuspensionTest(t *testing.T, scenario func(t *testing.T, w *simFleet, c *testclock.Clock)) {
	bubble.Test(t, func(t *testing.T) {
		c := testclock.Use(t)
		s := fleetSizes[0]
		w := newSimFleet(t, s.instances, s.zones, s.prefill, s.decode)
		defer w.close()
		scenario(t, w, c)
	})
}

// TestNothingIsSentByAViewFromBeforeASuspension guards against requests being sent by an outdated
// list of upstreams after a suspension. All decode engines except one begin to leave while the
// machines are suspended. The first requests afterwards, to all instances at the same time, must go
// to that one.
func TestNothingIsSentByAViewFromBeforeASuspension(t *testing.T) {
	runSuspensionTest(t, func(t *testing.T, w *simFleet, c *testclock.Clock) {
		stays := ""
		w.mu.Lock()
		for address, e := range w.engines {
			if e.upstream.Stage != dialect.StageDecode {
				continue
			}
			if stays == "" {
				stays = address
			}
			e.upstream.Leaving = address != stays
		}
		w.revision++
		w.mu.Unlock()
		c.Suspend(5 * time.Second)
		begun := make(chan *response, len(w.instances))
		for _, i := range w.instances {
			go func() { begun <- w.send(i, "innocent", "") }()
		}
		time.Sleep(time.Second)
		w.mu.Lock()
		for address, e := range w.engines {
			if e.upstream.Stage == dialect.StageDecode && address != stays {
				assert.Check(t, e.running == 0, "%d requests at the leaving engine %s", e.running, address)
			}
		}
		assert.Equal(t, w.engines[stays].running, len(w.instances))
		w.mu.Unlock()
		for range w.instances {
			assert.Assert(t, (<-begun).complete())
		}
	})
}

// TestDutiesEndWithASuspension guards against an instance giving orders right after a suspension
// because it held the duty before. Others may have taken the duty over in the meantime, so it must
// wait for the lease again.
func TestDutiesEndWithASuspension(t *testing.T) {
	runSuspensionTest(t, func(t *testing.T, w *simFleet, c *testclock.Clock) {
		const lease = 3 * time.Second
		holds := func() int {
			n := 0
			for _, i := range w.instances {
				if i.running().node.Holds(dutyStages, lease, maxPeerResponseAge) {
					n++
				}
			}
			return n
		}
		w.await("one instance holds the duty", func() bool { return holds() == 1 })
		c.Suspend(5 * time.Second)
		assert.Equal(t, holds(), 0)
		time.Sleep(lease - 100*time.Millisecond)
		assert.Equal(t, holds(), 0)
		w.await("one instance holds the duty again", func() bool { return holds() == 1 })
	})
}

// TestDeadlinesPassInASuspension guards against a request being started at an engine after a
// suspension during which its deadline passed.
func TestDeadlinesPassInASuspension(t *testing.T) {
	runSuspensionTest(t, func(t *testing.T, w *simFleet, c *testclock.Clock) {
		answered := make(chan *response, 1)
		go func() { answered <- w.send(w.instances[0], crashingPrompt, "") }()
		// At this time the request is in its prefill.
		time.Sleep(simPrefillTime / 2)
		c.Suspend(20 * time.Second)
		g := <-answered
		assert.Equal(t, g.status, 503, "%s", g.body.String())
		sent, _ := w.crashCounts()
		assert.Equal(t, sent, 0)
	})
}

// TestQuarantineOutlivesASuspension guards against a suspension ending the quarantine of a content,
// and against the suspension not counting towards the time of the quarantine.
func TestQuarantineOutlivesASuspension(t *testing.T) {
	runSuspensionTest(t, func(t *testing.T, w *simFleet, c *testclock.Clock) {
		w.sendCrashingRepeatedly(400*time.Millisecond, 3*time.Second)
		before, _ := w.crashCounts()
		left := w.instances[0].running().register.List(clock.Now())[0].RemainingSeconds
		c.Suspend(time.Minute)
		w.sendCrashingToAll()
		w.sendCrashingRepeatedly(200*time.Millisecond, 2*time.Second)
		sent, _ := w.crashCounts()
		assert.Equal(t, sent, before)
		now := w.instances[0].running().register.List(clock.Now())[0].RemainingSeconds
		assert.Assert(t, left-now >= 60, "%v, %v", left, now)
	})
}
