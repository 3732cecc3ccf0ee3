package limits

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// lease is the duration of a loan. The borrower counts it from sending the
	// ask, the lender from receiving it, each by its own clock. The lender's
	// lease therefore ends later, whatever the offset between the clocks,
	// provided that both run at the same speed.
	lease = 2 * time.Second
	// driftMargin is added to the lease by the lender to allow for clocks that
	// run at different speeds.
	driftMargin = 100 * time.Millisecond
	// reserveFraction is the fraction of its equal share that an instance never
	// lends. A new instance may use only this fraction during warm-up, because it
	// may have lent the rest before it restarted.
	reserveFraction = 0.1
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

// outstanding returns the amount that is still lent at time now. Slots stay lent
// longer than the rate, until the requests that may use them have ended.
func (l *loan) outstanding(now time.Time) Amount {
	var left Amount
	if now.Before(l.until) {
		left.Rate = l.amount.Rate
	}
	if now.Before(l.slotsUntil) {
		left.Slots = l.amount.Slots
	}
	return left
}

// expired reports whether the loan has expired and no slots are lent under it.
func (l *loan) expired(now time.Time) bool {
	return !now.Before(l.until) && l.outstanding(now).isZero()
}

// supersededBy reports whether the borrower sent the demand after the one that
// the loan answers.
func (l *loan) supersededBy(d *Demand) bool {
	if l.incarnation != d.Incarnation {
		return d.Incarnation > l.incarnation
	}
	return d.Number > l.number
}

// reservedPart returns the part of base that is never lent. It includes at least
// one slot if base has any, since an instance without a slot could not serve any
// request until a peer answers.
func reservedPart(base Amount) Amount {
	slots := int(reserveFraction * float64(base.Slots))
	return Amount{Rate: reserveFraction * base.Rate, Slots: min(max(slots, 1), base.Slots)}
}

// lent returns the sum of the amounts lent to all peers but except.
func (s *workspaceState) lent(except ident.InstanceID, now time.Time) Amount {
	var sum Amount
	for peer, l := range s.loans.all() {
		if peer != except {
			sum = sum.add(l.outstanding(now))
		}
	}
	return sum
}

// removeExpiredLoans removes expired loans. Slots that were lent to a peer that
// no longer has a share become available at the end of the lease, since the
// peer's requests ended with it.
func (s *workspaceState) removeExpiredLoans(m *members, now time.Time) {
	s.loans.removeIf(func(peer ident.InstanceID, l *loan) bool {
		gone := !m.includes(peer) && !now.Before(l.until)
		return gone || l.expired(now)
	})
}

// lend records a loan for a peer's ask and returns the amount that the peer may
// use. It reports false, and changes nothing, if a later demand of the peer has
// already been handled.
func (c *Check) lend(s *workspaceState, from ident.InstanceID, d *Demand, ask Ask) (Amount, bool) {
	now := c.host.Now()
	s.removeExpiredLoans(&c.members, now)
	old := s.loans.get(from)
	if old != nil && !old.supersededBy(d) {
		return Amount{}, false
	}
	grant := ask.Want.atMost(c.lendable(s, from, now))
	s.loans.put(from, &loan{
		incarnation: d.Incarnation,
		number:      d.Number,
		// The peer may go on using what it holds, even if this instance needs
		// the capacity back, so that amount still counts as lent.
		amount:     grant.atLeast(ask.Hold),
		until:      now.Add(lease + driftMargin),
		slotsUntil: now.Add(lease + driftMargin + c.maxRequestTime),
	})
	return grant, true
}

// lendable returns the total that this instance can lend to a peer, including the
// amount that it has already lent to that peer. It is zero during warm-up.
func (c *Check) lendable(s *workspaceState, to ident.InstanceID, now time.Time) Amount {
	if c.members.warmingUp {
		return Amount{}
	}
	base := c.base(s)
	own := s.needs(now).atLeast(reservedPart(base))
	return base.minus(own).minus(s.lent(to, now))
}
