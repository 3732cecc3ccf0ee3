package schedule

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// doubtWindow is the time within which failures in one zone belong together.
	doubtWindow = 1500 * time.Millisecond
	// doubtAfter is how many upstreams of a zone must have been unreachable.
	doubtAfter = 2
	// doubtFor is how long a zone is doubted after the last failure.
	doubtFor = 3 * time.Second
)

// doubt is what speaks for a zone being cut off from this instance. Finding that
// out upstream by upstream costs each a request that waits for a time-out.
type doubt struct {
	since time.Time
	last  time.Time
	// failed are the upstreams that were unreachable since.
	failed map[ident.UpstreamID]bool
}

// doubt notes that an upstream was unreachable. The caller holds mu.
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

// doubtQuiet notes the engines of other zones that fell silent in the middle of
// streams: a cut shows there within quietAfter, and not only when the first new
// requests have waited for time-outs of 400 to 500 ms. The caller holds mu.
func (b *Books) doubtQuiet(now time.Time) {
	for id := range b.active {
		if k := b.books[id]; k != nil && k.quiet(now) {
			b.doubt(now, k)
		}
	}
}

// doubted reports whether an upstream is in a zone that seems cut off, and has not
// answered since that began. The caller holds mu.
func (b *Books) doubted(now time.Time, k *book) bool {
	d := b.doubts[k.up.Zone]
	if d == nil || len(d.failed) < doubtAfter || now.Sub(d.last) > doubtFor {
		return false
	}
	return !k.lastGood.After(d.since)
}
