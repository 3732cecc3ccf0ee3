package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// cost rates an engine on which the given number of requests run.
func cost(running int, target time.Duration, tokens int) float64 {
	u := plugintest.Decode(0)
	u.Load.Running = running
	r := plugintest.Request("r")
	r.Pace = target
	r.MaxOutputTokens = tokens
	return (&Scorer{}).Decode(plugintest.Decision(r, &kernel.View{}), &u)
}

func TestDecode(t *testing.T) {
	const target = 25 * time.Millisecond
	assert.Equal(t, cost(0, target, 400), 0.0)
	// The eleventh request runs at 25 ms, the twelfth would be too slow.
	within := cost(10, target, 400)
	missed := cost(11, target, 400)
	assert.Assert(t, within < 0.1)
	// Its own 400 tokens are 0.5 ms late, and half of those of eleven others.
	assert.Assert(t, missed > 0.2+1.1)
	// What others lose counts also where they were late before.
	assert.Assert(t, cost(15, target, 400) > missed)
	assert.Equal(t, cost(11, target, 1_000_000), cost(11, target, maxTokens))
	service := plugintest.Runner(0)
	d := plugintest.Decision(plugintest.Request("r"), &kernel.View{})
	assert.Equal(t, (&Scorer{}).Decode(d, &service), 0.0)
}

// TestMoreLoadNeverCostsLess holds for any target and length.
func TestMoreLoadNeverCostsLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := rapid.IntRange(0, 30).Draw(t, "running")
		target := time.Duration(rapid.IntRange(0, 60).Draw(t, "target")) * time.Millisecond
		tokens := rapid.IntRange(1, 2000).Draw(t, "tokens")
		assert.Assert(t, cost(running, target, tokens) <= cost(running+1, target, tokens))
	})
}
