package schedule

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// doubtWindow is the time within which failures in one zone count as related.
	doubtWindow = 1500 * time.Millisecond
	// doubtAfter is the number of a zone's upstreams that must have been unreachable for the
	// zone to be suspected.
	doubtAfter = 2
	// doubtFor is how long a zone remains suspected after the last failure.
	doubtFor = 3 * time.Second
)

// doubt is the evidence that a zone is unreachable from this instance. Detecting that for each
// upstream separately would cost one request per upstream that waits for a time-out.
type doubt struct {
	since time.Time
	last  time.Time
	// failed holds the upstreams that were unreachable since then.
	failed map[ident.UpstreamID]bool
}

// doubt records that an upstream was unreachable. The instance's own zone is never suspected.
// The caller holds mu.
func (b *Books) doubt(now time.Time, k *book) {
	zone := k.up.Zone
	if zone == b.zone {
		return
	}
	d := b.doubts[zone]
	if d == nil || now.Sub(d.last) > doubtWindow && len(d.failed) < doubtAfter || now.Sub(d.last) > doubtFor {
		d = &doubt{since: now, failed: map[ident.UpstreamID]bool{}}
		b.doubts[zone] = d
	}
	d.last = now
	d.failed[k.up.ID] = true
}

// doubtQuiet records the engines of other zones whose streams have stalled. This detects a
// network partition within quietAfter, instead of only after the first new requests have waited
// for time-outs of 400 to 500 ms. The caller holds mu.
func (b *Books) doubtQuiet(now time.Time) {
	for id := range b.active {
		if k := b.books[id]; k != nil && k.quiet(now) {
			b.doubt(now, k)
		}
	}
}

// doubted reports whether an upstream is in a zone that is suspected to be unreachable, and has
// not responded since the first failure there. The caller holds mu.
func (b *Books) doubted(now time.Time, k *book) bool {
	d := b.doubts[k.up.Zone]
	if d == nil || len(d.failed) < doubtAfter || now.Sub(d.last) > doubtFor {
		return false
	}
	return !k.lastGood.After(d.since)
}
