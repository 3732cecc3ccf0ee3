package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// fate is the simulated behaviour of an upstream for one call.
type fate string

const (
	fateDone    fate = "done"    // runs the call and answers
	fateRefused fate = "refused" // states that it did not run the call
	fateUnsent  fate = "unsent"  // does not accept a connection
	fateLost    fate = "lost"    // runs the call, but the answer is lost
)

// callSummary is the outcome of a call of a plain service and the number of
// times it ran.
type callSummary struct {
	outcome api.Outcome
	runs    int
}

// retryLoop is the reference implementation, a blind retry loop: it tries
// upstreams one after the other until one answers. If none does, the outcome is
// unknown.
func retryLoop(fates []fate, attempts int) callSummary {
	v := callSummary{outcome: api.Unknown}
	for _, f := range fates[:min(len(fates), attempts)] {
		switch f {
		case fateDone:
			v.runs++
			v.outcome = api.Complete
			return v
		case fateLost:
			v.runs++
		}
	}
	return v
}

// runOnKernel runs a call on a kernel whose upstreams behave as given by fates.
func runOnKernel(t *testing.T, fates []fate, repeatable bool) callSummary {
	s := newSession(t)
	r := s.confirm("c")
	r.Repeatable = repeatable
	v := callSummary{}
	next := 0
	pending := s.step(kernel.Arrive{Request: r})
	for v.outcome == "" {
		var events []kernel.Event
		for _, a := range pending {
			switch a := a.(type) {
			case kernel.Answer:
				v.outcome = a.Outcome
			case kernel.CallService:
				events = append(events, simulateCall(a, fates[min(next, len(fates)-1)], &v))
				next++
			}
		}
		pending = nil
		for _, ev := range events {
			pending = append(pending, s.step(ev)...)
		}
		if len(events) == 0 {
			s.now = s.now.Add(10 * time.Millisecond)
			pending = s.step(kernel.Tick{})
		}
	}
	return v
}

// simulateCall ends a call according to f, updates v and returns the event for
// the kernel.
func simulateCall(a kernel.CallService, f fate, v *callSummary) kernel.Event {
	fail := kernel.AttemptFailed{Attempt: a.Attempt, Upstream: a.Upstream, Code: kernel.FailureConnect}
	switch f {
	case fateDone:
		v.runs++
		return kernel.AttemptDone{Attempt: a.Attempt}
	case fateRefused:
		fail.Evidence, fail.Code = kernel.Refused, kernel.FailureCapacity
	case fateUnsent:
		fail.Evidence = kernel.NotSent
	case fateLost:
		v.runs++
		fail.Evidence, fail.Code = kernel.Ambiguous, kernel.FailureBroken
	}
	return fail
}

// TestAgainstNaive compares the kernel with the blind retry loop. A repeatable
// call must be answered whenever the loop gets an answer. A call that must run at
// most once must be answered whenever the loop gets an answer with a single run,
// must never run twice, and must end with the outcome not-run exactly if it did
// not run.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{fateDone, fateRefused, fateUnsent, fateLost}), 1, 6).Draw(rt, "fates")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		attempts := testContent().Policy.MaxAttempts
		want := retryLoop(fates, attempts)
		got := runOnKernel(t, fates, repeatable)
		if repeatable && want.outcome == api.Complete && got.outcome != api.Complete {
			rt.Fatalf("%v: the retry loop gets an answer, the kernel's outcome is %s", fates, got.outcome)
		}
		if repeatable {
			return
		}
		if got.runs > 1 {
			rt.Fatalf("%v: a call that must run at most once ran %d times", fates, got.runs)
		}
		if want.outcome == api.Complete && want.runs == 1 && got.outcome != api.Complete {
			rt.Fatalf("%v: the retry loop gets an answer with one run, the kernel's outcome is %s", fates, got.outcome)
		}
		if (got.outcome == api.NotRun) != (got.runs == 0 && got.outcome != api.Complete) {
			rt.Fatalf("%v: the call ran %d times, the kernel's outcome is %s", fates, got.runs, got.outcome)
		}
	})
}

// TestNaiveRunsTwice checks that the blind retry loop does run a call twice after
// a lost answer, so that the comparison in TestAgainstNaive is meaningful.
func TestNaiveRunsTwice(t *testing.T) {
	assert.DeepEqual(t, retryLoop([]fate{fateLost, fateDone}, 4).runs, 2)
}
