package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

const (
	// maxEngineQueue is how much work may wait at a prefill engine. What does
	// not fit waits here, where it can still be reordered, refused or placed
	// elsewhere.
	maxEngineQueue = 250 * time.Millisecond
	// retryPlacement is when a placement is tried again that failed for want
	// of upstreams, if nothing else happens before.
	retryPlacement = 100 * time.Millisecond
	// lateMargin is the margin of error granted to predictions before a
	// waiting request is given up.
	lateMargin = 20 * time.Millisecond
)

// blocked collects, in one scheduling pass, the models and services for which
// nothing more can be placed now.
type blocked map[string]Reason

func queueKey(r *Request) string {
	if r.Route == config.RouteService {
		return "service/" + r.Service
	}
	return "model/" + r.Model
}

// schedule places as many waiting requests as it can, in queue order.
func (k *Kernel) schedule() {
	if !k.dirty || k.policy.order == nil {
		return
	}
	k.dirty = false
	if k.policy.order.Len() == 0 {
		return
	}
	k.scratch = k.scratch[:0]
	for w := range k.policy.order.All() {
		k.scratch = append(k.scratch, w)
	}
	full := blocked{}
	for _, w := range k.scratch {
		k.tryWaiting(w, full)
	}
}

// tryWaiting tries to place one waiting request.
func (k *Kernel) tryWaiting(w *Waiting, full blocked) {
	c, ok := k.calls[w.Request.ID]
	if !ok || c.waiting != w || w.NotBefore.After(k.now) {
		return
	}
	if !k.trusted() {
		k.noteWaiting(c, ReasonViewStale)
		return
	}
	key := queueKey(c.request)
	reason, stuck := full[key]
	if !stuck {
		reason = k.place(c)
		if reason == "" {
			return
		}
		full[key] = reason
	}
	if k.late(c) {
		k.refuseCall(c, lateRefusal(k.comeBack(c.request)))
		return
	}
	k.noteWaiting(c, reason)
}

// place starts a waiting request, or asks for its slot. It returns the reason
// when it could do neither.
func (k *Kernel) place(c *call) Reason {
	if c.request.Route == config.RouteService {
		return k.placeService(c)
	}
	return k.placeModel(c)
}

// placeModel chooses prefill and decode engine together and reserves a slot.
func (k *Kernel) placeModel(c *call) Reason {
	if jp := k.joint(c.request.Model); jp != nil {
		k.askPlacement(c, jp)
		return ""
	}
	d := k.decide(c)
	k.shortlistPrefills(d, c)
	if k.placer.prefills.size == 0 {
		return k.noCandidate(c, ReasonNoPrefill)
	}
	k.shortlistDecodes(d, c, k.fleet.decodes[c.request.Model], config.RoleDecode)
	if k.placer.decodes.size == 0 {
		return k.noCandidate(c, ReasonNoDecode)
	}
	if wait := k.leastPrefillWait(); wait > maxEngineQueue {
		k.kick(k.now.Add(wait - maxEngineQueue))
		return ReasonPrefillBusy
	}
	return k.reserveBest(c, d, k.rankPairs(d))
}

// noCandidate makes sure that a request for which no upstream qualifies is
// tried again soon, also when no event comes.
func (k *Kernel) noCandidate(c *call, reason Reason) Reason {
	// Better an upstream that failed before than none.
	c.avoid = nil
	k.kick(k.now.Add(retryPlacement))
	return reason
}

func (k *Kernel) leastPrefillWait() time.Duration {
	least := time.Duration(-1)
	for _, p := range k.placer.prefills.all() {
		wait := PrefillWait(&k.fleet.view.Upstreams[p.index], k.now)
		if least < 0 || wait < least {
			least = wait
		}
	}
	return least
}

// reserveBest asks for a slot on the decode engines of the ranked pairs in
// turn, each engine once, until one is held or promised.
func (k *Kernel) reserveBest(c *call, d *Decision, pairs []pair) Reason {
	var asked [shortlistSize]int
	count := 0
	retryAt := k.now.Add(retryPlacement)
	for i := range pairs {
		if contains(asked[:count], pairs[i].decode) {
			continue
		}
		asked[count] = pairs[i].decode
		count++
		plan := k.plan(d, pairs, i)
		answer := k.reserve(c, plan)
		switch answer.Verdict {
		case SlotHeld:
			k.dequeue(c)
			k.startPrefill(c)
			return ""
		case SlotWaits:
			k.dequeue(c)
			k.awaitSlot(c)
			return ""
		}
		if answer.RetryAt.After(k.now) && answer.RetryAt.Before(retryAt) {
			retryAt = answer.RetryAt
		}
		if count == shortlistSize {
			break
		}
	}
	k.kick(retryAt)
	return ReasonNoSlot
}

func contains(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

// late reports whether a waiting request can no longer meet its first-output
// target even if it were placed at once. Output that the caller already has
// is not given up for being late.
func (k *Kernel) late(c *call) bool {
	if c.delivered > 0 || c.request.FirstOutputBy.IsZero() {
		return false
	}
	if c.request.Route == config.RouteService {
		return false
	}
	return k.now.Add(c.need).After(c.request.FirstOutputBy.Add(lateMargin))
}

// lateDue gives up a request that still waits, for a place or for a slot, when
// it can no longer meet its target.
func (k *Kernel) lateDue(id ident.RequestID) {
	c, ok := k.calls[id]
	if !ok || c.started() || c.prefill != nil || !k.late(c) {
		return
	}
	k.refuseCall(c, lateRefusal(k.comeBack(c.request)))
}

func lateRefusal(comeBack time.Duration) *Refusal {
	return &Refusal{
		Reason:     ReasonInfeasible,
		Problem:    api.ProblemInfeasible,
		Detail:     "no upstream became free in time for the first-output target",
		RetryAfter: comeBack,
	}
}

// noteWaiting logs why a request waits, once per reason.
func (k *Kernel) noteWaiting(c *call, reason Reason) {
	if c.lastReason == reason {
		return
	}
	c.lastReason = reason
	k.log(c, Record{Step: StepWaiting, Reason: reason})
}
