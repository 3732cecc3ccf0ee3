package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// PickService chooses the upstream for a request of a plain service. Requests that
// may run only once are not used to try upstreams that failed lately, as long as
// there are others. It reports false if there is no upstream left.
func (b *Books) PickService(now time.Time, list []dialect.Upstream, repeatable bool, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(list) == 0 {
		return Ticket{}, false
	}
	b.arrive(now, serviceOf(list))
	best, trial := b.cheapest(now, list, exclude)
	if repeatable && trial != nil && trial.requests == 0 {
		best = trial
	}
	if best == nil {
		best = trial
	}
	if best == nil {
		best = b.leastBad(now, list, exclude)
	}
	if best == nil || best.outOfReach(now) {
		return Ticket{}, false
	}
	return b.place(now, best, 0), true
}

// outOfReach reports whether an upstream could not be connected to and another
// request is finding out whether that still holds: all others would wait for the
// same time-out, 400 ms each, before they were refused. The caller holds mu.
func (k *book) outOfReach(now time.Time) bool {
	return k.unreachable && k.state(now) != stateGood && k.requests > 0
}

// cheapest returns the best of the good upstreams and of those on trial.
func (b *Books) cheapest(now time.Time, list []dialect.Upstream, exclude []ident.UpstreamID) (good, trial *book) {
	lowest := math.Inf(1)
	trust := 1 / (1 + b.unseen(now, serviceOf(list))/float64(len(list)))
	for _, u := range list {
		if !b.usable(now, u, exclude) {
			continue
		}
		k := b.of(u)
		switch b.stateIn(now, k) {
		case stateTrial:
			trial = k
		case stateGood:
			if c := b.cost(now, k, trust); c < lowest {
				lowest, good = c, k
			}
		}
	}
	return good, trial
}

// leastBad returns the ejected upstream that is due first: with nothing else left
// it is tried all the same.
func (b *Books) leastBad(now time.Time, list []dialect.Upstream, exclude []ident.UpstreamID) *book {
	var first *book
	for _, u := range list {
		if !b.usable(now, u, exclude) {
			continue
		}
		k := b.of(u)
		if k.replaced {
			continue
		}
		if first == nil || k.ejectedUntil.Before(first.ejectedUntil) {
			first = k
		}
	}
	return first
}

// cost is the expected time of one more request at an upstream, in seconds: its
// latency, longer the more it has to do, and as often as it takes to succeed.
// trust is how much what peers said of their requests still counts.
func (b *Books) cost(now time.Time, k *book, trust float64) float64 {
	latency := k.latency
	if latency == 0 {
		latency = initialLatency
	}
	load := float64(k.requests) + trust*float64(k.peerRequests) + 1
	return b.weigh(now, k, latency.Seconds()*load, b.zone)
}

const (
	// leastSuccess bounds how much dearer failures make an upstream.
	leastSuccess = 0.05
	// noise spreads requests of instances that see the same, as a share of the
	// cost.
	noise = 0.1
)

// weigh returns a cost, higher at upstreams that fail, are silent, or lie outside
// the zone near. The caller holds mu.
func (b *Books) weigh(now time.Time, k *book, c float64, near ident.Zone) float64 {
	c /= math.Pow(math.Max(k.success, leastSuccess), 2)
	if k.up.Zone != near {
		c *= otherZone
	}
	if k.silent(now) {
		c *= overdueFactor
	}
	return c * (1 + noise*b.random.Float64())
}
