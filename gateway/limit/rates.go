package limit

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/tokenbucket"
)

const (
	// rateBurst is how much of a rate limit accumulates while it is not used.
	rateBurst = 250 * time.Millisecond
	// rateStartDebt is how much of a rate limit a new bucket lacks. What the upstream got just
	// before is unknown: it stated the limit because that was too much, or the former owner of the
	// bucket granted it.
	rateStartDebt = time.Second
	// maxRateLease is the largest number of requests that are granted at once.
	maxRateLease = 16
	// rateLeaseTTL is how long granted requests may be sent.
	rateLeaseTTL = 500 * time.Millisecond
	// idleRateTTL is the time without requests after which a bucket is removed.
	idleRateTTL = time.Minute
)

// UpstreamIncarnation identifies an incarnation of an upstream.
type UpstreamIncarnation struct {
	ID          ident.UpstreamID
	Incarnation ident.Incarnation
}

// Rates holds the token buckets for the rate limits that upstreams state, as far as this instance
// owns them. A token is one request. It is safe for concurrent use.
type Rates struct {
	mu      sync.Mutex
	buckets map[ident.UpstreamID]*rateBucket
}

// rateBucket is the token bucket of an incarnation of an upstream.
type rateBucket struct {
	incarnation ident.Incarnation
	tokens      tokenbucket.Bucket
}

// NewRates returns an owner without buckets.
func NewRates() *Rates { return &Rates{buckets: map[ident.UpstreamID]*rateBucket{}} }

// Take grants requests to an upstream that accepts the given rate, in requests per second. It
// grants several at once if the bucket has plenty for each of the given number of instances, so
// that a limit far above the use costs few calls. If it grants none, wait is the time until the
// bucket has a token.
func (r *Rates) Take(now time.Time, u UpstreamIncarnation, rate float64, instances int) (granted int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(now, u, rate)
	if b == nil {
		return 0, rateStartDebt
	}
	if b.tokens.Tokens < 1 {
		return 0, seconds((1 - b.tokens.Tokens) / rate)
	}
	granted = min(max(1, int(b.tokens.Tokens/float64(2*max(1, instances)))), maxRateLease)
	b.tokens.Tokens -= float64(granted)
	return granted, 0
}

// Charge deducts a request that is sent in any case.
func (r *Rates) Charge(now time.Time, u UpstreamIncarnation, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.bucket(now, u, rate); b != nil {
		b.tokens.Tokens--
	}
}

// bucket returns the bucket of an upstream, filled until now; nil if the incarnation is not the
// newest known one. The caller holds mu.
func (r *Rates) bucket(now time.Time, u UpstreamIncarnation, rate float64) *rateBucket {
	b := r.buckets[u.ID]
	if b != nil && b.incarnation > u.Incarnation {
		return nil
	}
	if b == nil || b.incarnation < u.Incarnation {
		b = &rateBucket{incarnation: u.Incarnation}
		r.buckets[u.ID] = b
	}
	b.tokens.Fill(now, rate, max(1, rate*rateBurst.Seconds()), -rate*rateStartDebt.Seconds())
	return b
}

// RemoveIdle removes the buckets that were not used for idleRateTTL.
func (r *Rates) RemoveIdle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, b := range r.buckets {
		if now.Sub(b.tokens.FilledAt()) > idleRateTTL {
			delete(r.buckets, id)
		}
	}
}

// RateLeases holds the requests to upstreams that an instance was granted and has not sent yet. It
// is safe for concurrent use.
type RateLeases struct {
	mu     sync.Mutex
	leases map[UpstreamIncarnation]rateLease
}

// rateLease is a number of requests that may be sent until it expires.
type rateLease struct {
	requests  int
	expiresAt time.Time
}

// NewRateLeases returns an empty RateLeases.
func NewRateLeases() *RateLeases { return &RateLeases{leases: map[UpstreamIncarnation]rateLease{}} }

// Use takes one request, and reports whether there was one.
func (l *RateLeases) Use(now time.Time, u UpstreamIncarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease, ok := l.leases[u]
	if !ok || !now.Before(lease.expiresAt) {
		delete(l.leases, u)
		return false
	}
	if lease.requests--; lease.requests > 0 {
		l.leases[u] = lease
	} else {
		delete(l.leases, u)
	}
	return true
}

// Add adds granted requests. Those granted before expire with the new ones.
func (l *RateLeases) Add(now time.Time, u UpstreamIncarnation, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lease := l.leases[u]
	if !now.Before(lease.expiresAt) {
		lease.requests = 0
	}
	lease.requests += requests
	lease.expiresAt = now.Add(rateLeaseTTL)
	l.leases[u] = lease
	for other, o := range l.leases {
		if !now.Before(o.expiresAt) {
			delete(l.leases, other)
		}
	}
}
