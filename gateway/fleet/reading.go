package fleet

import "time"

const (
	// askInterval is the time between two questions to the instance that reads the store
	// for the zone.
	askInterval = 500 * time.Millisecond
	// startInterval is the same until an answer has brought configuration and list.
	startInterval = 200 * time.Millisecond
	// readingsInBound is how often the store is read in the time in which a change has to
	// be in force: reading, question and answer take under half of it together, so that
	// one of each may fail.
	readingsInBound = 4
	// leastReadInterval and mostReadInterval bound the time between two readings: faster
	// ones find nothing more, as upstreams report each 1.2 s, and orders to engines need a
	// list that is younger than 3 s.
	leastReadInterval = 250 * time.Millisecond
	mostReadInterval  = time.Second
	// standbyReaders is how many instances of a zone, beside its reader, read the store
	// while the view is old. With all 59 of a zone, 295 instances made 1,000 calls a second
	// during an outage of the store, and 2,600 before the first configuration was there.
	standbyReaders = 2
	// fallbackInterval is the time between two readings of an instance that should not
	// need to read.
	fallbackInterval = 900 * time.Millisecond
	// startFallback is the same while nothing is known yet: there may be nothing to
	// know until the first configuration is published, and the zone's reader looks
	// every askInterval.
	startFallback = 3 * time.Second
)

// reading decides when an instance reads the store. It is not safe for concurrent use.
type reading struct {
	// interval is the time between two readings of a zone's reader.
	interval time.Duration
	// last is when this instance last read, answered when a peer last told its view.
	last, answered time.Time
}

// newReading returns the decision for changes that have to be in force within a bound.
func newReading(bound time.Duration) reading {
	return reading{interval: min(mostReadInterval, max(leastReadInterval, bound/readingsInBound))}
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
func (r *reading) old(ready bool, age time.Duration) bool {
	return !ready || age > r.interval*12/5
}

// due reports whether to read the store now. An instance that is neither reader nor
// standby reads only while no peer answers it: with an old view of their own, peers know
// as much of the store as it would find out.
func (r *reading) due(now time.Time, as role, ready bool, age time.Duration) bool {
	if as == reader {
		return true
	}
	if !r.old(ready, age) || as == follower && !r.old(true, now.Sub(r.answered)) {
		return false
	}
	if ready {
		return now.Sub(r.last) > fallbackInterval
	}
	return now.Sub(r.last) > startFallback
}

// wait returns the time until the next look.
func (r *reading) wait(as role, ready bool) time.Duration {
	switch {
	case as == reader && ready:
		return r.interval
	case as == reader || ready:
		return askInterval
	default:
		return startInterval
	}
}
