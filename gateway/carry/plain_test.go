package carry

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
)

var (
	once  = routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1}
	often = routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}
)

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

// TestMayHaveRunIsNotSentAgain: whatever ended a request that must not run twice,
// once a byte of it went out it is never sent again, and the caller isn't told
// that it did not run.
func TestMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, r := range map[string]reply{
		"broken off":      {err: broken},
		"no answer of it": {verdict: dialect.Invalid, status: 200},
		"cut body":        {verdict: dialect.Success, status: 200, body: "ha", breaks: true},
		"own 503":         {verdict: dialect.Failure, status: 503},
		"own 429":         {verdict: dialect.Failure, status: 429},
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

// TestAttestedRefusalIsSentElsewhere: nothing ran, so that even a request that must
// not run twice may try another upstream, and is not-run if all refuse.
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

// TestRepeatableRunsOnAtMostAsManyUpstreamsAsAllowed.
func TestRepeatableRunsOnAtMostAsManyUpstreamsAsAllowed(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y", "z")...)
	for _, id := range []string{"x", "y", "z"} {
		b.d.do[plainUps(id)[0].ID] = []reply{{err: broken}}
	}
	_, err := b.Plain(t.Context(), job(often))
	assert.Equal(t, fateOf(t, err), Unknown)
	assert.Equal(t, b.d.countKind("do"), 2)
}

// TestUpstreamsOwnFailureIsPassedOn when no other upstream does better.
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

// TestCallerGone: nothing is sent for a caller that has left.
func TestCallerGone(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y")...)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.Plain(ctx, job(often))
	var left *AbandonedError
	assert.Assert(t, errors.As(err, &left))
	assert.Equal(t, b.d.countKind("do"), 0)
}
