package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBurstOnIdleFleet sends an idle fleet twice as many requests at once as it
// has decode slots. Their targets leave time for ten times as many, so all are
// answered whole and none is refused.
func TestBurstOnIdleFleet(t *testing.T) {
	b := newBed(t)
	const burst = 32
	var sent []*pending
	for i := range burst {
		sent = append(sent, b.complete(review(b.Instances[i%len(b.Instances)], 200, 100)))
	}
	for _, p := range sent {
		r := b.done(p)
		assert.Check(t, r.Complete(), "%s: %s", p.id, describe(r))
		if r.Problem != nil {
			assert.Check(t, r.Problem.RetryAfterMS <= deadline.Milliseconds(), "come back in %d ms", r.Problem.RetryAfterMS)
		}
	}
	b.nothingHeld()
}
