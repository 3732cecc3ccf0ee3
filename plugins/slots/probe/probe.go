package probe

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// slotUse is a slot that this instance uses or is about to use.
type slotUse struct {
	upstream ident.UpstreamID
	pieces   int
	// started is when the use of the slot began, zero if it has not begun.
	started time.Time
}

// engine is this instance's record of one engine.
type engine struct {
	// ended are the times at which recent uses ended. A load report made before
	// such a time still includes the use.
	ended []time.Time
	// refusals counts the refusals since the engine last started a request of
	// this instance. blockedUntil is the end of the current back-off.
	refusals     int
	blockedUntil time.Time
}

// maxEnded is the maximum number of end times kept per engine. Older ones are
// assumed to be reflected in every load report.
const maxEnded = 64

// Limits for retries and for the back-off of an engine that refuses.
const (
	// maxDoublings limits how often the back-off doubles when an engine refuses
	// repeatedly.
	maxDoublings = 3
	// retryDelay is the minimum delay before a request that got no slot asks
	// again. Random jitter of up to the same length is added.
	retryDelay = 50 * time.Millisecond
)

// Reserve implements kernel.SlotPolicy. It grants or denies the slot
// immediately.
func (p *Policy) Reserve(request kernel.SlotRequest) kernel.SlotAnswer {
	key := slotkit.KeyOf(request.Reservation)
	if p.uses[key] != nil {
		return kernel.SlotAnswer{Result: kernel.SlotReserved}
	}
	u := p.host.Upstream(request.Upstream)
	if !slotkit.Usable(u) || p.freeSlots(u) <= 0 || !p.hasMemory(u, request.Pieces) {
		return kernel.SlotAnswer{Result: kernel.SlotUnavailable, RetryAt: p.retryAt(request.Upstream)}
	}
	p.uses[key] = &slotUse{upstream: request.Upstream, pieces: request.Pieces}
	return kernel.SlotAnswer{Result: kernel.SlotReserved}
}

// retryAt returns when to ask for the engine again: after retryDelay plus
// jitter, or at the end of the engine's back-off if that is later.
func (p *Policy) retryAt(id ident.UpstreamID) time.Time {
	now := p.host.Now()
	at := now.Add(retryDelay + time.Duration(p.host.Rand().Int64N(int64(retryDelay))))
	if blocked := p.engine(id).blockedUntil; blocked.After(at) {
		return blocked
	}
	return at
}

// freeSlots returns how many slots of the engine are assumed to be free: the
// slots that the load report shows as free, corrected for this instance's uses
// that began or ended since the report, less Margin for those that other
// instances have begun. It returns 1 if the number of slots is not known, and 0
// while the engine is backed off.
func (p *Policy) freeSlots(u *kernel.Upstream) int {
	slots := slotkit.Slots(u)
	if slots == 0 {
		return 1
	}
	e := p.engine(u.ID)
	if p.host.Now().Before(e.blockedUntil) {
		return 0
	}
	used := u.Load.Running + u.Load.Waiting - e.endedAfter(u.Load.At)
	return slots - max(used, 0) - p.unreportedSlots(u) - p.Margin
}

// unreportedSlots counts this instance's slots that the load report does not
// include yet.
func (p *Policy) unreportedSlots(u *kernel.Upstream) int {
	n := 0
	for _, h := range p.uses {
		if h.upstream == u.ID && (h.started.IsZero() || h.started.After(u.Load.At)) {
			n++
		}
	}
	return n
}

// hasMemory reports whether the engine is assumed to have free memory for the
// given number of pieces.
func (p *Policy) hasMemory(u *kernel.Upstream, pieces int) bool {
	total := slotkit.Pieces(u)
	if total == 0 {
		return true
	}
	used := u.Load.PiecesUsed
	for _, h := range p.uses {
		if h.upstream == u.ID && (h.started.IsZero() || h.started.After(u.Load.At)) {
			used += h.pieces
		}
	}
	return used+pieces <= total
}

// endedAfter counts the recorded uses that ended after the given time.
func (e *engine) endedAfter(at time.Time) int {
	n := 0
	for _, end := range e.ended {
		if end.After(at) {
			n++
		}
	}
	return n
}

// engine returns the record of an engine and creates it if necessary.
func (p *Policy) engine(id ident.UpstreamID) *engine {
	e := p.engines[id]
	if e == nil {
		e = &engine{}
		p.engines[id] = e
	}
	return e
}

// Release implements kernel.SlotPolicy.
func (p *Policy) Release(id ident.AttemptID) {
	key := slotkit.KeyOf(id)
	h := p.uses[key]
	if h == nil {
		return
	}
	delete(p.uses, key)
	e := p.engine(h.upstream)
	if h.started.IsZero() {
		return
	}
	if u := p.host.Upstream(h.upstream); u != nil && h.started.After(u.Load.At) {
		// The load report does not include the use, so its end changes nothing.
		return
	}
	e.ended = append(e.ended, p.host.Now())
	if drop := len(e.ended) - maxEnded; drop > 0 {
		e.ended = append(e.ended[:0], e.ended[drop:]...)
	}
}

// Started implements kernel.SlotPolicy. It also ends the series of refusals that
// lengthens the engine's back-off.
func (p *Policy) Started(id ident.AttemptID) {
	if h := p.uses[slotkit.KeyOf(id)]; h != nil {
		h.started = p.host.Now()
		p.engine(h.upstream).refusals = 0
	}
}

// Refused implements kernel.SlotPolicy. The engine gets no new work for the
// back-off time, which doubles with each consecutive refusal up to maxDoublings
// times, plus a random jitter of up to half of it.
func (p *Policy) Refused(id ident.UpstreamID) {
	e := p.engine(id)
	wait := p.Backoff << min(e.refusals, maxDoublings)
	e.refusals++
	jitter := time.Duration(p.host.Rand().Int64N(int64(wait)/2 + 1))
	e.blockedUntil = p.host.Now().Add(wait + jitter)
}
