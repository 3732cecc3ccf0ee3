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
func (b *Scheduler) PickService(now time.Time, list []dialect.Upstream, repeatable bool, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(list) == 0 {
		return Ticket{}, false
	}
	b.recordArrival(now, serviceOf(list))
	best, retry := b.cheapest(now, list, exclude)
	if repeatable && retry != nil && retry.requests == 0 {
		best = retry
	}
	if best == nil {
		best = retry
	}
	if best == nil {
		best = b.firstToRetry(now, list, exclude)
	}
	if best == nil || best.connectionRetried(now) {
		return Ticket{}, false
	}
	return b.place(now, best, 0), true
}

// connectionRetried reports whether a connection to an upstream failed and another request is
// already retrying it. Further requests would wait for the same time-out, 400 ms each, before
// they are refused. The caller holds mu.
func (rec *upstreamRecord) connectionRetried(now time.Time) bool {
	return rec.unreachable && rec.state(now) != stateHealthy && rec.requests > 0
}

// cheapest returns the healthy upstream with the lowest cost, and one in stateRetry; nil if
// there is none. The caller holds mu.
func (b *Scheduler) cheapest(now time.Time, list []dialect.Upstream, exclude []ident.UpstreamID) (healthy, retry *upstreamRecord) {
	lowest := math.Inf(1)
	peerWeight := 1 / (1 + b.unseenPlacements(now, serviceOf(list))/float64(len(list)))
	for _, u := range list {
		if !b.usable(now, u, exclude) {
			continue
		}
		rec := b.recordOf(u)
		switch b.stateWithZone(now, rec) {
		case stateRetry:
			retry = rec
		case stateHealthy:
			if c := b.cost(now, rec, peerWeight); c < lowest {
				lowest, healthy = c, rec
			}
		}
	}
	return healthy, retry
}

// firstToRetry returns the upstream whose ejection ends first. It is tried when no other is
// left. The caller holds mu.
func (b *Scheduler) firstToRetry(now time.Time, list []dialect.Upstream, exclude []ident.UpstreamID) *upstreamRecord {
	var first *upstreamRecord
	for _, u := range list {
		if !b.usable(now, u, exclude) {
			continue
		}
		rec := b.recordOf(u)
		if rec.replaced {
			continue
		}
		if first == nil || rec.ejectedUntil.Before(first.ejectedUntil) {
			first = rec
		}
	}
	return first
}

// cost returns the expected time of one more request at an upstream, in seconds: its latency,
// multiplied by its load and raised by its failures. peerWeight is the weight of the load that
// peers reported. The caller holds mu.
func (b *Scheduler) cost(now time.Time, rec *upstreamRecord, peerWeight float64) float64 {
	latency := rec.latency
	if latency == 0 {
		latency = initialLatency
	}
	load := float64(rec.requests) + peerWeight*float64(rec.peerRequests) + 1
	return b.weightedCost(now, rec, latency.Seconds()*load, b.zone)
}

const (
	// minSuccess is the lower bound of the success ratio used in the cost.
	minSuccess = 0.05
	// costNoise is the maximum random increase of a cost, as a share. It keeps instances with
	// the same view from choosing the same upstream.
	costNoise = 0.1
)

// weightedCost returns the cost c, increased for upstreams that fail, have overdue requests, or
// are outside the zone near. The caller holds mu.
func (b *Scheduler) weightedCost(now time.Time, rec *upstreamRecord, c float64, near ident.Zone) float64 {
	c /= math.Pow(math.Max(rec.success, minSuccess), 2)
	if rec.up.Zone != near {
		c *= crossZoneFactor
	}
	if rec.hasOverdueRequest(now) {
		c *= overdueFactor
	}
	return c * (1 + costNoise*b.random.Float64())
}
