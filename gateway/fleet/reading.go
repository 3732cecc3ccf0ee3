package fleet

import "time"

const (
	// readInterval is the time between two reads of the store by a zone's reader, and between two
	// requests of the other instances to the reader. A change reaches all instances within 1.1 s.
	readInterval = 500 * time.Millisecond
	// startInterval is the time between two requests to the reader until the instance has a
	// configuration and a list of upstreams.
	startInterval = 200 * time.Millisecond
	// staleAfter is the age from which a view counts as stale, which means that the zone's reader
	// fails: two reads in a row were lost.
	staleAfter = 1200 * time.Millisecond
	// propagationReserve is the part of the time limit for putting a change in force that is
	// reserved for instances that the store rejects: they need it to hear of the change from an
	// instance that reads the store itself, and to fetch the configuration from that instance.
	propagationReserve = 2500 * time.Millisecond
	// standbyReaders is the number of instances of a zone, in addition to its reader, that read
	// the store as soon as their view is stale. The others (followers) start later, in time to meet
	// the limit for putting a change in force, and with growing intervals.
	standbyReaders = 2
	// maxDoublings is how often the interval between two reads of a follower is doubled at most,
	// which bounds it at 7 s.
	maxDoublings = 3
	// fallbackInterval is the time between two reads of a standby, and the initial one of a
	// follower, while the view is stale.
	fallbackInterval = 900 * time.Millisecond
	// startFallbackInterval is the same while the instance has no configuration or list yet. It is
	// longer, since there may be nothing to read until the first configuration is published, and
	// the zone's reader checks every readInterval.
	startFallbackInterval = 3 * time.Second
	// stoppedListInterval is the same for an instance that stopped reading a long list, to get it
	// from others, and has not received it.
	stoppedListInterval = time.Second
	// discoveryWait is how long a starting instance that has other seeds leaves long lists to
	// others, so that it discovers its peers first.
	discoveryWait = 300 * time.Millisecond
)

// readSchedule decides when an instance reads the store. It is not safe for concurrent use.
type readSchedule struct {
	// followerAge is the age of the view from which followers read the store themselves: the
	// store may reject the reads of their zone's reader and standbys, and peers that answer may
	// have nothing newer either.
	followerAge time.Duration
	// lastRead is the time of this instance's last read. reads is the number of reads since the
	// view was last fresh.
	lastRead time.Time
	reads    int
	// stopped is set if the last read stopped before the end of a long list, to leave it to
	// others.
	stopped bool
}

// newReadSchedule returns a schedule for changes that must be in force within bound.
func newReadSchedule(bound time.Duration) readSchedule {
	return readSchedule{followerAge: max(staleAfter, bound-propagationReserve)}
}

// role is an instance's role in reading the store for its zone.
type role int

// The roles.
const (
	// A reader reads the store for its zone at every interval. A standby reads it as soon as its
	// view is stale, a follower some time later.
	reader role = iota
	standby
	follower
)

// isStale reports whether a view is missing or so old that the zone's reader must have failed.
func isStale(ready bool, age time.Duration) bool { return !ready || age > staleAfter }

// due reports whether to read the store now. If so, it counts the read.
func (r *readSchedule) due(now time.Time, as role, ready bool, age time.Duration) bool {
	if !isStale(ready, age) {
		r.reads = 0
	}
	due := as == reader || isStale(ready, age) && r.mayFallBack(now, as, ready, age)
	if due {
		r.lastRead = now
		r.reads++
	}
	return due
}

// mayFallBack reports whether an instance that is not the zone's reader may read the store now.
// The caller has checked that its view is stale.
func (r *readSchedule) mayFallBack(now time.Time, as role, ready bool, age time.Duration) bool {
	interval := fallbackInterval
	if !ready {
		interval = startFallbackInterval
	}
	if !ready && r.stopped {
		// The instances that were to read the list may have failed.
		return now.Sub(r.lastRead) > stoppedListInterval
	}
	if as == follower {
		if ready && age <= r.followerAge {
			return false
		}
		interval <<= min(r.reads, maxDoublings)
	}
	return now.Sub(r.lastRead) > interval
}

// pollInterval returns the time until the next decision whether to read the store or ask the reader.
func pollInterval(as role, ready bool) time.Duration {
	if as == reader || ready {
		return readInterval
	}
	return startInterval
}
