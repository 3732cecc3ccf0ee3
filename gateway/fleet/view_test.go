package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func up(id string) dialect.Upstream {
	return dialect.Upstream{ID: ident.UpstreamID(id), Service: "s", Address: id + ":1"}
}

func names(s *Snapshot) string {
	out := ""
	for _, u := range s.Upstreams["s"] {
		out += string(u.ID)
	}
	return out
}

func mergeList(v *View, ms int, revision int64, ups ...dialect.Upstream) bool {
	_, taken := v.MergeList(at(ms+5), at(ms), revision, ups, FromStore)
	return taken
}

// TestConfigurationNeverGoesBack guards against an older configuration replacing a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	v := NewView()
	assert.Assert(t, v.SetConfig(&routing.Config{Version: 7}))
	assert.Assert(t, !v.SetConfig(&routing.Config{Version: 5}))
	assert.Assert(t, !v.SetConfig(&routing.Config{Version: 7}))
	assert.Equal(t, v.Version(), int64(7))
	assert.Assert(t, v.SetConfig(&routing.Config{Version: 20}))
	assert.Equal(t, v.Version(), int64(20))
}

// TestOldListsAreIgnored guards against a list that changes the view although a peer sent it
// late, or its read began before that of the newest list.
func TestOldListsAreIgnored(t *testing.T) {
	v := NewView()
	assert.Assert(t, mergeList(v, 1000, 10, up("a")))
	assert.Assert(t, !mergeList(v, 1200, 9, up("a"), up("b")))
	assert.Assert(t, !mergeList(v, 900, 11, up("b")))
	assert.Equal(t, names(v.Snapshot()), "a")
	assert.Assert(t, mergeList(v, 1500, 10, up("a")))
	assert.Equal(t, v.Snapshot().AsOf, at(1500))
}

// TestAbsentIsGoneAtOnce checks that an upstream missing from a list is removed without delay.
func TestAbsentIsGoneAtOnce(t *testing.T) {
	v := NewView()
	mergeList(v, 0, 1, up("a"), up("b"))
	mergeList(v, 500, 2, up("b"))
	assert.Equal(t, names(v.Snapshot()), "b")
}

// TestOutageKeepsLapsedEntries guards against removing upstreams whose entries in the store
// expired during an outage. They are kept until they had time to return; those that are still
// missing then are removed.
func TestOutageKeepsLapsedEntries(t *testing.T) {
	v := NewView()
	mergeList(v, 0, 1, up("a"), up("b"), up("c"))
	v.MergeList(at(6005), at(6000), 2, []dialect.Upstream{up("c")}, FromStoreAfterFailure)
	assert.Equal(t, names(v.Snapshot()), "abc")
	mergeList(v, 7900, 3, up("a"), up("c"))
	assert.Equal(t, names(v.Snapshot()), "abc")
	mergeList(v, 8600, 4, up("a"), up("c"))
	assert.Equal(t, names(v.Snapshot()), "ac")
}

// TestRestartUnderTheSameID guards against a restarted upstream that gets no requests because its
// former incarnation was leaving or gone, and against older reports of the former incarnation
// replacing the new one.
func TestRestartUnderTheSameID(t *testing.T) {
	former, fresh := up("a"), up("a")
	former.Incarnation, fresh.Incarnation = 5, 6
	leaving := former
	leaving.Leaving = true
	v := NewView()
	mergeList(v, 0, 1, former)
	mergeList(v, 500, 2, leaving)
	changes, _ := v.MergeList(at(1005), at(1000), 3, []dialect.Upstream{fresh}, FromStore)
	assert.DeepEqual(t, changes, []Change{{Upstream: fresh, Kind: Restarted}})
	assert.DeepEqual(t, v.Snapshot().Upstreams["s"], []dialect.Upstream{fresh})
	mergeList(v, 1500, 4, leaving)
	assert.DeepEqual(t, v.Snapshot().Upstreams["s"], []dialect.Upstream{fresh})
	mergeList(v, 2000, 5)
	assert.Equal(t, names(v.Snapshot()), "")
	mergeList(v, 2500, 6, former)
	assert.Equal(t, names(v.Snapshot()), "", "the former incarnation does not come back")
	fresh.Incarnation = 7
	mergeList(v, 3000, 7, fresh)
	assert.Equal(t, names(v.Snapshot()), "a")
}

// TestLeavingIsFinal guards against requests to a leaving upstream after a list that no longer
// marks the same incarnation as leaving.
func TestLeavingIsFinal(t *testing.T) {
	v := NewView()
	leaving := up("a")
	leaving.Leaving = true
	mergeList(v, 0, 1, up("a"))
	changes, _ := v.MergeList(at(505), at(500), 2, []dialect.Upstream{leaving}, FromStore)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Kind, BeganLeaving)
	mergeList(v, 1000, 3, up("a"))
	assert.Assert(t, v.Snapshot().Upstreams["s"][0].Leaving)
}

func TestReadyNeedsConfigurationAndList(t *testing.T) {
	v := NewView()
	assert.Assert(t, !v.Snapshot().Ready())
	v.SetConfig(&routing.Config{Version: 1})
	assert.Assert(t, !v.Snapshot().Ready())
	mergeList(v, 0, 1)
	assert.Assert(t, v.Snapshot().Ready())
}

// TestOldViewIsNoOutage guards against keeping upstreams that have left. If the view was stale
// without failed reads, for example after the death of the zone's reader, upstreams missing from
// the next list have left, whether it comes from the store or from a peer. A peer's list already
// contains the upstreams to keep after an outage.
func TestOldViewIsNoOutage(t *testing.T) {
	for _, from := range []Origin{FromStore, FromPeer} {
		v := NewView()
		mergeList(v, 0, 1, up("a"), up("b"))
		v.MergeList(at(6005), at(6000), 2, []dialect.Upstream{up("b")}, from)
		assert.Equal(t, names(v.Snapshot()), "b")
	}
	v := NewView()
	mergeList(v, 0, 1, up("a"), up("b"))
	v.MergeList(at(6005), at(6000), 2, []dialect.Upstream{up("b")}, FromStoreAfterFailure)
	assert.Equal(t, names(v.Snapshot()), "ab")
	v.MergeList(at(6305), at(6300), 3, []dialect.Upstream{up("b")}, FromPeer)
	assert.Equal(t, names(v.Snapshot()), "b")
}

// TestNewestEvacuationWins guards against an older evacuation, delivered late by a peer,
// replacing a newer one.
func TestNewestEvacuationWins(t *testing.T) {
	v := NewView()
	assert.Assert(t, v.SetEvacuation(time.Now(), routing.Evacuation{Revision: 5, Zones: []ident.Zone{"a"}}))
	assert.Assert(t, !v.SetEvacuation(time.Now(), routing.Evacuation{Revision: 4}))
	assert.Assert(t, !v.SetEvacuation(time.Now(), routing.Evacuation{Revision: 6, Zones: []ident.Zone{"a"}}), "the same zones")
	assert.Assert(t, v.Snapshot().Evacuation.Covers("a"))
	assert.Assert(t, v.SetEvacuation(time.Now(), routing.Evacuation{Revision: 7}))
	assert.Assert(t, !v.SetEvacuation(time.Now(), routing.Evacuation{Revision: 6, Zones: []ident.Zone{"a"}}))
	assert.Assert(t, !v.Snapshot().Evacuation.Covers("a"))
}

// TestEligibleUpstreams guards against sending to evacuated zones or outside the allowed regions.
func TestEligibleUpstreams(t *testing.T) {
	v := NewView()
	ups := []dialect.Upstream{up("a"), up("b"), up("c"), up("d")}
	for i := range ups {
		ups[i].Zone = ident.Zone("zone-" + string(ups[i].ID))
	}
	mergeList(v, 0, 1, ups...)
	regionOf := func(z ident.Zone) ident.Region {
		return map[ident.Zone]ident.Region{"zone-a": "east", "zone-b": "east", "zone-c": "west"}[z]
	}
	eligible := func(allowed routing.Regions) string {
		out := ""
		for _, u := range v.Snapshot().Eligible("s", allowed, regionOf) {
			out += string(u.ID)
		}
		return out
	}
	assert.Equal(t, eligible(nil), "abcd")
	assert.Equal(t, eligible(routing.Regions{"east"}), "ab")
	assert.Equal(t, eligible(routing.Regions{}), "")
	v.SetEvacuation(time.Now(), routing.Evacuation{Revision: 2, Zones: []ident.Zone{"zone-a", "unknown"}})
	assert.Equal(t, eligible(nil), "bcd")
	assert.Equal(t, eligible(routing.Regions{"east", "west"}), "bc")
}

// TestUnchangedListNeedsNoMerge checks that an unchanged list is confirmed without a merge,
// except for the first one after the grace period of an outage, which removes absent upstreams.
func TestUnchangedListNeedsNoMerge(t *testing.T) {
	v := NewView()
	assert.Assert(t, !v.ConfirmUnchanged(at(0), 1))
	mergeList(v, 0, 1, up("a"), up("b"))
	assert.Assert(t, v.ConfirmUnchanged(at(500), 2))
	assert.Equal(t, v.asOf, at(500))
	assert.Assert(t, v.ConfirmUnchanged(at(400), 1), "an older list is ignored")
	assert.Equal(t, v.revision, int64(2))

	// b was removed during an outage and is kept for the grace period.
	v.MergeList(at(5005), at(5000), 3, []dialect.Upstream{up("a")}, FromStoreAfterFailure)
	assert.Equal(t, names(v.Snapshot()), "ab")
	assert.Assert(t, !v.ConfirmUnchanged(at(5500), 3))
	later := 5000 + int(returnGrace.Milliseconds())
	assert.Assert(t, !v.ConfirmUnchanged(at(later), 3))
	mergeList(v, later, 3, up("a"))
	assert.Equal(t, names(v.Snapshot()), "a")
	assert.Assert(t, v.ConfirmUnchanged(at(later+500), 3))
}

// TestStreamsBeginWhereAllInstancesListTheVersion guards against streams that begin at a software version before all
// recent lists show it, and against engines that stay unused for longer than that.
func TestStreamsBeginWhereAllInstancesListTheVersion(t *testing.T) {
	engine := func(id, version string) dialect.Upstream {
		u := up(id)
		u.Stage, u.SoftwareVersion = dialect.StageDecode, version
		return u
	}
	mayBegin := func(v *View, ms int) (out string) {
		s := v.Snapshot()
		for _, u := range s.MayBegin(at(ms), "s", s.Upstreams["s"]) {
			out += string(u.ID)
		}
		return out
	}
	v := NewView()
	mergeList(v, 0, 1, engine("a", "v1"), engine("b", "v2"))
	assert.Equal(t, mayBegin(v, 10), "ab", "the first list may be of any age")
	mergeList(v, 10_000, 2, engine("a", "v1"), engine("b", "v2"), engine("c", "v3"))
	assert.Equal(t, mayBegin(v, 10_010), "ab")
	mergeList(v, 10_500, 3, engine("a", "v1"), engine("b", "v2"), engine("c", "v3"), engine("d", "v3"))
	assert.Equal(t, mayBegin(v, 11_200), "ab")
	assert.Equal(t, mayBegin(v, 11_300), "abcd")

	// An instance counts a version that has left within origin.TTL.
	mergeList(v, 20_000, 4, engine("a", "v1"))
	mergeList(v, 40_000, 5, engine("a", "v1"), engine("c", "v3"))
	assert.Equal(t, mayBegin(v, 40_010), "ac")
	mergeList(v, 60_000, 6, engine("a", "v1"), engine("b", "v2"), engine("c", "v3"))
	assert.Equal(t, mayBegin(v, 60_010), "ac")

	// Nothing else is left.
	leaving := engine("a", "v1")
	leaving.Leaving = true
	mergeList(v, 100_000, 7, leaving)
	mergeList(v, 100_500, 8, leaving, engine("c", "v3"))
	assert.Equal(t, mayBegin(v, 100_510), "ac")

	// Engines whose versions change under their IDs.
	v = NewView()
	mergeList(v, 0, 1, engine("a", "v1"), engine("b", "v1"))
	mergeList(v, 10_000, 2, engine("a", "v1"), engine("b", "v2"))
	assert.Equal(t, mayBegin(v, 10_010), "a")
	assert.Equal(t, mayBegin(v, 11_300), "ab")
}

// TestFirstListCopiesNoVersionsForEachEngine guards against an instance that starts slowly in a large fleet since it
// copies the software versions of all services for each engine.
func TestFirstListCopiesNoVersionsForEachEngine(t *testing.T) {
	allocations := func(stage dialect.Stage) float64 {
		var list []dialect.Upstream
		for i := range 5000 {
			u := up(fmt.Sprint("e", i))
			u.Service, u.Stage, u.SoftwareVersion = fmt.Sprint("s", i%100), stage, "v1"
			list = append(list, u)
		}
		return testing.AllocsPerRun(3, func() { mergeList(NewView(), 0, 1, list...) })
	}
	plain, engines := allocations(""), allocations(dialect.StageDecode)
	assert.Assert(t, engines <= plain+2000, "%.0f allocations for engines, %.0f for others", engines, plain)
}

// TestReturningVersionBeginsNoStreamThatOthersMistake guards against streams that begin at a version which has just
// come back, while an instance that saw it leave a moment earlier no longer counts it.
func TestReturningVersionBeginsNoStreamThatOthersMistake(t *testing.T) {
	engine := func(id, version string) dialect.Upstream {
		u := up(id)
		u.Stage, u.SoftwareVersion = dialect.StageDecode, version
		return u
	}
	old, other := engine("a", "v1"), engine("b", "v2")
	for returned := 45_000; returned < 55_000; returned += 100 {
		begins, resumes := NewView(), NewView()
		for _, v := range []*View{begins, resumes} {
			mergeList(v, 0, 1, old, other)
		}
		mergeList(resumes, 20_000, 2, old)
		mergeList(resumes, returned-100, 3, old)
		mergeList(begins, 21_000, 2, old)
		mergeList(begins, returned, 4, old, other)
		for ms := returned; ms <= returned-100+int(maxVersionsAge.Milliseconds()); ms += 100 {
			s := begins.Snapshot()
			sole := len(resumes.softwareVersions(at(ms), "s")) == 1
			assert.Assert(t, !sole || len(s.MayBegin(at(ms), "s", s.Upstreams["s"])) == 1, "back at %d ms, %d ms", returned, ms)
		}
	}
}
