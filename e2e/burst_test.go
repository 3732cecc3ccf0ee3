package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBurstOnIdleFleet sends an idle fleet twice as many requests at once as it
// has decode slots. Their targets leave time for ten times as many, so all must
// get complete answers and none may be refused.
func TestBurstOnIdleFleet(t *testing.T) {
	b := newBed(t)
	const burst = 32
	var sent []*pending
	for i := range burst {
		sent = append(sent, b.startCompletion(review(b.Instances[i%len(b.Instances)], 200, 100)))
	}
	refused, longest := 0, int64(0)
	for _, p := range sent {
		r := b.await(p)
		if r.Problem != nil {
			refused++
			longest = max(longest, r.Problem.RetryAfterMS)
			continue
		}
		assert.Assert(t, r.Complete(), "%s: %s", p.id, describe(r))
	}
	assert.Equal(t, refused, 0, "requests refused; the longest Retry-After is %d ms", longest)
	b.awaitNothingHeld()
}
