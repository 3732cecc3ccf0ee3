package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// TestLaterResponseDoesNotShortenRest guards against a rest that ends sooner because of a further
// response with a shorter time or none.
func TestLaterResponseDoesNotShortenRest(t *testing.T) {
	b := NewScheduler("z", 1)
	assert.Assert(t, b.ObserveRest(after(0), limited, 3*time.Second))
	for _, lasts := range []time.Duration{time.Second, 0, -time.Second} {
		assert.Assert(t, !b.ObserveRest(after(100), limited, lasts))
	}
	assert.Assert(t, b.Resting(after(2999), limited))
	assert.Assert(t, !b.Resting(after(3000), limited))
	b.ObserveRest(after(2000), limited, 3*time.Second)
	assert.Assert(t, b.Resting(after(4999), limited))
	assert.Assert(t, b.ObserveRest(after(6000), limited, time.Second), "a further rest begins")
}

// TestRestBelongsToIncarnation guards against a restarted upstream starting with the rest of its
// former incarnation, and against a late response of that one.
func TestRestBelongsToIncarnation(t *testing.T) {
	b := NewScheduler("z", 1)
	b.ObserveRest(after(0), limited, time.Minute)
	next := limited
	next.Incarnation++
	_, ok := b.PickService(after(10), []dialect.Upstream{next}, true, nil)
	assert.Assert(t, ok)
	b.ObserveRest(after(20), next, time.Second)
	assert.Assert(t, !b.ObserveRest(after(30), limited, time.Minute))
	assert.Assert(t, !b.Resting(after(1100), next))
}

// TestRestingUpstreamGetsNothing guards against placements, and cache lists, at upstreams that rest.
func TestRestingUpstreamGetsNothing(t *testing.T) {
	b := NewScheduler("z", 1)
	list := []dialect.Upstream{{ID: "p", Service: "s", Stage: dialect.StagePrefill}, {ID: "d", Service: "s", Stage: dialect.StageDecode}}
	e := engine
	for _, u := range list {
		b.ObserveRest(after(0), u, time.Second)
	}
	_, ok := b.PlacePrefill(after(10), list, 100, "z", nil)
	assert.Assert(t, !ok)
	_, ok = b.PlaceDecode(after(10), list, e, Size{Prompt: 100}, nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(b.Reachable(after(10), list, dialect.StageDecode)), 0)
	wait, reason := b.HeldOff(after(10), list, dialect.StageDecode, nil)
	assert.Equal(t, reason, Resting)
	assert.Equal(t, wait, 990*time.Millisecond)
	retry := b.HeldOffRetryAfter(after(10), list, dialect.StageDecode, wait)
	assert.Assert(t, retry >= wait && retry <= 2*wait, "%s", retry)
	_, ok = b.PlaceDecode(after(1000), list, e, Size{Prompt: 100}, nil)
	assert.Assert(t, ok)
}
