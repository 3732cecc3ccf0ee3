package membership

import "time"

// stampUnit is the resolution of a Stamp.
const stampUnit = 100 * time.Millisecond

// driftDivisor bounds how much faster one machine's clock may run than
// another's: 1 in 2,000.
const driftDivisor = 2000

// Stamp is a time on an instance's own clock: how long its incarnation has run,
// in units of 100 ms. Only that instance makes stamps; others relay them with
// their age. A higher stamp proves a later sign of life, however late and by
// whatever way it comes.
type Stamp uint32

// newStamp converts an uptime.
func newStamp(uptime time.Duration) Stamp { return Stamp(max(uptime, 0) / stampUnit) }

// lifeClock keeps an instance's highest stamp and the estimate of when, on the
// local clock, its incarnation started. Delays only ever make a sign of life
// look later than it was, so that the least estimate is the best one. Both
// observations combine by maximum and minimum: order and repetition are without
// effect.
type lifeClock struct {
	known bool
	stamp Stamp
	// origin is the estimated start of the incarnation, as a local time since
	// the machine's epoch, less the drift allowance at the time of the estimate:
	// estimates get worse with age, and subtracting makes any two comparable.
	origin time.Duration
}

// observe takes in a stamp that was made age ago. now counts from the epoch.
func (c *lifeClock) observe(now time.Duration, s Stamp, age time.Duration) {
	origin := now - age - time.Duration(s)*stampUnit - now/driftDivisor
	if !c.known {
		*c = lifeClock{known: true, stamp: s, origin: origin}
		return
	}
	c.stamp = max(c.stamp, s)
	c.origin = min(c.origin, origin)
}

// heard returns when the last sign of life was given, since the epoch.
func (c *lifeClock) heard(now time.Duration) (time.Duration, bool) {
	if !c.known {
		return 0, false
	}
	t := c.origin + now/driftDivisor + time.Duration(c.stamp)*stampUnit
	return min(t, now), true
}
