package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharesFollowDemand: one instance gets all the traffic, then another.
func TestSharesFollowDemand(t *testing.T) {
	w := startAll(4)
	random := rand.New(rand.NewPCG(1, 1))
	for _, hot := range []int{0, 2} {
		w.nodes[hot].hammer(100, 3*time.Second, 300*time.Millisecond, random)
		// 0.25 + 3 * 0.25 * 0.9 of 40 a second, for 4 seconds.
		got := w.nodes[hot].hammer(100, 4*time.Second, 300*time.Millisecond, random)
		t.Logf("instance %d: %d in 4 s", hot, got)
		assert.Assert(t, got > 140 && got <= 160+limitBurst, "%d", got)
		w.within(t)
	}
	w.pass(10*time.Second, true)
	for _, n := range w.nodes {
		s := n.space()
		assert.Equal(t, n.check.right(s, w.now), n.check.base(s))
		assert.Equal(t, s.debts.len(), 0)
		assert.Assert(t, !n.check.restless)
	}
}

func TestConcurrencyFollowsDemand(t *testing.T) {
	w := startAll(4)
	random := rand.New(rand.NewPCG(1, 1))
	w.nodes[0].hammer(30, 5*time.Second, lifetime, random)
	// All but the slot that each of the others keeps.
	assert.Equal(t, w.nodes[0].space().active, limitSlots-3)
	w.within(t)
}

// TestReclaim: lenders need their part back while the requests that were
// admitted under their loans still run.
func TestReclaim(t *testing.T) {
	w := startAll(2)
	borrower, lender := w.nodes[0], w.nodes[1]
	random := rand.New(rand.NewPCG(1, 1))
	borrower.hammer(100, 500*time.Millisecond, 100*time.Millisecond, random)
	for borrower.space().active < limitSlots-1 {
		borrower.hammer(200, 100*time.Millisecond, lifetime, random)
	}
	for range 60 {
		for lender.arrive(lifetime) {
		}
		w.pass(100*time.Millisecond, true)
		w.within(t)
	}
	assert.Assert(t, lender.space().active >= limitSlots/2)
}

// TestCutBorrower: a borrower's peers hear nothing more while its requests run.
func TestCutBorrower(t *testing.T) {
	w := startAll(2)
	random := rand.New(rand.NewPCG(1, 1))
	w.nodes[0].hammer(30, 2*time.Second, lifetime, random)
	assert.Assert(t, w.nodes[0].space().active > limitSlots/2)
	for range 60 {
		w.pass(100*time.Millisecond, false)
		w.mail = nil
		w.nodes[1].arrive(lifetime)
		w.within(t)
	}
	assert.Equal(t, w.nodes[0].use().Slots, limitSlots/2)
}

// TestGivesBackAtOnce: what a borrower gives back may be used by the lender
// before the borrower has its answer.
func TestGivesBackAtOnce(t *testing.T) {
	w := startAll(2)
	random := rand.New(rand.NewPCG(1, 1))
	w.nodes[0].hammer(100, 2*time.Second, 100*time.Millisecond, random)
	lent := w.nodes[1].space().lent("", w.now)
	assert.Assert(t, !lent.isZero())
	// The borrower's demand fades, and its next ask arrives; no answer does.
	for range 20 {
		w.pass(100*time.Millisecond, false)
		for len(w.mail) > 0 {
			if w.mail[0].to == w.nodes[1].id {
				w.deliver(0, false)
				continue
			}
			w.mail = w.mail[1:]
		}
		w.within(t)
	}
	assert.Assert(t, w.nodes[1].space().lent("", w.now).Rate < lent.Rate)
}

// TestOvertakenDemand: a copy of a borrower's first demand comes after its
// second, when the lender needs its own part itself.
func TestOvertakenDemand(t *testing.T) {
	w := startAll(2)
	borrower, lender := w.nodes[0], w.nodes[1]
	borrower.hammer(100, 200*time.Millisecond, 10*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
	var first mail
	for len(w.mail) == 0 || first.message == nil {
		w.pass(10*time.Millisecond, false)
		for _, m := range w.mail {
			if m.to == lender.id {
				first = m
			}
		}
	}
	borrower.hammer(100, time.Second, 10*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
	for lender.arrive(lifetime) {
	}
	w.within(t)
	w.mail = []mail{first}
	w.deliver(0, false)
	w.within(t)
}

// TestOvertakenAnswer: a grant comes after the borrower has asked for less, and
// the lender has taken it back.
func TestOvertakenAnswer(t *testing.T) {
	w := startAll(2)
	borrower, lender := w.nodes[0], w.nodes[1]
	for borrower.arrive(10 * time.Millisecond) {
	}
	for borrower.space().debts.len() == 0 {
		w.pass(10*time.Millisecond, false)
	}
	w.deliver(0, false)
	late := w.mail
	w.mail = nil
	assert.Equal(t, late[0].to, borrower.id)
	assert.Assert(t, !late[0].message.(*Move).Grants[0].Amount.isZero())
	w.pass(time.Second, false)
	assert.Equal(t, borrower.space().debts.len(), 1)
	for len(w.mail) > 0 && w.mail[0].to == lender.id {
		w.deliver(0, false)
	}
	w.mail = late
	w.deliver(0, false)
	w.within(t)
}
