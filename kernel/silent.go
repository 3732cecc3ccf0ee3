package kernel

import "time"

// maxTransferSilence is how long a transfer may make no progress before the first token, if there is no
// replacement. It is much longer than a sound engine is silent, and ends transfers that never complete.
const maxTransferSilence = 20 * time.Second

// A silent attempt may still be running, since its engine or the network may only
// pause. Its run is therefore kept while a replacement runs on other engines. The
// first of the two that has output for the caller ends the other one. If the
// replacement fails or finds no engine, the kept run remains.

// attemptStalled starts a replacement for the run of a silent attempt, if the call
// may have another attempt. If the silent attempt belongs to a replacement itself,
// that replacement is ended.
func (k *Kernel) attemptStalled(e AttemptStalled) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	c := a.call
	c.delivered = max(c.delivered, e.Offset)
	k.outputSeen(c, e.Origin, a)
	if k.attempts[a.id] != a {
		return
	}
	if u := k.fleet.upstream(a.upstream); u != nil && sameIncarnation(u.Incarnation, a.incarnation) {
		k.recordStalled(c, a, u)
	}
	if c.kept.includes(a) {
		return
	}
	if reason := k.takeReplacement(c, a); reason != "" {
		if k.transferStuck(c, a) {
			k.attemptFailed(AttemptFailed{Attempt: a.id, Upstream: a.upstream, Evidence: Ambiguous, Code: FailureStalled, Offset: e.Offset})
			return
		}
		k.logWaiting(c, reason)
		return
	}
	c.failedAttempts++
	c.mayHaveRun = true
	c.mayHaveEffects = c.mayHaveEffects || a.stage == stageDecode
	k.log(c, Record{Step: retryStep(c), Reason: ReasonStalled, Attempt: a.id, Offset: c.delivered})
	if c.kept == nil {
		kept := c.run
		c.kept = &kept
	} else {
		k.releaseRun(c)
	}
	c.run = run{}
	k.enqueue(c, k.now.Add(k.backoff(c.failedAttempts)))
}

// transferStuck reports whether an attempt waits for a transfer that has made no progress for
// maxTransferSilence.
func (k *Kernel) transferStuck(c *call, a *attempt) bool {
	return a.stage == stageDecode && c.runOf(a).prefill != nil && c.delivered == 0 && k.now.Sub(a.silentSince) >= maxTransferSilence
}

// attemptResumed ends the replacement of a run that was silent and has gone on.
func (k *Kernel) attemptResumed(e AttemptResumed) {
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	k.silenceEnded(a)
	k.settle(a.call, a)
}

// takeReplacement takes a token of the retry budget for the replacement of a
// silent attempt. It returns the reason if there must be no replacement, otherwise
// "".
func (k *Kernel) takeReplacement(c *call, a *attempt) Reason {
	switch {
	case a.stage != stagePrefill && !c.request.MayRepeat():
		return ReasonNotRepeatable
	case c.failedAttempts+1 >= k.maxAttempts():
		return ReasonAttempts
	case !k.budget.take():
		return ReasonRetryBudget
	}
	return ""
}

// recordStalled records a stall of an attempt on upstream u in the health of the
// engines concerned, and excludes them from further attempts of the request.
func (k *Kernel) recordStalled(c *call, a *attempt, u *Upstream) {
	if a.stalled {
		return
	}
	a.stalled = true
	a.silentSince = k.now
	if r := c.runOf(a); a.stage == stageDecode && r.prefill != nil {
		// A single stall does not show which of the two engines is at fault, so
		// both are avoided.
		k.transferEnded(r, true)
		c.avoid = append(c.avoid, r.prefill.upstream)
	} else {
		k.recordSilence(u)
	}
	c.avoid = append(c.avoid, a.upstream)
}

// settle ends the run of the call that the attempt, which has output for the
// caller, does not belong to.
func (k *Kernel) settle(c *call, a *attempt) {
	if c.kept.includes(a) {
		k.restoreKept(c)
		return
	}
	k.dropKept(c)
}

// resumePrefilled makes the kept run, whose prefill has finished, the current one.
// It ends the kept run instead, and returns false, if the replacement is ahead.
func (k *Kernel) resumePrefilled(c *call) bool {
	if c.state == callDecoding {
		k.dropKept(c)
		return false
	}
	k.restoreKept(c)
	return true
}

// keptFailed ends a kept run after a failed attempt; its replacement goes on.
func (k *Kernel) keptFailed(c *call, a *attempt, e AttemptFailed) {
	if e.Evidence == Ambiguous || c.kept.reattachCount > 0 {
		k.release(a)
	} else {
		k.untrack(a)
	}
	if a == c.kept.prefill && c.kept.state != callPrefilling {
		c.kept.prefill = nil
		return
	}
	k.dropKept(c)
}

// restoreKept ends the current run of a call and makes the kept one current.
func (k *Kernel) restoreKept(c *call) {
	k.dequeue(c)
	k.releaseRun(c)
	c.run = *c.kept
	c.kept = nil
}

// dropKept ends the kept run of a call, if there is one.
func (k *Kernel) dropKept(c *call) {
	if c.kept == nil {
		return
	}
	current := c.run
	c.run = *c.kept
	c.kept = nil
	k.releaseRun(c)
	c.run = current
}

// releaseRun releases all resources of the current run of a call.
func (k *Kernel) releaseRun(c *call) {
	k.release(c.active)
	k.release(c.prefill)
	k.releaseSlot(c)
}
