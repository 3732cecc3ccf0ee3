package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
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
