package kernel

import (
	"github.com/wardspool/wardspool/ident"
)

// choosePrefill selects the prefill engine for the plan's decode engine again,
// since the view may have changed while the slot request was pending. It reports
// whether there is one.
func (k *Kernel) choosePrefill(c *call) bool {
	decode := k.fleet.upstream(c.plan.decode)
	if decode == nil || !k.trusted() {
		return false
	}
	d := k.newDecision(c)
	k.shortlistPrefills(d, c)
	if k.placer.prefills.size == 0 {
		return false
	}
	k.placer.decodes.reset()
	k.placer.decodes.insert(decode.Index, 0)
	c.plan = k.plan(d, k.rankPairs(d), 0)
	return true
}

// startPrefill sends the call's prompt to the planned prefill engine.
func (k *Kernel) startPrefill(c *call) {
	u := k.fleet.upstream(c.plan.prefill)
	uncached := UncachedTokens(k.newDecision(c), u)
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
		k.releaseOrphan(e.Attempt, e.KV.Engine)
		return
	}
	c := a.call
	k.recordSuccess(k.fleet.upstream(a.upstream))
	k.silenceEnded(a)
	k.prefillComputed(a)
	c.mayHaveRun = true
	if c.kept.includes(a) && !k.resumePrefilled(c) {
		return
	}
	c.kv = e.KV
	c.kvReadyAt = k.now
	if jp, ok := c.slot.policy.(JointPolicy); ok {
		if c.plan.decode == "" {
			k.requestDecode(c, jp)
			return
		}
		jp.Computed(c.slot.id)
	}
	if !k.usable(c.plan.decode) {
		k.retryDecode(c, ReasonUpstreamRefused)
		return
	}
	k.startDecode(c)
}

// releaseOrphan cancels an attempt that is no longer tracked but has finished a
// prefill: its cancel may have reached the engine before the attempt itself did,
// so that the engine still holds the KV cache.
func (k *Kernel) releaseOrphan(id ident.AttemptID, upstream ident.UpstreamID) {
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
	return u != nil && u.Liveness <= Suspect
}

// startDecode sends the call to its decode engine. It looks for another one if the stream, which has
// begun, may not go on there.
func (k *Kernel) startDecode(c *call) {
	if u := k.fleet.upstream(c.plan.decode); u != nil && !c.mayContinueAt(u) {
		k.otherVersionGranted(c, u)
		return
	}
	a := &attempt{
		id:       c.slot.id,
		call:     c,
		stage:    stageDecode,
		upstream: c.plan.decode,
		pieces:   k.pieces(c.request),
	}
	if !c.request.MayRepeat() {
		// Only one of two runs may decode.
		k.dropKept(c)
	}
	c.state = callDecoding
	c.active = a
	c.reattachCount = 0
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

		SoftwareVersion: a.softwareVersion,
	})
}

// firstOutput handles the first output token of a decode. The decode engine has
// imported the KV cache, so the prefill engine has released it and the prefill
// attempt needs no cancel.
func (k *Kernel) firstOutput(e FirstOutput) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	c := a.call
	k.silenceEnded(a)
	k.settle(c, a)
	k.streamBegun(c, a)
	if c.prefill != nil {
		k.transferEnded(&c.run, false)
	}
	k.untrack(c.prefill)
	c.prefill = nil
}

// attemptDone completes the call of an attempt that returned its whole answer.
func (k *Kernel) attemptDone(e AttemptDone) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	c := a.call
	k.settle(c, a)
	k.recordSuccess(k.fleet.upstream(a.upstream))
	k.charge(c, a)
	k.untrack(a)
	k.untrack(c.prefill)
	c.active, c.prefill = nil, nil
	k.complete(c)
}

// charge reports the engine time that a call has used to the queue order.
func (k *Kernel) charge(c *call, a *attempt) {
	seconds := k.now.Sub(a.sentAt).Seconds()
	k.policy.order.Served(c.request, seconds)
}
