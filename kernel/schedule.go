package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

const (
	// maxEngineQueue is the maximum expected wait at a prefill engine at which
	// it still gets new requests. Further requests wait on this instance, where
	// they can still be reordered, refused or placed on another engine.
	maxEngineQueue = 250 * time.Millisecond
	// retryPlacement is the time after which a placement that failed because no
	// upstream qualified is tried again, if no event triggers it earlier.
	retryPlacement = 100 * time.Millisecond
	// lateMargin is the allowance for prediction errors: a waiting request is
	// refused only if it is expected to miss its first-output target by more.
	lateMargin = 20 * time.Millisecond
)

// blocked maps, for one scheduling pass, the models and services for which a
// placement failed to the reason. Further requests for them are not tried in this
// pass.
type blocked map[string]Reason

// queueKey returns the key in blocked of the call's model or service. Streams of
// different software versions need different engines.
func queueKey(c *call) string {
	switch {
	case c.request.Route == config.RouteService:
		return "service/" + c.request.Service
	case c.origin != nil:
		return "stream/" + c.origin.softwareVersion + "/" + c.request.Model
	default:
		return "model/" + c.request.Model
	}
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
	k.queueSnapshot = k.queueSnapshot[:0]
	for w := range k.policy.order.All() {
		k.queueSnapshot = append(k.queueSnapshot, w)
	}
	blockedKeys := blocked{}
	for _, w := range k.queueSnapshot {
		k.tryWaiting(w, blockedKeys)
	}
}

// tryWaiting tries to place one waiting request. If that fails and the request
// can no longer meet its first-output target, it refuses the request.
func (k *Kernel) tryWaiting(w *QueuedRequest, blockedKeys blocked) {
	c, ok := k.calls[w.Request.ID]
	if !ok || c.waiting != w || w.NotBefore.After(k.now) {
		return
	}
	if !k.trusted() {
		k.logWaiting(c, ReasonViewStale)
		return
	}
	key := queueKey(c)
	reason, isBlocked := blockedKeys[key]
	if !isBlocked {
		reason = k.place(c)
		if reason == "" {
			return
		}
		blockedKeys[key] = reason
	}
	if k.late(c) {
		k.refuseCall(c, lateRefusal(k.retryAfter(c.request)))
		return
	}
	k.logWaiting(c, reason)
}

// place starts a waiting request or requests a slot for it. If it can do neither,
// it returns the reason, otherwise "".
func (k *Kernel) place(c *call) Reason {
	if c.request.Route == config.RouteService {
		return k.placeService(c)
	}
	return k.placeModel(c)
}

// placeModel chooses the prefill and the decode engine together and reserves a
// slot on the decode engine. Its result is that of place.
func (k *Kernel) placeModel(c *call) Reason {
	if k.versionGone(c) {
		k.failOrphan(c)
		return ""
	}
	if jp := k.jointPolicy(c.request.Model); jp != nil {
		k.requestPlacement(c, jp)
		return ""
	}
	d := k.newDecision(c)
	k.shortlistPrefills(d, c)
	if k.placer.prefills.size == 0 {
		return k.noCandidate(c, ReasonNoPrefill)
	}
	k.shortlistDecodes(d, c, k.fleet.decodes[c.request.Model], config.RoleDecode)
	if k.placer.decodes.size == 0 {
		return k.noCandidate(c, ReasonNoDecode)
	}
	if wait := k.minPrefillWait(); wait > maxEngineQueue {
		k.scheduleAt(k.now.Add(wait - maxEngineQueue))
		return ReasonPrefillBusy
	}
	return k.reserveBest(c, d, k.rankPairs(d))
}

// noCandidate arranges that a request for which no upstream qualifies is tried
// again after retryPlacement even if no event occurs, and returns reason.
func (k *Kernel) noCandidate(c *call, reason Reason) Reason {
	// An upstream on which the request failed before is better than none.
	c.avoid = nil
	k.scheduleAt(k.now.Add(retryPlacement))
	return reason
}

// minPrefillWait returns the shortest expected wait at the shortlisted prefill
// engines, -1 if there are none.
func (k *Kernel) minPrefillWait() time.Duration {
	least := time.Duration(-1)
	for _, p := range k.placer.prefills.all() {
		wait := PrefillWait(&k.fleet.view.Upstreams[p.index], k.now)
		if least < 0 || wait < least {
			least = wait
		}
	}
	return least
}

// reserveBest requests a slot on the decode engines of the ranked pairs in turn,
// each engine once, until one is granted or its answer is pending. It starts the
// prefill if a slot was granted. Its result is that of place.
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
		switch answer.Result {
		case SlotReserved:
			k.dequeue(c)
			k.startPrefill(c)
			return ""
		case SlotPending:
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
	k.scheduleAt(retryAt)
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
// target even if it is placed immediately. A request whose caller already has
// output is never late, so that this output is not wasted.
func (k *Kernel) late(c *call) bool {
	if c.delivered > 0 || c.request.FirstOutputBy.IsZero() {
		return false
	}
	if c.request.Route == config.RouteService {
		return false
	}
	return k.now.Add(c.minFirstOutput).After(c.request.FirstOutputBy.Add(lateMargin))
}

// refuseIfLate refuses a request that still waits for a placement or a slot and
// can no longer meet its first-output target.
func (k *Kernel) refuseIfLate(id ident.RequestID) {
	c, ok := k.calls[id]
	if !ok || c.started() || c.prefill != nil || !k.late(c) {
		return
	}
	k.refuseCall(c, lateRefusal(k.retryAfter(c.request)))
}

func lateRefusal(retryAfter time.Duration) *Refusal {
	return &Refusal{
		Reason:     ReasonInfeasible,
		Problem:    api.ProblemInfeasible,
		Detail:     "no upstream became free in time for the first-output target",
		RetryAfter: retryAfter,
	}
}

// logWaiting logs the reason for which a request waits, if it differs from the
// one logged last.
func (k *Kernel) logWaiting(c *call, reason Reason) {
	if c.lastReason == reason {
		return
	}
	c.lastReason = reason
	k.log(c, Record{Step: StepWaiting, Reason: reason})
}
