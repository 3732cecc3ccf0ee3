package shares

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// hold is one reservation of this instance.
type hold struct {
	key      slotkit.Key
	id       ident.AttemptID
	upstream ident.UpstreamID
	// held is set if the reservation has a slot; otherwise it waits for one.
	held bool
	// dueAt is when the first output is due.
	dueAt time.Time
	// denyAt is when a waiting reservation is denied.
	denyAt time.Time
	// lender is the instance that has been sent a Borrow with the sequence
	// number seq and must answer by askUntil; it is empty if there is none.
	// tried are all instances asked for this reservation, including lender.
	lender   ident.InstanceID
	seq      uint64
	askUntil time.Time
	tried    []ident.InstanceID
}

// answer is the answer to a reservation that has not been passed to the kernel
// yet.
type answer struct {
	id      ident.AttemptID
	granted bool
}

const (
	// retryDelay is the retry delay of a denied reservation, before jitter.
	retryDelay = 100 * time.Millisecond
	// refusalTime is how long an engine's slots are not used after it refused a
	// request.
	refusalTime = 500 * time.Millisecond
	// assumedWait is the assumed wait for a slot when the share is used up.
	assumedWait = 300 * time.Millisecond
)

// Reserve implements kernel.SlotPolicy.
func (p *Policy) Reserve(request kernel.SlotRequest) kernel.SlotAnswer {
	p.updateView()
	key := slotkit.KeyOf(request.Reservation)
	if h := p.holds[key]; h != nil {
		return answerFor(h)
	}
	now := p.host.Now()
	u := p.host.Upstream(request.Upstream)
	if !slotkit.Usable(u) {
		return kernel.SlotAnswer{Result: kernel.SlotUnavailable, RetryAt: now.Add(retryDelay)}
	}
	h := &hold{key: key, id: request.Reservation, upstream: request.Upstream, dueAt: request.FirstOutputBy, denyAt: now.Add(p.Wait)}
	e := p.engineOf(u.ID)
	switch {
	case p.free(e, u) > 0 || slotkit.Slots(u) == 0:
		h.held = true
		e.held++
	case now.Before(e.refusedUntil):
		return kernel.SlotAnswer{Result: kernel.SlotUnavailable, RetryAt: e.refusedUntil}
	case !p.recall(e) && !p.borrow(e, h):
		return kernel.SlotAnswer{Result: kernel.SlotUnavailable, RetryAt: p.retryAt()}
	default:
		p.waiting = append(p.waiting, h)
	}
	p.holds[key] = h
	return answerFor(h)
}

// answerFor returns the answer to the kernel for a reservation that is held or
// waits.
func answerFor(h *hold) kernel.SlotAnswer {
	if h.held {
		return kernel.SlotAnswer{Result: kernel.SlotReserved}
	}
	return kernel.SlotAnswer{Result: kernel.SlotPending}
}

// retryAt returns when a denied reservation may be tried again. The delay is
// retryDelay plus up to as much jitter.
func (p *Policy) retryAt() time.Time {
	return p.host.Now().Add(retryDelay + time.Duration(p.host.Rand().Int64N(int64(retryDelay))))
}

// Release implements kernel.SlotPolicy.
func (p *Policy) Release(id ident.AttemptID) {
	p.updateView()
	h := p.holds[slotkit.KeyOf(id)]
	if h == nil {
		return
	}
	e := p.engineOf(h.upstream)
	p.drop(h)
	p.returnRecalled(e)
	p.serveWaiting(e)
}

// drop removes a reservation.
func (p *Policy) drop(h *hold) {
	delete(p.holds, h.key)
	if h.held {
		p.engineOf(h.upstream).held--
		return
	}
	if i := slices.Index(p.waiting, h); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// serveWaiting grants an engine's free slots to the waiting reservations in the
// order of their due times.
func (p *Policy) serveWaiting(e *engine) {
	u := p.host.Upstream(e.id)
	for u != nil && p.free(e, u) > 0 {
		first := -1
		for i, h := range p.waiting {
			if h.upstream == e.id && (first < 0 || h.dueAt.Before(p.waiting[first].dueAt)) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		h := p.waiting[first]
		p.waiting = slices.Delete(p.waiting, first, first+1)
		h.held = true
		e.held++
		p.answers = append(p.answers, answer{id: h.id, granted: true})
	}
}

// deny denies a waiting reservation. The next flush passes the answer to the
// kernel.
func (p *Policy) deny(h *hold) {
	p.drop(h)
	p.answers = append(p.answers, answer{id: h.id})
}

// flush passes the pending answers to the kernel. It must not be called while
// the kernel iterates over its queue, and therefore only from Wake, Receive and
// Undelivered.
func (p *Policy) flush() {
	if p.flushing {
		return
	}
	p.flushing = true
	for i := 0; i < len(p.answers); i++ {
		a := p.answers[i]
		if a.granted {
			p.host.SlotGranted(a.id)
			continue
		}
		p.host.SlotDenied(a.id, p.retryAt())
	}
	p.answers = p.answers[:0]
	p.flushing = false
}

// Started implements kernel.SlotPolicy.
func (p *Policy) Started(ident.AttemptID) {}

// Refused implements kernel.SlotPolicy.
func (p *Policy) Refused(id ident.UpstreamID) {
	p.engineOf(id).refusedUntil = p.host.Now().Add(refusalTime)
}

// Availability implements kernel.SlotPolicy.
func (p *Policy) Availability(u *kernel.Upstream) kernel.Availability {
	p.updateView()
	if !slotkit.Usable(u) {
		return kernel.Availability{NextFree: assumedWait}
	}
	if slotkit.Slots(u) == 0 {
		return kernel.Availability{Free: 1}
	}
	if free := p.free(p.engineOf(u.ID), u); free > 0 {
		return kernel.Availability{Free: free}
	}
	return kernel.Availability{NextFree: assumedWait}
}
