package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/clock"
)

// twinClock is a pair of clocks of which one stands still while the machine is suspended. Go's
// own clock stands still too: in a bubble no time passes meanwhile.
type twinClock struct {
	start     time.Time
	suspended time.Duration
}

func (c *twinClock) steady() (time.Duration, error) { return time.Since(c.start), nil }
func (c *twinClock) boot() (time.Duration, error)   { return time.Since(c.start) + c.suspended, nil }

// suspend plays a suspension of all instances of a world, during which something happens.
func (c *twinClock) suspend(d time.Duration, happens func()) {
	happens()
	c.suspended += d
}

// playSuspension plays a fleet of seven with a twin clock.
func playSuspension(t *testing.T, play func(t *testing.T, w *fleetWorld, c *twinClock)) {
	synctest.Test(t, func(t *testing.T) {
		c := &twinClock{start: time.Now()}
		defer clock.Use(clock.New(c.steady, c.boot))()
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
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *twinClock) {
		stays := ""
		c.suspend(5*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
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
		})
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
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *twinClock) {
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
		c.suspend(5*time.Second, func() {})
		assert.Equal(t, holds(), 0)
		time.Sleep(lease - 100*time.Millisecond)
		assert.Equal(t, holds(), 0)
		w.await("one holds the duty again", func() bool { return holds() == 1 })
	})
}

// TestDeadlinesPassInASuspension: a request that was on its way is not begun after its time.
func TestDeadlinesPassInASuspension(t *testing.T) {
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *twinClock) {
		answered := make(chan *got, 1)
		go func() { answered <- w.send(w.instances[0], deadly, "") }()
		// It waits for its prompt.
		time.Sleep(worldPrompt / 2)
		c.suspend(20*time.Second, func() {})
		g := <-answered
		assert.Equal(t, g.status, 503, "%s", g.text.String())
		sent, _ := w.counts()
		assert.Equal(t, sent, 0)
	})
}

// TestQuarantineOutlivesASuspension, and runs on in it.
func TestQuarantineOutlivesASuspension(t *testing.T) {
	playSuspension(t, func(t *testing.T, w *fleetWorld, c *twinClock) {
		w.repeat(400*time.Millisecond, 3*time.Second)
		before, _ := w.counts()
		left := w.instances[0].running().register.Held(clock.Now())[0].LeftSeconds
		c.suspend(time.Minute, func() {})
		w.atOnce()
		w.repeat(200*time.Millisecond, 2*time.Second)
		sent, _ := w.counts()
		assert.Equal(t, sent, before)
		now := w.instances[0].running().register.Held(clock.Now())[0].LeftSeconds
		assert.Assert(t, left-now >= 60, "%v, %v", left, now)
	})
}
