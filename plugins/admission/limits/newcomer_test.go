package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewcomerWaitsForRoom checks that a new instance stays in warm-up while its
// share is still used by peers that had divided the limits without it.
func TestNewcomerWaitsForRoom(t *testing.T) {
	w := startWorld(3)
	w.nodes[2].kill()
	for _, n := range w.nodes[:2] {
		n.refreshView()
	}
	w.advance(quarantine+time.Second, true)
	for _, n := range w.nodes[:2] {
		for n.offerRequest(2 * time.Second) {
		}
	}
	assert.Equal(t, w.totalUsage().Slots, limitSlots)
	w.nodes[2].start()
	for _, n := range w.nodes[:2] {
		n.refreshView()
	}
	w.advance(time.Second, true)
	assert.Assert(t, w.nodes[2].check.members.warmingUp, "warm-up ended while peers still use the new instance's share")
	assert.Equal(t, w.nodes[2].usage().Slots, 1)
	w.advance(2*time.Second, true)
	assert.Assert(t, !w.nodes[2].check.members.warmingUp)
	w.assertWithinLimits(t)
}

// TestNewcomerDividesAsItsPeers checks that a new instance stays in warm-up while
// its peers still include a dead instance that it has never seen. Otherwise it
// would divide the limits by fewer instances than its peers.
func TestNewcomerDividesAsItsPeers(t *testing.T) {
	w := startWorld(4)
	w.nodes[3].kill()
	w.nodes[2].kill()
	w.nodes[0].refreshView()
	w.nodes[1].refreshView()
	w.nodes[2].start()
	w.nodes[0].refreshView()
	w.nodes[1].refreshView()
	w.advance(time.Second, true)
	assert.Assert(t, w.nodes[2].check.members.warmingUp)
	w.assertWithinLimits(t)
	w.advance(warmUp, true)
	assert.Assert(t, !w.nodes[2].check.members.warmingUp)
	w.assertWithinLimits(t)
	assert.Equal(t, w.totalUsage().Slots, limitSlots, "the dead instance's share is not in use again")
}

// TestLoanOutlivesQuarantine checks the bound when an instance restarts, borrows
// from its peers, and the peers then drop it at the end of the quarantine because
// it is still missing from their views.
func TestLoanOutlivesQuarantine(t *testing.T) {
	w := startWorld(3)
	w.nodes[0].kill()
	killed := w.now
	for _, n := range w.nodes[1:] {
		n.refreshView()
	}
	w.nodes[0].start()
	random := rand.New(rand.NewPCG(1, 1))
	for w.now.Sub(killed) < quarantine+700*time.Millisecond {
		w.advance(10*time.Millisecond, false)
		if random.Float64() < 0.5 {
			w.nodes[0].offerRequest(10 * time.Millisecond)
			w.nodes[1].offerRequest(10 * time.Millisecond)
		}
		w.deliverUnconfirmed()
		// After the quarantine its peers divide by two. Only the restarted
		// instance's own share may then be used twice.
		allowed := limitRate + w.nodes[0].share().Rate
		rate := w.totalUsage().Rate
		assert.Assert(t, rate <= allowed+negligibleRate, "%.2f requests per second usable, %.2f allowed", rate, allowed)
	}
	assert.Assert(t, w.nodes[0].check.members.warmingUp)
	assert.Assert(t, !w.nodes[0].state().borrowed(w.now).isZero())
}

// deliverUnconfirmed delivers all messages, but removes the confirmations that a
// new instance is included.
func (w *world) deliverUnconfirmed() {
	for len(w.inTransit) > 0 {
		if m, ok := w.inTransit[0].message.(*Reply); ok {
			m.Members = 0
		}
		w.deliver(0, false)
	}
}

// TestZoneKeepsItsPart checks that zones that disappear from the view keep their
// shares for zoneRetention, and lose them afterwards.
func TestZoneKeepsItsPart(t *testing.T) {
	w := startWorld(2, "hall-b", "hall-c")
	third := limitRate / 3
	isThird := func() {
		t.Helper()
		rate := w.totalUsage().Rate
		assert.Assert(t, rate > third-negligibleRate && rate < third+negligibleRate, "%.3f requests per second usable", rate)
	}
	isThird()
	// The platform no longer lists the other zones.
	w.zones = nil
	for _, n := range w.nodes {
		n.refreshView()
	}
	w.advance(2*time.Second, true)
	isThird()
	w.now = w.now.Add(zoneRetention - time.Minute)
	isThird()
	w.now = w.now.Add(2 * time.Minute)
	w.advance(time.Second, true)
	assert.Assert(t, w.totalUsage().Rate > limitRate-negligibleRate)
}

// TestNewcomerLearnsOfZonesThatAreCutOff guards against a new instance that takes the share of a zone of which only
// its peers know.
func TestNewcomerLearnsOfZonesThatAreCutOff(t *testing.T) {
	w := startWorld(2, "hall-b", "hall-c")
	third := limitRate / 3
	w.zones = nil
	for _, n := range w.nodes {
		n.refreshView()
	}
	w.nodes[1].kill()
	w.nodes[1].start()
	for _, n := range w.nodes {
		n.refreshView()
	}
	for range 20 {
		w.advance(time.Second, true)
		rate := w.totalUsage().Rate
		assert.Assert(t, rate < third+negligibleRate, "%.3f requests per second usable in a zone of three, %.3f allowed", rate, third)
	}
	w.now = w.now.Add(zoneRetention)
	w.advance(time.Second, true)
	assert.Assert(t, w.totalUsage().Rate > limitRate-negligibleRate)
}
