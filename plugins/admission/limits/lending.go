package limits

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// lease is the duration of a loan. The borrower counts it from sending the
	// ask, the lender from receiving it, each by its own clock. The lender's lease
	// therefore ends later, whatever the offset between the clocks, provided that
	// both run at the same speed.
	lease = 2 * time.Second
	// guard is added to the lease by the lender to allow for clocks that run at
	// different speeds.
	guard = 100 * time.Millisecond
	// reserve is the fraction of its equal share that an instance never lends.
	// A new instance may use only this fraction during warm-up, because it may
	// have lent the rest before it restarted.
	reserve = 0.1
)

// loan is the capacity that this instance has lent to one peer. A returned loan
// is kept for the length of a lease, so that a demand that arrives after the
// later message that returned the loan is recognized as outdated.
type loan struct {
	incarnation ident.Incarnation
	number      uint64
	amount      Amount
	until       time.Time
	// slotsUntil is the time from which no request that was admitted under the
	// loan can still be in flight.
	slotsUntil time.Time
}

// at returns the amount that is still lent at time now. Slots stay lent longer
// than the rate, until the requests that may use them have ended.
func (l *loan) at(now time.Time) Amount {
	var left Amount
	if now.Before(l.until) {
		left.Rate = l.amount.Rate
	}
	if now.Before(l.slotsUntil) {
		left.Slots = l.amount.Slots
	}
	return left
}

// over reports whether the loan has expired and no slots are lent under it.
func (l *loan) over(now time.Time) bool {
	return !now.Before(l.until) && l.at(now).isZero()
}

// newer reports whether the borrower sent the demand after the one that the loan
// answers.
func (l *loan) newer(d *Demand) bool {
	if l.incarnation != d.Incarnation {
		return d.Incarnation > l.incarnation
	}
	return d.Number > l.number
}

// kept returns the part of base that is never lent. It includes at least one
// slot if base has any, since an instance without a slot could not serve any
// request until a peer answers.
func kept(base Amount) Amount {
	slots := int(reserve * float64(base.Slots))
	return Amount{Rate: reserve * base.Rate, Slots: min(max(slots, 1), base.Slots)}
}

// lent returns the sum of the amounts lent to all peers but except.
func (s *space) lent(except ident.InstanceID, now time.Time) Amount {
	var sum Amount
	for peer, l := range s.loans.all() {
		if peer != except {
			sum = sum.add(l.at(now))
		}
	}
	return sum
}

// dropLoans removes expired loans. Slots that were lent to a peer that no longer
// has a share become available at the end of the lease, since the peer's
// requests ended with it.
func (s *space) dropLoans(m *members, now time.Time) {
	s.loans.removeIf(func(peer ident.InstanceID, l *loan) bool {
		gone := !m.counts(peer) && !now.Before(l.until)
		return gone || l.over(now)
	})
}

// lend records a loan for a peer's ask and returns the amount that the peer may
// use. It reports false, and changes nothing, if a later demand of the peer has
// already been handled.
func (c *Check) lend(s *space, from ident.InstanceID, d *Demand, ask Ask) (Amount, bool) {
	now := c.host.Now()
	s.dropLoans(&c.members, now)
	old := s.loans.get(from)
	if old != nil && !old.newer(d) {
		return Amount{}, false
	}
	grant := ask.Want.atMost(c.spare(s, from, now))
	s.loans.put(from, &loan{
		incarnation: d.Incarnation,
		number:      d.Number,
		// The peer may go on using what it holds, even if this instance needs
		// the capacity back, so that amount still counts as lent.
		amount:     grant.atLeast(ask.Hold),
		until:      now.Add(lease + guard),
		slotsUntil: now.Add(lease + guard + c.longest),
	})
	return grant, true
}

// spare returns the total that this instance can lend to a peer, including the
// amount that it has already lent to that peer. It is zero during warm-up.
func (c *Check) spare(s *space, to ident.InstanceID, now time.Time) Amount {
	if c.members.warm {
		return Amount{}
	}
	base := c.base(s)
	own := s.needs(now).atLeast(kept(base))
	return base.less(own).less(s.lent(to, now))
}
