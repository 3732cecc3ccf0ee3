package fleet

import "time"

const (
	// readInterval is the time between two readings of a zone's reader, and between two
	// questions to it: a change is known to all within 1.1 s.
	readInterval = 500 * time.Millisecond
	// startInterval is the time between two questions until an answer has brought
	// configuration and list.
	startInterval = 200 * time.Millisecond
	// oldAfter is the age of a view that shows that the zone's reader fails: two readings
	// were lost.
	oldAfter = 1200 * time.Millisecond
	// reserved is the part of the time in which a change has to be in force that is kept
	// for an instance that the store turns away: to hear of the change from one that reads
	// for itself, and to get the configuration from it.
	reserved = 2500 * time.Millisecond
	// standbyReaders is how many instances of a zone, beside its reader, read the store as
	// soon as the view is old; the others follow when the time in which a change has to be
	// in force runs out, more and more seldom.
	standbyReaders = 2
	// mostDoublings bounds the time between two readings of a follower, 7 s.
	mostDoublings = 3
	// fallbackInterval is the time between two readings of an instance that should not
	// need to read.
	fallbackInterval = 900 * time.Millisecond
	// startFallback is the same while nothing is known yet: there may be nothing to
	// know until the first configuration is published, and the zone's reader looks
	// every readInterval.
	startFallback = 3 * time.Second
	// stoppedInterval is the same for one that left a long list to others, and has not got it
	// from them.
	stoppedInterval = time.Second
	// discoveryWait is how long a starting instance that has other seeds leaves long lists to
	// others, so that it discovers its peers first.
	discoveryWait = 300 * time.Millisecond
)

// reading decides when an instance reads the store. It is not safe for concurrent use.
type reading struct {
	// follow is the age of a view from which followers read for themselves: the store may
	// turn their zone's reader and standbys away, and peers that answer may know no more.
	follow time.Duration
	// last is when this instance last read; tries counts the readings since the view was
	// last fresh.
	last  time.Time
	tries int
	// stopped means that the last reading left a long list to others.
	stopped bool
}

// newReading returns the decision for changes that have to be in force within a bound.
func newReading(bound time.Duration) reading {
	return reading{follow: max(oldAfter, bound-reserved)}
}

// role is an instance's part in reading the store for its zone.
type role int

// The roles.
const (
	// reader instances read for the zone, standby ones while the view is old.
	reader role = iota
	standby
	follower
)

// old reports whether a view of the given age shows that the zone's reader fails.
func old(ready bool, age time.Duration) bool { return !ready || age > oldAfter }

// due reports whether to read the store now, and counts the reading.
func (r *reading) due(now time.Time, as role, ready bool, age time.Duration) bool {
	if !old(ready, age) {
		r.tries = 0
	}
	due := as == reader || old(ready, age) && r.mayFallBack(now, as, ready, age)
	if due {
		r.last = now
		r.tries++
	}
	return due
}

// mayFallBack reports whether an instance that is not the zone's reader reads now.
func (r *reading) mayFallBack(now time.Time, as role, ready bool, age time.Duration) bool {
	interval := fallbackInterval
	if !ready {
		interval = startFallback
	}
	if !ready && r.stopped {
		// Those to whom it was left may not have got it.
		return now.Sub(r.last) > stoppedInterval
	}
	if as == follower {
		if ready && age <= r.follow {
			return false
		}
		interval <<= min(r.tries, mostDoublings)
	}
	return now.Sub(r.last) > interval
}

// lookAfter returns the time until the next look.
func lookAfter(as role, ready bool) time.Duration {
	if as == reader || ready {
		return readInterval
	}
	return startInterval
}
