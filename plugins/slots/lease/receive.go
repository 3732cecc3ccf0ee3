package lease

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// MessageKinds implements kernel.PeerHandler.
func (p *Policy) MessageKinds() []string {
	return []string{KindAsk, KindGrant, KindQueued, KindDeny, KindRelease, KindRenew, KindRefused}
}

// Receive implements kernel.PeerHandler.
func (p *Policy) Receive(from ident.InstanceID, m kernel.PeerMessage) {
	p.updateView()
	switch m := m.(type) {
	case *Ask:
		p.receiveAsk(from, *m)
	case *Grant:
		p.receiveGrant(from, m)
	case *Queued:
		p.receiveQueued(from, m)
	case *Deny:
		p.receiveDeny(from, m)
	case *Release:
		p.receiveRelease(from, m)
	case *Renew:
		p.receiveRenew(from, m)
	case *Refused:
		p.receiveRefused(m)
	}
	p.flush()
}

// Undelivered implements kernel.PeerHandler. Only a lost Ask is handled at once;
// the next Renew corrects the effect of any other lost message.
func (p *Policy) Undelivered(to ident.InstanceID, m kernel.PeerMessage) {
	p.updateView()
	if ask, ok := m.(*Ask); ok {
		p.askUndelivered(to, ask)
	}
	p.flush()
}

// receiveAsk answers a holder's ask. A delayed or duplicated ask can create a
// lease that is no longer wanted; the holder releases it when it receives the
// Grant.
func (p *Policy) receiveAsk(from ident.InstanceID, ask Ask) {
	sender := p.grantor.peer(from, ask.Reservation.Incarnation)
	if sender == nil || ask.Reservation.Instance != from {
		return
	}
	u := p.host.Upstream(ask.Upstream)
	l := p.grantor.ledger(ask.Upstream)
	if u == nil || l == nil {
		p.host.Send(from, &Deny{Reservation: ask.Reservation, Upstream: ask.Upstream, Seq: ask.Seq, NotGrantor: true})
		return
	}
	switch p.decide(l, u, from, ask) {
	case decisionGranted:
		p.host.Send(from, &Grant{Reservation: ask.Reservation, Upstream: ask.Upstream, Free: p.free(l, u)})
	case decisionQueued:
		p.host.Send(from, &Queued{Reservation: ask.Reservation, Upstream: ask.Upstream, Seq: ask.Seq, NextFree: millis(l.wait())})
	case decisionDenied:
		p.host.Send(from, p.denyMessage(l, ask, p.denyRetryDelay(l, ask)))
	}
}

// receiveRelease ends the lease or removes the ask that a holder released.
func (p *Policy) receiveRelease(from ident.InstanceID, m *Release) {
	sender := p.grantor.peer(from, m.Reservation.Incarnation)
	if sender == nil {
		return
	}
	sender.lastReleaseSeq = max(sender.lastReleaseSeq, m.Seq)
	u := p.host.Upstream(m.Upstream)
	l := p.grantor.ledger(m.Upstream)
	if u != nil && l != nil {
		p.release(l, u, m.Reservation.Key(), m.Seq, m.Held.Duration())
	}
}

// receiveRefused records a refusal by the engine that a holder reported.
func (p *Policy) receiveRefused(m *Refused) {
	u := p.host.Upstream(m.Upstream)
	l := p.grantor.ledger(m.Upstream)
	if u != nil && l != nil {
		p.recordRefusal(l, u)
	}
}

// receiveGrant marks the reservation as held. If the reservation no longer
// exists, it releases the lease.
func (p *Policy) receiveGrant(from ident.InstanceID, m *Grant) {
	p.holder.clearFailures(from)
	p.recordReport(m.Upstream, availabilityReport{at: p.host.Now(), free: m.Free})
	h := p.holder.holds[m.Reservation.Key()]
	if h == nil || h.upstream != m.Upstream {
		p.sendRelease(from, m.Reservation.ID(), m.Upstream, 0)
		return
	}
	h.grantor = from
	p.granted(h.key)
}

// receiveQueued extends the time-out of an ask that the grantor has queued.
func (p *Policy) receiveQueued(from ident.InstanceID, m *Queued) {
	p.holder.clearFailures(from)
	p.recordReport(m.Upstream, availabilityReport{at: p.host.Now(), nextFree: m.NextFree.Duration()})
	h := p.holder.holds[m.Reservation.Key()]
	if h == nil || h.seq != m.Seq || h.state != stateAsked {
		return
	}
	h.state = stateQueued
	h.timeoutAt = h.askedAt.Add(p.QueueWait + p.AskTimeout)
}

// receiveDeny denies the reservation, or uses the static share if the sender is
// not the grantor. An answer to an earlier ask does not affect the reservation.
func (p *Policy) receiveDeny(from ident.InstanceID, m *Deny) {
	p.holder.clearFailures(from)
	h := p.holder.holds[m.Reservation.Key()]
	wanted := h != nil && h.seq == m.Seq && h.state != stateHeld
	if m.NotGrantor {
		if wanted {
			p.fallBack(h)
		}
		return
	}
	p.recordReport(m.Upstream, availabilityReport{at: p.host.Now(), free: m.Free, nextFree: m.NextFree.Duration()})
	if wanted {
		p.denied(h.key, p.host.Now().Add(m.RetryIn.Duration()))
	}
}

// recordReport records a grantor's report on an engine that is in the view.
func (p *Policy) recordReport(id ident.UpstreamID, r availabilityReport) {
	if u := p.host.Upstream(id); u != nil {
		p.holder.recordReport(u, r)
	}
}
