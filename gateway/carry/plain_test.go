package carry

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
)

// Requests of atMostOnce must not run twice, those of idempotent may run on two upstreams.
var (
	atMostOnce = routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1}
	idempotent = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}
)

// outcomeOf returns the outcome that an *Error reports, and fails the test for any other error.
func outcomeOf(t *testing.T, err error) Outcome {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Outcome
}

func TestAnswerIsPassedOn(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("x")...)
	a, err := env.Plain(t.Context(), job(atMostOnce))
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "x")
	assert.Equal(t, a.Header.Get("X-From"), "x")
}

// TestMayHaveRunIsNotSentAgain checks that a request that must not run twice is never sent again
// once any byte of it was sent, whatever ended the attempt, and that the caller is not told that
// it did not run.
func TestMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, r := range map[string]reply{
		"interrupted":    {err: errInterrupted},
		"invalid answer": {verdict: dialect.Invalid, status: 200},
		"truncated body": {verdict: dialect.Success, status: 200, body: "ha", breaks: true},
		"upstream's 503": {verdict: dialect.Failure, status: 503},
		"upstream's 429": {verdict: dialect.Failure, status: 429},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
			env.d.do["x"], env.d.do["y"] = []reply{r}, []reply{r}
			_, err := env.Plain(t.Context(), job(atMostOnce))
			assert.Equal(t, outcomeOf(t, err), Unknown)
			assert.Equal(t, env.d.countKind("do"), 1)
		})
	}
}

// TestAttestedRefusalIsSentElsewhere checks that after a refusal which attests that nothing ran,
// even a request that must not run twice is sent to another upstream, and is reported as not run
// if all refuse.
func TestAttestedRefusalIsSentElsewhere(t *testing.T) {
	for name, r := range map[string]reply{
		"full":           refusal,
		"other upstream": {verdict: dialect.WrongUpstream, status: 421},
		"no connection":  {err: errNotSent},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
			env.d.do["x"], env.d.do["y"] = []reply{r}, []reply{r}
			_, err := env.Plain(t.Context(), job(atMostOnce))
			assert.Equal(t, outcomeOf(t, err), NotRun)
			assert.Equal(t, env.d.count("do x"), 1)
			assert.Equal(t, env.d.count("do y"), 1)

			env = newTestEnv(t, ampleBudget, plainUps("x", "y")...)
			env.d.do["x"] = []reply{r}
			for range 3 {
				a, err := env.Plain(t.Context(), job(atMostOnce))
				assert.NilError(t, err)
				assert.Equal(t, string(a.Body), "y")
			}
		})
	}
}

// TestRepeatableRunsOnAtMostAsManyUpstreamsAsAllowed checks that a repeatable request is sent to
// no more upstreams than its route allows attempts.
func TestRepeatableRunsOnAtMostAsManyUpstreamsAsAllowed(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("x", "y", "z")...)
	for _, id := range []string{"x", "y", "z"} {
		env.d.do[plainUps(id)[0].ID] = []reply{{err: errInterrupted}}
	}
	_, err := env.Plain(t.Context(), job(idempotent))
	assert.Equal(t, outcomeOf(t, err), Unknown)
	assert.Equal(t, env.d.countKind("do"), 2)
}

// TestUpstreamsOwnFailureIsPassedOn checks that an upstream's own error response is forwarded if
// no other upstream succeeds.
func TestUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
	failure := reply{verdict: dialect.Failure, status: 500, body: "no"}
	env.d.do["x"], env.d.do["y"] = []reply{failure}, []reply{failure}
	a, err := env.Plain(t.Context(), job(idempotent))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 500)
	assert.Equal(t, env.d.countKind("do"), 2)
}

func TestNoBudgetNoRetry(t *testing.T) {
	env := newTestEnv(t, 0, plainUps("x", "y")...)
	env.d.do["x"], env.d.do["y"] = []reply{refusal}, []reply{refusal}
	_, err := env.Plain(t.Context(), job(idempotent))
	assert.Equal(t, outcomeOf(t, err), NotRun)
	assert.Equal(t, env.d.countKind("do"), 1)
}

func TestNoUpstreamIsNotRun(t *testing.T) {
	env := newTestEnv(t, ampleBudget)
	_, err := env.Plain(t.Context(), job(atMostOnce))
	assert.Equal(t, outcomeOf(t, err), NotRun)
}

// TestCallerGone checks that nothing is sent for a caller that has disconnected.
func TestCallerGone(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := env.Plain(ctx, job(idempotent))
	var left *AbandonedError
	assert.Assert(t, errors.As(err, &left))
	assert.Equal(t, env.d.countKind("do"), 0)
}
