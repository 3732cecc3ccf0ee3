package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// leavingUp returns an upstream that leaves.
func leavingUp(id string) dialect.Upstream {
	u := up(id)
	u.Leaving = true
	return u
}

// TestListsOfALaterEraAreNewer guards against lists that are ignored after the store was restored,
// until its counter has reached the former value again, and against lists of the former era.
func TestListsOfALaterEraAreNewer(t *testing.T) {
	v := NewView()
	assert.Assert(t, mergeList(v, 1000, dialect.Revision(1, 50), up("a")))
	assert.Assert(t, mergeList(v, 1500, dialect.Revision(2, 30), leavingUp("a")))
	assert.Assert(t, v.Snapshot().Upstreams["s"][0].Leaving)
	assert.Assert(t, !mergeList(v, 2000, dialect.Revision(1, 60), up("a"), up("b")))
	assert.Assert(t, !mergeList(v, 2500, dialect.Revision(2, 29), up("a"), up("b")))
	assert.Equal(t, names(v.Snapshot()), "a")
}

// TestRestoredCopyUndoesNothing checks that, while what the restore lost is written again, upstreams that
// the copy lacks are kept, removed ones that it has stay removed, leaving stays final, and that the
// store is believed afterwards.
func TestRestoredCopyUndoesNothing(t *testing.T) {
	v := NewView()
	mergeList(v, 0, dialect.Revision(0, 40), up("a"), up("b"), up("c"), up("d"))
	mergeList(v, 1000, dialect.Revision(0, 50), up("a"), leavingUp("b"), up("d"), up("e"))
	copied := []dialect.Upstream{up("a"), up("b"), up("c"), up("d")}
	for ms := 2000; ms < 4500; ms += 500 {
		assert.Assert(t, mergeList(v, ms, dialect.Revision(1, int64(30+ms/500)), copied...))
		s := v.Snapshot()
		assert.Equal(t, names(s), "abde")
		assert.Assert(t, s.Upstreams["s"][1].Leaving)
	}
	assert.Assert(t, mergeList(v, 4600, dialect.Revision(1, 45), up("a"), up("b"), up("c")))
	s := v.Snapshot()
	assert.Equal(t, names(s), "abc")
	assert.Assert(t, s.Upstreams["s"][1].Leaving)
}

// TestRestoredCopyChangesNoEvacuation checks that an evacuation ordered or lifted after the copy was made
// stays so until what the restore lost has been written again.
func TestRestoredCopyChangesNoEvacuation(t *testing.T) {
	v := NewView()
	mergeList(v, 0, 50, up("a"))
	assert.Assert(t, v.SetEvacuation(at(0), routing.Evacuation{Revision: 50, Zones: []ident.Zone{"z"}}))
	assert.Assert(t, !v.SetEvacuation(at(900), routing.Evacuation{Revision: dialect.Revision(1, 29)}))
	assert.Assert(t, v.EvacuationPending())
	mergeList(v, 1000, dialect.Revision(1, 30), up("a"))
	assert.Assert(t, !v.SetEvacuation(at(2000), routing.Evacuation{Revision: dialect.Revision(1, 31)}))
	assert.Assert(t, v.EvacuationPending())
	assert.Assert(t, v.evacuation.Covers("z"))
	// It is written again.
	assert.Assert(t, !v.SetEvacuation(at(2500), routing.Evacuation{Revision: dialect.Revision(1, 32), Zones: []ident.Zone{"z"}}))
	assert.Assert(t, !v.EvacuationPending())
	assert.Assert(t, v.SetEvacuation(at(4000), routing.Evacuation{Revision: dialect.Revision(1, 33)}))
	assert.Assert(t, !v.evacuation.Covers("z"))
}

// TestUnchangedListOfALaterEraIsMerged guards against a later era that is taken over without the grace
// period in which absent upstreams are kept.
func TestUnchangedListOfALaterEraIsMerged(t *testing.T) {
	v := NewView()
	mergeList(v, 0, 50, up("a"), up("b"))
	assert.Assert(t, !v.ConfirmUnchanged(at(500), dialect.Revision(1, 40)))
	_, _, err := v.Apply(at(505), at(500), dialect.Revision(1, 40), Difference{}, v.digest)
	assert.NilError(t, err)
	mergeList(v, 1000, dialect.Revision(1, 41), up("a"))
	assert.Equal(t, names(v.Snapshot()), "ab")
}

// TestViewFollowsARestoredStore checks, with random writes, copies, restores, lost and late reads, that
// leaving is never undone, and that some time after the last restore the view is the store's.
func TestViewFollowsARestoredStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := NewView()
		type state struct {
			counter int64
			entries map[string]dialect.Upstream
		}
		written := map[string]dialect.Upstream{}
		store, era := state{entries: map[string]dialect.Upstream{}}, int64(0)
		backup := state{entries: map[string]dialect.Upstream{}}
		left := map[ident.UpstreamID]bool{}
		type read struct {
			ms       int
			revision int64
			list     []dialect.Upstream
		}
		var late []read
		lost, ms := 0, 0
		merge := func(r read) {
			v.MergeList(at(ms+5), at(r.ms), r.revision, r.list, FromStore)
			for _, list := range v.Snapshot().Upstreams {
				for _, u := range list {
					left[u.ID] = left[u.ID] || u.Leaving
					if left[u.ID] && !u.Leaving {
						rt.Fatalf("%s leaves no more", u.ID)
					}
				}
			}
		}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			ms += 500
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "id"))
			switch rapid.SampledFrom([]string{"write", "leave", "remove", "copy", "restore", "read", "read", "late"}).Draw(rt, "step") {
			case "write":
				if !left[ident.UpstreamID(id)] {
					store.counter++
					store.entries[id] = up(id)
				}
			case "leave":
				if _, ok := store.entries[id]; ok {
					store.counter++
					store.entries[id] = leavingUp(id)
				}
			case "remove":
				store.counter++
				delete(store.entries, id)
			case "copy":
				backup = state{store.counter, maps.Clone(store.entries)}
			case "restore":
				written = maps.Clone(store.entries)
				store, era, lost = state{backup.counter, maps.Clone(backup.entries)}, era+1, ms
			default:
				r := read{ms, dialect.Revision(era, store.counter), slices.Collect(maps.Values(store.entries))}
				if rapid.Bool().Draw(rt, "late") {
					late = append(late, r)
					continue
				}
				merge(r)
				if len(late) > 0 {
					merge(late[0])
					late = late[1:]
				}
			}
			if lost > 0 && ms-lost >= 2000 {
				// Writers write again what the restore lost.
				store.counter++
				store.entries, lost = maps.Clone(written), 0
			}
		}
		if lost > 0 {
			store.counter++
			store.entries = maps.Clone(written)
		}
		for range 12 {
			ms += 500
			merge(read{ms, dialect.Revision(era, store.counter), slices.Collect(maps.Values(store.entries))})
		}
		want := slices.Sorted(maps.Keys(store.entries))
		var got []string
		for _, u := range v.Snapshot().Upstreams["s"] {
			got = append(got, string(u.ID))
			if store.entries[string(u.ID)].Leaving && !u.Leaving {
				rt.Fatalf("%s leaves, unseen", u.ID)
			}
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("view %v, store %v", got, want)
		}
	})
}
