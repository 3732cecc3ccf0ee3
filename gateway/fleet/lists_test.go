package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/tokenbucket"
	"github.com/wardspool/wardspool/peer"
)

// manyUpstreams returns a list as in a large fleet.
func manyUpstreams(n int) []dialect.Upstream {
	random := rand.New(rand.NewPCG(3, 4))
	var out []dialect.Upstream
	for i := range n {
		out = append(out, dialect.Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("i-%010x", random.Uint64()>>24)), Incarnation: ident.Incarnation(1700000000000 + random.Uint64()>>40),
			Service: fmt.Sprintf("service-%d", i%3), Address: fmt.Sprintf("10.%d.%d.%d:8080", i%3, i/250, i%250),
			Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3)), Slots: 16, Stage: dialect.StageDecode,
		})
	}
	return out
}

// TestDifferencesMakeTheNewerList checks that a difference from any of the kept versions gives
// the current list when upstreams appeared, disappeared, restarted, began to leave or changed
// their stage.
func TestDifferencesMakeTheNewerList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	v := NewView()
	list := manyUpstreams(60)
	var before []*Snapshot
	for step := range 200 {
		var now []dialect.Upstream
		for _, u := range list {
			switch random.IntN(60) {
			case 0:
				continue
			case 1:
				u.Leaving = true
			case 2:
				u.Incarnation++
			case 3:
				u.Stage = dialect.StagePrefill
			}
			now = append(now, u)
		}
		if random.IntN(3) == 0 {
			now = append(now, manyUpstreams(61 + step)[60+step])
		}
		list = now
		ms := 500 * (step + 1)
		v.MergeList(at(ms+5), at(ms), int64(step), list, FromStore)
		if random.IntN(2) == 0 {
			// Some lists are replaced before a snapshot of them is made.
			continue
		}
		s := v.Snapshot()
		for _, old := range before[max(0, len(before)-maxListVersions/8):] {
			d, ok := v.DifferenceFrom(old.Digest())
			assert.Assert(t, ok)
			packed, err := unpackUpstreams(packUpstreams(d.Changed))
			assert.NilError(t, err)
			assert.Equal(t, listDigest(Difference{Changed: packed, Removed: d.Removed}.apply(old.All())), s.Digest())
		}
		before = append(before, s)
	}
	assert.Equal(t, listDigest(v.Snapshot().All()), v.Snapshot().Digest())
	_, ok := v.DifferenceFrom(before[0].Digest())
	assert.Assert(t, !ok, "this version is older than those that are kept")
}

// TestDifferenceThatDoesNotFit guards against applying a difference to a list other than the one
// that it starts from. Such a difference is rejected, and the whole list can be requested
// instead.
func TestDifferenceThatDoesNotFit(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	n.mergeList(time.Now(), 3, []dialect.Upstream{up("a"), up("b")}, FromStore, "test")
	old := n.Snapshot()
	n.mergeList(time.Now().Add(time.Millisecond), 4, []dialect.Upstream{up("a"), up("c")}, FromStore, "test")
	a, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{Digest: old.Digest()})
	assert.NilError(t, err)
	assert.Assert(t, a.Whole == nil)
	assert.Equal(t, listDigest(listOf(t, a, old)), n.Snapshot().Digest())
	var misfit *DigestMismatchError
	_, err = a.list(NewView().Snapshot())
	assert.Assert(t, errors.As(err, &misfit))
	a, err = n.onView(t.Context(), peer.Identity{}, ViewRequest{Digest: old.Digest(), Whole: true})
	assert.NilError(t, err)
	assert.Equal(t, len(listOf(t, a, old)), 2)
	_, err = unpackUpstreams([]byte{9})
	var pack *PackError
	assert.Assert(t, errors.As(err, &pack))
}

// TestBytesOfALargeList guards against lists that take too much of the link. A whole list of
// 3,000 upstreams takes less than 30 bytes for each, a change of one upstream less than 200
// bytes. Whole lists together take no more than their share of the link, however many peers ask.
func TestBytesOfALargeList(t *testing.T) {
	n := newTestNode(t, &fakeStore{})
	n.opts.LinkMbps = 1000
	list := manyUpstreams(3000)
	n.mergeList(time.Now(), 1, list, FromStore, "test")
	old := n.Snapshot()
	sent, began := 0, time.Now()
	for range 100 {
		a, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{})
		assert.NilError(t, err)
		sent += len(a.Whole)
		if a.Whole != nil {
			assert.Assert(t, len(a.Whole) < 30*len(list), "%d", len(a.Whole))
			assert.Equal(t, listDigest(listOf(t, a, NewView().Snapshot())), old.Digest())
		}
	}
	allowed := maxListBytesPerSecond*(1+time.Since(began).Seconds()) + 100_000
	assert.Assert(t, sent > 0 && float64(sent) < allowed, "%d", sent)
	n.opts.LinkMbps = 10
	n.listSendLimit = tokenbucket.Bucket{}
	sent, began = 0, time.Now()
	for range 100 {
		a, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{})
		assert.NilError(t, err)
		sent += len(a.Whole)
	}
	allowed = listLinkShare*n.opts.linkBytes()*(1+time.Since(began).Seconds()) + 100_000
	assert.Assert(t, sent > 0 && float64(sent) < allowed, "%d", sent)
	list[7].Leaving = true
	n.mergeList(time.Now().Add(time.Second), 2, list, FromStore, "test")
	a, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{Digest: old.Digest()})
	assert.NilError(t, err)
	assert.Assert(t, len(a.Changed) < 200, "%d", len(a.Changed))
}

// BenchmarkTakeList merges a list of 3,000 upstreams of which one has changed.
func BenchmarkTakeList(b *testing.B) {
	v := NewView()
	list := manyUpstreams(3000)
	for i := range b.N {
		list[0].Slots = i
		v.MergeList(at(i+1), at(i), int64(i), list, FromStore)
		v.Snapshot()
	}
}

// pagedStore is a store whose list has longListPages pages.
type pagedStore struct {
	fakeStore
	list      []dialect.Upstream
	pagesRead int
}

// longListPages is the number of pages of the list of a pagedStore.
const longListPages = 120

func (p *pagedStore) Upstreams(_ context.Context, further func() bool) ([]dialect.Upstream, int64, error) {
	p.pagesRead++
	for range longListPages - 1 {
		if !further() {
			return nil, 0, &dialect.ListAbandonedError{}
		}
		p.pagesRead++
	}
	return p.list, 1, nil
}

// TestStartingInstanceLeavesALongListToOthers guards against instances that start at once each
// reading a long list before they discover their peers.
func TestStartingInstanceLeavesALongListToOthers(t *testing.T) {
	s := &pagedStore{fakeStore: fakeStore{config: largeConfig(7)}, list: manyUpstreams(10)}
	n := newTestNode(t, s)
	n.opts.Seeds = []string{"seed:1"}
	n.readStore(t.Context())
	assert.Equal(t, s.pagesRead, 1)
	assert.Assert(t, !n.Snapshot().Listed)
	n.createdAt = clock.Now().Add(-discoveryWait)
	n.readStore(t.Context())
	assert.Equal(t, s.pagesRead, 1+longListPages)
	assert.Assert(t, n.Snapshot().Listed, "no peer is known")
}

// TestFewFollowersReadLongLists guards against all followers of a zone reading a long list to its
// end when their view is stale. A few do so, and all of them read the configuration.
func TestFewFollowersReadLongLists(t *testing.T) {
	const members = 60
	listed, configured := 0, 0
	for range 400 {
		n := newTestNode(t, &pagedStore{fakeStore: fakeStore{config: largeConfig(7)}, list: manyUpstreams(10)})
		n.applyConfig(largeConfig(6), "test")
		for i := range members {
			n.roster.Receive(clock.Now(), Heartbeat{From: Member{ID: ident.InstanceID(fmt.Sprintf("m%d", i)), Zone: "z", Address: fmt.Sprint(i), Incarnation: 1, Sequence: 1}})
		}
		if as, _ := n.roster.Role(clock.Now()); as != follower {
			continue
		}
		n.readStore(t.Context())
		if n.Snapshot().Listed {
			listed++
		}
		if n.Snapshot().Version() == 7 {
			configured++
		}
	}
	assert.Assert(t, configured > 0)
	mean := float64(listed) / float64(configured) * members
	assert.Assert(t, mean > 0.3*longListStarting && mean < 2*longListStarting, "%.1f of %d followers read on", mean, members)
}

// TestLongListIsNotLeftToOthersForLong guards against an instance that waits for others to send
// it a long list when they do not. It must read again after stoppedListInterval.
func TestLongListIsNotLeftToOthersForLong(t *testing.T) {
	r := newReadSchedule(2 * time.Second)
	assert.Assert(t, r.due(at(0), follower, false, time.Hour))
	r.stopped = true
	assert.Assert(t, !r.due(at(900), follower, false, time.Hour))
	assert.Assert(t, r.due(at(1100), follower, false, time.Hour))
	assert.Assert(t, r.due(at(2200), follower, false, time.Hour), "the interval is not doubled")
	r.stopped = false
	assert.Assert(t, !r.due(at(4000), follower, false, time.Hour))
}

// TestLargeChangesTakeOneLine checks that many changes of a list are logged in one line, and few
// changes in one line each.
func TestLargeChangesTakeOneLine(t *testing.T) {
	var text bytes.Buffer
	n := newTestNode(t, &fakeStore{})
	n.opts.Log = slog.New(slog.NewTextHandler(&text, nil))
	n.mergeList(time.Now(), 1, manyUpstreams(3000), FromStore, "test")
	assert.Equal(t, strings.Count(text.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(text.String(), "count=3000"))
	n.mergeList(time.Now().Add(time.Second), 2, manyUpstreams(3002), FromStore, "test")
	assert.Equal(t, strings.Count(text.String(), "\n"), 3)
}

// TestSoftwareVersionsReachPeers guards against an instance that learns upstreams from a peer and not
// which software version they run, and one that forgets it because a peer does not send it.
func TestSoftwareVersionsReachPeers(t *testing.T) {
	versioned := func(id, version string) dialect.Upstream {
		u := up(id)
		u.SoftwareVersion = version
		return u
	}
	for _, list := range [][]dialect.Upstream{
		nil, {versioned("a", "v1")}, {versioned("a", "v1"), versioned("b", "v1")},
		{versioned("a", "v1"), versioned("b", "v2"), versioned("c", "")}, {versioned("a", ""), versioned("b", "")},
	} {
		n := newTestNode(t, &fakeStore{})
		n.mergeList(time.Now(), 3, list, FromStore, "test")
		a, err := n.onView(t.Context(), peer.Identity{}, ViewRequest{Whole: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, listOf(t, a, NewView().Snapshot()), n.Snapshot().All())
		assert.DeepEqual(t, a.Digest, listDigest(n.Snapshot().All()))

		a.SoftwareVersions = nil
		n.mergeList(time.Now().Add(time.Millisecond), 4, listOf(t, a, n.Snapshot()), FromPeer, "test")
		assert.Equal(t, len(n.Snapshot().All()), len(list))
		for _, u := range list {
			found, _ := n.Snapshot().Find(u.Service, u.ID)
			assert.Equal(t, found.SoftwareVersion, u.SoftwareVersion)
		}
	}
	assert.Assert(t, unpackVersions([]byte{9}, []dialect.Upstream{up("a")}) != nil)
	assert.Assert(t, unpackVersions(packVersions([]dialect.Upstream{versioned("a", "v1"), versioned("b", "v2")}), []dialect.Upstream{up("a")}) != nil)
}
