package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/peer"
)

// MethodRate asks the owner of an upstream's rate limit for permission to send requests to the
// upstream. The owner is an instance of the upstream's zone: an instance that cannot reach that
// zone cannot send to the upstream either.
const MethodRate = "gateway.rate"

const (
	// dutyRate is the prefix of the name of the duty to own an upstream's rate limit. The
	// upstream's ID follows.
	dutyRate = "rate/"
	// rateTimeout bounds a call to the owner, for which requests wait before they go to another
	// upstream. It takes one or two milliseconds within a region, and up to 50 ms if a connection to
	// another region has to be opened.
	rateTimeout = 100 * time.Millisecond
)

// RateRequest asks for permission to send a request to an upstream.
type RateRequest struct {
	Upstream ident.UpstreamID `json:"u"`
	// Zone is the zone of the upstream.
	Zone        ident.Zone        `json:"z"`
	Incarnation ident.Incarnation `json:"i,omitempty"`
	// Rate is the rate limit of the upstream, in requests per second from all instances together.
	Rate float64 `json:"r"`
	// Required means that the request is sent in any case.
	Required bool `json:"q,omitempty"`
}

// RateAnswer is an owner's answer to a RateRequest.
type RateAnswer struct {
	// Granted is the number of requests that may be sent.
	Granted int `json:"g,omitempty"`
	// WaitMS is the time, in milliseconds, until a request can be granted.
	WaitMS int64 `json:"w,omitempty"`
}

// rates is a node's state for the rate limits of upstreams: as an owner, and as a client of owners.
type rates struct {
	owned  *limit.Rates
	leases *limit.RateLeases
}

func newRates() *rates { return &rates{owned: limit.NewRates(), leases: limit.NewRateLeases()} }

// TakeRequest reports whether a request may be sent to an upstream that accepts the given rate, in
// requests per second from all instances together. If not, the caller waits before it asks again.
// No request is sent if the owner of the limit does not answer.
func (n *Node) TakeRequest(ctx context.Context, u dialect.Upstream, rate float64) (granted bool, wait time.Duration) {
	key := limit.UpstreamIncarnation{ID: u.ID, Incarnation: u.Incarnation}
	if n.rates.leases.Use(clock.Now(), key) {
		return true, 0
	}
	answer, err := n.askRateOwner(ctx, u, RateRequest{Upstream: u.ID, Zone: u.Zone, Incarnation: u.Incarnation, Rate: rate})
	if err != nil {
		n.opts.Log.Debug("owner of rate limit not asked", "upstream", u.ID, "error", err)
		return false, addJitter(noOwnerRetry)
	}
	if answer.Granted > 1 {
		n.rates.leases.Add(clock.Now(), key, answer.Granted-1)
	}
	return answer.Granted > 0, time.Duration(answer.WaitMS) * time.Millisecond
}

// ChargeRequest reports a request that is sent in any case to the owner of an upstream's rate
// limit.
func (n *Node) ChargeRequest(ctx context.Context, u dialect.Upstream, rate float64) {
	request := RateRequest{Upstream: u.ID, Zone: u.Zone, Incarnation: u.Incarnation, Rate: rate, Required: true}
	if _, err := n.askRateOwner(ctx, u, request); err != nil {
		n.opts.Log.Debug("request not charged to rate limit", "upstream", u.ID, "error", err)
	}
}

// askRateOwner calls the owner of an upstream's rate limit, which may be this instance. If no
// instance can own it, the error is a *NoOwnerError.
func (n *Node) askRateOwner(ctx context.Context, u dialect.Upstream, request RateRequest) (RateAnswer, error) {
	owner, ok := n.rateOwner(u)
	if !ok {
		return RateAnswer{}, &NoOwnerError{Upstream: u.ID}
	}
	if owner.self {
		return n.onRate(ctx, peer.Identity{}, request)
	}
	limited, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	answer, err := peer.Call[RateAnswer](limited, n.opts.Pool, owner.address, MethodRate, request)
	if ctx.Err() == nil {
		n.recordOwnerCall(owner, err)
	}
	return answer, err
}

// NoOwnerError reports that no instance can own the rate limit of an upstream.
type NoOwnerError struct{ Upstream ident.UpstreamID }

// Error implements error.
func (e *NoOwnerError) Error() string {
	return "no instance can own the rate limit of upstream " + string(e.Upstream)
}

// rateOwner returns the owner of an upstream's rate limit.
func (n *Node) rateOwner(u dialect.Upstream) (dutyHolder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	return n.roster.DutyHolder(now, dutyRate+string(u.ID), n.roster.dutyZone(now, u.Zone))
}

// onRate grants requests to an upstream. An instance that knows of another owner grants none, so
// that an owner which has been replaced stops as soon as it learns of it. During a network partition
// each side has an owner, which grants the share of the rate that its side's instances have among
// all known ones. One that may not know all others grants the part that Roster.Share leaves it.
func (n *Node) onRate(_ context.Context, _ peer.Identity, q RateRequest) (RateAnswer, error) {
	n.mu.Lock()
	now := clock.Now()
	alive := n.roster.Alive(now)
	rate := q.Rate * float64(alive) / float64(n.roster.expected()) * n.roster.Share(now)
	owns := n.roster.IsHolder(now, dutyRate+string(q.Upstream), n.roster.dutyZone(now, q.Zone))
	n.mu.Unlock()
	if !owns || !(rate > 0) {
		return RateAnswer{WaitMS: noOwnerRetry.Milliseconds()}, nil
	}
	key := limit.UpstreamIncarnation{ID: q.Upstream, Incarnation: q.Incarnation}
	if q.Required {
		n.rates.owned.Charge(now, key, rate)
		return RateAnswer{Granted: 1}, nil
	}
	granted, wait := n.rates.owned.Take(now, key, rate, alive)
	return RateAnswer{Granted: granted, WaitMS: wait.Milliseconds()}, nil
}

// expected returns the number of instances, including this one, that are alive or were and have not
// said that they stop.
func (r *Roster) expected() int {
	n := len(r.alive)
	for id, p := range r.peers {
		if _, alive := slices.BinarySearch(r.alive, id); !alive && !p.member.Leaving {
			n++
		}
	}
	return n
}
