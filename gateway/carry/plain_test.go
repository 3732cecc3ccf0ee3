package carry

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
)

// once requests must not run twice, often requests may run on two upstreams.
var (
	once  = routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1}
	often = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}
)

// fateOf returns the outcome that an *Error reports, and fails the test for any other error.
func fateOf(t *testing.T, err error) Fate {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Fate
}

func TestAnswerIsPassedOn(t *testing.T) {
	b := newBed(t, slack, plainUps("x")...)
	a, err := b.Plain(t.Context(), job(once))
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "x")
	assert.Equal(t, a.Header.Get("X-From"), "x")
}

// TestMayHaveRunIsNotSentAgain checks that a request that must not run twice is never sent again
// once any byte of it was sent, whatever ended the attempt, and that the caller is not told that
// it did not run.
func TestMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, r := range map[string]reply{
		"interrupted":    {err: broken},
		"invalid answer": {verdict: dialect.Invalid, status: 200},
		"truncated body": {verdict: dialect.Success, status: 200, body: "ha", breaks: true},
		"upstream's 503": {verdict: dialect.Failure, status: 503},
		"upstream's 429": {verdict: dialect.Failure, status: 429},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, slack, plainUps("x", "y")...)
			b.d.do["x"], b.d.do["y"] = []reply{r}, []reply{r}
			_, err := b.Plain(t.Context(), job(once))
			assert.Equal(t, fateOf(t, err), Unknown)
			assert.Equal(t, b.d.countKind("do"), 1)
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
		"no connection":  {err: notSent},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, slack, plainUps("x", "y")...)
			b.d.do["x"], b.d.do["y"] = []reply{r}, []reply{r}
			_, err := b.Plain(t.Context(), job(once))
			assert.Equal(t, fateOf(t, err), NotRun)
			assert.Equal(t, b.d.count("do x"), 1)
			assert.Equal(t, b.d.count("do y"), 1)

			b = newBed(t, slack, plainUps("x", "y")...)
			b.d.do["x"] = []reply{r}
			for range 3 {
				a, err := b.Plain(t.Context(), job(once))
				assert.NilError(t, err)
				assert.Equal(t, string(a.Body), "y")
			}
		})
	}
}

// TestRepeatableRunsOnAtMostAsManyUpstreamsAsAllowed checks that a repeatable request is sent to
// no more upstreams than its route allows attempts.
func TestRepeatableRunsOnAtMostAsManyUpstreamsAsAllowed(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y", "z")...)
	for _, id := range []string{"x", "y", "z"} {
		b.d.do[plainUps(id)[0].ID] = []reply{{err: broken}}
	}
	_, err := b.Plain(t.Context(), job(often))
	assert.Equal(t, fateOf(t, err), Unknown)
	assert.Equal(t, b.d.countKind("do"), 2)
}

// TestUpstreamsOwnFailureIsPassedOn checks that an upstream's own error response is forwarded if
// no other upstream succeeds.
func TestUpstreamsOwnFailureIsPassedOn(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y")...)
	failure := reply{verdict: dialect.Failure, status: 500, body: "no"}
	b.d.do["x"], b.d.do["y"] = []reply{failure}, []reply{failure}
	a, err := b.Plain(t.Context(), job(often))
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 500)
	assert.Equal(t, b.d.countKind("do"), 2)
}

func TestNoBudgetNoRetry(t *testing.T) {
	b := newBed(t, 0, plainUps("x", "y")...)
	b.d.do["x"], b.d.do["y"] = []reply{refusal}, []reply{refusal}
	_, err := b.Plain(t.Context(), job(often))
	assert.Equal(t, fateOf(t, err), NotRun)
	assert.Equal(t, b.d.countKind("do"), 1)
}

func TestNoUpstreamIsNotRun(t *testing.T) {
	b := newBed(t, slack)
	_, err := b.Plain(t.Context(), job(once))
	assert.Equal(t, fateOf(t, err), NotRun)
}

// TestCallerGone checks that nothing is sent for a caller that has disconnected.
func TestCallerGone(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y")...)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.Plain(ctx, job(often))
	var left *AbandonedError
	assert.Assert(t, errors.As(err, &left))
	assert.Equal(t, b.d.countKind("do"), 0)
}
