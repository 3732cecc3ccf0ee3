package zone

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// TestBordersCrossed checks that each of the three paths of a placement (instance to
// prefill engine, instance to decode engine, prefill to decode engine) adds the cost
// of a crossing if its ends are in different zones.
func TestBordersCrossed(t *testing.T) {
	own := plugintest.Prefill(0)
	own.Zone = "hall-a"
	other := plugintest.Prefill(1)
	other.Zone = "hall-b"
	d := plugintest.Decision(plugintest.Request("r"), &kernel.View{})
	total := func(p, q *kernel.Upstream) float64 {
		s := &Scorer{}
		return s.Prefill(d, p) + s.Decode(d, q) + s.Pair(d, p, q)
	}
	assert.Equal(t, total(&own, &own), 0.0)
	assert.Equal(t, total(&own, &other), 2*crossingCost)
	assert.Equal(t, total(&other, &own), 2*crossingCost)
	assert.Equal(t, total(&other, &other), 2*crossingCost)
}
