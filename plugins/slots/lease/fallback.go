package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Backoff towards a grantor that does not answer, and the wait told to the
// kernel when the static share is used up.
const (
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	maxDoublings = 4
	shareRetry   = 100 * time.Millisecond
	// loadBelieved is the age up to which a load report limits the share.
	loadBelieved = 1 * time.Second
)

// down reports whether a grantor is not to be asked now. After its backoff one
// ask at a time may try it. What was seen of it long ago no longer counts:
// otherwise the first asks after a quiet time would use the static share beside
// a grantor that is well.
func (p *Policy) down(id ident.InstanceID) bool {
	if p.holder.troubled == 0 {
		return false
	}
	c := p.holder.contacts[id]
	if c == nil || c.failures == 0 {
		return false
	}
	if p.holder.asking(id) {
		return true
	}
	now := p.host.Now()
	if now.Sub(c.downUntil) > maxBackoff {
		p.holder.answered(id)
		return false
	}
	return now.Before(c.downUntil)
}

// contact returns what is remembered of a grantor.
func (p *Policy) contact(id ident.InstanceID) *contact {
	c := p.holder.contacts[id]
	if c == nil {
		c = &contact{incarnation: incarnationOf(p.host.View(), id)}
		p.holder.contacts[id] = c
	}
	return c
}

// incarnationOf returns an instance's life by the view, 0 if it is not listed.
func incarnationOf(v *kernel.View, id ident.InstanceID) ident.Incarnation {
	for i := range v.Instances {
		if v.Instances[i].ID == id {
			return v.Instances[i].Incarnation
		}
	}
	return 0
}

// askLost handles an ask that is known not to have been delivered.
func (p *Policy) askLost(to ident.InstanceID, ask *Ask) {
	h := p.holder.holds[ask.Reservation.Key()]
	if h == nil || h.seq != ask.Seq || h.state != stateAsked {
		return
	}
	p.unanswered(to)
}

// unanswered notes that a grantor did not answer, and falls back for all asks
// that wait for it.
func (p *Policy) unanswered(id ident.InstanceID) {
	c := p.contact(id)
	c.failures++
	p.holder.countTroubled()
	wait := min(firstBackoff<<min(c.failures-1, maxDoublings), maxBackoff)
	wait += time.Duration(p.host.Rand().Int64N(int64(wait)/2 + 1))
	c.downUntil = p.host.Now().Add(wait)
	for i := 0; i < len(p.holder.open); {
		h := p.holder.open[i]
		if h.grantor != id {
			i++
			continue
		}
		// fallBack takes h out of the open ones.
		p.fallBack(h)
	}
}

// fallBack answers an open ask from the static share.
func (p *Policy) fallBack(h *hold) {
	u := p.host.Upstream(h.upstream)
	if slotkit.Usable(u) && p.shareFree(u) > 0 {
		p.granted(h.key)
		return
	}
	p.denied(h.key, p.shareRetryAt())
	p.tellReleased(h, 0)
}

// reserveShare reserves a slot of the static share.
func (p *Policy) reserveShare(h *hold, u *kernel.Upstream) kernel.SlotAnswer {
	if p.shareFree(u) <= 0 {
		return none(p.shareRetryAt())
	}
	h.state = stateHeld
	p.holder.add(h)
	return answerFor(h)
}

// shareFree returns how many more slots this instance may use by its static
// share, which counts all it holds, and by the engine's load as far as it is
// fresh.
func (p *Policy) shareFree(u *kernel.Upstream) int {
	now := p.host.Now()
	if now.Before(p.holder.refused[u.ID]) {
		return 0
	}
	slots := slotkit.Slots(u)
	free := p.roster.Share(p.self(), u.ID, slots) - p.holder.held[u.ID]
	if !u.Load.At.IsZero() && now.Sub(u.Load.At) < loadBelieved {
		free = min(free, slots-u.Load.Running-u.Load.Waiting)
	}
	return free
}

func (p *Policy) shareRetryAt() time.Time {
	jitter := time.Duration(p.host.Rand().Int64N(int64(shareRetry)))
	return p.host.Now().Add(shareRetry + jitter)
}
