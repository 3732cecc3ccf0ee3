package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// maxHeldOffRetryAfter is the longest time that a caller is told to wait for upstreams that are
	// held off.
	maxHeldOffRetryAfter = 20 * time.Second
	// restRetrySpread is the share of the wait over which the retries of callers are spread that wait
	// for the end of a rest, minRestRetrySpread the shortest time.
	restRetrySpread    = 0.25
	minRestRetrySpread = 100 * time.Millisecond
)

// HoldOff is the reason why upstreams get no requests for a time, as it appears in logs.
type HoldOff string

// The reasons.
const (
	// RateLimited upstreams have got as many requests as they accept.
	RateLimited HoldOff = "rate_limit"
	// Resting upstreams have asked this instance for rest.
	Resting HoldOff = "resting"
)

// heldOff returns the time until which an upstream gets no request because of what it stated, and
// the reason, "" if there is none. The caller holds mu.
func (b *Scheduler) heldOff(now time.Time, u dialect.Upstream) (until time.Time, reason HoldOff) {
	if l := b.statedLimits[u.ID]; l != nil && !l.ended && l.upstream.Incarnation == u.Incarnation && now.Before(l.reachedUntil) {
		until, reason = l.reachedUntil, RateLimited
	}
	if b.resting(now, u) && b.rests[u.ID].until.After(until) {
		until, reason = b.rests[u.ID].until, Resting
	}
	return until, reason
}

// HeldOff returns the time until an upstream of a list with the given stage may get a request again,
// and why it gets none until then. The reason is "" unless all upstreams that could get requests
// otherwise are held off.
func (b *Scheduler) HeldOff(now time.Time, list []dialect.Upstream, stage dialect.Stage, exclude []ident.UpstreamID) (time.Duration, HoldOff) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allHeldOff(now, list, stage, exclude)
}

// allHeldOff is HeldOff for a caller that holds mu.
func (b *Scheduler) allHeldOff(now time.Time, list []dialect.Upstream, stage dialect.Stage, exclude []ident.UpstreamID) (wait time.Duration, reason HoldOff) {
	if len(b.statedLimits)+len(b.rests) == 0 {
		return 0, ""
	}
	for _, u := range list {
		if u.Stage != stage || !b.mayAccept(now, u, exclude) || !b.available(now, b.recordOf(u)) {
			continue
		}
		until, why := b.heldOff(now, u)
		if why == "" {
			return 0, ""
		}
		if left := until.Sub(now); reason == "" || left < wait {
			wait, reason = left, why
		}
	}
	return wait, reason
}

// HeldOffRetryAfter returns when the caller of a request that is refused because all upstreams of a
// stage are held off should retry, given the time until one of them may get a request again.
// Callers refused at the same time are told different times: by this instance's share of the rate
// limits or, without any, at random.
func (b *Scheduler) HeldOffRetryAfter(now time.Time, list []dialect.Upstream, stage dialect.Stage, wait time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0.0
	for _, u := range list {
		if rate := b.rateLimit(u); u.Stage == stage && !math.IsInf(rate, 1) {
			total += rate
		}
	}
	if total == 0 {
		spread := max(minRestRetrySpread, time.Duration(restRetrySpread*float64(wait)))
		return min(wait+time.Duration(b.random.Int64N(int64(spread))), maxHeldOffRetryAfter)
	}
	at := now.Add(wait)
	if next := b.limitRetries[serviceOf(list)]; next.After(at) {
		at = next
	}
	interval := min(float64(b.otherInstances+1)/total, maxHeldOffRetryAfter.Seconds())
	b.limitRetries[serviceOf(list)] = at.Add(time.Duration(interval * float64(time.Second)))
	return min(at.Sub(now), maxHeldOffRetryAfter)
}
