package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// relistInterval is the minimum time between two reads of the full list while the store's
	// changes can be read. Reading the list again corrects it if the store omitted changes.
	relistInterval = 10 * time.Second
	// relistPerPage is the minimum time per page of the list, so that listing takes no more calls
	// than reading the changes.
	relistPerPage = readInterval
)

// storedUpstreams is a copy of the store's upstreams, updated with its changes. The zero value
// holds no list. It is not safe for concurrent use.
type storedUpstreams struct {
	upstreams map[ident.UpstreamID]dialect.Upstream
	// next is the revision after which changes are read.
	next     int64
	listedAt time.Time
	// pages is the number of pages in which the list was read.
	pages int
	// merged reports whether the view has merged the list in its current state.
	merged bool
	// directivesPending reports that directives changed and have not been read since.
	directivesPending bool
}

// replace sets the list to one read in full at the given time.
func (s *storedUpstreams) replace(now time.Time, list []dialect.Upstream, revision int64, pages int) {
	s.upstreams = make(map[ident.UpstreamID]dialect.Upstream, len(list))
	for _, u := range list {
		s.upstreams[u.ID] = u
	}
	s.next, s.listedAt, s.pages = revision, now, pages
	// Directives may have changed between their last read and this list.
	s.directivesPending = true
}

// loaded reports whether a list has been read.
func (s *storedUpstreams) loaded() bool { return s.upstreams != nil }

// relistDue reports whether the list is due to be read again.
func (s *storedUpstreams) relistDue(now time.Time) bool {
	return s.loaded() && now.Sub(s.listedAt) >= max(relistInterval, time.Duration(s.pages)*relistPerPage)
}

// clear resets s to the zero value.
func (s *storedUpstreams) clear() { *s = storedUpstreams{} }

// apply updates the list with changes that follow its revision.
func (s *storedUpstreams) apply(c dialect.Changes) {
	for _, id := range c.Removed {
		delete(s.upstreams, id)
	}
	for _, u := range c.Upstreams {
		s.upstreams[u.ID] = u
	}
	s.next = c.Next
	s.merged = s.merged && !c.UpstreamsChanged()
	s.directivesPending = s.directivesPending || c.DirectivesChanged
}

// list returns the upstreams in unspecified order.
func (s *storedUpstreams) list() []dialect.Upstream { return slices.Collect(maps.Values(s.upstreams)) }
