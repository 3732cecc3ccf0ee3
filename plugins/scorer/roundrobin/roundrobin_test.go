package roundrobin

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// TestTakesTurns checks that placements rotate over the engines of each role, and
// that the placement at an upstream that is no longer in the view is ignored.
func TestTakesTurns(t *testing.T) {
	v := plugintest.View(9, 1)
	s := &Scorer{}
	s.Attach(plugintest.NewHost(v))
	d := plugintest.Decision(plugintest.Request("r"), v)
	prefills := map[ident.UpstreamID]int{}
	decodes := map[ident.UpstreamID]int{}
	for range 6 {
		p := cheapest(d, config.RolePrefill, s.Prefill)
		q := cheapest(d, config.RoleDecode, s.Decode)
		prefills[p]++
		decodes[q]++
		s.Observe(d.Request, kernel.Record{Step: kernel.StepPlaced, Prefill: p, Decode: q})
		s.Observe(d.Request, kernel.Record{Step: kernel.StepWaiting})
	}
	// Six placements over three prefill and six decode engines.
	assert.DeepEqual(t, prefills, map[ident.UpstreamID]int{"prefill-0": 2, "prefill-3": 2, "prefill-6": 2})
	assert.Equal(t, len(decodes), 6)
	s.Observe(d.Request, kernel.Record{Step: kernel.StepPlaced, Prefill: "gone", Decode: "gone"})
}

// cheapest returns the engine with the lowest cost among those of the role.
func cheapest(d *kernel.Decision, role config.Role, cost func(*kernel.Decision, *kernel.Upstream) float64) ident.UpstreamID {
	var found ident.UpstreamID
	least := 1e9
	for i := range d.View.Upstreams {
		u := &d.View.Upstreams[i]
		if c := cost(d, u); u.Spec.Role == role && c < least {
			found, least = u.ID, c
		}
	}
	return found
}
