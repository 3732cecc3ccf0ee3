package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Backoff before a grantor that did not answer is asked again.
const (
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
	maxDoublings = 4
	// shareRetry is the retry delay reported to the kernel when the static share
	// is used up.
	shareRetry = 100 * time.Millisecond
	// maxLoadAge is the maximum age of a load report that limits the use of
	// the static share.
	maxLoadAge = 1 * time.Second
)

// inBackoff reports whether the grantor must not be asked now because it did not
// answer earlier asks. After the backoff, one ask at a time may be sent to it.
// Failures are forgotten once the backoff ended more than maxBackoff ago;
// otherwise the first asks after an idle period would use the static share
// although the grantor is healthy and may lease the same slots to others.
func (p *Policy) inBackoff(id ident.InstanceID) bool {
	if p.holder.failingGrantors == 0 {
		return false
	}
	g := p.holder.grantors[id]
	if g == nil || g.failures == 0 {
		return false
	}
	if p.holder.hasUnansweredAsk(id) {
		return true
	}
	now := p.host.Now()
	if now.Sub(g.backoffUntil) > maxBackoff {
		p.holder.clearFailures(id)
		return false
	}
	return now.Before(g.backoffUntil)
}

// grantorRecord returns the record of a grantor, creating it if there is none.
func (p *Policy) grantorRecord(id ident.InstanceID) *grantorRecord {
	g := p.holder.grantors[id]
	if g == nil {
		g = &grantorRecord{incarnation: incarnationOf(p.host.View(), id)}
		p.holder.grantors[id] = g
	}
	return g
}

// incarnationOf returns an instance's incarnation in the view, or 0 if the view
// does not list the instance.
func incarnationOf(v *kernel.View, id ident.InstanceID) ident.Incarnation {
	for i := range v.Instances {
		if v.Instances[i].ID == id {
			return v.Instances[i].Incarnation
		}
	}
	return 0
}

// askUndelivered handles an ask that the transport reported as undelivered.
func (p *Policy) askUndelivered(to ident.InstanceID, ask *Ask) {
	h := p.holder.holds[ask.Reservation.Key()]
	if h == nil || h.seq != ask.Seq || h.state != stateAsked {
		return
	}
	p.grantorFailed(to)
}

// grantorFailed records that a grantor did not answer and starts a backoff with
// jitter. All open asks to that grantor are answered from the static share.
func (p *Policy) grantorFailed(id ident.InstanceID) {
	g := p.grantorRecord(id)
	g.failures++
	p.holder.countFailingGrantors()
	wait := min(firstBackoff<<min(g.failures-1, maxDoublings), maxBackoff)
	wait += time.Duration(p.host.Rand().Int64N(int64(wait)/2 + 1))
	g.backoffUntil = p.host.Now().Add(wait)
	for i := 0; i < len(p.holder.open); {
		h := p.holder.open[i]
		if h.grantor != id {
			i++
			continue
		}
		// fallBack removes h from p.holder.open, so i already points to the
		// next.
		p.fallBack(h)
	}
}

// fallBack grants an open ask from the static share, or denies it if the share
// is used up or the engine is not usable.
func (p *Policy) fallBack(h *hold) {
	u := p.host.Upstream(h.upstream)
	if slotkit.Usable(u) && p.shareFree(u) > 0 {
		p.granted(h.key)
		return
	}
	p.denied(h.key, p.shareRetryAt())
	p.notifyRelease(h, 0)
}

// reserveShare reserves a slot of this instance's static share.
func (p *Policy) reserveShare(h *hold, u *kernel.Upstream) kernel.SlotAnswer {
	if p.shareFree(u) <= 0 {
		return noSlot(p.shareRetryAt())
	}
	h.state = stateHeld
	p.holder.add(h)
	return answerFor(h)
}

// shareFree returns how many more slots this instance may use without a lease.
// All slots that it holds count against its static share. A load report younger
// than maxLoadAge further limits the result. The result may be negative;
// it is 0 for a while after the engine refused a request.
func (p *Policy) shareFree(u *kernel.Upstream) int {
	now := p.host.Now()
	if now.Before(p.holder.refusedUntil[u.ID]) {
		return 0
	}
	slots := slotkit.Slots(u)
	free := p.roster.Share(p.self(), u.ID, slots) - p.holder.held[u.ID]
	if !u.Load.At.IsZero() && now.Sub(u.Load.At) < maxLoadAge {
		free = min(free, slots-u.Load.Running-u.Load.Waiting)
	}
	return free
}

// shareRetryAt returns when to retry after the static share was used up. The
// delay is shareRetry plus up to as much jitter.
func (p *Policy) shareRetryAt() time.Time {
	jitter := time.Duration(p.host.Rand().Int64N(int64(shareRetry)))
	return p.host.Now().Add(shareRetry + jitter)
}
