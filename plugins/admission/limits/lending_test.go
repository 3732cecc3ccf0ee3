package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharesFollowDemand checks that an instance that receives all traffic
// borrows the rate of its peers, also after the traffic has moved to another
// instance, and that all loans are returned when the traffic ends.
func TestSharesFollowDemand(t *testing.T) {
	w := startWorld(4)
	random := rand.New(rand.NewPCG(1, 1))
	for _, hot := range []int{0, 2} {
		w.nodes[hot].offerLoad(100, 3*time.Second, 300*time.Millisecond, random)
		// The instance may use its own share of 0.25, and 0.9 of the shares of
		// its 3 peers, of 40 requests per second, for 4 seconds.
		got := w.nodes[hot].offerLoad(100, 4*time.Second, 300*time.Millisecond, random)
		t.Logf("instance %d: %d requests admitted in 4 s", hot, got)
		assert.Assert(t, got > 140 && got <= 160+limitBurst, "%d requests admitted in 4 s", got)
		w.assertWithinLimits(t)
	}
	w.advance(10*time.Second, true)
	for _, n := range w.nodes {
		s := n.state()
		assert.Equal(t, n.check.usableAmount(s, w.now), n.check.base(s))
		assert.Equal(t, s.borrowings.len(), 0)
		assert.Assert(t, !n.check.wakeNeeded)
	}
}

func TestConcurrencyFollowsDemand(t *testing.T) {
	w := startWorld(4)
	random := rand.New(rand.NewPCG(1, 1))
	w.nodes[0].offerLoad(30, 5*time.Second, lifetime, random)
	// The instance has all slots except the one that each of its 3 peers never
	// lends.
	assert.Equal(t, w.nodes[0].state().active, limitSlots-3)
	w.assertWithinLimits(t)
}

// TestReclaim checks that the limits hold when a lender needs its share back
// while requests that were admitted under its loan are still in flight, and that
// it gets the share back in the end.
func TestReclaim(t *testing.T) {
	w := startWorld(2)
	borrower, lender := w.nodes[0], w.nodes[1]
	random := rand.New(rand.NewPCG(1, 1))
	borrower.offerLoad(100, 500*time.Millisecond, 100*time.Millisecond, random)
	for borrower.state().active < limitSlots-1 {
		borrower.offerLoad(200, 100*time.Millisecond, lifetime, random)
	}
	for range 60 {
		for lender.offerRequest(lifetime) {
		}
		w.advance(100*time.Millisecond, true)
		w.assertWithinLimits(t)
	}
	assert.Assert(t, lender.state().active >= limitSlots/2)
}

// TestCutBorrower checks that the limits hold when all messages between a
// borrower and its lender are lost while requests under the loan are still in
// flight.
func TestCutBorrower(t *testing.T) {
	w := startWorld(2)
	random := rand.New(rand.NewPCG(1, 1))
	w.nodes[0].offerLoad(30, 2*time.Second, lifetime, random)
	assert.Assert(t, w.nodes[0].state().active > limitSlots/2)
	for range 60 {
		w.advance(100*time.Millisecond, false)
		w.inTransit = nil
		w.nodes[1].offerRequest(lifetime)
		w.assertWithinLimits(t)
	}
	assert.Equal(t, w.nodes[0].usage().Slots, limitSlots/2)
}

// TestGivesBackAtOnce checks that the limits hold when a lender uses returned
// capacity before the borrower has received the answer.
func TestGivesBackAtOnce(t *testing.T) {
	w := startWorld(2)
	random := rand.New(rand.NewPCG(1, 1))
	w.nodes[0].offerLoad(100, 2*time.Second, 100*time.Millisecond, random)
	lent := w.nodes[1].state().lent("", w.now)
	assert.Assert(t, !lent.isZero())
	// The borrower's demand decays. Its asks arrive, but all answers are lost.
	for range 20 {
		w.advance(100*time.Millisecond, false)
		for len(w.inTransit) > 0 {
			if w.inTransit[0].to == w.nodes[1].id {
				w.deliver(0, false)
				continue
			}
			w.inTransit = w.inTransit[1:]
		}
		w.assertWithinLimits(t)
	}
	assert.Assert(t, w.nodes[1].state().lent("", w.now).Rate < lent.Rate)
}

// TestOvertakenDemand checks that a lender ignores a copy of a borrower's first
// Demand that arrives after a later one, when the lender needs its share itself.
func TestOvertakenDemand(t *testing.T) {
	w := startWorld(2)
	borrower, lender := w.nodes[0], w.nodes[1]
	borrower.offerLoad(100, 200*time.Millisecond, 10*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
	var first transitMessage
	for len(w.inTransit) == 0 || first.message == nil {
		w.advance(10*time.Millisecond, false)
		for _, m := range w.inTransit {
			if m.to == lender.id {
				first = m
			}
		}
	}
	borrower.offerLoad(100, time.Second, 10*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
	for lender.offerRequest(lifetime) {
	}
	w.assertWithinLimits(t)
	w.inTransit = []transitMessage{first}
	w.deliver(0, false)
	w.assertWithinLimits(t)
}

// TestOvertakenAnswer checks that a borrower ignores a grant that arrives after
// the borrower has asked for less and the lender has taken the capacity back.
func TestOvertakenAnswer(t *testing.T) {
	w := startWorld(2)
	borrower, lender := w.nodes[0], w.nodes[1]
	for borrower.offerRequest(10 * time.Millisecond) {
	}
	for borrower.state().borrowings.len() == 0 {
		w.advance(10*time.Millisecond, false)
	}
	w.deliver(0, false)
	late := w.inTransit
	w.inTransit = nil
	assert.Equal(t, late[0].to, borrower.id)
	assert.Assert(t, !late[0].message.(*Reply).Grants[0].Amount.isZero())
	w.advance(time.Second, false)
	assert.Equal(t, borrower.state().borrowings.len(), 1)
	for len(w.inTransit) > 0 && w.inTransit[0].to == lender.id {
		w.deliver(0, false)
	}
	w.inTransit = late
	w.deliver(0, false)
	w.assertWithinLimits(t)
}
