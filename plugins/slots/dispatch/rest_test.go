package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestRestingEngineGetsNoPlacements guards against a dispatcher that places requests on engines which
// have asked its instance for rest.
func TestRestingEngineGetsNoPlacements(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	for _, n := range b.nodes {
		for i := range n.view.Upstreams {
			if u := &n.view.Upstreams[i]; u.ID == "p1" || u.ID == "d1" {
				u.Health.RestUntil = b.now.Add(time.Minute)
			}
		}
	}
	h := b.holderNode()
	for range 4 {
		id := h.place(5 * time.Second)
		b.run(10 * time.Millisecond)
		if h.last(id).kind != "placed" {
			continue
		}
		assert.Equal(t, h.last(id).prefill, ident.UpstreamID("p2"))
		h.policy.Computed(id)
		b.run(10 * time.Millisecond)
		assert.Equal(t, h.last(id).decode, ident.UpstreamID("d2"))
	}
}
