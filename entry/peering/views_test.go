package peering

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/kernel"
)

// TestViewsTake checks that changes are applied only to the view that is their base, and
// that views returned before are not modified.
func TestViewsTake(t *testing.T) {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	var w ViewCache
	change := func(base uint64, id string) *feed.View {
		return &feed.View{Number: base + 1, Base: base, Trusted: true, Upstreams: []feed.Upstream{{ID: "dc-2", Liveness: kernel.Leaving}, {ID: "dc-1", Address: id}}}
	}
	_, _, ok := w.Apply(change(1, "a"), now)
	assert.Assert(t, !ok, "changes were accepted without a view to apply them to")
	first, addresses, ok := w.Apply(&feed.View{Number: 1, Instances: []feed.Instance{{ID: "i-1", PeerAddress: "p"}}, Upstreams: []feed.Upstream{
		{ID: "dc-1", Load: &kernel.Load{Running: 1}, LoadAgeMS: 1000}, {ID: "dc-2", Liveness: kernel.Live, Load: &kernel.Load{Running: 2}, LoadAgeMS: 1000},
	}}, now)
	assert.Assert(t, ok)
	assert.Equal(t, addresses["i-1"], "p")
	_, _, ok = w.Apply(change(2, "a"), now)
	assert.Assert(t, !ok, "changes with another base were accepted")
	_, _, ok = w.Apply(&feed.View{Number: 2, Base: 1, Upstreams: []feed.Upstream{{ID: "dc-9"}}}, now)
	assert.Assert(t, !ok, "a change of an unknown upstream was accepted")
	_, _, ok = w.Apply(&feed.View{Number: 2, Base: 1, Instances: []feed.Instance{{ID: "i-9"}}}, now)
	assert.Assert(t, !ok, "a change of an unknown instance was accepted")
	assert.Equal(t, w.Number(), uint64(1))
	second, addresses, ok := w.Apply(change(1, "a"), now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, w.Number(), uint64(2))
	assert.Equal(t, addresses["i-1"], "p", "an address that did not change must be kept")
	assert.Assert(t, second.Trusted && !first.Trusted, "views returned before must not be modified")
	assert.Equal(t, first.Upstreams[1].Liveness, kernel.Live)
	assert.Equal(t, second.Upstreams[1].Liveness, kernel.Leaving)
	assert.Equal(t, second.Upstreams[0].Address, "a")
	assert.Equal(t, second.Upstreams[0].Index, 0)
}
