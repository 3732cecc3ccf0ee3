package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// followView brings the policy up to the view in force. It is cheap when the
// view has not changed.
func (p *Policy) followView() {
	v := p.host.View()
	if !p.roster.Update(v, p.host.Self()) {
		return
	}
	restarted := p.followInstances(v)
	p.closeLedgers()
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role == config.RoleDecode && p.roster.Grantor(u) == p.self() {
			p.ledgerOf(u)
		}
	}
	p.moveHolds(restarted)
}

// followInstances forgets instances that left the view and what was known of
// instances that started anew. It reports whether a grantor did, which must then
// hear of the leases.
func (p *Policy) followInstances(v *kernel.View) bool {
	listed := make(map[ident.InstanceID]ident.Incarnation, len(v.Instances))
	for i := range v.Instances {
		listed[v.Instances[i].ID] = v.Instances[i].Incarnation
	}
	restarted := false
	for id, c := range p.holder.contacts {
		incarnation, ok := listed[id]
		if !ok {
			delete(p.holder.contacts, id)
			continue
		}
		if c.incarnation != incarnation {
			*c = contact{incarnation: incarnation, owed: renewsOwed}
			restarted = true
		}
	}
	for id := range p.grantor.peers {
		if _, ok := listed[id]; !ok {
			delete(p.grantor.peers, id)
		}
	}
	p.holder.countTroubled()
	p.forgetUpstreams()
	return restarted
}

// forgetUpstreams drops the refusals of upstreams that left the view.
func (p *Policy) forgetUpstreams() {
	for id := range p.holder.refused {
		if p.host.Upstream(id) == nil {
			delete(p.holder.refused, id)
		}
	}
}

// closeLedgers gives up the ledgers of engines that another instance grants now
// or that are gone, and empties those of engines that have restarted.
func (p *Policy) closeLedgers() {
	p.grantor.ledgers = slices.DeleteFunc(p.grantor.ledgers, func(l *ledger) bool {
		u := p.host.Upstream(l.upstream)
		if u == nil || u.Life == kernel.Dead || p.roster.Grantor(u) != p.self() {
			p.closeLedger(l)
			return true
		}
		if l.incarnation != u.Incarnation {
			l.restart(u.Incarnation)
		}
		return false
	})
}

// closeLedger turns away the asks that wait.
func (p *Policy) closeLedger(l *ledger) {
	for _, w := range l.queue {
		if w.holder != p.self() {
			p.host.Send(w.holder, &Deny{Reservation: w.ask.Reservation, Upstream: l.upstream, Seq: w.ask.Seq, NotGrantor: true})
		}
	}
}

// ledgerOf returns the ledger of an engine that this instance grants, opening
// it if need be.
func (p *Policy) ledgerOf(u *kernel.Upstream) *ledger {
	i, ok := p.grantor.place(u.ID)
	if ok {
		return p.grantor.ledgers[i]
	}
	l := newLedger(u, p.host.Now())
	for _, h := range p.holder.sorted() {
		if h.upstream == u.ID && h.state == stateHeld {
			h.grantor = p.self()
			l.add(ownLease(h, p.holder.nextSeq()), slotkit.Slots(u))
		}
	}
	p.grantor.ledgers = slices.Insert(p.grantor.ledgers, i, l)
	p.settle(l)
	return l
}

// ownLease is the lease of a slot that this instance already holds.
func ownLease(h *hold, seq uint64) lease {
	return lease{
		key:     h.key,
		expires: h.id.Deadline,
		pieces:  h.ask.Pieces,
		seq:     seq,
		granted: h.askedAt,
		usedAt:  h.usedAt,
	}
}

// settle ends the take-over once all live instances were heard or its time is
// over.
func (p *Policy) settle(l *ledger) {
	if l.settled {
		return
	}
	if !p.host.Now().Before(l.since.Add(p.TakeOver)) {
		l.settled = true
		return
	}
	for _, in := range p.roster.Live() {
		if _, ok := l.heard[in.ID]; !ok && in.ID != p.self() {
			return
		}
	}
	l.settled = true
}

// unsettle makes all ledgers go by the engines' load for a while: this instance
// was paused, and another one may have granted meanwhile.
func (p *Policy) unsettle() {
	for _, l := range p.grantor.ledgers {
		l.since = p.host.Now()
		l.settled = false
		clear(l.heard)
	}
}

// moveHolds tells new grantors at once of what is held of them, and asks them
// what the old ones have not answered. It does so too when a grantor has
// restarted.
func (p *Policy) moveHolds(moved bool) {
	for _, h := range p.holder.sorted() {
		u := p.host.Upstream(h.upstream)
		if u == nil || u.Life == kernel.Dead {
			p.abandon(h)
			continue
		}
		grantor := p.roster.Grantor(u)
		if grantor == h.grantor || grantor == "" {
			continue
		}
		moved = true
		if h.state != stateHeld {
			p.askAnew(h, u, grantor)
		}
	}
	if moved {
		p.renewAll()
		p.holder.nextRenew = p.host.Now().Add(p.RenewInterval)
	}
}

// abandon answers an open ask for an engine that is gone.
func (p *Policy) abandon(h *hold) {
	if h.state != stateHeld {
		p.denied(h.key, p.host.Now().Add(retryUnusable))
	}
}

// askAnew asks another grantor in place of the one first asked, unless the kernel
// has waited long enough.
func (p *Policy) askAnew(h *hold, u *kernel.Upstream, grantor ident.InstanceID) {
	p.tellReleased(h, 0)
	switch {
	case p.host.Now().Sub(h.since) > p.QueueWait:
		p.denied(h.key, p.shareRetryAt())
	case grantor == p.self():
		p.askSelfAnew(h, u)
	case p.down(grantor):
		h.grantor = ""
		p.fallBack(h)
	default:
		p.sendAsk(h, u, grantor)
	}
}

// askSelfAnew puts an open ask to this instance's own ledger.
func (p *Policy) askSelfAnew(h *hold, u *kernel.Upstream) {
	l := p.ledgerOf(u)
	h.grantor = p.self()
	h.seq = p.holder.nextSeq()
	h.ask.Seq = h.seq
	h.state = stateQueued
	h.until = p.host.Now().Add(p.QueueWait + p.AskTimeout)
	switch p.decide(l, u, p.self(), h.ask) {
	case verdictGranted:
		p.granted(h.key)
	case verdictDenied:
		p.denied(h.key, p.host.Now().Add(p.retryIn(l)))
	case verdictQueued:
	}
}

// pauseGap is the lateness of a wake-up that shows this process was paused.
const pauseGap = 500 * time.Millisecond
