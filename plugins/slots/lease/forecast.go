package lease

import (
	"math"
	"time"
)

// fits reports whether one more lease, whose slot is put to use after lead,
// stays within limit slots. With a risk of zero or more, leases whose slots are
// likely free by then do not count: the mean forecast of slots in use plus risk
// standard deviations must leave one free, both when the new lease begins and
// whenever another one begins after it.
func (l *ledger) fits(now time.Time, lead time.Duration, limit int, risk float64) bool {
	if len(l.leases) < limit {
		return true
	}
	if risk < 0 || limit <= 0 || len(l.leases) >= limit+limit/maxAhead {
		return false
	}
	start := now.Add(max(lead, 0))
	if !l.roomAt(now, start, limit, risk) {
		return false
	}
	for i := range l.leases {
		begin := l.leases[i].usedAt
		if begin.After(start) && !l.roomAt(now, begin, limit, risk) {
			return false
		}
	}
	return true
}

// roomAt reports whether one more slot is forecast to be free at the given time.
func (l *ledger) roomAt(now, at time.Time, limit int, risk float64) bool {
	mean, variance := 0.0, 0.0
	for i := range l.leases {
		p := l.holding(&l.leases[i], now, at)
		mean += p
		variance += p * (1 - p)
	}
	return mean+risk*math.Sqrt(variance)+1 <= float64(limit)
}

// holding returns the chance that the lease's slot is in use at a later time.
func (l *ledger) holding(x *lease, now, at time.Time) float64 {
	if x.usedAt.After(at) {
		return 0
	}
	if x.usedAt.After(now) {
		return l.holds.survival(0, at.Sub(x.usedAt), x.output)
	}
	return l.holds.survival(now.Sub(x.usedAt), at.Sub(now), x.output)
}

// nextFree returns the expected time until the next of the leased slots falls
// free, guessing when little was observed.
func (l *ledger) nextFree() time.Duration {
	if len(l.leases) == 0 {
		return guessHold
	}
	output := 0
	for i := range l.leases {
		output += l.leases[i].output
	}
	hold := l.holds.mean(output / len(l.leases))
	if hold <= 0 {
		hold = guessHold
	}
	return hold / time.Duration(len(l.leases))
}

// guessHold is taken as the time a slot is held until some were observed.
const guessHold = 2 * time.Second
