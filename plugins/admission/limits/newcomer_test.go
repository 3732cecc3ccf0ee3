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
	w := startAll(3)
	w.nodes[2].kill()
	for _, n := range w.nodes[:2] {
		n.look()
	}
	w.pass(quarantine+time.Second, true)
	for _, n := range w.nodes[:2] {
		for n.arrive(2 * time.Second) {
		}
	}
	assert.Equal(t, w.total().Slots, limitSlots)
	w.nodes[2].start()
	for _, n := range w.nodes[:2] {
		n.look()
	}
	w.pass(time.Second, true)
	assert.Assert(t, w.nodes[2].check.members.warm, "warm-up ended while peers still use the new instance's share")
	assert.Equal(t, w.nodes[2].use().Slots, 1)
	w.pass(2*time.Second, true)
	assert.Assert(t, !w.nodes[2].check.members.warm)
	w.within(t)
}

// TestNewcomerDividesAsItsPeers checks that a new instance stays in warm-up while
// its peers still include a dead instance that it has never seen. Otherwise it
// would divide the limits by fewer instances than its peers.
func TestNewcomerDividesAsItsPeers(t *testing.T) {
	w := startAll(4)
	w.nodes[3].kill()
	w.nodes[2].kill()
	w.nodes[0].look()
	w.nodes[1].look()
	w.nodes[2].start()
	w.nodes[0].look()
	w.nodes[1].look()
	w.pass(time.Second, true)
	assert.Assert(t, w.nodes[2].check.members.warm)
	w.within(t)
	w.pass(warmUp, true)
	assert.Assert(t, !w.nodes[2].check.members.warm)
	w.within(t)
	assert.Equal(t, w.total().Slots, limitSlots, "the dead instance's share is not in use again")
}

// TestLoanOutlivesQuarantine checks the bound when an instance restarts, borrows
// from its peers, and the peers then drop it at the end of the quarantine because
// it is still missing from their views.
func TestLoanOutlivesQuarantine(t *testing.T) {
	w := startAll(3)
	w.nodes[0].kill()
	killed := w.now
	for _, n := range w.nodes[1:] {
		n.look()
	}
	w.nodes[0].start()
	random := rand.New(rand.NewPCG(1, 1))
	for w.now.Sub(killed) < quarantine+700*time.Millisecond {
		w.pass(10*time.Millisecond, false)
		if random.Float64() < 0.5 {
			w.nodes[0].arrive(10 * time.Millisecond)
			w.nodes[1].arrive(10 * time.Millisecond)
		}
		w.deliverUnconfirmed()
		// After the quarantine its peers divide by two. Only the restarted
		// instance's own share may then be used twice.
		allowed := limitRate + w.nodes[0].part().Rate
		rate := w.total().Rate
		assert.Assert(t, rate <= allowed+negligible, "%.2f requests per second usable, %.2f allowed", rate, allowed)
	}
	assert.Assert(t, w.nodes[0].check.members.warm)
	assert.Assert(t, !w.nodes[0].space().borrowed(w.now).isZero())
}

// deliverUnconfirmed delivers all messages, but removes the confirmations that a
// new instance is included.
func (w *world) deliverUnconfirmed() {
	for len(w.mail) > 0 {
		if m, ok := w.mail[0].message.(*Move); ok {
			m.Members = 0
		}
		w.deliver(0, false)
	}
}

// TestZoneKeepsItsPart checks that zones that disappear from the view keep their
// shares for zoneMemory, and lose them afterwards.
func TestZoneKeepsItsPart(t *testing.T) {
	w := startAll(2, "hall-b", "hall-c")
	third := limitRate / 3
	isThird := func() {
		t.Helper()
		rate := w.total().Rate
		assert.Assert(t, rate > third-negligible && rate < third+negligible, "%.3f requests per second usable", rate)
	}
	isThird()
	// The platform no longer lists the other zones.
	w.zones = nil
	for _, n := range w.nodes {
		n.look()
	}
	w.pass(2*time.Second, true)
	isThird()
	w.now = w.now.Add(zoneMemory - time.Minute)
	isThird()
	w.now = w.now.Add(2 * time.Minute)
	w.pass(time.Second, true)
	assert.Assert(t, w.total().Rate > limitRate-negligible)
}
