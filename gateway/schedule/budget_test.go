package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSumStaysInBudget: instances that spend all they may, without a word between
// them, stay under the bound in every window.
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
		assert.Assert(t, float64(extra) <= o.Ratio*float64(requests)+o.Slack, "second %d: %d of %d", s, extra, requests)
	}
}

func TestSeveralSendsCountAsMany(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	assert.Assert(t, b.Extra(at(0), "s", 4))
	assert.Assert(t, !b.Extra(at(0), "s", 3))
	assert.Assert(t, b.Extra(at(0), "s", 2))
	assert.Assert(t, b.Extra(at(11000), "s", 4), "the window has passed")
}

// TestSpareSendsLeaveHalfOfTheBudget.
func TestSpareSendsLeaveHalfOfTheBudget(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 10}, func() int { return 1 })
	assert.Assert(t, b.Spare(at(0), "s", 3))
	assert.Assert(t, !b.Spare(at(0), "s", 1))
	assert.Assert(t, b.Extra(at(0), "s", 3))
	assert.Assert(t, !b.Extra(at(0), "s", 1))
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := NewBudget(at(0), BudgetOptions{Window: 10 * time.Second, Slack: 4}, func() int { return 1 })
	assert.Assert(t, b.Extra(at(0), "s", 2))
	assert.Assert(t, !b.Extra(at(0), "s", 1))
	assert.Assert(t, b.Extra(at(0), "other", 1))
}
