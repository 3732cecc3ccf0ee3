package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// reserve asks the slot policy for a slot on the plan's decode engine and, if
// one is held or promised, makes the plan the call's own.
func (k *Kernel) reserve(c *call, plan placement) SlotAnswer {
	id := k.newAttemptID(c.request)
	answer := k.policy.slots.Reserve(SlotAsk{
		Reservation:   id,
		Upstream:      plan.decode,
		Workspace:     c.request.Workspace,
		Pieces:        k.pieces(c.request),
		Lead:          plan.predicted,
		OutputTokens:  c.request.MaxOutputTokens - c.delivered,
		FirstOutputBy: c.request.FirstOutputBy,
	})
	if answer.Verdict == SlotNone {
		return answer
	}
	c.plan = plan
	c.slot = reservation{id: id, policy: k.policy.slots}
	k.reserved[id] = c
	return answer
}

func (k *Kernel) pieces(r *Request) int {
	m := k.catalog.models[r.Model]
	if m == nil {
		return 0
	}
	return r.Pieces(m.PieceTokens)
}

// awaitSlot leaves a call to wait for the slot policy's answer.
func (k *Kernel) awaitSlot(c *call) {
	c.state = callReserving
	k.placer.reserving++
	k.noteWaiting(c, ReasonSlotPending)
}

// leaveReserving ends the state callReserving.
func (k *Kernel) leaveReserving(c *call) {
	if c.state == callReserving {
		k.placer.reserving--
		c.state = callQueued
	}
}

// giveSlotBack releases the call's reservation, held or awaited.
func (k *Kernel) giveSlotBack(c *call) {
	if c.slot.policy == nil {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, c.slot.id)
	c.slot.policy.Release(c.slot.id)
	c.slot = reservation{}
	k.dirty = true
}

// slotGranted goes on with a call whose reservation was pending.
func (k *Kernel) slotGranted(id ident.AttemptID) {
	c, ok := k.reserved[id]
	if !ok || c.state != callReserving {
		return
	}
	k.leaveReserving(c)
	if c.prefill != nil && k.kvFresh(c) {
		k.startDecode(c)
		return
	}
	k.dropKV(c)
	if !k.choosePrefill(c) {
		k.giveSlotBack(c)
		k.enqueue(c, k.now.Add(retryPlacement))
		return
	}
	k.startPrefill(c)
}

// slotDenied puts a call back in the queue.
func (k *Kernel) slotDenied(id ident.AttemptID, retryAt time.Time) {
	c, ok := k.reserved[id]
	if !ok || c.state != callReserving {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, id)
	c.slot = reservation{}
	if c.prefill != nil {
		k.decodeElsewhere(c, ReasonNoSlot)
		return
	}
	k.enqueue(c, retryAt)
}

// choosePrefill chooses the prefill engine anew for the plan's decode engine:
// the view may have changed while the slot was pending.
func (k *Kernel) choosePrefill(c *call) bool {
	decode := k.fleet.upstream(c.plan.decode)
	if decode == nil || !k.trusted() {
		return false
	}
	d := k.decide(c)
	k.shortlistPrefills(d, c)
	if k.placer.prefills.size == 0 {
		return false
	}
	k.placer.decodes.reset()
	k.placer.decodes.offer(decode.Index, 0)
	c.plan = k.plan(d, k.rankPairs(d), 0)
	return true
}

// startPrefill sends the call's prompt to the planned prefill engine.
func (k *Kernel) startPrefill(c *call) {
	u := k.fleet.upstream(c.plan.prefill)
	uncached := UncachedTokens(k.decide(c), u)
	a := &attempt{
		id:       k.newAttemptID(c.request),
		call:     c,
		stage:    stagePrefill,
		upstream: u.ID,
		tokens:   uncached,
	}
	c.state = callPrefilling
	c.prefill = a
	c.lastReason = ""
	k.track(a)
	if k.prefix != nil {
		k.prefix.Placed(u, c.request.Blocks, k.now)
	}
	k.throughput.placed(c.request.Model, k.now, k.policy.order.Len() > 0)
	k.emit(StartPrefill{
		Attempt:      a.id,
		Request:      c.request.ID,
		Upstream:     u.ID,
		ContinueFrom: c.delivered,
	})
	k.log(c, k.placedRecord(c, a))
}

func (k *Kernel) placedRecord(c *call, a *attempt) Record {
	reason := ReasonBest
	switch {
	case c.plan.dispatched:
		reason = ReasonDispatched
	case c.plan.choices == 1:
		reason = ReasonOnlyCandidate
	}
	return Record{
		Step:                 StepPlaced,
		Reason:               reason,
		Attempt:              a.id,
		Prefill:              c.plan.prefill,
		Decode:               c.plan.decode,
		Cost:                 c.plan.cost,
		RunnersUp:            c.plan.runnersUp,
		PredictedFirstOutput: c.plan.predicted,
		ViewAge:              c.plan.viewAge,
		Offset:               c.delivered,
	}
}

// prefillDone starts the decode for a finished prefill.
func (k *Kernel) prefillDone(e PrefillDone) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		k.releaseStray(e.Attempt, e.KV.Engine)
		return
	}
	c := a.call
	k.succeeded(k.fleet.upstream(a.upstream))
	k.computed(a)
	c.touched = true
	c.kv = e.KV
	c.kvAt = k.now
	if jp, ok := c.slot.policy.(JointPolicy); ok {
		if c.plan.decode == "" {
			k.askDecode(c, jp)
			return
		}
		jp.Computed(c.slot.id)
	}
	if !k.usable(c.plan.decode) {
		k.decodeElsewhere(c, ReasonUpstreamRefused)
		return
	}
	k.startDecode(c)
}

// releaseStray releases what an attempt holds that was already given up: its
// cancel may have reached the engine before the attempt did.
func (k *Kernel) releaseStray(id ident.AttemptID, upstream ident.UpstreamID) {
	if _, pending := k.cancels[id]; pending {
		return
	}
	u := k.fleet.upstream(upstream)
	if u == nil {
		return
	}
	k.cancels[id] = &cancel{upstream: upstream, incarnation: u.Incarnation}
	k.sendCancel(id)
}

// usable reports whether new work may be sent to the upstream.
func (k *Kernel) usable(id ident.UpstreamID) bool {
	u := k.fleet.upstream(id)
	return u != nil && u.Life <= Suspect
}

// startDecode sends the call to its decode engine.
func (k *Kernel) startDecode(c *call) {
	a := &attempt{
		id:       c.slot.id,
		call:     c,
		stage:    stageDecode,
		upstream: c.plan.decode,
		pieces:   k.pieces(c.request),
	}
	c.state = callDecoding
	c.active = a
	c.reattached = 0
	k.track(a)
	c.slot.policy.Started(c.slot.id)
	k.emit(StartDecode{
		Attempt:      a.id,
		Request:      c.request.ID,
		Upstream:     a.upstream,
		KV:           c.kv,
		ContinueFrom: c.delivered,
	})
	reason := ReasonBest
	if c.plan.dispatched {
		reason = ReasonDispatched
	}
	k.log(c, Record{
		Step:    StepDecoding,
		Reason:  reason,
		Attempt: a.id,
		Prefill: c.kv.Engine,
		Decode:  a.upstream,
		Offset:  c.delivered,
	})
}

// firstOutput notes that the decode engine has imported the KV cache, which
// the prefill engine thereby gave up.
func (k *Kernel) firstOutput(e FirstOutput) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	k.untrack(a.call.prefill)
	a.call.prefill = nil
}

// attemptDone gives the whole answer.
func (k *Kernel) attemptDone(e AttemptDone) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	c := a.call
	k.succeeded(k.fleet.upstream(a.upstream))
	k.charge(c, a)
	k.untrack(a)
	k.untrack(c.prefill)
	c.active, c.prefill = nil, nil
	k.complete(c)
}

// charge tells the queue order what engine time a call has used.
func (k *Kernel) charge(c *call, a *attempt) {
	seconds := k.now.Sub(a.sentAt).Seconds()
	k.policy.order.Served(c.request, seconds)
}

// kvFresh reports whether the prefill result is likely to be still there.
func (k *Kernel) kvFresh(c *call) bool {
	return k.now.Sub(c.kvAt) < k.kvUsable()
}

// kvUsable is how long after its prefill a KV cache may still be imported.
func (k *Kernel) kvUsable() time.Duration {
	lifetime := defaultKVLifetime
	if p := k.catalog.content.Policy.KVLifetime; p > 0 {
		lifetime = p
	}
	return lifetime * kvFreshPercent / 100
}

const (
	// defaultKVLifetime is used where the bundle sets none.
	defaultKVLifetime = 900 * time.Millisecond
	// kvFreshPercent leaves time for the import to begin.
	kvFreshPercent = 80
)

// dropKV releases a prefill result that will not be used.
func (k *Kernel) dropKV(c *call) {
	k.release(c.prefill)
	c.prefill = nil
	c.kv = KVHandle{}
}

// decodeElsewhere finds another decode engine for a finished prefill, or gives
// the prefill up and puts the call back in the queue.
func (k *Kernel) decodeElsewhere(c *call, reason Reason) {
	k.giveSlotBack(c)
	c.active = nil
	if c.prefill != nil && k.kvFresh(c) && k.reserveForKV(c) {
		return
	}
	k.dropKV(c)
	k.requeue(c, reason, k.now)
}

// reserveForKV reserves a slot on another decode engine for the KV cache that
// the call holds, and starts the decode if it can.
func (k *Kernel) reserveForKV(c *call) bool {
	prefill := k.fleet.upstream(c.kv.Engine)
	if prefill == nil || !k.trusted() {
		return false
	}
	if jp := k.joint(c.request.Model); jp != nil {
		k.askPlacement(c, jp)
		return true
	}
	d := k.decide(c)
	k.shortlistDecodes(d, c, k.fleet.decodes[c.request.Model], config.RoleDecode)
	k.placer.prefills.reset()
	k.placer.prefills.offer(prefill.Index, 0)
	pairs := k.rankPairs(d)
	for i := range pairs {
		switch k.reserve(c, k.plan(d, pairs, i)).Verdict {
		case SlotHeld:
			k.startDecode(c)
			return true
		case SlotWaits:
			k.awaitSlot(c)
			return true
		}
	}
	return false
}
