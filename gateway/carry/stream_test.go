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

// stream1 streams may run once, resumable ones may continue at a second engine.
var (
	stream1   = routing.Route{Kind: routing.Stream, MaxAttempts: 1}
	resumable = routing.Route{Kind: routing.Stream, MaxAttempts: 2, Resumable: true}
)

// streamBed returns a bed with two prefill and two decode engines.
func streamBed(t *testing.T) *bed {
	return newBed(t, slack, engineUps([]string{"p1", "p2"}, []string{"d1", "d2"})...)
}

// serveStreams makes the decode engines answer with r.
func (b *bed) serveStreams(r reply) {
	b.d.do["d1"], b.d.do["d2"] = []reply{r}, []reply{r}
}

// TestStreamIsReservedPrefilledDecoded checks that reservation, prefill and decode are called
// once each, in this order.
func TestStreamIsReservedPrefilledDecoded(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
	var got sink
	_, err := b.Stream(t.Context(), job(stream1), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 5))
	assert.Equal(t, len(b.d.calls), 3)
	for i, kind := range []string{"hold", "prefill", "do"} {
		assert.Assert(t, b.d.calls[i][:len(kind)] == kind, "%v", b.d.calls)
	}
	assert.Equal(t, b.d.sends[0].Hold, "r")
	assert.Assert(t, b.d.sends[0].Source != nil)
}

// TestBrokenStreamDoesNotLookComplete checks that an interrupted stream does not look complete
// to the caller and is not run again.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 3) + "id: 4\nda", breaks: true})
	var got sink
	_, err := b.Stream(t.Context(), job(stream1), &got)
	var off *BrokenOffError
	assert.Assert(t, errors.As(err, &off), "%v", err)
	assert.Equal(t, got.body.String(), events(1, 3), "want complete events only")
	assert.Equal(t, b.d.countKind("do"), 1)
}

// TestResumableStreamGoesOn checks that an interrupted stream continues at another engine after
// the last complete event, under the response head of the first engine.
func TestResumableStreamGoesOn(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 3) + "id: 4\nda", breaks: true})
	j := job(resumable)
	var got sink
	first := true
	b.d.mu.Lock()
	for _, id := range []string{"d1", "d2"} {
		u := plainUps(id)[0].ID
		b.d.do[u] = []reply{b.d.do[u][0]}
	}
	b.d.mu.Unlock()
	b.o.Count = func(name string) {
		if name == "stream_restarted" && first {
			first = false
			b.d.mu.Lock()
			defer b.d.mu.Unlock()
			rest := reply{verdict: dialect.Success, status: 200, body: events(4, 6)}
			b.d.do["d1"], b.d.do["d2"] = []reply{rest}, []reply{rest}
		}
	}
	_, err := b.Stream(t.Context(), j, &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 6))
	assert.Equal(t, got.heads, 1)
	assert.Equal(t, len(b.d.sends), 2)
	assert.Equal(t, b.d.sends[1].LastEvent, "3")
	assert.Assert(t, b.d.sends[0].To.ID != b.d.sends[1].To.ID)
	assert.Equal(t, got.from, string(b.d.sends[0].To.ID))
}

// TestRefusedDecodeKeepsThePrefillResult checks that the second engine is offered the prefill
// result that the first one refused, that nothing is computed twice, and that the engine at
// fault is passed over afterwards.
func TestRefusedDecodeKeepsThePrefillResult(t *testing.T) {
	b := streamBed(t)
	b.d.do["d1"] = []reply{refusal}
	b.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	for range 6 {
		var got sink
		_, err := b.Stream(t.Context(), job(stream1), &got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 2))
	}
	b.Close()
	assert.Equal(t, b.d.countKind("prefill"), 6)
	assert.Equal(t, b.d.count("do d1"), 1)
	assert.Equal(t, b.d.count("release d1"), 1)
}

// TestLapsedPrefillResultIsComputedElsewhere checks that the prefill engine is considered at
// fault if two decode engines cannot fetch its result.
func TestLapsedPrefillResultIsComputedElsewhere(t *testing.T) {
	b := streamBed(t)
	good := reply{verdict: dialect.Success, status: 200, body: events(1, 2)}
	b.d.do["d1"], b.d.do["d2"] = []reply{refusal, good}, []reply{refusal, good}
	// Both decode engines refuse this request, so a third one is needed.
	b.view.Upstreams["s"] = engineUps([]string{"p1", "p2"}, []string{"d1", "d2", "d3"})
	b.d.do["d3"] = []reply{good}
	b.d.hold["d3"] = []error{&dialect.FullError{}, &dialect.FullError{}, nil}
	var got sink
	_, err := b.Stream(t.Context(), job(stream1), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 2))
	b.Close()
	assert.Equal(t, b.d.count("prefill p1"), 1)
	assert.Equal(t, b.d.count("prefill p2"), 1)
	assert.Equal(t, b.d.countKind("free"), 1)
}

// TestNothingIsComputedWithoutRoom checks that a request for which no engine has room is refused
// when it cannot be on time any more, before anything was computed.
func TestNothingIsComputedWithoutRoom(t *testing.T) {
	b := streamBed(t)
	b.d.hold["d1"], b.d.hold["d2"] = []error{&dialect.FullError{}}, []error{&dialect.FullError{}}
	j := job(stream1)
	j.Route.Objective = 50 * time.Millisecond
	_, err := b.Stream(t.Context(), j, &sink{})
	assert.Equal(t, fateOf(t, err), NotRun)
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Assert(t, e.RetryAfter > 0)
	assert.Equal(t, b.d.countKind("prefill"), 0)
	assert.Equal(t, b.d.countKind("do"), 0)
}

// TestFailedPrefillIsTriedElsewhere checks that a failed prefill is repeated at another engine,
// because a prefill never runs the request.
func TestFailedPrefillIsTriedElsewhere(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	b.d.prefill["p1"] = []error{broken}
	for range 4 {
		_, err := b.Stream(t.Context(), job(stream1), &sink{})
		assert.NilError(t, err)
	}
	assert.Assert(t, b.d.count("prefill p1") <= 2, "%v", b.d.calls)
}

// TestSentStreamIsNotSentAgain checks that a stream that cannot be resumed and may have run is
// not sent again, and is reported as such.
func TestSentStreamIsNotSentAgain(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{err: broken})
	_, err := b.Stream(t.Context(), job(stream1), &sink{})
	assert.Equal(t, fateOf(t, err), Unknown)
	assert.Equal(t, b.d.countKind("do"), 1)
}

// TestUnsentStreamGivesUpWhatItReserved checks that a stream that could not be sent releases its
// reservation and prefill result, and may be sent to another engine.
func TestUnsentStreamGivesUpWhatItReserved(t *testing.T) {
	b := streamBed(t)
	b.d.do["d1"] = []reply{{err: &adapter.CallError{Evidence: kernel.NotSent, Err: context.DeadlineExceeded}}}
	b.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	for range 4 {
		_, err := b.Stream(t.Context(), job(stream1), &sink{})
		assert.NilError(t, err)
	}
	b.Close()
	assert.Equal(t, b.d.count("release d1"), b.d.count("do d1"))
	assert.Equal(t, b.d.countKind("free"), b.d.count("do d1"))
}

// TestDecodeWithoutPrefillEngines checks that without prefill engines the decode engine computes
// the prompt.
func TestDecodeWithoutPrefillEngines(t *testing.T) {
	b := newBed(t, slack, engineUps(nil, []string{"d1"})...)
	b.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	_, err := b.Stream(t.Context(), job(stream1), &sink{})
	assert.NilError(t, err)
	assert.Assert(t, b.d.sends[0].Source == nil)
}

// TestWaitingInLine checks that a waiting request uses capacity that becomes available in time.
func TestWaitingInLine(t *testing.T) {
	b := streamBed(t)
	full := &dialect.FullError{}
	b.d.hold["d1"], b.d.hold["d2"] = []error{full, full, full, nil}, []error{full}
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	_, err := b.Stream(t.Context(), job(stream1), &sink{})
	assert.NilError(t, err)
	assert.Equal(t, b.d.count("do d1"), 1)
}

func TestLineKeepsOrder(t *testing.T) {
	l := &line{}
	now := time.Now()
	resumed := l.join(1, true, now.Add(-time.Second))
	late := l.join(1, false, now.Add(time.Second))
	early := l.join(1, false, now)
	urgent := l.join(0, false, now.Add(2*time.Second))
	for _, w := range []*waiter{urgent, early, late, resumed} {
		assert.Assert(t, l.first(w))
		l.leave(w)
	}
	assert.Equal(t, l.length(), 0)
}

func TestLastEventEnd(t *testing.T) {
	for text, want := range map[string]int{"": 0, "id: 1\n": 0, "id: 1\n\n": 7, "a\n\nb": 3, "a\n\nb\n\nc": 6} {
		assert.Equal(t, lastEventEnd([]byte(text)), want, "%q", text)
	}
}

// TestBusyPrefillEnginesKeepRequestsInLine checks that nothing is reserved, and the request is
// refused at once, if the prefill engines have more work queued than the objective allows.
func TestBusyPrefillEnginesKeepRequestsInLine(t *testing.T) {
	b := streamBed(t)
	for range 2 {
		_, ok := b.o.Books.PlacePrefill(time.Now(), b.view.Upstreams["s"], 1<<20, "a", nil)
		assert.Assert(t, ok)
	}
	j := job(stream1)
	j.Route.Objective = time.Second
	_, err := b.Stream(t.Context(), j, &sink{})
	assert.Assert(t, time.Since(j.Arrived) < 500*time.Millisecond, "the request was not refused at once although it could not be on time")
	assert.Equal(t, fateOf(t, err), NotRun)
	assert.Equal(t, b.d.countKind("hold"), 0)
}

// TestBusyPrefillEnginesAreRelieved checks that a decode engine that is assigned to this
// instance computes the prompt, and one that is assigned to a peer does not.
func TestBusyPrefillEnginesAreRelieved(t *testing.T) {
	for _, falls := range []bool{true, false} {
		b := streamBed(t)
		for range 2 {
			_, ok := b.o.Books.PlacePrefill(time.Now(), b.view.Upstreams["s"], 1<<20, "a", nil)
			assert.Assert(t, ok)
		}
		b.o.Books.SetOverflow(map[ident.UpstreamID]bool{"d1": falls})
		j := job(stream1)
		j.Route.Objective = time.Second
		_, err := b.Stream(t.Context(), j, &sink{})
		assert.Equal(t, err == nil, falls)
		assert.Equal(t, b.d.countKind("prefill"), 0)
		if falls {
			assert.Equal(t, b.d.countKind("hold"), 1)
		}
	}
}

// TestBusyPrefillEngineIsNotEjected checks that an engine that answers other requests while a
// prefill times out is treated as busy, and one that sends nothing as unreachable.
func TestBusyPrefillEngineIsNotEjected(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b := streamBed(t)
		s := &stream{c: b.Carrier, j: job(stream1), log: b.o.Log}
		u := b.view.Upstreams["s"][0]
		start := time.Now()
		if answers {
			b.o.Books.Answered(start.Add(time.Millisecond), u, time.Millisecond)
		}
		s.notePrefill(u, context.DeadlineExceeded, start, time.Second)
		wait, _ := b.o.Books.PrefillWait(start, b.view.Upstreams["s"][:1], 100)
		assert.Equal(t, wait > 0, answers)
	}
}

// TestKeptResultIsFreed checks that a prefill result that is retained for a second decode engine
// is released if none has room in time.
func TestKeptResultIsFreed(t *testing.T) {
	b := newBed(t, slack, engineUps([]string{"p1"}, []string{"d1"})...)
	b.d.do["d1"] = []reply{refusal}
	j := job(stream1)
	j.Route.Objective = 2 * time.Second
	_, err := b.Stream(t.Context(), j, &sink{})
	assert.Equal(t, fateOf(t, err), NotRun)
	b.Close()
	assert.Equal(t, b.d.countKind("free"), 1)
}

// TestMisdirectedPrefillEngineIsLeftAlone checks that a prefill engine which answers that it is
// another one, or of another stage, is asked only once, and that the decode engine computes the
// prompts meanwhile.
func TestMisdirectedPrefillEngineIsLeftAlone(t *testing.T) {
	b := newBed(t, slack, engineUps([]string{"p1"}, []string{"d1"})...)
	b.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
	b.d.prefill["p1"] = []error{&adapter.CallError{Evidence: kernel.Refused, Status: http.StatusMisdirectedRequest}}
	for range 3 {
		_, err := b.Stream(t.Context(), job(stream1), &sink{})
		assert.NilError(t, err)
	}
	assert.Equal(t, b.d.count("prefill p1"), 1)
	assert.Equal(t, b.d.count("do d1"), 3)
}

// TestReplacedServiceUpstreamIsAskedOnce checks that an address that answers as another
// incarnation gets no more requests meant for the previous one.
func TestReplacedServiceUpstreamIsAskedOnce(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y")...)
	b.d.do["x"] = []reply{{verdict: dialect.WrongUpstream, status: http.StatusMisdirectedRequest}}
	b.d.do["y"] = []reply{{verdict: dialect.Success, status: 200}}
	for range 10 {
		_, err := b.Plain(t.Context(), job(routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1}))
		assert.NilError(t, err)
	}
	assert.Assert(t, b.d.count("do x") <= 1)
	assert.Equal(t, b.d.count("do y"), 10)
}

// TestLivingPrefillEngineIsLeftItsTime checks that a prefill is not canceled as long as the
// first event can be on time, and later still if the engine is expected to take longer.
func TestLivingPrefillEngineIsLeftItsTime(t *testing.T) {
	b := streamBed(t)
	s := &stream{c: b.Carrier, j: job(stream1), log: b.o.Log}
	s.j.Route.Objective = 2 * time.Second
	first := b.o.Books.FirstEvent("s")
	assert.Equal(t, s.patience(s.j.Arrived.Add(300*time.Millisecond), 10*time.Millisecond), 1700*time.Millisecond-first)
	assert.Equal(t, s.patience(s.j.Arrived.Add(1900*time.Millisecond), 10*time.Millisecond), leastPrefill)
	assert.Equal(t, s.patience(s.j.Arrived, time.Second), 4*time.Second)
}

// TestEngineThatFailsAtOnceIsNoSink guards against an engine that answers streams with errors of
// its own and attracts the others: it holds nothing, so it always has the most free memory.
// Every stream that came while others ran was sent to it; now at most two of twenty are.
func TestEngineThatFailsAtOnceIsNoSink(t *testing.T) {
	b := streamBed(t)
	b.d.do["d1"] = []reply{{verdict: dialect.Failure, status: 500, body: "failed"}}
	b.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 5)}}
	failed := 0
	for range 20 {
		var got sink
		a, err := b.Stream(t.Context(), job(stream1), &got)
		assert.NilError(t, err)
		if a != nil {
			failed++
		}
	}
	assert.Assert(t, failed <= 2, "%d", failed)
	assert.Equal(t, b.d.count("do d1"), failed)
}
