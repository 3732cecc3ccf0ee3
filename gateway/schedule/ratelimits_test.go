package schedule

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// limited is the upstream whose rate limit the tests observe.
var limited = dialect.Upstream{ID: "u", Service: "s", Zone: "z", Incarnation: 2}

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// after returns the time a number of milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// observe records a response without a limit if rate is negative.
func observe(b *Scheduler, u dialect.Upstream, requested, arrived int, rate float64) LimitChange {
	n := dialect.Notice{From: u, RequestedAt: after(requested)}
	if rate >= 0 {
		n.RateLimit = &rate
	}
	return b.ObserveRateLimit(after(arrived), n)
}

// TestOldResponseDoesNotEndRateLimit guards against responses that arrive late ending or raising a
// limit that the upstream stated after it had sent them.
func TestOldResponseDoesNotEndRateLimit(t *testing.T) {
	b := NewScheduler("z", 1)
	assert.DeepEqual(t, observe(b, limited, 0, 10, 5), LimitChange{Upstream: limited, Before: math.Inf(1), Now: 5})
	for _, rate := range []float64{-1, 8} {
		assert.Assert(t, !observe(b, limited, 5, 20, rate).Changed())
	}
	assert.Equal(t, observe(b, limited, 5, 20, 3).Now, 3.0, "an older response lowers the limit")
	assert.Equal(t, observe(b, limited, 25, 30, 8).Now, 8.0)
	assert.Assert(t, math.IsInf(observe(b, limited, 35, 40, -1).Now, 1))
	_, ok := b.RateLimit(limited)
	assert.Assert(t, !ok)
}

// TestRateLimitBelongsToIncarnation guards against a restarted upstream starting with the limit of
// its former incarnation, and against a late response of that one limiting it.
func TestRateLimitBelongsToIncarnation(t *testing.T) {
	b := NewScheduler("z", 1)
	observe(b, limited, 0, 10, 5)
	next := limited
	next.Incarnation++
	_, ok := b.RateLimit(next)
	assert.Assert(t, !ok)
	b.RecordLimitReached(after(10), limited, time.Minute)
	_, ok = b.PickService(after(20), []dialect.Upstream{next}, true, nil)
	assert.Assert(t, ok)
	observe(b, next, 30, 40, 7)
	observe(b, limited, 35, 50, 1)
	rate, _ := b.RateLimit(next)
	assert.Equal(t, rate, 7.0)
	assert.Assert(t, len(b.SetPeerLimits(after(60), map[ident.UpstreamID]RateLimitReport{"u": {Incarnation: 2, Rate: 1}})) == 0)
}

// TestMalformedNoticeDoesNotEndRateLimit guards against a malformed header being taken for a missing
// one.
func TestMalformedNoticeDoesNotEndRateLimit(t *testing.T) {
	b := NewScheduler("z", 1)
	observe(b, limited, 0, 10, 5)
	assert.Assert(t, !b.ObserveRateLimit(after(30), dialect.Notice{From: limited, RequestedAt: after(20), LimitUnknown: true}).Changed())
	rate, _ := b.RateLimit(limited)
	assert.Equal(t, rate, 5.0)
}

// TestRateLimitOfZeroIsProbed guards against a limit that can't be found to have ended because
// nothing is sent.
func TestRateLimitOfZeroIsProbed(t *testing.T) {
	b := NewScheduler("z", 1)
	observe(b, limited, 0, 10, 0)
	rate, ok := b.RateLimit(limited)
	assert.Assert(t, ok && rate > 0)
}

// TestReachedRateLimitAffectsOnlyItsUpstream guards against a reached limit that holds back other
// upstreams or outlasts its time.
func TestReachedRateLimitAffectsOnlyItsUpstream(t *testing.T) {
	b := NewScheduler("z", 1)
	other := dialect.Upstream{ID: "o", Service: "s", Zone: "z"}
	list := []dialect.Upstream{limited, other}
	observe(b, limited, 0, 10, 5)
	b.RecordLimitReached(after(10), limited, 200*time.Millisecond)
	for range 20 {
		ticket, ok := b.PickService(after(20), list, true, nil)
		assert.Assert(t, ok)
		assert.Equal(t, ticket.Upstream.ID, other.ID)
	}
	_, held := b.HeldOff(after(20), list, "", nil)
	assert.Equal(t, held, HoldOff(""), "another upstream is free")
	wait, held := b.HeldOff(after(20), list[:1], "", nil)
	assert.Equal(t, held, RateLimited)
	assert.Equal(t, wait, 190*time.Millisecond)
	_, ok := b.PickService(after(20), list[:1], true, nil)
	assert.Assert(t, !ok)
	_, ok = b.PickService(after(211), list[:1], true, nil)
	assert.Assert(t, ok)
}

// TestRefusedCallersReturnAtDifferentTimes guards against callers who were refused because of a rate
// limit and all return at once.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	b := NewScheduler("z", 1)
	b.SetFleetSize(8, time.Second)
	observe(b, limited, 0, 10, 4)
	list := []dialect.Upstream{limited}
	for i := range 5 {
		assert.Equal(t, b.HeldOffRetryAfter(after(10), list, "", 100*time.Millisecond), time.Duration(100+2000*i)*time.Millisecond)
	}
	for range 20 {
		assert.Assert(t, b.HeldOffRetryAfter(after(10), list, "", 100*time.Millisecond) <= maxHeldOffRetryAfter)
	}
}

// TestPeersReportsOfRateLimits checks which reports of peers an instance believes.
func TestPeersReportsOfRateLimits(t *testing.T) {
	report := func(b *Scheduler, ms int, r RateLimitReport) int {
		r.Incarnation = limited.Incarnation
		return len(b.SetPeerLimits(after(ms), map[ident.UpstreamID]RateLimitReport{"u": r}))
	}
	b := NewScheduler("z", 1)
	assert.Equal(t, report(b, 0, RateLimitReport{Ended: true}), 0, "the end of an unknown limit")
	assert.Equal(t, report(b, 10, RateLimitReport{Rate: 5}), 1)
	assert.Equal(t, report(b, 20, RateLimitReport{Rate: 3, Age: time.Second}), 0, "an older report")
	assert.Equal(t, len(b.OwnLimits(after(20))), 0, "reports are not passed on")
	observe(b, limited, 30, 40, 4)
	assert.Equal(t, report(b, 900, RateLimitReport{Ended: true}), 0, "may be older than it seems")
	assert.Equal(t, report(b, 1100, RateLimitReport{Ended: true}), 1)
	observe(b, limited, 1200, 1210, 6)
	assert.Equal(t, b.OwnLimits(after(1300))["u"].Age, 90*time.Millisecond)
	observe(b, limited, 1400, 1410, -1)
	assert.Assert(t, b.OwnLimits(after(1500))["u"].Ended)
	observe(b, limited, 5000, 5010, -1)
	assert.Equal(t, b.OwnLimits(after(5020))["u"].Age, 10*time.Millisecond)
	assert.Equal(t, len(b.OwnLimits(after(20000))), 0)
}
