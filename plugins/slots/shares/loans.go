package shares

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

const (
	// maxSeen is the number of recent loans remembered for each owner in order
	// to recognize duplicated Lend messages.
	maxSeen = 16
	// maxMissedConfirms is the number of confirmation intervals after which a
	// loan that was not confirmed ends.
	maxMissedConfirms = 10
	// maxInFlight is the time after which a Lend that has not been received is
	// taken to be lost.
	maxInFlight = 300 * time.Millisecond
)

// recall asks one borrower to return a slot, unless all borrowers have been
// asked already. It reports whether a slot is on loan, which may be returned
// later.
func (p *Policy) recall(e *engine) bool {
	out := false
	for i := range e.loans {
		l := &e.loans[i]
		if l.count == 0 {
			continue
		}
		out = true
		if !l.recalled {
			l.recalled = true
			p.host.Send(l.borrower, &Recall{Upstream: e.id})
			return true
		}
	}
	return out
}

// borrow asks one more instance for a loan: first the one that lent last, then
// others at random. It returns false if all instances, or as many as Tries
// allows, have been asked.
func (p *Policy) borrow(e *engine, h *hold) bool {
	if len(h.tried) >= p.Tries {
		h.lender = ""
		return false
	}
	id := e.lender
	if id == "" || !p.mayAsk(h, id) {
		id = p.randomLender(h)
	}
	if id == "" {
		h.lender = ""
		return false
	}
	p.seq++
	h.lender, h.seq = id, p.seq
	h.askUntil = p.host.Now().Add(p.AskTimeout)
	h.tried = append(h.tried, id)
	p.host.Send(id, &Borrow{Upstream: e.id, Seq: h.seq})
	return true
}

// mayAsk reports whether the instance is live, is not this one and has not been
// asked for this reservation yet.
func (p *Policy) mayAsk(h *hold, id ident.InstanceID) bool {
	live := slices.ContainsFunc(p.roster.Live(), func(in kernel.Instance) bool { return in.ID == id })
	return live && id != p.self() && !slices.Contains(h.tried, id)
}

// randomLender returns an instance that may be asked for a loan, starting the
// search at a random one, or "" if there is none.
func (p *Policy) randomLender(h *hold) ident.InstanceID {
	live := p.roster.Live()
	if len(live) == 0 {
		return ""
	}
	start := p.host.Rand().IntN(len(live))
	for i := range live {
		id := live[(start+i)%len(live)].ID
		if p.mayAsk(h, id) {
			return id
		}
	}
	return ""
}

// MessageKinds implements kernel.PeerHandler.
func (p *Policy) MessageKinds() []string {
	return []string{KindBorrow, KindLend, KindNone, KindRecall, KindConfirm}
}

// Receive implements kernel.PeerHandler.
func (p *Policy) Receive(from ident.InstanceID, m kernel.PeerMessage) {
	p.updateView()
	switch m := m.(type) {
	case *Borrow:
		p.receiveBorrow(from, m)
	case *Lend:
		p.receiveLend(from, m)
	case *None:
		p.receiveNone(from, m.Seq)
	case *Recall:
		p.receiveRecall(from, m)
	case *Confirm:
		p.receiveConfirm(from, m)
	}
	p.flush()
}

// Undelivered implements kernel.PeerHandler. A lost Borrow is handled as if the
// owner had answered None; the next Confirm corrects the effect of any other
// lost message.
func (p *Policy) Undelivered(to ident.InstanceID, m kernel.PeerMessage) {
	if ask, ok := m.(*Borrow); ok {
		p.receiveNone(to, ask.Seq)
	}
	p.flush()
}

// receiveBorrow lends a slot if one of this instance's own share is idle, and
// answers None otherwise.
func (p *Policy) receiveBorrow(from ident.InstanceID, m *Borrow) {
	u := p.host.Upstream(m.Upstream)
	if u == nil {
		return
	}
	e := p.engineOf(m.Upstream)
	own := p.roster.Share(p.self(), u.ID, slotkit.Slots(u)) - e.lentOut()
	if own <= 0 || p.free(e, u) <= 0 {
		p.host.Send(from, &None{Upstream: m.Upstream, Seq: m.Seq})
		return
	}
	l := e.loanTo(from)
	l.count++
	l.totalLent++
	l.recalled = false
	l.lentAt = p.host.Now()
	l.lastConfirmed = l.lentAt
	p.host.Send(from, &Lend{Upstream: m.Upstream, Seq: m.Seq})
}

// receiveLend records a borrowed slot and gives it to a waiting reservation. A
// duplicated message is ignored.
func (p *Policy) receiveLend(from ident.InstanceID, m *Lend) {
	if p.host.Upstream(m.Upstream) == nil {
		return
	}
	e := p.engineOf(m.Upstream)
	e.lender = from
	c := e.creditFrom(from)
	if slices.Contains(c.seenSeqs, m.Seq) {
		return
	}
	c.seenSeqs = append(c.seenSeqs, m.Seq)
	c.seenSeqs = c.seenSeqs[max(len(c.seenSeqs)-maxSeen, 0):]
	c.totalReceived++
	c.count++
	c.idleSince = p.host.Now()
	p.serveWaiting(e)
}

// receiveNone asks the next instance for a loan on behalf of the reservation
// whose Borrow was not successful. If no instance is left to ask and no slot of
// this instance is on loan, it denies the reservation.
func (p *Policy) receiveNone(from ident.InstanceID, seq uint64) {
	for _, h := range p.waiting {
		if h.lender != from || h.seq != seq {
			continue
		}
		e := p.engineOf(h.upstream)
		if e.lender == from {
			e.lender = ""
		}
		if !p.borrow(e, h) && e.lentOut() == 0 {
			p.deny(h)
		}
		return
	}
}

// receiveRecall returns a slot to its owner, now or when one becomes free.
func (p *Policy) receiveRecall(from ident.InstanceID, m *Recall) {
	e := p.engineOf(m.Upstream)
	e.creditFrom(from).recalled = true
	p.returnRecalled(e)
}

// returnRecalled returns one slot to each owner that has recalled one, as long
// as there are slots that are not in use. An owner from which nothing is on loan
// gets a Confirm with a count of 0.
func (p *Policy) returnRecalled(e *engine) {
	u := p.host.Upstream(e.id)
	for i := range e.credits {
		c := &e.credits[i]
		if !c.recalled {
			continue
		}
		if c.count > 0 && u != nil && p.free(e, u) <= 0 {
			continue
		}
		c.recalled = false
		c.count = max(c.count-1, 0)
		p.confirm(e, c)
	}
}

// confirm tells an owner how many of its slots this instance has on loan.
func (p *Policy) confirm(e *engine, c *credit) {
	p.seq++
	p.host.Send(c.owner, &Confirm{Upstream: e.id, Seq: p.seq, Count: c.count, Got: c.totalReceived})
}

// receiveConfirm updates the loan to a borrower from its Confirm. A Confirm that
// is not newer than the last one received is ignored.
func (p *Policy) receiveConfirm(from ident.InstanceID, m *Confirm) {
	e := p.engineOf(m.Upstream)
	l := e.loanTo(from)
	now := p.host.Now()
	if m.Seq <= l.confirmSeq {
		return
	}
	l.confirmSeq, l.lastConfirmed = m.Seq, now
	l.recalled = false
	l.count = m.Count
	if now.Sub(l.lentAt) <= maxInFlight {
		// Slots whose Lend the borrower had not received yet count as lent too.
		l.count += max(l.totalLent-m.Got, 0)
	}
	p.serveWaiting(e)
}
