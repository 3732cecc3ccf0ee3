package fleet

import (
	"errors"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// TestAppliedDifferencesMakeTheSameView guards against a follower whose view diverges from its
// peer's when it applies differences instead of whole lists.
func TestAppliedDifferencesMakeTheSameView(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	pool := manyUpstreams(2000)
	next := 200
	source, follower := NewView(), NewView()
	list := pool[:200]
	source.MergeList(at(0), at(0), 0, list, FromStore)
	follower.MergeList(at(0), at(0), 0, list, FromPeer)
	follower.Snapshot()
	for step := range 400 {
		var now []dialect.Upstream
		for _, u := range list {
			switch random.IntN(80) {
			case 0:
				continue
			case 1:
				u.Leaving = true
			case 2:
				u.Incarnation++
				u.Leaving = false
			case 3:
				u.Stage = dialect.StagePrefill
			case 4:
				u.Cold = !u.Cold
			}
			now = append(now, u)
		}
		for range random.IntN(5) {
			now = append(now, pool[next])
			next++
		}
		list = now
		ms := 1000 * (step + 1)
		source.MergeList(at(ms), at(ms), int64(step+1), list, FromStore)
		if random.IntN(3) == 0 {
			// The follower misses this version, so that the next difference spans several.
			continue
		}
		d, ok := source.DifferenceFrom(follower.digest)
		assert.Assert(t, ok)
		changes, taken, err := follower.Apply(at(ms+10), at(ms), int64(step+1), d, source.digest)
		assert.NilError(t, err)
		assert.Assert(t, taken)
		assert.Assert(t, len(changes) <= 2*(len(d.Changed)+len(d.Removed)))
		assert.DeepEqual(t, follower.Snapshot().Upstreams, source.Snapshot().Upstreams)
		assert.Equal(t, follower.digest, source.digest)
		assert.DeepEqual(t, follower.Snapshot().Upstreams, follower.buildLists())
	}
	// Entries of removed upstreams and outdated changes must not accumulate.
	assert.Assert(t, len(follower.entries) < len(list)+150, "%d entries, %d listed", len(follower.entries), len(list))
	assert.Assert(t, len(follower.recentChanges) < 1000, "%d changes", len(follower.recentChanges))
}

// TestDifferenceThatDoesNotFitIsNotApplied guards against applying part of a difference that
// starts from another list.
func TestDifferenceThatDoesNotFitIsNotApplied(t *testing.T) {
	v := NewView()
	v.MergeList(at(0), at(0), 1, []dialect.Upstream{up("a"), up("b")}, FromPeer)
	before := v.Snapshot()
	_, taken, err := v.Apply(at(10), at(5), 2, Difference{Changed: []dialect.Upstream{up("c")}, Removed: []ident.UpstreamID{"a"}}, before.Digest())
	var misfit *DigestMismatchError
	assert.Assert(t, errors.As(err, &misfit) && !taken)
	assert.DeepEqual(t, v.Snapshot().Upstreams, before.Upstreams)
	assert.Equal(t, v.Snapshot().Revision, before.Revision)
}

// TestStoredChangesAreNotAppliedInAnOutage guards against removing upstreams whose entries lapsed
// while the store was unavailable.
func TestStoredChangesAreNotAppliedInAnOutage(t *testing.T) {
	v := NewView()
	v.MergeList(at(0), at(0), 1, []dialect.Upstream{up("a"), up("b")}, FromStore)
	v.MergeList(at(5000), at(5000), 2, []dialect.Upstream{up("a")}, FromStoreAfterFailure)
	_, applied := v.ApplyStored(at(6000), at(6000), 3, Difference{Removed: []ident.UpstreamID{"b"}})
	assert.Assert(t, !applied)
	v.MergeList(at(9000), at(9000), 4, []dialect.Upstream{up("a"), up("b")}, FromStore)
	changes, applied := v.ApplyStored(at(9500), at(9500), 5, Difference{Removed: []ident.UpstreamID{"b"}})
	assert.Assert(t, applied)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, len(v.Snapshot().All()), 1)
}
