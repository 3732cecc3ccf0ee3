package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// callResult is the simulated behaviour of an upstream for one call.
type callResult string

const (
	resultDone       callResult = "done"    // runs the call and answers
	resultRefused    callResult = "refused" // states that it did not run the call
	resultNotSent    callResult = "unsent"  // does not accept a connection
	resultAnswerLost callResult = "lost"    // runs the call, but the answer is lost
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
func retryLoop(results []callResult, attempts int) callSummary {
	summary := callSummary{outcome: api.Unknown}
	for _, result := range results[:min(len(results), attempts)] {
		switch result {
		case resultDone:
			summary.runs++
			summary.outcome = api.Complete
			return summary
		case resultAnswerLost:
			summary.runs++
		}
	}
	return summary
}

// runOnKernel runs a call on a kernel whose upstreams behave as given by results.
func runOnKernel(t *testing.T, results []callResult, repeatable bool) callSummary {
	s := newSession(t)
	r := s.confirm("c")
	r.Repeatable = repeatable
	summary := callSummary{}
	next := 0
	pending := s.step(kernel.Arrive{Request: r})
	for summary.outcome == "" {
		var events []kernel.Event
		for _, a := range pending {
			switch a := a.(type) {
			case kernel.Answer:
				summary.outcome = a.Outcome
			case kernel.CallService:
				events = append(events, simulateCall(a, results[min(next, len(results)-1)], &summary))
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
	return summary
}

// simulateCall ends a call according to result, updates summary and returns the
// event for the kernel.
func simulateCall(a kernel.CallService, result callResult, summary *callSummary) kernel.Event {
	fail := kernel.AttemptFailed{Attempt: a.Attempt, Upstream: a.Upstream, Code: kernel.FailureConnect}
	switch result {
	case resultDone:
		summary.runs++
		return kernel.AttemptDone{Attempt: a.Attempt}
	case resultRefused:
		fail.Evidence, fail.Code = kernel.Refused, kernel.FailureCapacity
	case resultNotSent:
		fail.Evidence = kernel.NotSent
	case resultAnswerLost:
		summary.runs++
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
		results := rapid.SliceOfN(rapid.SampledFrom([]callResult{resultDone, resultRefused, resultNotSent, resultAnswerLost}), 1, 6).Draw(rt, "fates")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		attempts := testContent().Policy.MaxAttempts
		want := retryLoop(results, attempts)
		got := runOnKernel(t, results, repeatable)
		if repeatable && want.outcome == api.Complete && got.outcome != api.Complete {
			rt.Fatalf("%v: the retry loop gets an answer, the kernel's outcome is %s", results, got.outcome)
		}
		if repeatable {
			return
		}
		if got.runs > 1 {
			rt.Fatalf("%v: a call that must run at most once ran %d times", results, got.runs)
		}
		if want.outcome == api.Complete && want.runs == 1 && got.outcome != api.Complete {
			rt.Fatalf("%v: the retry loop gets an answer with one run, the kernel's outcome is %s", results, got.outcome)
		}
		if (got.outcome == api.NotRun) != (got.runs == 0 && got.outcome != api.Complete) {
			rt.Fatalf("%v: the call ran %d times, the kernel's outcome is %s", results, got.runs, got.outcome)
		}
	})
}

// TestNaiveRunsTwice checks that the blind retry loop does run a call twice after
// a lost answer, so that the comparison in TestAgainstNaive is meaningful.
func TestNaiveRunsTwice(t *testing.T) {
	assert.DeepEqual(t, retryLoop([]callResult{resultAnswerLost, resultDone}, 4).runs, 2)
}
