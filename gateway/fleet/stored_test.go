package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// changingStore is a store that reports changes and counts the calls to it.
type changingStore struct {
	version  int64
	list     []dialect.Upstream
	revision int64
	// next is returned by the next call of Changes.
	next dialect.Changes
	// historyLost makes the next call of Changes fail with a HistoryLostError.
	historyLost bool
	down        bool
	// directivesDown makes only the calls of Directives fail.
	directivesDown bool

	listCalls, directivesCalls, changesCalls int
}

func (s *changingStore) Directives(context.Context) (dialect.Directives, error) {
	s.directivesCalls++
	if s.down || s.directivesDown {
		return dialect.Directives{}, &dialect.StatusError{Op: "store", Status: 503}
	}
	return dialect.Directives{Config: &routing.Config{Version: s.version}, Evacuation: routing.Evacuation{Revision: s.revision}}, nil
}

func (s *changingStore) Upstreams(context.Context, func() bool) ([]dialect.Upstream, int64, error) {
	s.listCalls++
	if s.down {
		return nil, 0, &dialect.StatusError{Op: "store", Status: 503}
	}
	return s.list, s.revision, nil
}

func (*changingStore) History(context.Context, int64) (dialect.History, error) {
	return dialect.History{}, nil
}

func (s *changingStore) Changes(_ context.Context, after int64) (dialect.Changes, error) {
	s.changesCalls++
	switch {
	case s.down:
		return dialect.Changes{}, &dialect.StatusError{Op: "store", Status: 503}
	case s.historyLost:
		s.historyLost = false
		return dialect.Changes{}, &dialect.HistoryLostError{After: after}
	}
	c := s.next
	c.Next = max(after, c.Revision)
	s.revision = max(s.revision, c.Next)
	c.Revision = s.revision
	s.next = dialect.Changes{}
	return c, nil
}

// TestReaderFollowsChanges checks that the store is listed once and then only asked for changes,
// that it is listed again when its history is lost, and that directives are read again only
// when they change.
func TestReaderFollowsChanges(t *testing.T) {
	s := &changingStore{version: 1, list: []dialect.Upstream{up("a"), up("b")}, revision: 10}
	n := newTestNode(t, s)
	read := func() string {
		n.readStore(t.Context())
		return names(n.Snapshot())
	}
	assert.Equal(t, read(), "ab")
	assert.Equal(t, s.listCalls+s.directivesCalls, 2)
	assert.Equal(t, read(), "ab")
	assert.Equal(t, s.listCalls+s.directivesCalls, 3, "directives may have changed before the list")
	assert.Equal(t, read(), "ab")
	s.next = dialect.Changes{Upstreams: []dialect.Upstream{up("c")}, Removed: []ident.UpstreamID{"a"}, Revision: 12}
	assert.Equal(t, read(), "bc")
	assert.Equal(t, n.Snapshot().Revision, int64(12))
	assert.Equal(t, s.listCalls+s.directivesCalls, 3)

	s.version, s.next = 2, dialect.Changes{DirectivesChanged: true, Revision: 13}
	read()
	assert.Equal(t, n.Snapshot().Version(), int64(2))
	assert.Assert(t, n.ConfigAge() < time.Second)

	s.historyLost, s.list, s.revision = true, []dialect.Upstream{up("d")}, 20
	assert.Equal(t, read(), "d")
	assert.Equal(t, s.listCalls, 2)
}

// TestFailedReadLosesNoChange checks that changes missed by a failed read are in the next one,
// and that each read during an outage makes a single call.
func TestFailedReadLosesNoChange(t *testing.T) {
	s := &changingStore{version: 1, list: []dialect.Upstream{up("a")}, revision: 10}
	n := newTestNode(t, s)
	n.readStore(t.Context())
	s.down = true
	calls := s.listCalls + s.directivesCalls + s.changesCalls
	n.readStore(t.Context())
	assert.Equal(t, s.listCalls+s.directivesCalls+s.changesCalls, calls+1)
	s.down, s.next = false, dialect.Changes{Upstreams: []dialect.Upstream{up("b")}, DirectivesChanged: true, Revision: 11}
	s.version = 2
	n.readStore(t.Context())
	assert.Equal(t, names(n.Snapshot()), "ab")
	assert.Equal(t, n.Snapshot().Version(), int64(2))
	assert.Assert(t, n.storeDown.IsZero())

	// Directives change while they can't be read.
	s.version, s.next, s.directivesDown = 3, dialect.Changes{DirectivesChanged: true, Revision: 12}, true
	n.readStore(t.Context())
	assert.Equal(t, n.Snapshot().Version(), int64(2))
	s.directivesDown = false
	n.readStore(t.Context())
	assert.Equal(t, n.Snapshot().Version(), int64(3))
}

// TestStoreIsRelistedPeriodically guards against a list that is never corrected after the store
// omitted changes.
func TestStoreIsRelistedPeriodically(t *testing.T) {
	var s storedUpstreams
	assert.Assert(t, !s.loaded())
	assert.Assert(t, !s.relistDue(epoch))
	s.replace(epoch, []dialect.Upstream{up("a")}, 1, 1)
	assert.Assert(t, s.loaded())
	assert.Assert(t, !s.relistDue(epoch.Add(relistInterval-1)))
	assert.Assert(t, s.relistDue(epoch.Add(relistInterval)))
	// Listing takes no more calls than reading the changes.
	s.replace(epoch, []dialect.Upstream{up("a")}, 1, longListPages)
	assert.Assert(t, !s.relistDue(epoch.Add(longListPages*readInterval-1)))
	assert.Assert(t, s.relistDue(epoch.Add(longListPages*readInterval)))
	s.clear()
	assert.Assert(t, !s.loaded())
}

// historyStore is a store of upstreams that are only added, each by a revision of its own.
type historyStore struct {
	mu    sync.Mutex
	added []ident.UpstreamID
	// blockList makes calls of Upstreams send to listing and wait for unblockList.
	blockList            bool
	listing, unblockList chan struct{}
	// duringChanges is run by the next call of Changes.
	duringChanges func()
}

func (s *historyStore) Directives(context.Context) (dialect.Directives, error) {
	return dialect.Directives{Config: &routing.Config{Version: 1}}, nil
}

// add adds upstreams, each with the next revision.
func (s *historyStore) add(ids ...ident.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.added = append(s.added, ids...)
}

// after returns the upstreams that were added after a revision, and the newest revision.
func (s *historyStore) after(revision int64) ([]dialect.Upstream, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []dialect.Upstream
	for _, id := range s.added[revision:] {
		list = append(list, up(string(id)))
	}
	return list, int64(len(s.added))
}

func (s *historyStore) Upstreams(context.Context, func() bool) ([]dialect.Upstream, int64, error) {
	list, revision := s.after(0)
	if s.blockList {
		s.listing <- struct{}{}
		<-s.unblockList
	}
	return list, revision, nil
}

func (*historyStore) History(context.Context, int64) (dialect.History, error) {
	return dialect.History{}, nil
}

func (s *historyStore) Changes(_ context.Context, after int64) (dialect.Changes, error) {
	if s.duringChanges != nil {
		s.duringChanges()
		s.duringChanges = nil
	}
	list, revision := s.after(after)
	return dialect.Changes{Upstreams: list, Next: revision, Revision: revision}, nil
}

// TestRelistDoesNotDelayChanges guards against a reader whose view becomes stale while it reads a
// long list again, so that other instances read the store too, and against losing changes when
// that list, which is older than they are, arrives.
func TestRelistDoesNotDelayChanges(t *testing.T) {
	s := &historyStore{listing: make(chan struct{}), unblockList: make(chan struct{})}
	n := newTestNode(t, s)
	s.add("a", "b")
	n.readStore(t.Context())
	s.blockList = true
	n.stored.listedAt = clock.Now().Add(-relistInterval)
	n.readStore(t.Context())
	<-s.listing
	s.add("c")
	n.readStore(t.Context())
	assert.Equal(t, names(n.Snapshot()), "abc")
	s.add("d")
	s.duringChanges = func() {
		close(s.unblockList)
		for n.isRelisting() {
			time.Sleep(time.Millisecond)
		}
	}
	n.readStore(t.Context())
	n.readStore(t.Context())
	assert.Equal(t, names(n.Snapshot()), "abcd")
}

// isRelisting reports whether the list is being read again.
func (n *Node) isRelisting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relisting
}

// TestRejectedListIsMergedLater guards against losing a change that was read while a peer's newer
// list arrived.
func TestRejectedListIsMergedLater(t *testing.T) {
	s := &changingStore{version: 1, list: []dialect.Upstream{up("a")}, revision: 10}
	n := newTestNode(t, s)
	n.readStore(t.Context())
	n.readStore(t.Context())
	n.mergeList(time.Now().Add(time.Minute), 12, []dialect.Upstream{up("a")}, FromPeer, "peer")
	s.next = dialect.Changes{Upstreams: []dialect.Upstream{up("b")}, Revision: 13}
	n.readStore(t.Context())
	assert.Equal(t, names(n.Snapshot()), "a")
	n.view.asOf = time.Now().Add(-time.Second)
	n.readStore(t.Context())
	assert.Equal(t, names(n.Snapshot()), "ab")
}

// TestQuietStoreKeepsTheViewFresh guards against a view that becomes stale because a peer's list
// has a higher revision than the last change.
func TestQuietStoreKeepsTheViewFresh(t *testing.T) {
	s := &changingStore{version: 1, list: []dialect.Upstream{up("a")}, revision: 10}
	n := newTestNode(t, s)
	n.readStore(t.Context())
	s.revision = 15
	n.mergeList(time.Now(), 15, []dialect.Upstream{up("a")}, FromPeer, "peer")
	before := n.Snapshot().AsOf
	n.readStore(t.Context())
	assert.Assert(t, n.Snapshot().AsOf.After(before))
}

// TestStoredChangesAfterAPeersList guards against upstreams that only a peer lists and that stay
// listed after the store's next change.
func TestStoredChangesAfterAPeersList(t *testing.T) {
	s := &changingStore{version: 1, list: []dialect.Upstream{up("a")}, revision: 10}
	n := newTestNode(t, s)
	n.readStore(t.Context())
	assert.Assert(t, n.mergeList(clock.Now(), 10, []dialect.Upstream{up("a"), up("x")}, FromPeer, "peer"))
	s.next = dialect.Changes{Upstreams: []dialect.Upstream{up("b")}, Revision: 11}
	n.readStore(t.Context())
	assert.Equal(t, names(n.Snapshot()), "ab")
}
