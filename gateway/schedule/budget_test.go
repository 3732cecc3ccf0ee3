package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSumStaysInBudget checks that instances that each spend their whole share, without
// coordination, together stay within the budget in every window.
func TestSumStaysInBudget(t *testing.T) {
	const instances = 8
	o := BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	var budgets []*Budget
	for range instances {
		budgets = append(budgets, NewBudget(at(0), o, func() int { return instances }))
	}
	type second struct{ requests, extra int }
	var seconds []second
	for s := range 40 {
		var now second
		for ms := range 50 {
			for _, b := range budgets {
				moment := at(s*1000 + ms*20)
				if s%7 < 3 && ms%10 == 0 {
					b.Request(moment, "s")
					now.requests++
				}
				if b.Extra(moment, "s", 1) {
					now.extra++
				}
			}
		}
		seconds = append(seconds, now)
		requests, extra := 0, 0
		for _, w := range seconds[max(0, len(seconds)-10):] {
			requests += w.requests
			extra += w.extra
		}
		assert.Assert(t, float64(extra) <= o.Ratio*float64(requests)+o.Slack, "second %d: %d extra sends for %d requests", s, extra, requests)
	}
}

// TestStreamsStartAnewInALargeFleet guards against streams that cannot be restarted in a large
// fleet, where an instance's share of the budget is about the two sends that a restart takes.
// While the total spending is low, each of 295 instances may restart a stream. When streams
// fail at all instances at once, and each instance learns of the others' spending one second
// late, the total stays within the budget in every window.
func TestStreamsStartAnewInALargeFleet(t *testing.T) {
	const instances = 295
	o := BudgetOptions{Ratio: 0.2, Window: 10 * time.Second, Slack: 630}
	var budgets []*Budget
	for range instances {
		budgets = append(budgets, NewBudget(at(0), o, func() int { return instances }))
	}
	var perStep []int
	reported := []map[string]int{{}, {}, {}, {}, {}}
	most, started := 0, 0
	for step := 0; step < 200; step++ {
		now := at(step * 200)
		sum, spent := 0, map[string]int{}
		for i, b := range budgets {
			b.SetOthersSpent(now, reported[0])
			// One stream of the fleet fails every 0.2 s, and those of all instances from 20 s
			// on.
			if step > 100 || (step+i)%300 == 0 {
				if b.Extra(now, "s", 2) {
					sum += 2
					started++
				}
			}
			spent["s"] += b.Spent(now)["s"]
		}
		reported = append(reported[1:], spent)
		perStep = append(perStep, sum)
		window := 0
		for _, n := range perStep[max(0, len(perStep)-50):] {
			window += n
		}
		most = max(most, window)
		if step == 100 {
			assert.Assert(t, started >= 25, "%d streams restarted while spending was low", started)
		}
	}
	assert.Assert(t, float64(most) <= o.Slack, "%d extra sends in 10 s", most)
}

// TestWholePartOnlyIfTheOthersAreHeard checks that an instance uses its whole share of the
// budget only with a recent report of low spending, and not right after its start.
func TestWholePartOnlyIfTheOthersAreHeard(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	b.SetOthersSpent(at(0), nil)
	assert.Assert(t, b.Extra(at(0), "s", 6))
	assert.Assert(t, !b.Extra(at(100), "s", 1), "whole share used right after the start")
	assert.Assert(t, b.Extra(at(21000), "s", 3))
	assert.Assert(t, b.Extra(at(21000), "s", 3))
	assert.Assert(t, !b.Extra(at(21000), "s", 1), "whole share used without a recent report")
	b.SetOthersSpent(at(40000), map[string]int{"s": 1})
	assert.Assert(t, b.Extra(at(40000), "s", 2))
	assert.Assert(t, b.Extra(at(40000), "s", 8), "whole share refused at low spending")
	b.SetOthersSpent(at(60000), map[string]int{"s": 9})
	assert.Assert(t, !b.Extra(at(60000), "s", 7), "whole share used at high spending")
}

func TestSeveralSendsCountAsMany(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	assert.Assert(t, b.Extra(at(0), "s", 4))
	assert.Assert(t, !b.Extra(at(0), "s", 3))
	assert.Assert(t, b.Extra(at(0), "s", 2))
	assert.Assert(t, b.Extra(at(11000), "s", 4), "sends still counted after the window")
}

// TestSpareSendsLeaveHalfOfTheBudget checks that optional sends leave half of the budget to
// necessary ones.
func TestSpareSendsLeaveHalfOfTheBudget(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	assert.Assert(t, b.ExtraOptional(at(0), "s", 3))
	assert.Assert(t, !b.ExtraOptional(at(0), "s", 1))
	assert.Assert(t, b.Extra(at(0), "s", 3))
	assert.Assert(t, !b.Extra(at(0), "s", 1))
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 4}, func() int { return 1 })
	assert.Assert(t, b.Extra(at(0), "s", 2))
	assert.Assert(t, !b.Extra(at(0), "s", 1))
	assert.Assert(t, b.Extra(at(0), "other", 1))
}

// TestOwedSendsCount checks that owed sends reduce the budget left for others.
func TestOwedSendsCount(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	b.CountRequired(at(0), "s", 6)
	assert.Equal(t, b.Spent(at(0))["s"], 6)
	assert.Assert(t, !b.Extra(at(0), "s", 1))
}

// TestStreamsUnderWayMaySpendMore checks that streams that have already started may use a share
// of the budget that is closed to other requests.
func TestStreamsUnderWayMaySpendMore(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	assert.Assert(t, b.Extra(at(0), "s", 6))
	assert.Assert(t, !b.Extra(at(0), "s", 1))
	assert.Assert(t, b.ExtraForStream(at(0), "s", 2))
	assert.Assert(t, !b.ExtraForStream(at(0), "s", 1))
}
