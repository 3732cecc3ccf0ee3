package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// relistInterval is how often the store is listed even while its changes can be read, which
// corrects the list if the store omitted changes. It stays within the shortest history.
const relistInterval = 10 * time.Second

// storedUpstreams is a copy of the store's upstreams, updated by its changes. The zero value
// holds no list. It is not safe for concurrent use.
type storedUpstreams struct {
	upstreams map[ident.UpstreamID]dialect.Upstream
	// next is the revision after which changes are read.
	next     int64
	listedAt time.Time
	// merged reports whether the view has taken in the list.
	merged bool
	// directivesPending reports that directives changed and have not been read since.
	directivesPending bool
}

// replace sets the list to one read in full at the given time.
func (s *storedUpstreams) replace(now time.Time, list []dialect.Upstream, revision int64) {
	s.upstreams = make(map[ident.UpstreamID]dialect.Upstream, len(list))
	for _, u := range list {
		s.upstreams[u.ID] = u
	}
	s.next, s.listedAt = revision, now
	// They may have changed between their last read and this list.
	s.directivesPending = true
}

// canApplyChanges reports whether there is a list that is not yet due to be read again.
func (s *storedUpstreams) canApplyChanges(now time.Time) bool {
	return s.upstreams != nil && now.Sub(s.listedAt) < relistInterval
}

// clear resets s to the zero value.
func (s *storedUpstreams) clear() { *s = storedUpstreams{} }

// apply updates the list with changes that follow its revision.
func (s *storedUpstreams) apply(c dialect.Changes) {
	for _, id := range c.Gone {
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
