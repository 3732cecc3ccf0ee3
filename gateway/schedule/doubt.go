package schedule

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// suspicionWindow is the time within which failures in one zone count as related.
	suspicionWindow = 1500 * time.Millisecond
	// suspectAfter is the number of a zone's upstreams that must have been unreachable for the
	// zone to be suspected.
	suspectAfter = 2
	// suspicionTTL is how long a zone remains suspected after the last failure.
	suspicionTTL = 3 * time.Second
)

// zoneSuspicion is the evidence that a zone is unreachable from this instance. Detecting that
// for each upstream separately would cost one request per upstream that waits for a time-out.
type zoneSuspicion struct {
	firstFailure time.Time
	lastFailure  time.Time
	// failed holds the upstreams that were unreachable since firstFailure.
	failed map[ident.UpstreamID]bool
}

// suspectZone records that an upstream was unreachable. The instance's own zone is never
// suspected. The caller holds mu.
func (b *Scheduler) suspectZone(now time.Time, rec *upstreamRecord) {
	zone := rec.up.Zone
	if zone == b.zone {
		return
	}
	s := b.suspicions[zone]
	if s == nil || now.Sub(s.lastFailure) > suspicionWindow && len(s.failed) < suspectAfter || now.Sub(s.lastFailure) > suspicionTTL {
		s = &zoneSuspicion{firstFailure: now, failed: map[ident.UpstreamID]bool{}}
		b.suspicions[zone] = s
	}
	s.lastFailure = now
	s.failed[rec.up.ID] = true
}

// suspectStalledZones records the engines of other zones whose streams have stalled. This
// detects a network partition within stallTimeout, instead of only after the first new requests
// have waited for time-outs of 400 to 500 ms. The caller holds mu.
func (b *Scheduler) suspectStalledZones(now time.Time) {
	for id := range b.active {
		if rec := b.records[id]; rec != nil && rec.stalled(now) {
			b.suspectZone(now, rec)
		}
	}
}

// inSuspectedZone reports whether an upstream is in a zone that is suspected to be unreachable,
// and has not responded since the first failure there. The caller holds mu.
func (b *Scheduler) inSuspectedZone(now time.Time, rec *upstreamRecord) bool {
	s := b.suspicions[rec.up.Zone]
	if s == nil || len(s.failed) < suspectAfter || now.Sub(s.lastFailure) > suspicionTTL {
		return false
	}
	return !rec.lastSeen.After(s.firstFailure)
}
