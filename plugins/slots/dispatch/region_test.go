package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// twoRegions returns a testBed with two regions. Each has two instances, a
// prefill engine and a decode engine.
func twoRegions() *testBed {
	b := newTestBed(1, 4, 20, 200)
	b.zone = map[string]ident.Zone{"p2": "far", "d2": "far"}
	b.content.Policy.Regions = []config.Region{
		{Name: "north", Zones: []ident.Zone{"z"}},
		{Name: "south", Zones: []ident.Zone{"far"}},
	}
	for i, n := range b.nodes {
		if i >= 2 {
			n.self.Zone = "far"
		}
	}
	for _, n := range b.nodes {
		n.start()
	}
	return b
}

func TestModelIsDispatchedWithinARegion(t *testing.T) {
	b := twoRegions()
	for _, n := range b.nodes {
		n.policy.refresh()
		d := n.policy.dispatcherID(testModel)
		for _, other := range b.nodes {
			if other.self.Instance == d {
				assert.Equal(t, other.self.Zone, n.self.Zone)
			}
		}
	}
	near, far := b.nodes[0], b.nodes[3]
	first, second := near.place(2*time.Second), far.place(2*time.Second)
	b.run(2 * time.Second)
	assert.Equal(t, near.last(first).prefill, ident.UpstreamID("p1"))
	assert.Equal(t, far.last(second).prefill, ident.UpstreamID("p2"))
}

// TestRegionWithoutEnginesLeavesPlacementToTheKernel checks that Joint is false
// for a model in a region without prefill engines, so that the kernel places its
// requests in another region.
func TestRegionWithoutEnginesLeavesPlacementToTheKernel(t *testing.T) {
	b := twoRegions()
	b.zone["p2"] = "z"
	for _, n := range b.nodes {
		n.start()
	}
	assert.Assert(t, b.nodes[0].policy.Joint(testModel))
	assert.Assert(t, !b.nodes[3].policy.Joint(testModel))
}
