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

// playSuspension plays a fleet of seven whose machines can be suspended, all at once.
func playSuspension(t *testing.T, play func(t *testing.T, w *fleetWorld, c *testclock.Clock)) {
	bubble.Test(t, func(t *testing.T) {
		c := testclock.Use(t)
		s := fleetSizes[0]
		w := newFleetWorld(t, s.instances, s.zones, s.prefill, s.decode)
		defer w.close()
		play(t, w, c)
	})
}

// TestNothingIsSentByAViewFromBeforeASuspension: while the machines were suspended all decode
// engines but one began to leave. The first requests after it, to all instances at once, go
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
				assert.Check(t, e.running == 0, "%d requests at %s, which leaves", e.running, address)
			}
		}
		assert.Equal(t, w.engines[stays].running, len(w.instances))
		w.mu.Unlock()
		for range w.instances {
			assert.Assert(t, (<-begun).whole())
		}
	})
}

// TestDutiesEndWithASuspension: whoever held the duty of giving orders has to wait for its
// lease again: others have taken it over meanwhile.
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
		w.await("one holds the duty", func() bool { return holds() == 1 })
		c.Suspend(5 * time.Second)
		assert.Equal(t, holds(), 0)
		time.Sleep(lease - 100*time.Millisecond)
		assert.Equal(t, holds(), 0)
		w.await("one holds the duty again", func() bool { return holds() == 1 })
	})
}

// TestDeadlinesPassInASuspension: a request that was on its way is not begun after its time.
func TestDeadlinesPassInASuspension(t *testing.T) {
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *testclock.Clock) {
		answered := make(chan *got, 1)
		go func() { answered <- w.send(w.instances[0], deadly, "") }()
		// It waits for its prompt.
		time.Sleep(worldPrompt / 2)
		c.Suspend(20 * time.Second)
		g := <-answered
		assert.Equal(t, g.status, 503, "%s", g.text.String())
		sent, _ := w.counts()
		assert.Equal(t, sent, 0)
	})
}

// TestQuarantineOutlivesASuspension, and runs on in it.
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
