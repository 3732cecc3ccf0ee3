package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// maxReattach is how often one decode's stream is read on after its
// connection broke, before the decode is resumed elsewhere.
const maxReattach = 2

// attemptFailed decides what follows on a failed attempt.
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
	k.noteFailure(a, e)
	if a.stage == stageDecode && k.tryReattach(c, a, e) {
		return
	}
	if e.Evidence == Ambiguous || c.reattached > 0 {
		// A stream that was read on belongs to a decode that did run, whatever
		// the last connection says.
		c.touched = true
		c.exposed = c.exposed || a.stage != stagePrefill
		k.release(a)
	} else {
		k.untrack(a)
	}
	switch {
	case a == c.prefill && c.state != callPrefilling:
		// The prefill had finished; the decode that imports its result goes on
		// or fails by itself.
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

// upstreamLeaving takes an upstream's own word that it is leaving.
func (k *Kernel) upstreamLeaving(id ident.UpstreamID) {
	if u := k.fleet.upstream(id); u != nil {
		k.fleet.markLeaving(u)
	}
}

// noteFailure records what the failure says of the upstream.
func (k *Kernel) noteFailure(a *attempt, e AttemptFailed) {
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameLife(u.Incarnation, a.incarnation) {
		return
	}
	stalledTransfer := e.Code == FailureStalled && a.stage == stageDecode && a.call.prefill != nil
	if stalledTransfer {
		k.transferEnded(a.call, a, true)
	} else if upstreamFault(e.Code) {
		k.failed(u)
	}
	if a.stage == stageDecode && e.Code == FailureCapacity && a.call.slot.policy != nil {
		a.call.slot.policy.Refused(u.ID)
	}
	if e.Code == FailureKVGone {
		return
	}
	c := a.call
	if stalledTransfer {
		// One stall does not tell at which of the two ends.
		c.avoid = append(c.avoid, c.prefill.upstream)
	}
	c.avoid = append(c.avoid, a.upstream)
}

// tryReattach reads on in the same decode when only the connection broke.
func (k *Kernel) tryReattach(c *call, a *attempt, e AttemptFailed) bool {
	if e.Evidence != Ambiguous || e.Code != FailureBroken {
		return false
	}
	if c.reattached >= maxReattach || k.gone(a.upstream, a.incarnation) {
		return false
	}
	c.reattached++
	c.touched, c.exposed = true, true
	k.emit(ReattachDecode{
		Attempt:  a.id,
		Request:  c.request.ID,
		Upstream: a.upstream,
		Offset:   c.delivered,
		Wait:     k.reattachWait(c.reattached),
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

// reattachWait is the wait before a stream is read on for the n-th time: none at
// first, since most connections can be made anew at once.
func (k *Kernel) reattachWait(n int) time.Duration {
	if n < 2 {
		return 0
	}
	return k.backoff(n - 1)
}

func (k *Kernel) prefillFailed(c *call, e AttemptFailed) {
	c.prefill = nil
	k.giveSlotBack(c)
	k.retry(c, e)
}

func (k *Kernel) decodeFailed(c *call, e AttemptFailed) {
	ran := e.Evidence == Ambiguous || c.reattached > 0
	if !ran && e.Code != FailureKVGone {
		// The decode did not start, so the prefill may still be of use.
		k.decodeElsewhere(c, failureReason(e.Code))
		return
	}
	c.active = nil
	k.giveSlotBack(c)
	k.dropKV(c)
	k.retry(c, e)
}

// retry puts a call back in the queue after a failed attempt if it may run
// again, and gives it up otherwise.
func (k *Kernel) retry(c *call, e AttemptFailed) {
	// No attempt is in flight any more, so that only what ran before counts for
	// the outcome.
	c.state = callQueued
	reason := failureReason(e.Code)
	if e.Code == FailureRejected {
		k.fail(c, reason, api.ProblemUpstreamRefused, "the upstream found fault with the request")
		return
	}
	if c.exposed && !c.request.MayRepeat() {
		k.fail(c, ReasonNotRepeatable, api.ProblemUpstreamFailed,
			"the request may have run and must not run twice")
		return
	}
	if e.Evidence != Ambiguous && c.reattached == 0 {
		// The attempt did not run: another one is no retry in the sense of the
		// budget.
		k.requeue(c, reason, k.attestedRetryAt(c, e))
		return
	}
	if !k.budget.take() {
		k.fail(c, ReasonRetryBudget, api.ProblemUpstreamFailed,
			"an attempt failed and too many others did as well")
		return
	}
	k.requeue(c, reason, k.now.Add(k.backoff(c.tries+1)))
}

// attestedRetryAt is when a call that did not run may be tried again: at once
// elsewhere, later if the upstream asked for patience.
func (k *Kernel) attestedRetryAt(c *call, e AttemptFailed) time.Time {
	if c.tries == 0 {
		return k.now
	}
	return k.now.Add(max(k.backoff(c.tries), min(e.RetryAfter, maxComeBack)))
}

// requeue puts a call back in the queue, or gives it up when it was tried
// often enough or will be too late.
func (k *Kernel) requeue(c *call, reason Reason, at time.Time) {
	c.tries++
	if c.tries >= k.maxAttempts() {
		k.fail(c, ReasonAttempts, api.ProblemUpstreamFailed, "every attempt failed")
		return
	}
	if !at.Before(c.request.Deadline) {
		k.fail(c, reason, api.ProblemDeadline, "no time is left for another attempt")
		return
	}
	step := StepRetrying
	if c.delivered > 0 {
		step = StepResuming
	}
	k.log(c, Record{Step: step, Reason: reason, Offset: c.delivered})
	k.enqueue(c, at)
}

// failureReason maps an attempt's failure to the reason in decision records.
func failureReason(code FailureCode) Reason {
	switch code {
	case FailureCapacity, FailureDraining, FailureModel, FailureRejected:
		return ReasonUpstreamRefused
	case FailureKVGone:
		return ReasonKVGone
	case FailureStalled:
		return ReasonStalled
	case FailureBroken:
		return ReasonBroken
	default:
		return ReasonUpstreamFailed
	}
}
