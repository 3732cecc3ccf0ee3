package admission

import (
	"math"
	"time"
)

const (
	// mixHalfLife is the half-life of past requests in the mix of priorities. One instance among many
	// receives less than one request per second.
	mixHalfLife = 20 * time.Second
	// ownHalfLife is the half-life of past requests in this instance's own rate, which is used while
	// the rate of the others is unknown. It is shorter than a burst.
	ownHalfLife = 2 * time.Second
	// meanHalfLife is the half-life of the mean rate that a burst is expected to return to.
	meanHalfLife = 20 * time.Second
)

// arrivals estimates the rate of new requests to a service.
type arrivals struct {
	// mix counts this instance's requests by rank, own all of them with a shorter half-life, both as
	// of updatedAt.
	mix       [Ranks]float64
	own       float64
	updatedAt time.Time
	// peers is the rate of the other instances, in requests per second. mean is the mean rate of all
	// instances as of meanAt.
	peers  float64
	mean   float64
	meanAt time.Time
}

// decay reduces the counts by the time that has passed.
func (a *arrivals) decay(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if a.updatedAt.IsZero() || elapsed <= 0 {
		elapsed = 0
	}
	f := math.Exp2(-elapsed.Seconds() / mixHalfLife.Seconds())
	for p := range a.mix {
		a.mix[p] *= f
	}
	a.own *= math.Exp2(-elapsed.Seconds() / ownHalfLife.Seconds())
	a.updatedAt = now
}

// add counts a request of this instance.
func (a *arrivals) add(now time.Time, rank int) {
	a.decay(now)
	a.mix[rank]++
	a.own++
}

// setPeers records the rate of the other instances.
func (a *arrivals) setPeers(now time.Time, perSecond float64) {
	a.peers = perSecond
	rate := a.rate(now)
	if a.meanAt.IsZero() {
		a.mean, a.meanAt = rate, now
		return
	}
	keep := math.Exp2(-max(0, now.Sub(a.meanAt).Seconds()) / meanHalfLife.Seconds())
	a.mean, a.meanAt = keep*a.mean+(1-keep)*rate, now
}

// ownRate returns the rate of this instance, in requests per second.
func (a *arrivals) ownRate(now time.Time) float64 {
	a.decay(now)
	return a.own * math.Ln2 / ownHalfLife.Seconds()
}

// rate returns the rate of all instances, in requests per second.
func (a *arrivals) rate(now time.Time) float64 { return a.peers + a.ownRate(now) }

// share returns the share of requests whose rank is below the given one.
func (a *arrivals) share(below int) float64 {
	total, first := 0.0, 0.0
	for rank, n := range a.mix {
		total += n
		if rank < below {
			first += n
		}
	}
	if total == 0 {
		return 0
	}
	return first / total
}

// expected returns the rate of requests of a rank or more urgent ones, as expected at a time from
// now, if the rate is the given one now. What exceeds the mean is expected to end as bursts do.
func (a *arrivals) expected(rate, mean float64, rank int, from time.Duration) float64 {
	if rate > mean {
		rate = mean + (rate-mean)*math.Exp2(-from.Seconds()/burstHalfLife.Seconds())
	}
	return rate * a.share(rank+1)
}
