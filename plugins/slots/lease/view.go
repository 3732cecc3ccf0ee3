package lease

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// updateView updates the policy to the host's current view. It is cheap if the
// view has not changed.
func (p *Policy) updateView() {
	v := p.host.View()
	if !p.roster.Update(v, p.host.Self()) {
		return
	}
	restarted := p.updateInstances(v)
	p.closeLedgers()
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role == config.RoleDecode && p.roster.Grantor(u) == p.self() {
			p.ledgerOf(u)
		}
	}
	p.moveHolds(restarted)
}

// updateInstances deletes the records of instances that are no longer in the
// view and resets those of grantors that have restarted. It reports whether a
// grantor has restarted, in which case the leases must be sent to it.
func (p *Policy) updateInstances(v *kernel.View) bool {
	listed := make(map[ident.InstanceID]ident.Incarnation, len(v.Instances))
	for i := range v.Instances {
		listed[v.Instances[i].ID] = v.Instances[i].Incarnation
	}
	restarted := false
	for id, g := range p.holder.grantors {
		incarnation, ok := listed[id]
		if !ok {
			delete(p.holder.grantors, id)
			continue
		}
		if g.incarnation != incarnation {
			*g = grantorRecord{incarnation: incarnation, pendingRenews: renewsAfterRelease}
			restarted = true
		}
	}
	for id := range p.grantor.peers {
		if _, ok := listed[id]; !ok {
			delete(p.grantor.peers, id)
		}
	}
	p.holder.countFailingGrantors()
	p.deleteOldRefusals()
	return restarted
}

// deleteOldRefusals deletes the refusals of upstreams that are no longer in the
// view.
func (p *Policy) deleteOldRefusals() {
	for id := range p.holder.refusedUntil {
		if p.host.Upstream(id) == nil {
			delete(p.holder.refusedUntil, id)
		}
	}
}

// closeLedgers removes the ledgers of engines that are gone or now have another
// grantor, and clears the leases in those of engines that have restarted.
func (p *Policy) closeLedgers() {
	p.grantor.ledgers = slices.DeleteFunc(p.grantor.ledgers, func(l *ledger) bool {
		u := p.host.Upstream(l.upstream)
		if u == nil || u.Liveness == kernel.Dead || p.roster.Grantor(u) != p.self() {
			p.closeLedger(l)
			return true
		}
		if l.incarnation != u.Incarnation {
			l.restart(u.Incarnation)
		}
		return false
	})
}

// closeLedger denies the queued asks of other instances, because this instance
// is no longer the grantor. Its own asks are handled by moveHolds.
func (p *Policy) closeLedger(l *ledger) {
	for _, w := range l.queue {
		if w.holder != p.self() {
			p.host.Send(w.holder, &Deny{Reservation: w.ask.Reservation, Upstream: l.upstream, Seq: w.ask.Seq, NotGrantor: true})
		}
	}
}

// ledgerOf returns the ledger of an engine whose grantor is this instance. If
// there is none, it creates one that contains the slots this instance holds.
func (p *Policy) ledgerOf(u *kernel.Upstream) *ledger {
	i, ok := p.grantor.ledgerIndex(u.ID)
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
	p.endTakeOver(l)
	return l
}

// ownLease returns the lease for a slot that this instance already holds.
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

// endTakeOver ends the take-over of a ledger once all other live instances have
// sent a Renew or TakeOver has passed.
func (p *Policy) endTakeOver(l *ledger) {
	if l.takeOverDone {
		return
	}
	if !p.host.Now().Before(l.takeOverStart.Add(p.TakeOver)) {
		l.takeOverDone = true
		return
	}
	for _, in := range p.roster.Live() {
		if _, ok := l.renewedBy[in.ID]; !ok && in.ID != p.self() {
			return
		}
	}
	l.takeOverDone = true
}

// restartTakeOver restarts the take-over of all ledgers, so that leases are
// limited by the engines' load reports for a while. It is called after this
// process was paused, because another instance may have granted leases in the
// meantime.
func (p *Policy) restartTakeOver() {
	for _, l := range p.grantor.ledgers {
		l.takeOverStart = p.host.Now()
		l.takeOverDone = false
		clear(l.renewedBy)
	}
}

// moveHolds handles reservations whose engine has a new grantor or is gone. Open
// asks are sent to the new grantor. If any grantor has changed, or moved is set
// because one has restarted, all grantors are sent a Renew at once.
func (p *Policy) moveHolds(moved bool) {
	for _, h := range p.holder.sorted() {
		u := p.host.Upstream(h.upstream)
		if u == nil || u.Liveness == kernel.Dead {
			p.denyUnusable(h)
			continue
		}
		grantor := p.roster.Grantor(u)
		if grantor == h.grantor || grantor == "" {
			continue
		}
		moved = true
		if h.state != stateHeld {
			p.askNewGrantor(h, u, grantor)
		}
	}
	if moved {
		p.renewAll()
		p.holder.nextRenew = p.host.Now().Add(p.RenewInterval)
	}
}

// denyUnusable denies an open ask for an engine that is gone.
func (p *Policy) denyUnusable(h *hold) {
	if h.state != stateHeld {
		p.denied(h.key, p.host.Now().Add(retryUnusable))
	}
}

// askNewGrantor withdraws an open ask from its old grantor and sends it to the
// new one. If the kernel has already waited longer than QueueWait, the ask is
// denied.
func (p *Policy) askNewGrantor(h *hold, u *kernel.Upstream, grantor ident.InstanceID) {
	p.notifyRelease(h, 0)
	switch {
	case p.host.Now().Sub(h.requestedAt) > p.QueueWait:
		p.denied(h.key, p.shareRetryAt())
	case grantor == p.self():
		p.askSelf(h, u)
	case p.inBackoff(grantor):
		h.grantor = ""
		p.fallBack(h)
	default:
		p.sendAsk(h, u, grantor)
	}
}

// askSelf repeats an open ask at this instance, which has become the grantor.
func (p *Policy) askSelf(h *hold, u *kernel.Upstream) {
	l := p.ledgerOf(u)
	h.grantor = p.self()
	h.seq = p.holder.nextSeq()
	h.ask.Seq = h.seq
	h.state = stateQueued
	h.timeoutAt = p.host.Now().Add(p.QueueWait + p.AskTimeout)
	switch p.decide(l, u, p.self(), h.ask) {
	case decisionGranted:
		p.granted(h.key)
	case decisionDenied:
		p.denied(h.key, p.host.Now().Add(p.queueRetryDelay(l)))
	case decisionQueued:
	}
}

// pauseThreshold is the delay of a wake-up beyond which this process is taken
// to have been paused.
const pauseThreshold = 500 * time.Millisecond
