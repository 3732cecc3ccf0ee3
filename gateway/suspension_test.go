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

// playSuspension runs a scenario with a fleet of seven instances in virtual time. Suspending the
// clock suspends all machines at the same time.
func playSuspension(t *testing.T, play func(t *testing.T, w *fleetWorld, c *testclock.Clock)) {
	bubble.Test(t, func(t *testing.T) {
		c := testclock.Use(t)
		s := fleetSizes[0]
		w := newFleetWorld(t, s.instances, s.zones, s.prefill, s.decode)
		defer w.close()
		play(t, w, c)
	})
}

// TestNothingIsSentByAViewFromBeforeASuspension guards against requests being sent by an outdated
// list of upstreams after a suspension. All decode engines except one begin to leave while the
// machines are suspended. The first requests afterwards, to all instances at the same time, must go
// to that one.
func TestNothingIsSentByAViewFromBeforeASuspension(t *testing.T) {
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *testclock.Clock) {
		stays := ""
		w.mu.Lock()
		for address, e := range w.engines {
			if e.up.Stage != dialect.StageDecode {
				continue
			}
			if stays == "" {
				stays = address
			}
			e.up.Leaving = address != stays
		}
		w.revision++
		w.mu.Unlock()
		c.Suspend(5 * time.Second)
		begun := make(chan *got, len(w.instances))
		for _, i := range w.instances {
			go func() { begun <- w.send(i, "innocent", "") }()
		}
		time.Sleep(time.Second)
		w.mu.Lock()
		for address, e := range w.engines {
			if e.up.Stage == dialect.StageDecode && address != stays {
				assert.Check(t, e.running == 0, "%d requests at the leaving engine %s", e.running, address)
			}
		}
		assert.Equal(t, w.engines[stays].running, len(w.instances))
		w.mu.Unlock()
		for range w.instances {
			assert.Assert(t, (<-begun).whole())
		}
	})
}

// TestDutiesEndWithASuspension guards against an instance giving orders right after a suspension
// because it held the duty before. Others may have taken the duty over in the meantime, so it must
// wait for the lease again.
func TestDutiesEndWithASuspension(t *testing.T) {
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *testclock.Clock) {
		const lease = 3 * time.Second
		holds := func() int {
			n := 0
			for _, i := range w.instances {
				if i.running().node.Holds(dutyStages, lease, orderFresh) {
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
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *testclock.Clock) {
		answered := make(chan *got, 1)
		go func() { answered <- w.send(w.instances[0], deadly, "") }()
		// At this time the request is in its prefill.
		time.Sleep(worldPrompt / 2)
		c.Suspend(20 * time.Second)
		g := <-answered
		assert.Equal(t, g.status, 503, "%s", g.text.String())
		sent, _ := w.counts()
		assert.Equal(t, sent, 0)
	})
}

// TestQuarantineOutlivesASuspension guards against a suspension ending the quarantine of a content,
// and against the suspension not counting towards the time of the quarantine.
func TestQuarantineOutlivesASuspension(t *testing.T) {
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *testclock.Clock) {
		w.repeat(400*time.Millisecond, 3*time.Second)
		before, _ := w.counts()
		left := w.instances[0].running().register.Held(clock.Now())[0].LeftSeconds
		c.Suspend(time.Minute)
		w.atOnce()
		w.repeat(200*time.Millisecond, 2*time.Second)
		sent, _ := w.counts()
		assert.Equal(t, sent, before)
		now := w.instances[0].running().register.Held(clock.Now())[0].LeftSeconds
		assert.Assert(t, left-now >= 60, "%v, %v", left, now)
	})
}
