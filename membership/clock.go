package membership

import "time"

// stampUnit is the resolution of a Stamp.
const stampUnit = 100 * time.Millisecond

// driftDivisor bounds how much faster one machine's clock may run than
// another's: by 1 part in 2,000.
const driftDivisor = 2000

// Stamp is a time on an instance's own clock: the uptime of its incarnation in
// units of 100 ms. Only that instance creates stamps; others relay them
// together with their age. A higher stamp is later evidence of liveness,
// whatever its delay and path.
type Stamp uint32

// newStamp converts an uptime to a Stamp.
func newStamp(uptime time.Duration) Stamp { return Stamp(max(uptime, 0) / stampUnit) }

// livenessClock holds an instance's highest stamp and an estimate of when its
// incarnation started, on the local clock. A delay can only make the start
// appear later than it was, so the lowest estimate is the best. Stamps merge by
// maximum and estimates by minimum, so that order and repetition have no
// effect.
type livenessClock struct {
	known bool
	stamp Stamp
	// origin is the estimated start of the incarnation, as local time since the
	// machine's epoch, minus the drift allowance at the time of the estimate.
	// Estimates become less accurate with age; the subtraction makes any two
	// comparable.
	origin time.Duration
}

// observe records a stamp that was created age ago. now counts from the epoch.
func (c *livenessClock) observe(now time.Duration, s Stamp, age time.Duration) {
	origin := now - age - time.Duration(s)*stampUnit - now/driftDivisor
	if !c.known {
		*c = livenessClock{known: true, stamp: s, origin: origin}
		return
	}
	c.stamp = max(c.stamp, s)
	c.origin = min(c.origin, origin)
}

// latestAt returns the estimated time of the latest stamp, since the epoch.
func (c *livenessClock) latestAt(now time.Duration) (time.Duration, bool) {
	if !c.known {
		return 0, false
	}
	t := c.origin + now/driftDivisor + time.Duration(c.stamp)*stampUnit
	return min(t, now), true
}
