package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// complete ends a call whose whole answer has been returned.
func (k *Kernel) complete(c *call) {
	k.finish(c, Answer{Request: c.request.ID, Outcome: api.Complete},
		Record{Step: StepCompleted, Reason: ReasonWholeAnswer})
}

// refuseCall ends a call that has no attempt in flight. If only the replacement
// of a silent run has none, it ends the replacement.
func (k *Kernel) refuseCall(c *call, r *Refusal) {
	if c.kept != nil {
		k.restoreKept(c)
		return
	}
	k.end(c, StepRefused, r)
}

// fail ends a call after failed attempts. If only the replacement of a silent run
// failed, it ends the replacement.
func (k *Kernel) fail(c *call, reason Reason, problem api.ProblemType, detail string) {
	if c.kept != nil {
		k.restoreKept(c)
		return
	}
	k.end(c, StepFailed, &Refusal{
		Reason:     reason,
		Problem:    problem,
		Detail:     detail,
		RetryAfter: retryAfterFailure,
	})
}

// callerGone ends a call whose caller has disconnected.
func (k *Kernel) callerGone(id ident.RequestID) {
	c, ok := k.calls[id]
	if !ok {
		return
	}
	k.end(c, StepCancelled, &Refusal{
		Reason:  ReasonCallerGone,
		Problem: api.ProblemCallerGone,
		Detail:  "the caller closed the connection",
	})
}

// deadlinePassed ends a call that must be answered now to meet its deadline. It
// ignores the timer of a call that has ended already.
func (k *Kernel) deadlinePassed(id ident.RequestID) {
	c, ok := k.calls[id]
	if !ok || k.now.Before(c.request.answerBy()) {
		return
	}
	k.recordUnanswered(c.active)
	k.end(c, StepFailed, &Refusal{
		Reason:     ReasonDeadlinePassed,
		Problem:    api.ProblemDeadline,
		Detail:     "the deadline passed before the whole answer was there",
		RetryAfter: k.retryAfter(c.request),
	})
}

// end ends a call without a complete answer. The outcome is api.NotRun only if
// no stage can have run.
func (k *Kernel) end(c *call, step Step, r *Refusal) {
	outcome := api.NotRun
	if c.mayHaveRun || c.started() || c.prefill != nil {
		outcome = api.Unknown
	}
	problem := api.NewProblem(r.Problem, outcome, r.Detail).WithRetryAfter(r.RetryAfter)
	problem.RequestID = string(c.request.ID)
	problem.BundleVersion = k.catalog.version
	k.finish(c, Answer{Request: c.request.ID, Outcome: outcome, Problem: problem},
		Record{Step: step, Reason: r.Reason, RetryAfter: r.RetryAfter})
}

// finish releases all resources of a call and emits its final answer.
func (k *Kernel) finish(c *call, a Answer, rec Record) {
	k.dequeue(c)
	k.releaseRun(c)
	k.dropKept(c)
	delete(k.calls, c.request.ID)
	for _, check := range c.admitted {
		check.Finished(c.request, a.Outcome)
	}
	k.dirty = true
	k.emit(a)
	rec.Outcome = a.Outcome
	rec.Offset = c.delivered
	k.log(c, rec)
}

// log fills in the common fields of a decision record, passes it to the
// observers and emits it.
func (k *Kernel) log(c *call, rec Record) {
	r := c.request
	rec.Time = k.now
	rec.Request = r.ID
	rec.Workspace = r.Workspace
	rec.Kind = r.Kind
	rec.Waited = max(k.now.Sub(r.Arrived), 0)
	rec.QueueLength = k.queueLength()
	rec.BundleVersion = k.catalog.version
	if c.origin != nil {
		rec.SoftwareVersion = c.origin.softwareVersion
	}
	rec.ViewAge = min(rec.ViewAge, maxViewAge)
	for _, o := range k.policy.observers {
		o.Observe(r, rec)
	}
	k.emit(Log{Record: rec})
}

// maxViewAge is the largest ViewAge in a decision record. It is reported for an
// upstream that has never reported its load.
const maxViewAge = time.Hour
