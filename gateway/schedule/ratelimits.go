package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// minRateLimit is the lowest rate, in requests per second, that is used for an upstream that states
// a lower one. Only a response can show that the upstream no longer states a limit.
const minRateLimit = 0.2

// statedLimit is the request rate that an upstream accepts from all instances together, as it
// states it in its responses.
type statedLimit struct {
	incarnation ident.Incarnation
	// rate is in requests per second.
	rate float64
	// statedAt is when the response arrived that stated it.
	statedAt time.Time
}

// LimitChange describes how a notice changes the rate limit of an upstream. Rates are in requests
// per second, and infinite if there is no limit.
type LimitChange struct{ Before, Now float64 }

// Changed reports whether the limit has changed.
func (c LimitChange) Changed() bool { return c.Before != c.Now }

// ObserveNotice records what an upstream states about itself.
//
// A response can be older than one that arrived before it. It raises or ends a limit only if its
// request was sent after the limit was stated; it lowers a limit in any case.
func (b *Scheduler) ObserveNotice(now time.Time, n dialect.Notice) LimitChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.rateLimit(n.From)
	l := b.statedLimits[n.From.ID]
	switch {
	case len(n.Malformed) > 0 || l != nil && l.incarnation > n.From.Incarnation:
	case n.RateLimit == nil:
		if l != nil && n.RequestedAt.After(l.statedAt) {
			delete(b.statedLimits, n.From.ID)
		}
	default:
		rate := max(*n.RateLimit, minRateLimit)
		if l == nil || l.incarnation != n.From.Incarnation || rate <= l.rate || n.RequestedAt.After(l.statedAt) {
			b.statedLimits[n.From.ID] = &statedLimit{incarnation: n.From.Incarnation, rate: rate, statedAt: now}
		}
	}
	return LimitChange{Before: before, Now: b.rateLimit(n.From)}
}

// rateLimit returns the rate limit of an upstream, infinite if it states none. The caller holds mu.
func (b *Scheduler) rateLimit(u dialect.Upstream) float64 {
	if l := b.statedLimits[u.ID]; l != nil && l.incarnation == u.Incarnation {
		return l.rate
	}
	return math.Inf(1)
}
