package schedule

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// minRateLimit is the lowest rate, in requests per second, that is used for an upstream that
	// states a lower one. Only a response can show that the upstream no longer states a limit.
	minRateLimit = 0.2
	// endedLimitTTL is how long peers are told that an upstream no longer states a limit.
	endedLimitTTL = 10 * time.Second
	// peerLimitSkew is how much younger a peer's statement may seem than it is. Load reports take
	// that long at most.
	peerLimitSkew = time.Second
)

// statedLimit is the request rate that an upstream accepts from all instances together, as it
// states it in its responses.
type statedLimit struct {
	upstream dialect.Upstream
	// rate is in requests per second.
	rate float64
	// ended means that the upstream no longer states a limit, as was known first at endedAt.
	ended   bool
	endedAt time.Time
	// statedAt is when the last response arrived that stated the limit or its end. own means that it
	// was a response to this instance.
	statedAt time.Time
	own      bool
	// reachedUntil is the time until which the instance sends nothing, because the limit is reached.
	reachedUntil time.Time
}

// LimitChange describes how the rate limit of an upstream changes. Rates are in requests per
// second, and infinite if there is no limit.
type LimitChange struct {
	Upstream    dialect.Upstream
	Before, Now float64
}

// Changed reports whether the limit has changed.
func (c LimitChange) Changed() bool { return c.Before != c.Now }

// RateLimitReport is what an instance reports to its peers about the rate limit of an upstream.
type RateLimitReport struct {
	Incarnation ident.Incarnation
	// Rate is in requests per second.
	Rate float64
	// Ended means that the upstream no longer states a limit.
	Ended bool
	// Age is the time since the response that stated it.
	Age time.Duration
}

// ObserveRateLimit records the rate limit that an upstream states, or that it states none.
//
// A response can be older than one that arrived before it. It raises or ends a limit only if its
// request was sent after the limit was stated; it lowers a limit in any case.
func (b *Scheduler) ObserveRateLimit(now time.Time, n dialect.Notice) LimitChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.statedLimits[n.From.ID]
	if n.LimitUnknown || l != nil && n.From.Restarted(l.upstream.Incarnation) {
		return LimitChange{}
	}
	ends := n.RateLimit == nil
	if ends && l == nil {
		return LimitChange{}
	}
	if ends && l.ended {
		l.statedAt, l.own = now, true
		return LimitChange{}
	}
	rate := math.Inf(1)
	if !ends {
		rate = max(*n.RateLimit, minRateLimit)
	}
	before := b.rateLimit(n.From)
	if rate > before && !n.RequestedAt.After(l.statedAt) {
		return LimitChange{}
	}
	b.setLimit(&statedLimit{upstream: n.From, rate: rate, ended: ends, endedAt: now, statedAt: now, own: true})
	return LimitChange{Upstream: n.From, Before: before, Now: rate}
}

// setLimit stores a statement. The caller holds mu.
func (b *Scheduler) setLimit(l *statedLimit) {
	if old := b.statedLimits[l.upstream.ID]; old != nil && old.upstream.Incarnation == l.upstream.Incarnation {
		l.reachedUntil = old.reachedUntil
	}
	b.statedLimits[l.upstream.ID] = l
}

// rateLimit returns the rate limit of an upstream, infinite if it states none. The caller holds mu.
func (b *Scheduler) rateLimit(u dialect.Upstream) float64 {
	if l := b.statedLimits[u.ID]; l != nil && !l.ended && l.upstream.Incarnation == u.Incarnation {
		return l.rate
	}
	return math.Inf(1)
}

// RateLimit returns the rate limit that an upstream states, in requests per second from all
// instances together. It reports false if the upstream states none.
func (b *Scheduler) RateLimit(u dialect.Upstream) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.rateLimit(u)
	return rate, !math.IsInf(rate, 1)
}

// RecordLimitReached records that an upstream gets no request from this instance for a time,
// because its rate limit is reached.
func (b *Scheduler) RecordLimitReached(now time.Time, u dialect.Upstream, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.statedLimits[u.ID]; l != nil && l.upstream.Incarnation == u.Incarnation {
		l.reachedUntil = now.Add(max(wait, time.Millisecond))
	}
}

// OwnLimits returns the rate limits that upstreams stated to this instance itself, and those that
// ended within endedLimitTTL. What peers reported is not passed on.
func (b *Scheduler) OwnLimits(now time.Time) map[ident.UpstreamID]RateLimitReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out map[ident.UpstreamID]RateLimitReport
	for id, l := range b.statedLimits {
		if l.ended && now.Sub(l.endedAt) > endedLimitTTL {
			delete(b.statedLimits, id)
			continue
		}
		if !l.own {
			continue
		}
		if out == nil {
			out = map[ident.UpstreamID]RateLimitReport{}
		}
		r := RateLimitReport{Incarnation: l.upstream.Incarnation, Ended: l.ended, Age: now.Sub(l.statedAt)}
		if !l.ended {
			r.Rate = l.rate
		}
		out[id] = r
	}
	return out
}

// SetPeerLimits records what peers report about rate limits. It returns the limits that change.
func (b *Scheduler) SetPeerLimits(now time.Time, reports map[ident.UpstreamID]RateLimitReport) []LimitChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []LimitChange
	for id, r := range reports {
		u := dialect.Upstream{ID: id, Incarnation: r.Incarnation}
		if rec := b.records[id]; rec != nil && rec.up.Incarnation == r.Incarnation {
			u = rec.up
		}
		if !b.acceptsReport(now, u, r) {
			continue
		}
		change := LimitChange{Upstream: u, Before: b.rateLimit(u), Now: r.Rate}
		if r.Ended {
			change.Now = math.Inf(1)
		}
		b.setLimit(&statedLimit{upstream: u, rate: change.Now, ended: r.Ended, endedAt: now, statedAt: now.Add(-r.Age)})
		if change.Changed() {
			changes = append(changes, change)
		}
	}
	return changes
}

// acceptsReport reports whether a peer's report is newer than what this instance knows. The caller
// holds mu.
func (b *Scheduler) acceptsReport(now time.Time, u dialect.Upstream, r RateLimitReport) bool {
	l := b.statedLimits[u.ID]
	if l == nil || l.upstream.Restarted(u.Incarnation) {
		return !r.Ended
	}
	if u.Incarnation != l.upstream.Incarnation {
		return false
	}
	newer := now.Add(-r.Age).Sub(l.statedAt)
	if r.Ended != l.ended {
		return newer > peerLimitSkew
	}
	return newer > 0 && !r.Ended
}

// RateLimitStatus is the rate limit of an upstream as an instance reports it to operators.
type RateLimitStatus struct {
	Upstream    ident.UpstreamID  `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// PerSecond is the number of requests per second from all instances together.
	PerSecond float64 `json:"per_second"`
	// FromPeer means that the upstream stated the limit to another instance.
	FromPeer bool `json:"from_peer"`
	// AgeMS is the time since the upstream last stated the limit, HeldOffMS the time for which this
	// instance sends it nothing, in milliseconds.
	AgeMS     int64 `json:"age_ms"`
	HeldOffMS int64 `json:"held_off_ms"`
}

// RateLimits returns the status of all rate limits in force, in the order of the upstreams' IDs.
func (b *Scheduler) RateLimits(now time.Time) []RateLimitStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []RateLimitStatus{}
	for _, id := range slices.Sorted(maps.Keys(b.statedLimits)) {
		if l := b.statedLimits[id]; !l.ended {
			out = append(out, RateLimitStatus{
				Upstream: id, Incarnation: l.upstream.Incarnation, PerSecond: l.rate, FromPeer: !l.own,
				AgeMS: now.Sub(l.statedAt).Milliseconds(), HeldOffMS: max(0, l.reachedUntil.Sub(now)).Milliseconds(),
			})
		}
	}
	return out
}
