package fleet

import "time"

const (
	// readInterval is the time between two reads of the store by a zone's reader, and between two
	// requests of the other instances to the reader. A change reaches all instances within 1.1 s.
	readInterval = 500 * time.Millisecond
	// startInterval is the time between two requests to the reader until the instance has a
	// configuration and a list of upstreams.
	startInterval = 200 * time.Millisecond
	// oldAfter is the age from which a view counts as old, which means that the zone's reader
	// fails: two reads in a row were lost.
	oldAfter = 1200 * time.Millisecond
	// reserved is the part of the time limit for putting a change in force that is reserved for
	// instances that the store rejects: they need it to hear of the change from an instance that
	// reads the store itself, and to fetch the configuration from that instance.
	reserved = 2500 * time.Millisecond
	// standbyReaders is the number of instances of a zone, in addition to its reader, that read
	// the store as soon as their view is old. The others (followers) start later, in time to meet
	// the limit for putting a change in force, and with growing intervals.
	standbyReaders = 2
	// mostDoublings is how often the interval between two reads of a follower is doubled at most,
	// which bounds it at 7 s.
	mostDoublings = 3
	// fallbackInterval is the time between two reads of a standby, and the initial one of a
	// follower, while the view is old.
	fallbackInterval = 900 * time.Millisecond
	// startFallback is the same while the instance has no configuration or list yet. It is
	// longer, since there may be nothing to read until the first configuration is published, and
	// the zone's reader checks every readInterval.
	startFallback = 3 * time.Second
	// stoppedInterval is the same for an instance that stopped reading a long list, to get it
	// from others, and has not received it.
	stoppedInterval = time.Second
	// discoveryWait is how long a starting instance that has other seeds leaves long lists to
	// others, so that it discovers its peers first.
	discoveryWait = 300 * time.Millisecond
)

// reading decides when an instance reads the store. It is not safe for concurrent use.
type reading struct {
	// follow is the age of the view from which followers read the store themselves: the store may
	// reject the reads of their zone's reader and standbys, and peers that answer may have
	// nothing newer either.
	follow time.Duration
	// last is the time of this instance's last read. tries counts the reads since the view was
	// last fresh.
	last  time.Time
	tries int
	// stopped is set if the last read stopped before the end of a long list, to leave it to
	// others.
	stopped bool
}

// newReading returns a reading for changes that must be in force within bound.
func newReading(bound time.Duration) reading {
	return reading{follow: max(oldAfter, bound-reserved)}
}

// role is an instance's role in reading the store for its zone.
type role int

// The roles.
const (
	// A reader reads the store for its zone at every interval. A standby reads it as soon as its
	// view is old, a follower some time later.
	reader role = iota
	standby
	follower
)

// old reports whether a view is missing or so old that the zone's reader must have failed.
func old(ready bool, age time.Duration) bool { return !ready || age > oldAfter }

// due reports whether to read the store now. If so, it counts the read.
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

// mayFallBack reports whether an instance that is not the zone's reader may read the store now.
// The caller has checked that its view is old.
func (r *reading) mayFallBack(now time.Time, as role, ready bool, age time.Duration) bool {
	interval := fallbackInterval
	if !ready {
		interval = startFallback
	}
	if !ready && r.stopped {
		// The instances that were to read the list may have failed.
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

// lookAfter returns the time until the next decision whether to read the store or ask the reader.
func lookAfter(as role, ready bool) time.Duration {
	if as == reader || ready {
		return readInterval
	}
	return startInterval
}
