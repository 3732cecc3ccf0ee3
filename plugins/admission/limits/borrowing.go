package limits

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// askEvery is the interval at which an instance requests more capacity and
	// renews its loans. It is less than half a lease, so a loan does not expire
	// when a single message is lost.
	askEvery = 500 * time.Millisecond
	// askNew is the maximum number of additional peers to ask in one round.
	askNew = 2
	// maxSilent is the number of consecutive unanswered asks after which a peer
	// that lends nothing is no longer asked. It also bounds how often the return
	// of a loan is repeated.
	maxSilent = 3
)

// debt is the capacity that this instance has borrowed from one peer.
type debt struct {
	// number and askedAt are the message number and the time of the last ask.
	// silent is the number of consecutive asks without an answer.
	number  uint64
	askedAt time.Time
	silent  int
	// want is the total amount to ask for next.
	want Amount
	// right is the amount that may be used before the time until.
	right Amount
	until time.Time
	// held is the number of slots not yet returned to the lender. It is at least
	// right.Slots, and greater while requests that were admitted under an earlier
	// grant are still in flight.
	held int
}

// at returns the borrowed amount that may be used at time now. It is zero once
// the loan has expired.
func (d *debt) at(now time.Time) Amount {
	if now.Before(d.until) {
		return d.right
	}
	return Amount{}
}

// borrowed returns the sum of the unexpired loans from all peers.
func (s *space) borrowed(now time.Time) Amount {
	var sum Amount
	for _, d := range s.debts.all() {
		sum = sum.add(d.at(now))
	}
	return sum
}

// settle reduces the held slots of each debt to those that are still granted or
// in use. own is the amount that the instance may use without loans.
func (s *space) settle(own Amount, now time.Time) {
	excess := max(s.active-own.Slots, 0)
	for _, d := range s.debts.all() {
		excess -= min(d.at(now).Slots, excess)
	}
	for _, d := range s.debts.all() {
		right := d.at(now).Slots
		more := min(max(d.held-right, 0), excess)
		d.held = right + more
		excess -= more
	}
}

// borrow adds this instance's asks for the workspace to out. It reports whether
// another round is needed, because the instance still has loans or its own
// capacity does not cover its demand.
func (c *Check) borrow(s *space, out *outbox) bool {
	now := c.host.Now()
	own := c.own(s, now)
	s.settle(own, now)
	need := s.needs(now).less(own)
	have := s.borrowed(now)
	c.choose(s, need.less(have))
	s.split(need, have, now)
	for peer, d := range s.debts.all() {
		d.ask(s.name, peer, out, now)
	}
	s.debts.removeIf(func(peer ident.InstanceID, d *debt) bool {
		return d.done() || !c.members.counts(peer)
	})
	return s.debts.len() > 0 || !need.isZero()
}

// choose creates debts for up to askNew randomly selected peers that this
// instance does not borrow from yet. It does nothing if more is zero.
func (c *Check) choose(s *space, more Amount) {
	if more.isZero() {
		return
	}
	var others []ident.InstanceID
	for _, peer := range c.members.lenders {
		if s.debts.get(peer) == nil {
			others = append(others, peer)
		}
	}
	for range min(askNew, len(others)) {
		i := c.host.Rand().IntN(len(others))
		s.debts.put(others[i], &debt{})
		others = slices.Delete(others, i, i+1)
	}
}

// split sets the amount to ask of each peer: its present loan plus an equal part
// of the missing amount, or less if this instance has borrowed more than it
// needs.
func (s *space) split(need, have Amount, now time.Time) {
	missing := need.less(have)
	tooMuch := have.less(need)
	left := s.debts.len()
	for _, d := range s.debts.all() {
		has := d.at(now)
		more := Amount{
			Rate:  missing.Rate / float64(left),
			Slots: (missing.Slots + left - 1) / left,
		}
		back := tooMuch.atMost(has)
		missing = missing.less(more)
		tooMuch = tooMuch.less(back)
		d.want = has.less(back).add(more)
		left--
	}
}

// ask adds one ask to out. From then on this instance uses no more of the peer's
// capacity than the ask's Hold, until the peer answers.
func (d *debt) ask(name ident.Workspace, peer ident.InstanceID, out *outbox, now time.Time) {
	d.right = d.at(now).atMost(d.want)
	d.held = max(d.right.Slots, d.held)
	hold := Amount{Rate: d.right.Rate, Slots: d.held}
	d.number = out.add(peer, Ask{Workspace: name, Want: d.want, Hold: hold})
	d.askedAt = now
	d.silent++
}

// done reports whether the peer need not be asked again: nothing is borrowed
// from it, and more than maxSilent asks in a row were not answered.
func (d *debt) done() bool {
	nothing := d.right.isZero() && d.held == 0
	return nothing && d.silent > maxSilent
}

// answered applies the answer to the last ask. The lease starts when the ask was
// sent, so it ends before the lender's.
func (d *debt) answered(grant Amount) {
	d.silent = 0
	d.right = grant
	d.until = d.askedAt.Add(lease)
	d.held = max(d.held, grant.Slots)
}
