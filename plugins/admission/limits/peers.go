package limits

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

var (
	_ kernel.PeerHandler = (*Check)(nil)
	_ kernel.Waker       = (*Check)(nil)
	_ kernel.Configurer  = (*Check)(nil)
)

// NextWake implements kernel.Waker.
func (c *Check) NextWake() (time.Time, bool) {
	if !c.wakeNeeded {
		return time.Time{}, false
	}
	return c.lastWake.Add(askInterval), true
}

// Wake implements kernel.Waker. It asks peers for missing capacity, renews loans
// that are still needed and returns the others.
func (c *Check) Wake() {
	c.lastWake = c.host.Now()
	c.members.update(c.host)
	out := &outbox{incarnation: c.host.Self().Incarnation, number: c.number}
	c.wakeNeeded = c.requestConfirmations(out)
	for _, name := range c.names {
		s := c.workspaces[name]
		c.refillBucket(s, c.lastWake)
		s.removeExpiredLoans(&c.members, c.lastWake)
		if c.borrow(s, out) {
			c.wakeNeeded = true
		}
	}
	c.number = out.number
	out.send(c.host)
}

// requestConfirmations asks the peers that have not yet confirmed that they
// include this instance in their division to do so. It reports whether this
// instance is still warming up.
func (c *Check) requestConfirmations(out *outbox) bool {
	if !c.members.warmingUp {
		return false
	}
	for _, peer := range c.members.unconfirmed() {
		out.demandTo(peer).RequestConfirmation = true
	}
	return true
}

// MessageKinds implements kernel.PeerHandler.
func (*Check) MessageKinds() []string { return []string{kindDemand, kindReply} }

// Receive implements kernel.PeerHandler.
func (c *Check) Receive(from ident.InstanceID, m kernel.PeerMessage) {
	c.members.update(c.host)
	if !c.members.includes(from) {
		return
	}
	switch m := m.(type) {
	case *Demand:
		c.handleDemand(from, m)
	case *Reply:
		c.handleReply(from, m)
	}
}

// Undelivered implements kernel.PeerHandler. It does nothing: a message that may
// not have arrived is treated like a lost one, and a loan stays in force until
// its lease ends.
func (*Check) Undelivered(ident.InstanceID, kernel.PeerMessage) {}

// handleDemand handles a peer's Demand and answers it with a Reply. Asks for
// unknown workspaces and asks with invalid amounts are ignored.
func (c *Check) handleDemand(from ident.InstanceID, d *Demand) {
	answer := &Reply{Incarnation: d.Incarnation, Number: d.Number}
	for _, ask := range d.Asks {
		s := c.workspaces[ask.Workspace]
		if s == nil || !ask.Want.valid() || !ask.Hold.valid() {
			continue
		}
		c.refillBucket(s, c.host.Now())
		if grant, ok := c.lend(s, from, d, ask); ok {
			answer.Grants = append(answer.Grants, Grant{Workspace: ask.Workspace, Amount: grant})
		}
	}
	if d.RequestConfirmation {
		answer.Zones = c.members.zoneShares(c.host.Now())
		if c.withinShare(from) {
			answer.Members = len(c.members.instances)
		}
	}
	c.host.Send(from, answer)
}

// withinShare reports whether this instance uses no capacity that belongs to
// others under the present division. It must hold no loan that an earlier
// incarnation of the peer made, and use or lend no more than its own share, which
// may happen for a while after the peer has joined.
func (c *Check) withinShare(peer ident.InstanceID) bool {
	now := c.host.Now()
	for _, name := range c.names {
		s := c.workspaces[name]
		if d := s.borrowings.get(peer); d != nil && (!d.usable(now).isZero() || d.held > 0) {
			return false
		}
		base := c.base(s)
		if !s.lent("", now).minus(base).isZero() {
			return false
		}
		if s.limit.Slots > 0 && s.active > c.usableAmount(s, now).Slots {
			return false
		}
	}
	return true
}

// handleReply handles a peer's Reply. A grant that does not answer the last ask,
// or that is for an earlier incarnation of this instance, is ignored.
func (c *Check) handleReply(from ident.InstanceID, m *Reply) {
	if m.Incarnation != c.host.Self().Incarnation {
		return
	}
	c.members.learnZones(c.host.Now(), m.Zones)
	if m.Members > 0 {
		c.members.confirm(from, m.Members)
	}
	for _, g := range m.Grants {
		s := c.workspaces[g.Workspace]
		if s == nil || !g.Amount.valid() {
			continue
		}
		d := s.borrowings.get(from)
		if d == nil || d.number != m.Number {
			continue
		}
		c.refillBucket(s, c.host.Now())
		d.applyGrant(g.Amount)
		if g.Amount.isZero() && d.held == 0 {
			s.borrowings.remove(from)
		}
	}
}
