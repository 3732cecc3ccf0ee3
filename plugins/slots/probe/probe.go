package probe

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// hold is one slot this instance uses or is about to.
type hold struct {
	upstream ident.UpstreamID
	pieces   int
	// started is when the slot was put to use, zero if it was not yet.
	started time.Time
}

// engine is what is remembered of one engine.
type engine struct {
	// ended are the times at which uses ended that a load report may still show.
	ended        []time.Time
	refusals     int
	blockedUntil time.Time
}

// maxEnded bounds the remembered ends of uses; older ones are in any report.
const maxEnded = 64

// Bounds on how long a refusing engine is left alone and when to ask again.
const (
	maxDoublings = 3
	retryUsual   = 50 * time.Millisecond
)

// Reserve implements kernel.SlotPolicy. It answers at once.
func (p *Policy) Reserve(ask kernel.SlotAsk) kernel.SlotAnswer {
	key := slotkit.KeyOf(ask.Reservation)
	if p.holds[key] != nil {
		return kernel.SlotAnswer{Verdict: kernel.SlotHeld}
	}
	u := p.host.Upstream(ask.Upstream)
	if !slotkit.Usable(u) || p.free(u) <= 0 || !p.memory(u, ask.Pieces) {
		return kernel.SlotAnswer{Verdict: kernel.SlotNone, RetryAt: p.retryAt(ask.Upstream)}
	}
	p.holds[key] = &hold{upstream: ask.Upstream, pieces: ask.Pieces}
	return kernel.SlotAnswer{Verdict: kernel.SlotHeld}
}

// retryAt returns when to ask again, jittered.
func (p *Policy) retryAt(id ident.UpstreamID) time.Time {
	now := p.host.Now()
	at := now.Add(retryUsual + time.Duration(p.host.Rand().Int64N(int64(retryUsual))))
	if blocked := p.engine(id).blockedUntil; blocked.After(at) {
		return blocked
	}
	return at
}

// free returns how many slots are believed free: what the load report shows
// less what it cannot show yet and a margin for what others have begun since.
func (p *Policy) free(u *kernel.Upstream) int {
	slots := slotkit.Slots(u)
	if slots == 0 {
		return 1
	}
	e := p.engine(u.ID)
	if p.host.Now().Before(e.blockedUntil) {
		return 0
	}
	used := u.Load.Running + u.Load.Waiting - e.endedAfter(u.Load.At)
	return slots - max(used, 0) - p.unseen(u) - p.Margin
}

// unseen counts this instance's slots that the load report cannot show yet.
func (p *Policy) unseen(u *kernel.Upstream) int {
	n := 0
	for _, h := range p.holds {
		if h.upstream == u.ID && (h.started.IsZero() || h.started.After(u.Load.At)) {
			n++
		}
	}
	return n
}

// memory reports whether the engine's memory is believed to have room.
func (p *Policy) memory(u *kernel.Upstream, pieces int) bool {
	total := slotkit.Pieces(u)
	if total == 0 {
		return true
	}
	used := u.Load.PiecesUsed
	for _, h := range p.holds {
		if h.upstream == u.ID && (h.started.IsZero() || h.started.After(u.Load.At)) {
			used += h.pieces
		}
	}
	return used+pieces <= total
}

// endedAfter counts the uses that ended since the load report was made.
func (e *engine) endedAfter(at time.Time) int {
	n := 0
	for _, end := range e.ended {
		if end.After(at) {
			n++
		}
	}
	return n
}

// engine returns what is remembered of an engine.
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
	h := p.holds[key]
	if h == nil {
		return
	}
	delete(p.holds, key)
	e := p.engine(h.upstream)
	if h.started.IsZero() {
		return
	}
	if u := p.host.Upstream(h.upstream); u != nil && h.started.After(u.Load.At) {
		// The report does not show the use, so its end changes nothing.
		return
	}
	e.ended = append(e.ended, p.host.Now())
	if drop := len(e.ended) - maxEnded; drop > 0 {
		e.ended = append(e.ended[:0], e.ended[drop:]...)
	}
}

// Started implements kernel.SlotPolicy.
func (p *Policy) Started(id ident.AttemptID) {
	if h := p.holds[slotkit.KeyOf(id)]; h != nil {
		h.started = p.host.Now()
		p.engine(h.upstream).refusals = 0
	}
}

// Refused implements kernel.SlotPolicy: the engine is left alone for a while,
// longer with each refusal in a row.
func (p *Policy) Refused(id ident.UpstreamID) {
	e := p.engine(id)
	wait := p.Backoff << min(e.refusals, maxDoublings)
	e.refusals++
	jitter := time.Duration(p.host.Rand().Int64N(int64(wait)/2 + 1))
	e.blockedUntil = p.host.Now().Add(wait + jitter)
}
