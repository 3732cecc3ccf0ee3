package prefix

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// best returns the prefill engine with the lowest cost in the decision's view.
func best(s *Scorer, d *kernel.Decision) *kernel.Upstream {
	var found *kernel.Upstream
	least := math.Inf(1)
	for i := range d.View.Upstreams {
		u := &d.View.Upstreams[i]
		if u.Spec.Role != config.RolePrefill {
			continue
		}
		if c := s.Prefill(d, u); c < least {
			found, least = u, c
		}
	}
	return found
}

// decision returns a decision for a prompt with the given block hashes.
func decision(v *kernel.View, blocks ...uint64) *kernel.Decision {
	r := plugintest.Request("r")
	r.Blocks = blocks
	return plugintest.Decision(r, v)
}

// TestInstancesAgree checks that two instances whose views list the engines in
// different orders send equal prefixes to the same engine, and that the prefixes
// are spread over all engines.
func TestInstancesAgree(t *testing.T) {
	a := plugintest.View(60, 2)
	b := plugintest.View(60, 2)
	n := len(b.Upstreams)
	for i := range n / 2 {
		b.Upstreams[i], b.Upstreams[n-1-i] = b.Upstreams[n-1-i], b.Upstreams[i]
	}
	for i := range b.Upstreams {
		b.Upstreams[i].Index = i
	}
	homes := map[string]int{}
	for key := uint64(1); key <= 1000; key++ {
		home := best(&Scorer{}, decision(a, 77, key, 1))
		assert.Equal(t, home.ID, best(&Scorer{}, decision(b, 77, key, 2, 3)).ID)
		homes[string(home.ID)]++
	}
	// 1,000 prefixes over 20 engines are 50 for each engine on average, with a
	// standard deviation of about 7.
	assert.Equal(t, len(homes), 20)
	for id, count := range homes {
		assert.Assert(t, count > 15 && count < 85, "engine %s is the home of %d prefixes", id, count)
	}
}

// TestFewMove checks that only the prefixes of the removed engine get another
// home when one of twenty engines is removed.
func TestFewMove(t *testing.T) {
	before := plugintest.View(60, 2)
	after := plugintest.View(60, 2)
	after.Version = 2
	gone := after.Upstreams[0].ID
	after.Upstreams = after.Upstreams[1:]
	s := &Scorer{}
	for key := uint64(1); key <= 200; key++ {
		old := best(s, decision(before, key)).ID
		now := best(s, decision(after, key)).ID
		assert.Assert(t, old == gone || old == now)
	}
}

// cachedAt is a prefix index in which only the engine u has blocks cached, and
// has all of them.
type cachedAt struct{ u *kernel.Upstream }

func (c cachedAt) CachedBlocks(u *kernel.Upstream, blocks []uint64) int {
	if u == c.u {
		return len(blocks)
	}
	return 0
}

// TestCost checks that the cost of a prefix is bounded, and that it is 0 where
// the prefix is cached and for a prompt without blocks.
func TestCost(t *testing.T) {
	v := plugintest.View(60, 2)
	s := &Scorer{}
	d := decision(v, 1, 2, 3)
	bound := homeValue * keyBlocks * 2000 / 20_000.0
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		c := s.Prefill(d, u)
		assert.Assert(t, c >= 0 && c < bound)
		d.Prefix = cachedAt{u}
		assert.Equal(t, s.Prefill(d, u), 0.0)
		d.Prefix = nil
	}
	assert.Equal(t, s.Prefill(decision(v), &v.Upstreams[0]), 0.0)
}

// TestBundleChangesCount checks that engines are counted again only after a new
// bundle: the view keeps its version here, so the cached count of 20 stays valid
// until Configure is called.
func TestBundleChangesCount(t *testing.T) {
	v := plugintest.View(60, 2)
	s := &Scorer{}
	d := decision(v, 1)
	assert.Equal(t, s.engineCounts.prefillEngines(d), 20)
	v.Upstreams[0].Spec.Models = []string{"other"}
	v.Upstreams[3].Liveness = kernel.Leaving
	assert.Equal(t, s.engineCounts.prefillEngines(d), 20)
	s.Configure(&config.Content{})
	assert.Equal(t, s.engineCounts.prefillEngines(d), 18)
}
