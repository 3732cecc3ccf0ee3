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

// cost returns the cost of placing a request with the given target and output
// length on an engine that already runs the given number of requests.
func cost(running int, target time.Duration, tokens int) float64 {
	u := plugintest.Decode(0)
	u.Load.Running = running
	r := plugintest.Request("r")
	r.Pace = target
	r.MaxOutputTokens = tokens
	return (&Scorer{}).Decode(plugintest.Decision(r, &kernel.View{}), &u)
}

// TestDecode checks the cost around the load at which the target is missed, the
// limit on the output length, and that upstreams of plain services cost 0.
func TestDecode(t *testing.T) {
	const target = 25 * time.Millisecond
	assert.Equal(t, cost(0, target, 400), 0.0)
	// With eleven requests a token takes 25 ms, which meets the target. With
	// twelve it takes 25.5 ms, which misses it.
	within := cost(10, target, 400)
	missed := cost(11, target, 400)
	assert.Assert(t, within < 0.1)
	// Each of the request's 400 tokens is 0.5 ms late, and so is each of the
	// remaining 200 tokens of the eleven other requests.
	assert.Assert(t, missed > 0.2+1.1)
	// A slowdown of the other requests also counts if they already missed their
	// target.
	assert.Assert(t, cost(15, target, 400) > missed)
	assert.Equal(t, cost(11, target, 1_000_000), cost(11, target, maxCountedTokens))
	service := plugintest.ServiceUpstream(0)
	d := plugintest.Decision(plugintest.Request("r"), &kernel.View{})
	assert.Equal(t, (&Scorer{}).Decode(d, &service), 0.0)
}

// TestMoreLoadNeverCostsLess checks, for random targets and output lengths, that
// the cost does not fall when the engine runs one more request.
func TestMoreLoadNeverCostsLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := rapid.IntRange(0, 30).Draw(t, "running")
		target := time.Duration(rapid.IntRange(0, 60).Draw(t, "target")) * time.Millisecond
		tokens := rapid.IntRange(1, 2000).Draw(t, "tokens")
		assert.Assert(t, cost(running, target, tokens) <= cost(running+1, target, tokens))
	})
}
