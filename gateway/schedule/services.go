package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// PickService places a request on an upstream of a service without stages. Requests that are
// not repeatable are not used to retry upstreams that failed recently, unless there are no
// others. It reports false if no upstream is available.
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

// outOfReach reports whether a connection to an upstream failed and another request is already
// retrying it. Further requests would wait for the same time-out, 400 ms each, before they are
// refused. The caller holds mu.
func (k *book) outOfReach(now time.Time) bool {
	return k.unreachable && k.state(now) != stateGood && k.requests > 0
}

// cheapest returns the healthy upstream with the lowest cost, and one that may be tried again;
// nil if there is none. The caller holds mu.
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

// leastBad returns the upstream whose ejection ends first. It is tried when no other is left.
// The caller holds mu.
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

// cost returns the expected time of one more request at an upstream, in seconds: its latency,
// multiplied by its load and raised by its failures. trust is the weight of the load that peers
// reported. The caller holds mu.
func (b *Books) cost(now time.Time, k *book, trust float64) float64 {
	latency := k.latency
	if latency == 0 {
		latency = initialLatency
	}
	load := float64(k.requests) + trust*float64(k.peerRequests) + 1
	return b.weigh(now, k, latency.Seconds()*load, b.zone)
}

const (
	// leastSuccess is the lower bound of the success ratio used in the cost.
	leastSuccess = 0.05
	// noise is the maximum random increase of a cost, as a share. It keeps instances with the
	// same view from choosing the same upstream.
	noise = 0.1
)

// weigh returns the cost c, increased for upstreams that fail, have overdue requests, or are
// outside the zone near. The caller holds mu.
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
