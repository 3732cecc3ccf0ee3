package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
)

// leavingIn reports whether the upstream u of the service s is leaving in a snapshot.
func leavingIn(v *View) bool {
	u, _ := v.Snapshot().Find("s", "u")
	return u.Leaving
}

// TestAnnouncedLeavingIsFinalForIncarnation guards against lists that make an upstream available
// again after it has said that it leaves, and against a restarted upstream that is still avoided.
func TestAnnouncedLeavingIsFinalForIncarnation(t *testing.T) {
	v := NewView()
	u := dialect.Upstream{ID: "u", Service: "s", Incarnation: 2}
	merge := func(ms int, list ...dialect.Upstream) { v.MergeList(at(ms), at(ms), int64(ms), list, FromStore) }
	assert.Assert(t, !v.AnnounceLeaving(at(0), "u", 2, true), "an unknown upstream")
	merge(1, u, dialect.Upstream{ID: "other", Service: "s"})
	before := v.Snapshot()
	assert.Assert(t, !v.AnnounceLeaving(at(2), "u", 1, true), "the former incarnation")
	assert.Assert(t, v.AnnounceLeaving(at(2), "u", 2, true))
	assert.Assert(t, !v.AnnounceLeaving(at(3), "u", 2, false))
	assert.Assert(t, leavingIn(v))
	old, _ := before.Find("s", "u")
	assert.Assert(t, !old.Leaving, "an earlier snapshot was modified")
	merge(4, u)
	assert.Assert(t, leavingIn(v), "still listed as ready")
	merge(5)
	merge(6, u)
	assert.Assert(t, leavingIn(v), "listed again")
	u.Incarnation = 3
	merge(7, u)
	assert.Assert(t, !leavingIn(v), "the next incarnation")
}

// TestAnnouncedLeavingIsNotPartOfTheList guards against lists that differ between instances in what
// upstreams have said to one of them. Each difference would make its peers ask for the whole list.
func TestAnnouncedLeavingIsNotPartOfTheList(t *testing.T) {
	v := NewView()
	v.MergeList(at(1), at(1), 1, []dialect.Upstream{{ID: "u", Service: "s"}}, FromStore)
	digest, all := v.Snapshot().Digest(), v.Snapshot().All()
	v.AnnounceLeaving(at(2), "u", 0, true)
	assert.Equal(t, v.Snapshot().Digest(), digest)
	assert.DeepEqual(t, v.Snapshot().All(), all)
}

// TestAnnouncementsOfGoneUpstreamsAreForgotten guards against memory that grows with each upstream
// that leaves.
func TestAnnouncementsOfGoneUpstreamsAreForgotten(t *testing.T) {
	v := NewView()
	v.MergeList(at(1), at(1), 1, []dialect.Upstream{{ID: "u", Service: "s"}}, FromStore)
	v.AnnounceLeaving(at(2), "u", 0, true)
	v.MergeList(at(3), at(3), 2, nil, FromStore)
	later := 4 + int((removalRetention + time.Second).Milliseconds())
	v.MergeList(at(later), at(later), 3, nil, FromStore)
	assert.Equal(t, len(v.announced), 0)
}

// TestAnnouncementHeardTwiceIsPassedOn guards against an upstream's leaving that is told to no
// restarted instance, because each of the others believes that it only knows it from a peer.
func TestAnnouncementHeardTwiceIsPassedOn(t *testing.T) {
	v := NewView()
	v.MergeList(at(1), at(1), 1, []dialect.Upstream{{ID: "u", Service: "s"}}, FromStore)
	assert.Assert(t, v.AnnounceLeaving(at(2), "u", 0, false))
	assert.Assert(t, !v.announced["u"].own)
	assert.Assert(t, !v.AnnounceLeaving(at(3), "u", 0, true))
	assert.Assert(t, v.announced["u"].own)
}
