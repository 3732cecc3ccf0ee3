package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// retryUnusable is the retry delay for a slot of an engine that is not usable.
const retryUnusable = 500 * time.Millisecond

// Reserve implements kernel.SlotPolicy.
func (p *Policy) Reserve(request kernel.SlotRequest) kernel.SlotAnswer {
	p.updateView()
	if h := p.holder.holds[slotkit.KeyOf(request.Reservation)]; h != nil {
		return answerFor(h)
	}
	now := p.host.Now()
	u := p.host.Upstream(request.Upstream)
	if !slotkit.Usable(u) {
		return noSlot(now.Add(retryUnusable))
	}
	h := p.newHold(request, now)
	grantor := p.roster.Grantor(u)
	switch {
	case slotkit.Slots(u) == 0:
		// The number of slots is not known, so only the engine can tell whether
		// one is free. The request is sent to it without a lease.
		h.state = stateHeld
		p.holder.add(h)
		return kernel.SlotAnswer{Result: kernel.SlotReserved}
	case grantor == p.self():
		return p.reserveLocal(h, u)
	case grantor == "" || p.inBackoff(grantor):
		return p.reserveShare(h, u)
	}
	p.holder.add(h)
	p.sendAsk(h, u, grantor)
	return kernel.SlotAnswer{Result: kernel.SlotPending}
}

// answerFor returns the answer to the kernel for a reservation in its current
// state.
func answerFor(h *hold) kernel.SlotAnswer {
	if h.state == stateHeld {
		return kernel.SlotAnswer{Result: kernel.SlotReserved}
	}
	return kernel.SlotAnswer{Result: kernel.SlotPending}
}

// noSlot returns the answer that no slot is available before retryAt.
func noSlot(retryAt time.Time) kernel.SlotAnswer {
	return kernel.SlotAnswer{Result: kernel.SlotUnavailable, RetryAt: retryAt}
}

// newHold creates the record of a reservation that the kernel requests.
func (p *Policy) newHold(request kernel.SlotRequest, now time.Time) *hold {
	wire := Ask{
		Reservation: slotkit.Reservation(request.Reservation),
		Upstream:    request.Upstream,
		Pieces:      request.Pieces,
		Lead:        millis(request.Lead),
	}
	if !request.FirstOutputBy.IsZero() {
		wire.FirstOutputBy = request.FirstOutputBy.UnixMilli()
	}
	return &hold{
		key:         slotkit.KeyOf(request.Reservation),
		id:          request.Reservation,
		upstream:    request.Upstream,
		ask:         wire,
		state:       stateAsked,
		requestedAt: now,
		askedAt:     now,
		usedAt:      now.Add(request.Lead),
	}
}

// reserveLocal reserves a slot of an engine whose grantor is this instance.
func (p *Policy) reserveLocal(h *hold, u *kernel.Upstream) kernel.SlotAnswer {
	l := p.ledgerOf(u)
	h.grantor = p.self()
	h.seq = p.holder.nextSeq()
	h.ask.Seq = h.seq
	h.timeoutAt = h.askedAt.Add(p.QueueWait + p.AskTimeout)
	switch p.decide(l, u, p.self(), h.ask) {
	case decisionGranted:
		h.state = stateHeld
		p.holder.add(h)
	case decisionQueued:
		h.state = stateQueued
		p.holder.add(h)
	case decisionDenied:
		return noSlot(p.host.Now().Add(p.queueRetryDelay(l)))
	}
	return answerFor(h)
}

// sendAsk sends an Ask to a grantor on another instance.
func (p *Policy) sendAsk(h *hold, u *kernel.Upstream, grantor ident.InstanceID) {
	h.state = stateAsked
	h.grantor = grantor
	h.seq = p.holder.nextSeq()
	h.ask.Seq = h.seq
	h.ask.NoWait = p.freeElsewhere(u)
	h.askedAt = p.host.Now()
	h.timeoutAt = h.askedAt.Add(p.AskTimeout)
	p.grantorRecord(grantor)
	ask := h.ask
	p.host.Send(grantor, &ask)
}

// Release implements kernel.SlotPolicy.
func (p *Policy) Release(id ident.AttemptID) {
	p.updateView()
	h := p.holder.holds[slotkit.KeyOf(id)]
	if h == nil {
		return
	}
	var held time.Duration
	if h.started {
		held = max(p.host.Now().Sub(h.usedAt), time.Millisecond)
	}
	p.holder.drop(h)
	p.notifyRelease(h, held)
}

// notifyRelease tells the grantor that a reservation has ended. Because the
// Release may be lost, Renews are sent to the grantor afterwards. held is how
// long the slot was in use, or 0 if it never was.
func (p *Policy) notifyRelease(h *hold, held time.Duration) {
	switch h.grantor {
	case "":
	case p.self():
		u := p.host.Upstream(h.upstream)
		l := p.grantor.ledger(h.upstream)
		if u != nil && l != nil {
			p.release(l, u, h.key, p.holder.nextSeq(), held)
		}
	default:
		p.grantorRecord(h.grantor).pendingRenews = renewsAfterRelease
		p.sendRelease(h.grantor, h.id, h.upstream, held)
	}
}

// sendRelease sends a Release to a grantor on another instance. held is how long
// the slot was in use, or 0 if it never was.
func (p *Policy) sendRelease(to ident.InstanceID, id ident.AttemptID, u ident.UpstreamID, held time.Duration) {
	p.host.Send(to, &Release{
		Reservation: slotkit.Reservation(id),
		Upstream:    u,
		Seq:         p.holder.nextSeq(),
		Held:        millis(held),
	})
}

// Started implements kernel.SlotPolicy.
func (p *Policy) Started(id ident.AttemptID) {
	h := p.holder.holds[slotkit.KeyOf(id)]
	if h == nil {
		return
	}
	h.started = true
	h.usedAt = p.host.Now()
	if l := p.grantor.ledger(h.upstream); l != nil {
		if i := l.find(h.key); i >= 0 {
			l.leases[i].usedAt = h.usedAt
		}
	}
}

// Refused implements kernel.SlotPolicy.
func (p *Policy) Refused(id ident.UpstreamID) {
	p.updateView()
	u := p.host.Upstream(id)
	if u == nil {
		return
	}
	p.holder.refusedUntil[id] = p.host.Now().Add(penaltyTime)
	grantor := p.roster.Grantor(u)
	if grantor != "" && grantor != p.self() {
		p.host.Send(grantor, &Refused{Upstream: id})
		return
	}
	if l := p.grantor.ledger(id); l != nil {
		p.recordRefusal(l, u)
	}
}

// recordRefusal records in the ledger that the engine refused a request, so that
// fewer slots are leased for a while.
func (p *Policy) recordRefusal(l *ledger, u *kernel.Upstream) {
	l.recordRefusal(p.host.Now(), slotkit.Slots(u))
}

// granted marks an open reservation as held. The next flush passes the answer to
// the kernel.
func (p *Policy) granted(key slotkit.Key) {
	h := p.holder.holds[key]
	if h == nil || h.state == stateHeld {
		return
	}
	p.holder.markHeld(h)
	p.holder.answers = append(p.holder.answers, answer{id: h.id, granted: true})
}

// denied drops an open reservation. The next flush passes the answer to the
// kernel.
func (p *Policy) denied(key slotkit.Key, retryAt time.Time) {
	h := p.holder.holds[key]
	if h == nil || h.state == stateHeld {
		return
	}
	p.holder.drop(h)
	p.holder.answers = append(p.holder.answers, answer{id: h.id, retryAt: retryAt})
}

// flush passes the pending answers to the kernel. While it does, the kernel may
// call Release or Reserve, which can add further answers; these are passed on
// too. It must not be called while the kernel iterates over its queue, and
// therefore only from Wake, Receive and Undelivered.
func (p *Policy) flush() {
	o := &p.holder
	if o.flushing {
		return
	}
	o.flushing = true
	for i := 0; i < len(o.answers); i++ {
		a := o.answers[i]
		if a.granted {
			p.host.SlotGranted(a.id)
			continue
		}
		p.host.SlotDenied(a.id, a.retryAt)
	}
	o.answers = o.answers[:0]
	o.flushing = false
}
