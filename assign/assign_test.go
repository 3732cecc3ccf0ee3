package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// view returns a view with one instance for each given liveness and 20 upstreams, all
// in one zone.
func view(liveness ...kernel.Liveness) *kernel.View {
	v := &kernel.View{}
	for i, l := range liveness {
		v.Instances = append(v.Instances, kernel.Instance{ID: ident.InstanceID(fmt.Sprintf("n%d", i)), Zone: "hall-a", Liveness: l})
	}
	for i := range 20 {
		v.Upstreams = append(v.Upstreams, kernel.Upstream{ID: ident.UpstreamID(fmt.Sprintf("u%d", i)), Zone: "hall-a"})
	}
	return v
}

// holders returns the number of instances at each rank of the upstream.
func holders(v *kernel.View, u *kernel.Upstream, depth int) [3]int {
	var out [3]int
	for _, in := range v.Instances {
		t := NewTable(depth, false)
		t.Update(kernel.Self{Instance: in.ID, Zone: in.Zone}, v)
		if r := t.Rank(u); r != NoRank {
			out[r]++
		}
	}
	return out
}

func TestEachUpstreamHasOneOfEachRank(t *testing.T) {
	for name, c := range map[string]struct {
		view *kernel.View
		want [3]int
	}{
		"all instances run": {view(kernel.Live, kernel.Live, kernel.Suspect, kernel.Live), [3]int{1, 1, 0}},
		"one instance runs": {view(kernel.Live, kernel.Leaving, kernel.Unreachable, kernel.Dead), [3]int{1, 0, 0}},
		"no instance runs":  {view(kernel.Leaving, kernel.Dead), [3]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.view.Upstreams {
				assert.Equal(t, holders(c.view, &c.view.Upstreams[i], 2), c.want)
			}
		})
	}
}

func TestUpdateFollowsTheMembers(t *testing.T) {
	self := kernel.Self{Instance: "n0", Zone: "hall-a"}
	table := NewTable(1, false)
	both, alone := view(kernel.Live, kernel.Live), view(kernel.Live, kernel.Dead)
	count := func(v *kernel.View) int {
		table.Update(self, v)
		n := 0
		for i := range v.Upstreams {
			if table.Rank(&v.Upstreams[i]) == 0 {
				n++
			}
		}
		return n
	}
	some := count(both)
	assert.Assert(t, some > 0 && some < 20, "%d of 20 upstreams have this instance first, want some but not all", some)
	assert.Equal(t, count(alone), 20)
	assert.Equal(t, count(both), some)
}

func TestSelfCountsWhenNotListed(t *testing.T) {
	v := view(kernel.Dead)
	table := NewTable(1, false)
	table.Update(kernel.Self{Instance: "self", Zone: "hall-a"}, v)
	assert.Equal(t, table.Rank(&v.Upstreams[0]), 0)
}

func TestZoneWithoutInstances(t *testing.T) {
	v := view(kernel.Dead, kernel.Unreachable)
	for _, useOtherZones := range []bool{false, true} {
		table := NewTable(1, useOtherZones)
		table.Update(kernel.Self{Instance: "far", Zone: "hall-b"}, v)
		assert.Equal(t, table.Rank(&v.Upstreams[0]) == 0, useOtherZones)
	}
}
