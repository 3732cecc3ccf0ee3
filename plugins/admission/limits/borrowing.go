package limits

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// askInterval is the interval at which an instance requests more capacity and
	// renews its loans. It is less than half a lease, so a loan does not expire
	// when a single message is lost.
	askInterval = 500 * time.Millisecond
	// maxNewLenders is the maximum number of additional peers to ask in one
	// round.
	maxNewLenders = 2
	// maxUnanswered is the number of consecutive unanswered asks after which a
	// peer that lends nothing is no longer asked. It also bounds how often the
	// return of a loan is repeated.
	maxUnanswered = 3
)

// borrowing is the capacity that this instance has borrowed from one peer.
type borrowing struct {
	// number and askedAt are the message number and the time of the last ask.
	// unanswered is the number of consecutive asks without an answer.
	number     uint64
	askedAt    time.Time
	unanswered int
	// want is the total amount to ask for next.
	want Amount
	// granted is the amount that may be used before the time until.
	granted Amount
	until   time.Time
	// held is the number of slots not yet returned to the lender. It is at least
	// granted.Slots, and greater while requests that were admitted under an
	// earlier grant are still in flight.
	held int
}

// usable returns the borrowed amount that may be used at time now. It is zero
// once the loan has expired.
func (d *borrowing) usable(now time.Time) Amount {
	if now.Before(d.until) {
		return d.granted
	}
	return Amount{}
}

// borrowed returns the sum of the unexpired loans from all peers.
func (s *workspaceState) borrowed(now time.Time) Amount {
	var sum Amount
	for _, d := range s.borrowings.all() {
		sum = sum.add(d.usable(now))
	}
	return sum
}

// releaseUnusedSlots reduces the held slots of each borrowing to those that are
// still granted or in use. own is the amount that the instance may use without
// loans.
func (s *workspaceState) releaseUnusedSlots(own Amount, now time.Time) {
	excess := max(s.active-own.Slots, 0)
	for _, d := range s.borrowings.all() {
		excess -= min(d.usable(now).Slots, excess)
	}
	for _, d := range s.borrowings.all() {
		usable := d.usable(now).Slots
		more := min(max(d.held-usable, 0), excess)
		d.held = usable + more
		excess -= more
	}
}

// borrow adds this instance's asks for the workspace to out. It reports whether
// another round is needed, because the instance still has loans or its own
// capacity does not cover its demand.
func (c *Check) borrow(s *workspaceState, out *outbox) bool {
	now := c.host.Now()
	own := c.ownAmount(s, now)
	s.releaseUnusedSlots(own, now)
	need := s.needs(now).minus(own)
	have := s.borrowed(now)
	c.addLenders(s, need.minus(have))
	s.setWants(need, have, now)
	for peer, d := range s.borrowings.all() {
		d.ask(s.name, peer, out, now)
	}
	s.borrowings.removeIf(func(peer ident.InstanceID, d *borrowing) bool {
		return d.done() || !c.members.includes(peer)
	})
	return s.borrowings.len() > 0 || !need.isZero()
}

// addLenders creates borrowings for up to maxNewLenders randomly selected peers
// that this instance does not borrow from yet. It does nothing if more is zero.
func (c *Check) addLenders(s *workspaceState, more Amount) {
	if more.isZero() {
		return
	}
	var others []ident.InstanceID
	for _, peer := range c.members.lenders {
		if s.borrowings.get(peer) == nil {
			others = append(others, peer)
		}
	}
	for range min(maxNewLenders, len(others)) {
		i := c.host.Rand().IntN(len(others))
		s.borrowings.put(others[i], &borrowing{})
		others = slices.Delete(others, i, i+1)
	}
}

// setWants sets the amount to ask of each peer: its present loan plus an equal
// part of the missing amount, or less if this instance has borrowed more than it
// needs.
func (s *workspaceState) setWants(need, have Amount, now time.Time) {
	missing := need.minus(have)
	tooMuch := have.minus(need)
	left := s.borrowings.len()
	for _, d := range s.borrowings.all() {
		has := d.usable(now)
		more := Amount{
			Rate:  missing.Rate / float64(left),
			Slots: (missing.Slots + left - 1) / left,
		}
		back := tooMuch.atMost(has)
		missing = missing.minus(more)
		tooMuch = tooMuch.minus(back)
		d.want = has.minus(back).add(more)
		left--
	}
}

// ask adds one ask to out. From then on this instance uses no more of the peer's
// capacity than the ask's Hold, until the peer answers.
func (d *borrowing) ask(name ident.Workspace, peer ident.InstanceID, out *outbox, now time.Time) {
	d.granted = d.usable(now).atMost(d.want)
	d.held = max(d.granted.Slots, d.held)
	hold := Amount{Rate: d.granted.Rate, Slots: d.held}
	d.number = out.add(peer, Ask{Workspace: name, Want: d.want, Hold: hold})
	d.askedAt = now
	d.unanswered++
}

// done reports whether the peer need not be asked again: nothing is borrowed
// from it, and more than maxUnanswered asks in a row were not answered.
func (d *borrowing) done() bool {
	nothing := d.granted.isZero() && d.held == 0
	return nothing && d.unanswered > maxUnanswered
}

// applyGrant applies the answer to the last ask. The lease starts when the ask
// was sent, so it ends before the lender's.
func (d *borrowing) applyGrant(grant Amount) {
	d.unanswered = 0
	d.granted = grant
	d.until = d.askedAt.Add(lease)
	d.held = max(d.held, grant.Slots)
}
