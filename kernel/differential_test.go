package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// fate is what an upstream does with one call.
type fate string

const (
	fateDone    fate = "done"    // runs it and answers
	fateRefused fate = "refused" // attests that it did not run it
	fateUnsent  fate = "unsent"  // cannot be connected to
	fateLost    fate = "lost"    // runs it, the answer is lost
)

// verdict is how a call of a plain service ended and how often it ran.
type verdict struct {
	outcome api.Outcome
	runs    int
}

// naive is the reference: it tries upstreams one after the other until one
// answers, as a blind retry loop does, and calls everything else unknown.
func naive(fates []fate, attempts int) verdict {
	v := verdict{outcome: api.Unknown}
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

// kernelVerdict plays the same fates to the kernel.
func kernelVerdict(t *testing.T, fates []fate, repeatable bool) verdict {
	s := newSession(t)
	r := s.confirm("c")
	r.Repeatable = repeatable
	v := verdict{}
	next := 0
	pending := s.step(kernel.Arrive{Request: r})
	for v.outcome == "" {
		var events []kernel.Event
		for _, a := range pending {
			switch a := a.(type) {
			case kernel.Answer:
				v.outcome = a.Outcome
			case kernel.CallService:
				events = append(events, playFate(a, fates[min(next, len(fates)-1)], &v))
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

func playFate(a kernel.CallService, f fate, v *verdict) kernel.Event {
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
// call must be answered whenever the loop has it answered. A call that must run
// at most once must be answered whenever the loop has it answered with one run,
// must never run twice where the loop does, and must be called not-run exactly
// when it did not run.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{fateDone, fateRefused, fateUnsent, fateLost}), 1, 6).Draw(rt, "fates")
		repeatable := rapid.Bool().Draw(rt, "repeatable")
		attempts := testContent().Policy.MaxAttempts
		want := naive(fates, attempts)
		got := kernelVerdict(t, fates, repeatable)
		if repeatable && want.outcome == api.Complete && got.outcome != api.Complete {
			rt.Fatalf("%v: the blind loop answers, the kernel says %s", fates, got.outcome)
		}
		if repeatable {
			return
		}
		if got.runs > 1 {
			rt.Fatalf("%v: ran %d times", fates, got.runs)
		}
		if want.outcome == api.Complete && want.runs == 1 && got.outcome != api.Complete {
			rt.Fatalf("%v: one run would have answered, the kernel says %s", fates, got.outcome)
		}
		if (got.outcome == api.NotRun) != (got.runs == 0 && got.outcome != api.Complete) {
			rt.Fatalf("%v: ran %d times, the kernel says %s", fates, got.runs, got.outcome)
		}
	})
}

// TestNaiveRunsTwice shows that the reference does break the promise.
func TestNaiveRunsTwice(t *testing.T) {
	assert.DeepEqual(t, naive([]fate{fateLost, fateDone}, 4).runs, 2)
}
