//go:build !race

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// changeBudget is the time allowed for applying a change of the list: 1% of a core at two changes
// per second.
const changeBudget = 5 * time.Millisecond

// TestTimeToTakeInAChange guards against processing the whole list for each change: in a large
// fleet some upstream changes in nearly every interval between reads. It does not run under the
// race detector, whose overhead exceeds the budget.
func TestTimeToTakeInAChange(t *testing.T) {
	const changed = 100
	for _, size := range []int{6000, 12000} {
		list := manyUpstreams(size)
		source, follower := NewView(), NewView()
		source.MergeList(at(0), at(0), 0, list, FromPeer)
		follower.MergeList(at(0), at(0), 0, list, FromPeer)
		follower.Snapshot()
		fastest := time.Hour
		for step := range 30 {
			d := Difference{}
			for i := range changed {
				u := list[(step*changed+i)%size]
				u.Slots += step + 1
				d.Changed = append(d.Changed, u)
			}
			ms := 500 * (step + 1)
			_, _, err := source.Apply(at(ms), at(ms), int64(step+1), d, source.digestWith(d))
			assert.NilError(t, err)
			began := time.Now()
			difference, ok := source.DifferenceFrom(follower.digest)
			assert.Assert(t, ok)
			_, taken, err := follower.Apply(at(ms), at(ms), int64(step+1), difference, source.digest)
			assert.NilError(t, err)
			assert.Assert(t, taken)
			follower.Snapshot()
			fastest = min(fastest, time.Since(began))
		}
		t.Logf("%d upstreams: applying %d changes took %v", size, changed, fastest)
		assert.Check(t, fastest <= changeBudget)
	}
}
