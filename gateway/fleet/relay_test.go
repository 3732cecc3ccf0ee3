package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/peer"
)

// fakeStore is a store that holds only directives. Its configuration may be replaced, and it can
// be made unavailable.
type fakeStore struct {
	mu     sync.Mutex
	config *routing.Config
	down   bool
	reads  int
}

func (f *fakeStore) Directives(context.Context) (dialect.Directives, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return dialect.Directives{}, &dialect.StatusError{Op: "store", Status: 503}
	}
	return dialect.Directives{Config: f.config, Evacuation: routing.Evacuation{Revision: int64(f.reads)}}, nil
}

func (f *fakeStore) Upstreams(context.Context, func() bool) ([]dialect.Upstream, int64, error) {
	return nil, 0, &dialect.StatusError{Op: "store", Status: 503}
}

func (*fakeStore) History(context.Context, int64) (dialect.History, error) {
	return dialect.History{}, nil
}

func (f *fakeStore) Changes(_ context.Context, after int64) (dialect.Changes, error) {
	return dialect.Changes{}, &dialect.HistoryLostError{After: after}
}

func newTestNode(t *testing.T, source dialect.Source) *Node {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	config := peer.Config{Self: peer.Identity{Instance: "a", Zone: "z"}, Allow: func(peer.Identity) bool { return true }, Log: log}
	pool := peer.NewPool(config)
	t.Cleanup(pool.Close)
	return NewNode(Options{
		Self: Member{ID: "a", Zone: "z"}, Source: source, Pool: pool, Server: peer.NewServer(config), Log: log,
		Load: NewLoad, Changed: func(*Snapshot) {}, LoadChanged: func(Load, time.Duration) {},
	})
}

// largeConfig returns a configuration with many routes.
func largeConfig(version int64) *routing.Config {
	c := &routing.Config{Version: version, Services: map[string]routing.Service{"s": {Name: "s"}}}
	for i := range 900 {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprintf("route-%d", i), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i), Kind: routing.Stream, Timeout: time.Second, Services: []routing.WeightedService{{Service: "s", Weight: 100}}})
	}
	return c
}

// TestViewNamesTheConfigurationOnly guards against views that contain the configuration, which
// would delay the lists if it is large, and against lists that are sent although the peer has the
// same.
func TestViewNamesTheConfigurationOnly(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	n.applyConfig(largeConfig(7), "test")
	n.mergeList(time.Now(), 3, []dialect.Upstream{up("a"), up("b")}, FromStore, "test")
	a, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{})
	assert.NilError(t, err)
	assert.Equal(t, a.Version, int64(7))
	assert.Assert(t, !a.Same)
	assert.Equal(t, len(listOf(t, a, NewView().Snapshot())), 2)
	same, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{Digest: n.Snapshot().Digest()})
	assert.NilError(t, err)
	assert.Assert(t, same.Same && same.Whole == nil && same.Changed == nil)
	n.mergeList(time.Now(), 4, []dialect.Upstream{up("a")}, FromStore, "test")
	differs, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{Digest: n.Snapshot().Digest() + 1})
	assert.NilError(t, err)
	assert.Equal(t, len(listOf(t, differs, NewView().Snapshot())), 1)
}

// listOf returns the list in an answer to an instance with the given snapshot.
func listOf(t *testing.T, a ViewAnswer, s *Snapshot) []dialect.Upstream {
	t.Helper()
	list, err := a.list(s)
	assert.NilError(t, err)
	return list
}

// TestDigestTellsListsApart checks that the digest depends on each field that matters, but not on
// the order.
func TestDigestTellsListsApart(t *testing.T) {
	digest := func(ups ...dialect.Upstream) uint64 {
		v := NewView()
		mergeList(v, 0, 1, ups...)
		return v.Snapshot().Digest()
	}
	leaving := up("a")
	leaving.Leaving = true
	decode := up("a")
	decode.Stage = dialect.StageDecode
	assert.Equal(t, digest(up("a"), up("b")), digest(up("b"), up("a")))
	seen := map[uint64]bool{}
	for _, d := range []uint64{digest(), digest(up("a")), digest(up("b")), digest(leaving), digest(decode), digest(up("a"), up("b"))} {
		assert.Assert(t, !seen[d])
		seen[d] = true
	}
}

// TestNewConfigurationIsReadFromTheStore checks that a version announced by a peer is read from
// the store, and that the current version stays in force if the store is behind or unavailable.
func TestNewConfigurationIsReadFromTheStore(t *testing.T) {
	store := &fakeStore{config: largeConfig(9)}
	n := newTestNode(t, store)
	assert.Assert(t, n.fetchConfigFromStore(9))
	assert.Equal(t, n.Snapshot().Version(), int64(9))
	assert.Assert(t, !n.fetchConfigFromStore(12), "the store is behind the peer")
	store.down = true
	assert.Assert(t, !n.fetchConfigFromStore(12))
	assert.Equal(t, n.Snapshot().Version(), int64(9))
}

// TestLargeConfigurationIsNotSentToAll guards against a hub that sends a large configuration to
// all instances of its zone. It is sent only to a peer that sets no limit.
func TestLargeConfigurationIsNotSentToAll(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	n.applyConfig(largeConfig(7), "test")
	a, err := n.onConfig(t.Context(), peer.Identity{}, ConfigRequest{MaxBytes: 2000})
	assert.NilError(t, err)
	assert.Equal(t, len(a.Gzip), 0)
	a, err = n.onConfig(t.Context(), peer.Identity{}, ConfigRequest{})
	assert.NilError(t, err)
	assert.Assert(t, len(a.Gzip) > 2000)
}

// TestConfigurationIsPackedOnce checks that a configuration is encoded once for all peers and
// again for the next version, and compressed to a tenth of its size.
func TestConfigurationIsPackedOnce(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	none, err := n.onConfig(t.Context(), peer.Identity{}, ConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(none.Gzip), 0)
	n.applyConfig(largeConfig(7), "test")
	first, err := n.onConfig(t.Context(), peer.Identity{}, ConfigRequest{})
	assert.NilError(t, err)
	again, err := n.onConfig(t.Context(), peer.Identity{}, ConfigRequest{})
	assert.NilError(t, err)
	assert.Assert(t, &first.Gzip[0] == &again.Gzip[0])
	assert.Assert(t, len(first.Gzip) < 25_000, "%d bytes", len(first.Gzip))
	c, err := first.unpack()
	assert.NilError(t, err)
	assert.DeepEqual(t, c, largeConfig(7))
	n.applyConfig(largeConfig(8), "test")
	next, err := n.onConfig(t.Context(), peer.Identity{}, ConfigRequest{})
	assert.NilError(t, err)
	c, err = next.unpack()
	assert.NilError(t, err)
	assert.Equal(t, c.Version, int64(8))
	_, err = ConfigAnswer{Gzip: []byte("no gzip")}.unpack()
	assert.Assert(t, err != nil)
}
