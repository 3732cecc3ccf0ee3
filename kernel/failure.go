package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// maxReattach is the number of times the kernel reconnects to the stream of a
// decode whose connection broke, before it resumes the request with a new
// attempt.
const maxReattach = 2

// attemptFailed handles a failed attempt: it reconnects, retries, or ends the
// request with an error.
func (k *Kernel) attemptFailed(e AttemptFailed) {
	if e.Code == FailureDraining {
		k.upstreamLeaving(e.Upstream)
	}
	a, ok := k.attempts[e.Attempt]
	if !ok {
		return
	}
	c := a.call
	c.delivered = max(c.delivered, e.Offset)
	k.outputSeen(c, e.Origin, a)
	k.applyFailure(a, e)
	if c.kept.includes(a) {
		k.keptFailed(c, a, e)
		return
	}
	if a.stage == stageDecode && k.tryReattach(c, a, e) {
		return
	}
	if e.Evidence == Ambiguous || c.reattachCount > 0 {
		// After a reconnect, the decode is known to have run earlier, whatever
		// the evidence of the last connection is.
		c.mayHaveRun = true
		c.mayHaveEffects = c.mayHaveEffects || a.stage != stagePrefill
		k.release(a)
	} else {
		k.untrack(a)
	}
	switch {
	case a == c.prefill && c.state != callPrefilling:
		// The prefill had already finished. The decode that imports its KV
		// cache continues, or fails with an event of its own.
		c.prefill = nil
	case a.stage == stagePrefill:
		k.prefillFailed(c, e)
	case a.stage == stageDecode:
		k.decodeFailed(c, e)
	case a.stage == stageService:
		c.active = nil
		k.retry(c, e)
	}
}

// upstreamLeaving marks an upstream as leaving after it said so in a response.
func (k *Kernel) upstreamLeaving(id ident.UpstreamID) {
	if u := k.fleet.upstream(id); u != nil {
		k.fleet.markLeaving(u)
	}
}

// applyFailure updates the health of the upstream, informs the slot policy, and
// excludes the upstream from further attempts of the request. It ignores
// failures of an earlier incarnation of the upstream.
func (k *Kernel) applyFailure(a *attempt, e AttemptFailed) {
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameIncarnation(u.Incarnation, a.incarnation) {
		return
	}
	if asksForRest(e.Code) {
		k.recordRest(u, e.RetryAfter)
	}
	c := a.call
	if e.Code == FailureStalled {
		k.recordStalled(c, a, u)
		return
	}
	if upstreamFault(e.Code) {
		k.recordFailure(u)
	}
	if slot := c.runOf(a).slot; a.stage == stageDecode && e.Code == FailureCapacity && slot.policy != nil {
		slot.policy.Refused(u.ID)
	}
	if e.Code == FailureKVMissing {
		return
	}
	c.avoid = append(c.avoid, a.upstream)
}

// tryReattach reconnects to the same decode if only its connection broke. It
// reports whether it did.
func (k *Kernel) tryReattach(c *call, a *attempt, e AttemptFailed) bool {
	if e.Evidence != Ambiguous || e.Code != FailureBroken {
		return false
	}
	if c.reattachCount >= maxReattach || k.incarnationEnded(a.upstream, a.incarnation) {
		return false
	}
	c.reattachCount++
	c.mayHaveRun, c.mayHaveEffects = true, true
	k.emit(ReattachDecode{
		Attempt:  a.id,
		Request:  c.request.ID,
		Upstream: a.upstream,
		Offset:   c.delivered,
		Wait:     k.reattachWait(c.reattachCount),
	})
	k.log(c, Record{
		Step:    StepResuming,
		Reason:  ReasonBroken,
		Attempt: a.id,
		Decode:  a.upstream,
		Offset:  c.delivered,
	})
	return true
}

// reattachWait returns the wait before the n-th reconnect to a stream. The first
// one has no wait, since most connections can be re-established immediately.
func (k *Kernel) reattachWait(n int) time.Duration {
	if n < 2 {
		return 0
	}
	return k.backoff(n - 1)
}

func (k *Kernel) prefillFailed(c *call, e AttemptFailed) {
	c.prefill = nil
	k.releaseSlot(c)
	k.retry(c, e)
}

func (k *Kernel) decodeFailed(c *call, e AttemptFailed) {
	ran := e.Evidence == Ambiguous || c.reattachCount > 0
	if !ran && e.Code != FailureKVMissing {
		// The decode did not start, so the prefill's KV cache may still be used.
		k.retryDecode(c, failureReason(e.Code))
		return
	}
	c.active = nil
	k.releaseSlot(c)
	k.dropKV(c)
	k.retry(c, e)
}

// retry puts a call back in the queue after a failed attempt if it may run
// again, and ends it with an error otherwise.
func (k *Kernel) retry(c *call, e AttemptFailed) {
	// No attempt is in flight any more. With callQueued, only c.mayHaveRun
	// decides whether the outcome can still be "not-run".
	c.state = callQueued
	reason := failureReason(e.Code)
	if e.Code == FailureRejected {
		k.fail(c, reason, api.ProblemUpstreamRefused, "the upstream found fault with the request")
		return
	}
	if c.mayHaveEffects && !c.request.MayRepeat() {
		k.fail(c, ReasonNotRepeatable, api.ProblemUpstreamFailed,
			"the request may have run and must not run twice")
		return
	}
	if e.Evidence != Ambiguous && c.reattachCount == 0 {
		// The attempt did not run, so a further one is not charged to the retry
		// budget.
		k.requeue(c, reason, k.retryAtIfNotRun(c, e))
		return
	}
	if !k.budget.take() {
		k.fail(c, ReasonRetryBudget, api.ProblemUpstreamFailed,
			"an attempt failed and too many others did as well")
		return
	}
	k.requeue(c, reason, k.now.Add(k.backoff(c.failedAttempts+1)))
}

// retryAtIfNotRun returns the time at which a call that did not run may be tried
// again: immediately after the first failure, since another upstream is used;
// after further failures with a backoff, or after the upstream's retry-after
// hint if that is longer, up to maxRetryAfter.
func (k *Kernel) retryAtIfNotRun(c *call, e AttemptFailed) time.Time {
	if c.failedAttempts == 0 {
		return k.now
	}
	return k.now.Add(max(k.backoff(c.failedAttempts), min(e.RetryAfter, maxRetryAfter)))
}

// requeue puts a call back in the queue, to be placed from the given time on. It
// ends the call with an error if the maximum number of attempts is reached or
// the deadline would pass first.
func (k *Kernel) requeue(c *call, reason Reason, at time.Time) {
	c.failedAttempts++
	if c.failedAttempts >= k.maxAttempts() {
		k.fail(c, ReasonAttempts, api.ProblemUpstreamFailed, "every attempt failed")
		return
	}
	if !at.Before(c.request.Deadline) {
		k.fail(c, reason, api.ProblemDeadline, "no time is left for another attempt")
		return
	}
	k.log(c, Record{Step: retryStep(c), Reason: reason, Offset: c.delivered})
	k.enqueue(c, at)
}

// retryStep returns the step that decision records give for a further attempt.
func retryStep(c *call) Step {
	if c.delivered > 0 {
		return StepResuming
	}
	return StepRetrying
}

// failureReason returns the reason that decision records give for a failure.
func failureReason(code FailureCode) Reason {
	switch code {
	case FailureCapacity, FailureDraining, FailureModel, FailureRejected:
		return ReasonUpstreamRefused
	case FailureKVMissing:
		return ReasonKVEvicted
	case FailureStalled:
		return ReasonStalled
	case FailureBroken:
		return ReasonBroken
	default:
		return ReasonUpstreamFailed
	}
}
