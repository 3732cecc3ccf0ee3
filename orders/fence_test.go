package orders

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFenceIsTheZonesMemory checks that each engine that checks fencing numbers
// is given every version's number, even if the version does not change its
// placement, and again after a restart. Such an order causes no load. Engines
// that ignore fencing numbers don't get it.
func TestFenceIsTheZonesMemory(t *testing.T) {
	z := newZone(1, 2, mixed)
	z.adoptAll(1)
	p := z.agents[0].planner
	p.PlatformHead(z.now, 1)
	seen := Observation{Placement: modelOf(1), Highest: 0}
	d := p.Observe(z.now, "d0", seen)
	assert.Equal(t, d.Order.Fence, uint64(1))
	assert.Assert(t, d.Order.Placement.Equal(modelOf(1)))
	assert.Equal(t, d.Record.Reason, ReasonFence)
	seen.Highest = 1
	assert.Assert(t, p.Observe(z.now, "d0", seen).Order == nil, "once")
	assert.Assert(t, p.Observe(z.now, "d1", Observation{Placement: modelOf(1)}).Order == nil)
	seen.Highest, seen.Incarnation = 0, 9
	assert.Equal(t, p.Observe(z.now, "d0", seen).Order.Fence, uint64(1), "restarted")
}
