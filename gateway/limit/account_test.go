package limit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time at the given offset from start.
func at(d time.Duration) time.Time { return start.Add(d) }

// share is the zone's share that all tests use: 100 tokens per second and a burst of 100.
var share = Share{Rate: 100, Burst: 100}

func requestOf(cost float64) Request {
	return Request{Workspace: "w", Share: share, Version: 1, Cost: cost}
}

// TestAccountHoldsWhatItSaved checks that the account of an owner that started long ago is full,
// and that no request is granted while the account is empty.
func TestAccountHoldsWhatItSaved(t *testing.T) {
	s := NewAccounts(start)
	for range 10 {
		assert.Assert(t, s.Take(at(time.Hour), requestOf(10)).Granted)
	}
	assert.Assert(t, !s.Take(at(time.Hour), requestOf(1)).Granted)
	assert.Assert(t, s.Take(at(time.Hour+20*time.Millisecond), requestOf(10)).Granted)
	a := s.Take(at(time.Hour+50*time.Millisecond), requestOf(30))
	assert.Assert(t, !a.Granted)
	assert.Assert(t, math.Abs(a.Missing-35) < 1e-6)
}

// TestKeeperThatHasJustStarted checks that a new owner holds only the tokens accrued since its
// start, and grants a request only if it holds the whole cost, up to the burst. Otherwise too
// much would be granted while other instances are used as owners of the same account.
func TestKeeperThatHasJustStarted(t *testing.T) {
	s := NewAccounts(start)
	assert.Assert(t, !s.Take(start, requestOf(10)).Granted)
	a := s.Take(at(200*time.Millisecond), requestOf(30))
	assert.Assert(t, !a.Granted)
	assert.Assert(t, math.Abs(a.Balance-20) < 1e-6)
	assert.Assert(t, s.Take(at(300*time.Millisecond), requestOf(30)).Granted)
	assert.Assert(t, !s.Take(at(900*time.Millisecond), requestOf(500)).Granted)
	assert.Assert(t, s.Take(at(1500*time.Millisecond), requestOf(500)).Granted, "the burst suffices for a request that costs more")
}

// TestLargeRequestIsPaidAfterwards checks that a request that costs more than the account holds
// is granted, so that small requests don't starve large ones, and that the next request is
// refused until the negative balance is made up for.
func TestLargeRequestIsPaidAfterwards(t *testing.T) {
	s := NewAccounts(start)
	now := at(time.Hour)
	assert.Assert(t, s.Take(now, requestOf(90)).Granted)
	assert.Assert(t, s.Take(now, requestOf(300)).Granted)
	assert.Assert(t, !s.Take(now.Add(2900*time.Millisecond-time.Millisecond), requestOf(1)).Granted)
	assert.Assert(t, s.Take(now.Add(2900*time.Millisecond+20*time.Millisecond), requestOf(1)).Granted)
}

// TestKeeperLearnsWhatAnotherGaveAway checks that a new owner lowers its balance to the one that
// clients report of the previous owner, and that a reported balance never raises it.
func TestKeeperLearnsWhatAnotherGaveAway(t *testing.T) {
	s := NewAccounts(start)
	q := requestOf(10)
	q.LastReport = &BalanceReport{Balance: -50, Age: 500 * time.Millisecond}
	assert.Assert(t, !s.Take(at(time.Hour), q).Granted)
	assert.Assert(t, s.Take(at(time.Hour+100*time.Millisecond), requestOf(10)).Granted)
	q.LastReport = &BalanceReport{Balance: 1000}
	assert.Assert(t, !s.Take(at(time.Hour+100*time.Millisecond), q).Granted)
}

// TestLoansMoveTokens checks that lent tokens are deducted from the lender, and that it lends no
// more than it holds.
func TestLoansMoveTokens(t *testing.T) {
	s := NewAccounts(start)
	now := at(time.Hour)
	assert.Equal(t, s.Lend(now, requestOf(20), -20), 60.0, "half of the difference of the balances")
	assert.Equal(t, s.Lend(now, requestOf(30), 0), 30.0, "the requested number")
	assert.Equal(t, s.Lend(now, requestOf(30), 0), 10.0, "no more than the balance")
	assert.Equal(t, s.Lend(now, requestOf(30), 0), 0.0)
}

// TestCallersAreSentBackOneAfterTheOther checks that refused callers are given different times to
// retry, each when enough tokens for it will have accrued.
func TestCallersAreSentBackOneAfterTheOther(t *testing.T) {
	s := NewAccounts(start)
	now := at(time.Hour)
	assert.Assert(t, s.Take(now, requestOf(100)).Granted)
	for i := range 3 {
		assert.Assert(t, !s.Take(now, requestOf(50)).Granted)
		assert.Equal(t, s.RetryAfter(now, "w", 50), time.Duration(i)*500*time.Millisecond)
	}
	assert.Assert(t, s.Take(now.Add(time.Second), requestOf(50)).Granted)
	assert.Equal(t, s.RetryAfter(now, "unknown", 50), MaxRetryAfter)
}

// TestLimitsChange checks that a lower limit applies at once, that a higher limit adds no tokens
// for time before the change, and that a limit of an older configuration has no effect. It also
// checks that an account without requests is removed.
func TestLimitsChange(t *testing.T) {
	s := NewAccounts(start)
	now := at(time.Hour)
	assert.Assert(t, s.Take(now, requestOf(1)).Granted)
	lower := Request{Workspace: "w", Share: Share{Rate: 10, Burst: 10}, Version: 2, Cost: 10}
	assert.Assert(t, s.Take(now, lower).Granted)
	assert.Assert(t, !s.Take(now, requestOf(5)).Granted, "the limit of version 1 no longer applies")
	higher := Request{Workspace: "w", Share: Share{Rate: 1000, Burst: 1000}, Version: 3, Cost: 100}
	assert.Assert(t, !s.Take(now, higher).Granted)
	assert.Assert(t, s.Take(now.Add(100*time.Millisecond), higher).Granted)
	for range 3 {
		for _, q := range []Request{lower, higher} {
			q.Version += 10
			s.Take(now.Add(100*time.Millisecond), q)
		}
	}
	balance, owned := s.Balance(now.Add(100*time.Millisecond), "w")
	assert.Assert(t, owned && balance <= 1000, "%v", balance)
	s.RemoveIdle(now.Add(time.Hour))
	_, owned = s.Balance(now.Add(time.Hour), "w")
	assert.Assert(t, !owned)
}

// TestCosts checks the cost of requests in each unit, with and without stated token counts, and
// each zone's share of a limit. The largest token counts must not overflow, and such requests
// must always be refused: granting one would block its workspace for a long time.
func TestCosts(t *testing.T) {
	l := routing.Limit{Rate: 100, Burst: 50, Unit: routing.Tokens, DefaultCost: 7}
	assert.Equal(t, CostOf(l, true, 10, 5), 15.0)
	assert.Equal(t, CostOf(l, false, 10, 5), 7.0)
	assert.Equal(t, CostOf(l, true, -10, 5), 5.0)
	assert.Equal(t, CostOf(routing.Limit{Rate: 1, Unit: routing.Requests}, true, 10, 5), 1.0)
	largest := CostOf(l, true, math.MaxInt, math.MaxInt)
	assert.Assert(t, largest > math.MaxInt)
	assert.Assert(t, !Grantable(l, largest))
	assert.Assert(t, Grantable(l, 550))
	assert.Assert(t, !Grantable(l, 551))
	assert.Equal(t, ShareOf(l, 0), Share{Rate: 100, Burst: 50})
	assert.Equal(t, ShareOf(l, 4), Share{Rate: 25, Burst: 12.5})
}

// TestClientDecidesByItself checks what a client does without asking the owner: returned tokens
// serve the next request or go back to the owner, and for refusalTTL after a refusal it
// refuses requests that cost as much or more, each with a later time to retry.
func TestClientDecidesByItself(t *testing.T) {
	c := NewClient()
	now := start
	owner := Owner{ID: "k", Incarnation: 1}
	_, _, decided := c.Decide(now, "w", 10)
	assert.Assert(t, !decided)
	c.Return(now, "w", 10)
	granted, _, decided := c.Decide(now, "w", 10)
	assert.Assert(t, granted && decided)
	c.Return(now, "w", 10)
	assert.Equal(t, c.NewRequest(now, "w", 20, owner).Returned, 10.0)
	assert.Equal(t, c.NewRequest(now, "w", 20, owner).Returned, 0.0)
	c.Return(now, "w", 10)
	assert.Equal(t, len(c.TakeIdle(now)), 0)
	assert.Equal(t, c.TakeIdle(now.Add(idleBalanceTTL))["w"], 10.0)
	assert.Equal(t, len(c.TakeIdle(now.Add(idleBalanceTTL))), 0)

	c.RecordResponse(now, "w", 20, owner, Response{Balance: 3}, time.Second)
	_, _, decided = c.Decide(now, "w", 19)
	assert.Assert(t, !decided, "the owner may hold enough for a lower cost")
	last := time.Duration(0)
	for range 5 {
		granted, wait, decided := c.Decide(now, "w", 20)
		assert.Assert(t, decided && !granted && wait > last)
		last = wait
	}
	_, _, decided = c.Decide(now.Add(refusalTTL), "w", 20)
	assert.Assert(t, !decided)

	assert.Assert(t, c.NewRequest(now, "w", 1, owner).LastReport == nil, "an owner needs no report of its own balance")
	report := c.NewRequest(now.Add(time.Second), "w", 1, Owner{ID: "k", Incarnation: 2}).LastReport
	assert.DeepEqual(t, report, &BalanceReport{Balance: 3, Age: time.Second})
	assert.Assert(t, c.NewRequest(now.Add(balanceReportTTL), "w", 1, Owner{ID: "o"}).LastReport == nil)
}

// TestAloneNothingIsTakenInAdvance checks that an instance that reaches no owner starts with no
// tokens and grants a request only once it has accrued the whole cost, and that no tokens accrue
// while it reaches an owner.
func TestAloneNothingIsTakenInAdvance(t *testing.T) {
	c := NewClient()
	assert.Assert(t, !c.DecideLocally(start, "w", 50, share))
	assert.Assert(t, !c.DecideLocally(at(400*time.Millisecond), "w", 50, share))
	assert.Assert(t, c.DecideLocally(at(600*time.Millisecond), "w", 50, share))
	assert.Assert(t, !c.DecideLocally(at(700*time.Millisecond), "w", 50, share))
	assert.Assert(t, !c.DecideLocally(at(time.Hour), "w", 50, share))
	assert.DeepEqual(t, c.Use("w"), Use{Granted: 50, Refused: 200})
}
