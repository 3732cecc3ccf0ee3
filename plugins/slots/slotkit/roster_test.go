package slotkit

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// fleet returns a view of n instances in three zones.
func fleet(n int) *kernel.View {
	v := &kernel.View{Version: 1}
	for i := range n {
		v.Instances = append(v.Instances, kernel.Instance{
			ID:       ident.InstanceID(fmt.Sprintf("entry-%d", i)),
			Zone:     ident.Zone(fmt.Sprintf("hall-%d", i%3)),
			Liveness: kernel.Live,
		})
	}
	return v
}

func selfOf(v *kernel.View, i int) kernel.Self {
	return kernel.Self{Instance: v.Instances[i].ID, Zone: v.Instances[i].Zone}
}

func engine(i int) *kernel.Upstream {
	return &kernel.Upstream{Index: i, ID: ident.UpstreamID(fmt.Sprintf("decode-%d", i)), Zone: "hall-1"}
}

func TestAllAgreeOnTheGrantor(t *testing.T) {
	v := fleet(9)
	granted := map[ident.InstanceID]int{}
	for i := range 300 {
		var first ident.InstanceID
		for j := range v.Instances {
			var r Roster
			r.Update(v, selfOf(v, j))
			id := r.Grantor(engine(i))
			if j == 0 {
				first = id
			}
			assert.Equal(t, id, first)
		}
		granted[first]++
	}
	// Only the three instances in the engines' zone are grantors, with about
	// equal shares.
	assert.Equal(t, len(granted), 3)
	for id, n := range granted {
		assert.Assert(t, n > 70 && n < 130, "%s grants %d of 300", id, n)
	}
}

// TestGrantorMovesOnlyWhenItIsGone checks that when an instance becomes
// unreachable, only the upstreams that it granted get a new grantor.
func TestGrantorMovesOnlyWhenItIsGone(t *testing.T) {
	v := fleet(9)
	var before, after Roster
	before.Update(v, selfOf(v, 0))
	changed := fleet(9)
	changed.Version = 2
	changed.Instances[1].Liveness = kernel.Unreachable
	after.Update(changed, selfOf(v, 0))
	for i := range 100 {
		was, is := before.Grantor(engine(i)), after.Grantor(engine(i))
		assert.Equal(t, was != is, was == v.Instances[1].ID)
	}
}

func TestGrantorOfAZoneWithoutInstances(t *testing.T) {
	v := fleet(3)
	v.Instances[1].Liveness = kernel.Dead
	var r Roster
	r.Update(v, selfOf(v, 0))
	assert.Assert(t, r.Grantor(engine(1)) != "")
}

func TestLeavingInstanceIsNoGrantor(t *testing.T) {
	v := fleet(1)
	v.Instances[0].Liveness = kernel.Leaving
	var r Roster
	r.Update(v, selfOf(v, 0))
	assert.Equal(t, r.Grantor(engine(1)), ident.InstanceID(""))
	assert.Equal(t, r.Share("entry-0", "decode-1", 20), 20)
}

func TestUnlistedSelfIsLive(t *testing.T) {
	var r Roster
	r.Update(&kernel.View{Version: 1}, kernel.Self{Instance: "entry-9", Zone: "hall-1"})
	assert.Equal(t, r.Grantor(engine(1)), ident.InstanceID("entry-9"))
}

// TestSharesAddUp checks that the instances' shares of an upstream add up to its
// slots and differ by at most one.
func TestSharesAddUp(t *testing.T) {
	for _, n := range []int{1, 2, 7, 24} {
		v := fleet(n)
		for i := range 20 {
			sum, most, least := 0, 0, 1000
			for j := range v.Instances {
				var r Roster
				r.Update(v, selfOf(v, j))
				share := r.Share(v.Instances[j].ID, engine(i).ID, 20)
				sum += share
				most, least = max(most, share), min(least, share)
			}
			assert.Equal(t, sum, 20)
			assert.Assert(t, most-least <= 1)
		}
	}
}

func TestRosterFollowsTheView(t *testing.T) {
	v := fleet(9)
	var r Roster
	assert.Assert(t, r.Update(v, selfOf(v, 0)))
	assert.Assert(t, !r.Update(v, selfOf(v, 0)))
	u := engine(3)
	was := r.Grantor(u)
	u.Zone = "hall-2"
	assert.Assert(t, r.Grantor(u) != was, "grantor unchanged after the engine moved to another zone")
	u.Zone = "hall-1"
	assert.Equal(t, r.Grantor(u), was)
}

func TestReservationText(t *testing.T) {
	id := ident.AttemptID{Instance: "entry-1", Incarnation: 7, Sequence: 9, Deadline: time.UnixMilli(1_700_000_000_000)}
	text, err := json.Marshal(Reservation(id))
	assert.NilError(t, err)
	var back Reservation
	assert.NilError(t, json.Unmarshal(text, &back))
	assert.Equal(t, back.ID(), id)
	assert.Equal(t, back.Key(), KeyOf(id))
	var syntax *ident.AttemptSyntaxError
	assert.Assert(t, errors.As(json.Unmarshal([]byte(`"nonsense"`), &back), &syntax))
}
