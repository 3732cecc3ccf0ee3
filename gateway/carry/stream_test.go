package carry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Streams of singleRun may run once, those of resumable may continue at a second engine.
var (
	singleRun = routing.Route{Kind: routing.Stream, MaxAttempts: 1}
	resumable = routing.Route{Kind: routing.Stream, MaxAttempts: 2, Resumable: true}
)

// newStreamEnv returns a test environment with two prefill and two decode engines.
func newStreamEnv(t *testing.T) *testEnv {
	return newTestEnv(t, ampleBudget, engineUps([]string{"p1", "p2"}, []string{"d1", "d2"})...)
}

// serveStreams makes the decode engines answer with r.
func (env *testEnv) serveStreams(r reply) {
	env.d.do["d1"], env.d.do["d2"] = []reply{r}, []reply{r}
}

// TestStreamIsReservedPrefilledDecoded checks that reservation, prefill and decode are called
// once each, in this order.
func TestStreamIsReservedPrefilledDecoded(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(singleRun), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 5))
	assert.Equal(t, len(env.d.calls), 3)
	for i, kind := range []string{"hold", "prefill", "do"} {
		assert.Assert(t, env.d.calls[i][:len(kind)] == kind, "%v", env.d.calls)
	}
	assert.Equal(t, env.d.sends[0].Reservation, "r")
	assert.Assert(t, env.d.sends[0].Source != nil)
}

// TestBrokenStreamDoesNotLookComplete checks that an interrupted stream does not look complete
// to the caller and is not run again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 3) + "id: 4\nda", breaks: true})
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(singleRun), &got)
	var interrupted *InterruptedError
	assert.Assert(t, errors.As(err, &interrupted), "%v", err)
	assert.Equal(t, got.body.String(), events(1, 3), "want complete events only")
	assert.Equal(t, env.d.countKind("do"), 1)
}

// TestResumableStreamGoesOn checks that an interrupted stream continues at another engine after
// the last complete event, under the response head of the first engine.
func TestResumableStreamGoesOn(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 3) + "id: 4\nda", breaks: true})
	j := job(resumable)
	var got streamRecorder
	first := true
	env.d.mu.Lock()
	for _, id := range []string{"d1", "d2"} {
		u := plainUps(id)[0].ID
		env.d.do[u] = []reply{env.d.do[u][0]}
	}
	env.d.mu.Unlock()
	env.o.Count = func(name string) {
		if name == "stream_restarted" && first {
			first = false
			env.d.mu.Lock()
			defer env.d.mu.Unlock()
			rest := reply{verdict: dialect.Success, status: 200, body: events(4, 6)}
			env.d.do["d1"], env.d.do["d2"] = []reply{rest}, []reply{rest}
		}
	}
	_, err := env.Stream(t.Context(), j, &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 6))
	assert.Equal(t, got.heads, 1)
	assert.Equal(t, len(env.d.sends), 2)
	assert.Equal(t, env.d.sends[1].LastEvent, "3")
	assert.Assert(t, env.d.sends[0].To.ID != env.d.sends[1].To.ID)
	assert.Equal(t, got.from, string(env.d.sends[0].To.ID))
}

// TestRefusedDecodeKeepsThePrefillResult checks that the second engine is offered the prefill
// result that the first one rejected, that nothing is computed twice, and that the engine at
// fault is passed over afterwards.
func TestRefusedDecodeKeepsThePrefillResult(t *testing.T) {
	env := newStreamEnv(t)
	env.d.do["d1"] = []reply{refusal}
	env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	for range 6 {
		var got streamRecorder
		_, err := env.Stream(t.Context(), job(singleRun), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 2))
	}
	env.Close()
	assert.Equal(t, env.d.countKind("prefill"), 6)
	assert.Equal(t, env.d.count("do d1"), 1)
	assert.Equal(t, env.d.count("release d1"), 1)
}

// TestLapsedPrefillResultIsComputedElsewhere checks that the prefill engine is considered at
// fault if two decode engines cannot fetch its result.
func TestLapsedPrefillResultIsComputedElsewhere(t *testing.T) {
	env := newStreamEnv(t)
	good := reply{verdict: dialect.Success, status: 200, body: events(1, 2)}
	env.d.do["d1"], env.d.do["d2"] = []reply{refusal, good}, []reply{refusal, good}
	// Both decode engines reject this request, so a third one is needed.
	env.view.Upstreams["s"] = engineUps([]string{"p1", "p2"}, []string{"d1", "d2", "d3"})
	env.d.do["d3"] = []reply{good}
	env.d.reserve["d3"] = []error{&dialect.NoCapacityError{}, &dialect.NoCapacityError{}, nil}
	var got streamRecorder
	_, err := env.Stream(t.Context(), job(singleRun), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 2))
	env.Close()
	assert.Equal(t, env.d.count("prefill p1"), 1)
	assert.Equal(t, env.d.count("prefill p2"), 1)
	assert.Equal(t, env.d.countKind("free"), 1)
}

// TestNothingIsComputedWithoutRoom checks that a request for which no engine has room is refused
// when it cannot be on time any more, before anything was computed.
func TestNothingIsComputedWithoutRoom(t *testing.T) {
	env := newStreamEnv(t)
	env.d.reserve["d1"], env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}}, []error{&dialect.NoCapacityError{}}
	j := job(singleRun)
	j.Route.Objective = 50 * time.Millisecond
	_, err := env.Stream(t.Context(), j, &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), NotRun)
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Assert(t, e.RetryAfter > 0)
	assert.Equal(t, env.d.countKind("prefill"), 0)
	assert.Equal(t, env.d.countKind("do"), 0)
}

// TestFailedPrefillIsTriedElsewhere checks that a failed prefill is repeated at another engine,
// because a prefill never runs the request.
func TestFailedPrefillIsTriedElsewhere(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	env.d.prefill["p1"] = []error{errInterrupted}
	for range 4 {
		_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
		assert.NilError(t, err)
	}
	assert.Assert(t, env.d.count("prefill p1") <= 2, "%v", env.d.calls)
}

// TestSentStreamIsNotSentAgain checks that a stream that cannot be resumed and may have run is
// not sent again, and is reported as such.
func TestSentStreamIsNotSentAgain(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{err: errInterrupted})
	_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), Unknown)
	assert.Equal(t, env.d.countKind("do"), 1)
}

// TestUnsentStreamGivesUpWhatItReserved checks that a stream that could not be sent releases its
// reservation and prefill result, and may be sent to another engine.
func TestUnsentStreamGivesUpWhatItReserved(t *testing.T) {
	env := newStreamEnv(t)
	env.d.do["d1"] = []reply{{err: &adapter.CallError{Evidence: kernel.NotSent, Err: context.DeadlineExceeded}}}
	env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	for range 4 {
		_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
		assert.NilError(t, err)
	}
	env.Close()
	assert.Equal(t, env.d.count("release d1"), env.d.count("do d1"))
	assert.Equal(t, env.d.countKind("free"), env.d.count("do d1"))
}

// TestDecodeWithoutPrefillEngines checks that without prefill engines the decode engine computes
// the prompt.
func TestDecodeWithoutPrefillEngines(t *testing.T) {
	env := newTestEnv(t, ampleBudget, engineUps(nil, []string{"d1"})...)
	env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
	assert.NilError(t, err)
	assert.Assert(t, env.d.sends[0].Source == nil)
}

// TestWaitingInLine checks that a waiting request uses capacity that becomes available in time.
func TestWaitingInLine(t *testing.T) {
	env := newStreamEnv(t)
	full := &dialect.NoCapacityError{}
	env.d.reserve["d1"], env.d.reserve["d2"] = []error{full, full, full, nil}, []error{full}
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.count("do d1"), 1)
}

func TestLastEventEnd(t *testing.T) {
	for text, want := range map[string]int{
		"": 0, "id: 1\n": 0, "id: 1\n\n": 7, "a\n\nb": 3, "a\n\nb\n\nc": 6,
		"\n": 0, "a\r\n": 0, "a\r\nb\r\n": 0, "a\r\n\r\n": 5, "a\r\n\r\nb\r\n": 5, "a\r\rb": 3, "a\n\r\nb": 4, "a\r\n\n": 4, "a\r\n\r": 0,
		"a\r\n\rb": 4, "a\n\r": 0, "a\r\r": 3, "a\r\n\r\nb\r\n\r": 5, "a\r\n\r\nb\r\n\r\n": 10,
	} {
		assert.Equal(t, lastEventEnd([]byte(text)), want, "%q", text)
	}
}

// TestBusyPrefillEnginesKeepRequestsInLine checks that nothing is reserved, and the request is
// refused at once, if the prefill engines have more work queued than the objective allows.
func TestBusyPrefillEnginesKeepRequestsInLine(t *testing.T) {
	env := newStreamEnv(t)
	for range 2 {
		_, ok := env.o.Scheduler.PlacePrefill(time.Now(), env.view.Upstreams["s"], 1<<20, "a", nil)
		assert.Assert(t, ok)
	}
	j := job(singleRun)
	j.Route.Objective = time.Second
	_, err := env.Stream(t.Context(), j, &streamRecorder{})
	assert.Assert(t, time.Since(j.Arrived) < 500*time.Millisecond, "the request was not refused at once although it could not be on time")
	assert.Equal(t, outcomeOf(t, err), NotRun)
	assert.Equal(t, env.d.countKind("hold"), 0)
}

// TestBusyPrefillEnginesAreRelieved checks that a decode engine that is assigned to this
// instance computes the prompt, and one that is assigned to a peer does not.
func TestBusyPrefillEnginesAreRelieved(t *testing.T) {
	for _, assigned := range []bool{true, false} {
		env := newStreamEnv(t)
		for range 2 {
			_, ok := env.o.Scheduler.PlacePrefill(time.Now(), env.view.Upstreams["s"], 1<<20, "a", nil)
			assert.Assert(t, ok)
		}
		env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
		env.o.Scheduler.SetOverflow(map[ident.UpstreamID]bool{"d1": assigned})
		j := job(singleRun)
		j.Route.Objective = time.Second
		_, err := env.Stream(t.Context(), j, &streamRecorder{})
		assert.Equal(t, err == nil, assigned)
		assert.Equal(t, env.d.countKind("prefill"), 0)
		if assigned {
			assert.Equal(t, env.d.countKind("hold"), 1)
		}
	}
}

// TestBusyPrefillEngineIsNotEjected checks that an engine that answers other requests while a
// prefill times out is treated as busy, and one that sends nothing as unreachable.
func TestBusyPrefillEngineIsNotEjected(t *testing.T) {
	for _, answers := range []bool{true, false} {
		env := newStreamEnv(t)
		s := &stream{c: env.Forwarder, j: job(singleRun), log: env.o.Log}
		u := env.view.Upstreams["s"][0]
		start := time.Now()
		if answers {
			env.o.Scheduler.RecordSuccess(start.Add(time.Millisecond), u, time.Millisecond)
		}
		s.recordPrefill(u, context.DeadlineExceeded, start, time.Second)
		wait, _ := env.o.Scheduler.PrefillWait(start, env.view.Upstreams["s"][:1], 100)
		assert.Equal(t, wait > 0, answers)
	}
}

// TestKeptResultIsFreed checks that a prefill result that is retained for a second decode engine
// is released if none has room in time.
func TestKeptResultIsFreed(t *testing.T) {
	env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
	env.d.do["d1"] = []reply{refusal}
	j := job(singleRun)
	j.Route.Objective = 2 * time.Second
	_, err := env.Stream(t.Context(), j, &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), NotRun)
	env.Close()
	assert.Equal(t, env.d.countKind("free"), 1)
}

// TestMisdirectedPrefillEngineIsLeftAlone checks that a prefill engine which answers that it is
// another one, or of another stage, is asked only once, and that the decode engine computes the
// prompts meanwhile.
func TestMisdirectedPrefillEngineIsLeftAlone(t *testing.T) {
	env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
	env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	env.d.prefill["p1"] = []error{&adapter.CallError{Evidence: kernel.Refused, Status: http.StatusMisdirectedRequest}}
	for range 3 {
		_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
		assert.NilError(t, err)
	}
	assert.Equal(t, env.d.count("prefill p1"), 1)
	assert.Equal(t, env.d.count("do d1"), 3)
}

// TestReplacedServiceUpstreamIsAskedOnce checks that an address that answers as another
// incarnation gets no more requests meant for the previous one.
func TestReplacedServiceUpstreamIsAskedOnce(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
	env.d.do["x"] = []reply{{verdict: dialect.WrongUpstream, status: http.StatusMisdirectedRequest}}
	env.d.do["y"] = []reply{{verdict: dialect.Success, status: 200}}
	for range 10 {
		_, err := env.Plain(t.Context(), job(routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1}))
		assert.NilError(t, err)
	}
	assert.Assert(t, env.d.count("do x") <= 1)
	assert.Equal(t, env.d.count("do y"), 10)
}

// TestLivingPrefillEngineIsLeftItsTime checks that a prefill is not canceled while the first
// event can still be on time, and that the limit is later if the engine is expected to take
// longer.
func TestLivingPrefillEngineIsLeftItsTime(t *testing.T) {
	env := newStreamEnv(t)
	s := &stream{c: env.Forwarder, j: job(singleRun), log: env.o.Log}
	s.j.Route.Objective = 2 * time.Second
	first := env.o.Scheduler.FirstEvent("s")
	assert.Equal(t, s.prefillTimeout(s.j.Arrived.Add(300*time.Millisecond), 10*time.Millisecond), 1700*time.Millisecond-first)
	assert.Equal(t, s.prefillTimeout(s.j.Arrived.Add(1900*time.Millisecond), 10*time.Millisecond), minPrefillTimeout)
	assert.Equal(t, s.prefillTimeout(s.j.Arrived, time.Second), 4*time.Second)
}

// TestEngineThatFailsAtOnceIsNoSink guards against an engine that answers streams with errors of
// its own and thereby attracts more: it holds nothing, so it always has the most free memory.
// Without the guard, every stream that arrives while others run is sent to it; with it, at most
// two of twenty are.
func TestEngineThatFailsAtOnceIsNoSink(t *testing.T) {
	env := newStreamEnv(t)
	env.d.do["d1"] = []reply{{verdict: dialect.Failure, status: 500, body: "failed"}}
	env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 5)}}
	failed := 0
	for range 20 {
		var got streamRecorder
		a, err := env.Stream(t.Context(), job(singleRun), &got)
		assert.NilError(t, err)
		if a != nil {
			failed++
		}
	}
	assert.Assert(t, failed <= 2, "%d", failed)
	assert.Equal(t, env.d.count("do d1"), failed)
}
