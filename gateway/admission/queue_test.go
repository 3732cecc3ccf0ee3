package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// plainID returns an ID whose request keeps its own priority; see Request.rank.
func plainID() string {
	for i := 0; ; i++ {
		if r := (Request{ID: fmt.Sprint(i), Priority: 5}); r.rank() == rankOf(5, false) {
			return r.ID
		}
	}
}

// TestQueueKeepsOrder guards against a request that is placed before one that is more urgent, can
// still be on time from its first attempt on, or arrived earlier.
func TestQueueKeepsOrder(t *testing.T) {
	c := New(1)
	now := time.Now()
	enter := func(priority int, late bool, arrived time.Time, left time.Duration) *Waiter {
		return c.Enter(now, Request{
			Service: "s", ID: plainID(), Priority: priority, Late: late, Arrived: arrived, Deadline: arrived.Add(left), Timeout: 14 * time.Second,
		})
	}
	const whole = 14 * time.Second
	resumed := enter(1, true, now.Add(-time.Second), 9*time.Second)
	late := enter(1, false, now.Add(time.Second), whole)
	early := enter(1, false, now, whole)
	returned := enter(1, false, now.Add(3*time.Second), 9*time.Second)
	urgent := enter(0, false, now.Add(2*time.Second), whole)
	for _, w := range []*Waiter{urgent, returned, early, late, resumed} {
		assert.Assert(t, w.First())
		w.Leave(now, true)
	}
	assert.Equal(t, c.Waiting("s"), 0)
}

// TestFloorRanksOneInTenWithTheMostUrgent guards against a priority that is starved by more urgent
// ones.
func TestFloorRanksOneInTenWithTheMostUrgent(t *testing.T) {
	first := 0
	for i := range 10_000 {
		r := Request{ID: fmt.Sprint("request-", i), Priority: 2}
		if r.rank() == rankOf(0, false) {
			first++
		}
		r.MostUrgent = 2
		assert.Equal(t, r.rank(), rankOf(2, false), "a service whose requests all have one priority has no order to relax")
	}
	assert.Assert(t, first > 900 && first < 1100, "%d of 10000", first)
}
