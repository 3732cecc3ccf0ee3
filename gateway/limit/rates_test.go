package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewOwnerOfRateLimitStartsInDebt guards against an owner that grants requests although it does
// not know what the upstream has just got.
func TestNewOwnerOfRateLimitStartsInDebt(t *testing.T) {
	const rate = 10
	r, u, began := NewRates(), UpstreamIncarnation{ID: "u", Incarnation: 1}, time.Unix(1000, 0)
	granted, wait := r.Take(began, u, rate, 8)
	assert.Equal(t, granted, 0)
	assert.Equal(t, wait, rateStartDebt+time.Second/rate)
	granted, _ = r.Take(began.Add(wait-time.Millisecond), u, rate, 8)
	assert.Equal(t, granted, 0)
	granted, _ = r.Take(began.Add(wait+time.Millisecond), u, rate, 8)
	assert.Equal(t, granted, 1)
}

// TestLimitFarAboveTheUseCostsFewCalls guards against a call to the owner for each request to an
// upstream whose limit is far above what it gets.
func TestLimitFarAboveTheUseCostsFewCalls(t *testing.T) {
	const rate, instances = 1000, 8
	r, u, now := NewRates(), UpstreamIncarnation{ID: "u"}, time.Unix(1000, 0)
	r.Take(now, u, rate, instances)
	granted, _ := r.Take(now.Add(2*time.Second), u, rate, instances)
	assert.Assert(t, granted >= 10, "%d", granted)
}

// TestChargedRequestsAreNotGrantedAgain guards against requests that are sent in any case on top of
// the limit.
func TestChargedRequestsAreNotGrantedAgain(t *testing.T) {
	const rate = 10
	r, u, now := NewRates(), UpstreamIncarnation{ID: "u"}, time.Unix(1000, 0)
	r.Take(now, u, rate, 1)
	now = now.Add(2 * time.Second)
	for range 5 {
		r.Charge(now, u, rate)
	}
	granted, wait := r.Take(now, u, rate, 1)
	assert.Equal(t, granted, 0)
	assert.Assert(t, wait >= 300*time.Millisecond, "%s", wait)
}

// TestRateLeaseExpires guards against requests that are granted in one second and sent in a later one.
func TestRateLeaseExpires(t *testing.T) {
	l, u, now := NewRateLeases(), UpstreamIncarnation{ID: "u"}, time.Unix(1000, 0)
	l.Add(now, u, 3)
	assert.Assert(t, l.Use(now, u))
	assert.Assert(t, !l.Use(now, UpstreamIncarnation{ID: "u", Incarnation: 1}), "another incarnation")
	assert.Assert(t, !l.Use(now.Add(rateLeaseTTL), u))
	l.Add(now.Add(rateLeaseTTL), u, 1)
	assert.Assert(t, l.Use(now.Add(rateLeaseTTL), u))
	assert.Assert(t, !l.Use(now.Add(rateLeaseTTL), u), "expired requests came back")
}
