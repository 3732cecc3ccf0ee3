package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// TestZoneOfSilentUpstreamsIsDoubted has calls to another zone's engines time
// out, as calls across a network partition do.
func TestZoneOfSilentUpstreamsIsDoubted(t *testing.T) {
	far := []ident.UpstreamID{"b-1", "b-2", "b-3"}
	m := newMachineWithPeer()
	list := []ListedUpstream{{ID: "a-1", Zone: "hall-a"}, {ID: "c-1", Zone: "hall-c"}}
	for _, id := range far {
		list = append(list, ListedUpstream{ID: id, Zone: "hall-b"})
	}
	m.ApplyUpstreamList(timeAt(0), timeAt(0), 9, list)
	for _, u := range list {
		m.UpstreamAnswered(timeAt(time.Second), timeAt(time.Second), u.ID)
	}
	usableAt := func(d time.Duration) map[ident.UpstreamID]bool {
		out := map[ident.UpstreamID]bool{}
		for _, u := range m.View(timeAt(d)).Upstreams {
			out[u.ID] = usable(u.State)
		}
		return out
	}
	m.UpstreamFailed(timeAt(2*time.Second), timeAt(2*time.Second), "b-1", FailTimeout)
	assert.Assert(t, usableAt(2 * time.Second)["b-3"], "one silent engine alone does not make the zone unreachable")
	m.UpstreamFailed(timeAt(3*time.Second), timeAt(3*time.Second), "b-2", FailTimeout)
	seen := usableAt(3 * time.Second)
	assert.Assert(t, !seen["b-3"], "no engine of the zone answers")
	assert.Assert(t, seen["a-1"] && seen["c-1"], "other zones are not affected")
	m.UpstreamAnswered(timeAt(4*time.Second), timeAt(4*time.Second), "b-3")
	seen = usableAt(4 * time.Second)
	assert.Assert(t, seen["b-3"] && !seen["b-1"] && !seen["b-2"], "two engines are unreachable, the zone is not")
	m.UpstreamFailed(timeAt(5*time.Second), timeAt(5*time.Second), "b-1", FailTimeout)
	m.UpstreamFailed(timeAt(5*time.Second), timeAt(5*time.Second), "b-2", FailTimeout)
	assert.Assert(t, usableAt(5 * time.Second)["b-3"], "failures of the same two engines must not affect the zone again")
}
