package carry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// deadly is the content of the requests in these tests.
const deadly quarantine.Content = 7

// withContent returns a job for the route with the content deadly.
func withContent(r routing.Route) *Job {
	j := job(r)
	j.Content = deadly
	return j
}

// crash makes upstreams answer their next request with r and refuse connections afterwards.
func (b *bed) crash(r reply, ids ...ident.UpstreamID) {
	b.d.crashed = map[ident.UpstreamID]bool{}
	for _, id := range ids {
		b.d.do[id] = []reply{r}
		b.d.crashed[id] = true
	}
}

// evidence records crashes of the given upstreams under the content deadly.
func (b *bed) evidence(ids ...string) {
	for _, u := range plainUps(ids...) {
		b.o.Register.Crashed(time.Now(), deadly, u, 0)
	}
}

// TestQuarantinedIsRefusedAtOnce checks that a request with a quarantined content is refused
// without any call to an upstream, and that the caller is told that nothing ran and how long the
// quarantine lasts.
func TestQuarantinedIsRefusedAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := streamBed(t)
		b.evidence("x", "y")
		start := time.Now()
		_, err := b.Stream(t.Context(), withContent(resumable), &sink{})
		assert.Equal(t, fateOf(t, err), NotRun)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, len(b.d.calls), 0, "%v", b.d.calls)
		var told *Error
		assert.Assert(t, errors.As(err, &told))
		assert.Equal(t, told.Reason, "quarantined")
		assert.Equal(t, told.RetryAfter, b.o.Register.Verdict(time.Now(), deadly).Left)

		_, err = b.Plain(t.Context(), withContent(often))
		assert.Equal(t, fateOf(t, err), NotRun)
		assert.Equal(t, len(b.d.calls), 0, "%v", b.d.calls)
		// Requests with other contents are served.
		_, err = b.Plain(t.Context(), job(often))
		assert.NilError(t, err)
	})
}

// TestCrashIsEvidence checks that a stream whose engine crashed before the first event is not
// started again within the same attempt, even if its route allows that. Its content is suspect
// after the first crash and quarantined after the second.
func TestCrashIsEvidence(t *testing.T) {
	for name, r := range map[string]reply{
		"before the head": {err: broken},
		"after the head":  {verdict: dialect.Success, status: 200, breaks: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := streamBed(t)
			b.crash(r, "d1", "d2")
			_, err := b.Stream(t.Context(), withContent(resumable), &sink{})
			assert.Equal(t, fateOf(t, err), Unknown)
			assert.Equal(t, b.d.countKind("do"), 1)
			v := b.o.Register.Verdict(time.Now(), deadly)
			assert.Equal(t, v.Standing, quarantine.Suspect)
			assert.Equal(t, v.Early, 1)

			_, err = b.Stream(t.Context(), withContent(resumable), &sink{})
			assert.Equal(t, fateOf(t, err), Unknown)
			assert.Equal(t, b.d.countKind("do"), 2)
			assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Quarantined)
		})
	}
}

// TestResetIsNoEvidence checks that a connection reset by an engine that still answers, as the
// same incarnation, does not count as a crash. The stream continues at another engine.
func TestResetIsNoEvidence(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
	b.d.do["d1"] = []reply{{err: broken}}
	b.d.hold["d2"] = []error{&dialect.FullError{}, nil}
	var got sink
	_, err := b.Stream(t.Context(), withContent(resumable), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 5))
	assert.Equal(t, b.o.Register.Digest(), uint64(0))
}

// TestBystanderGoesOnAndIsCleared checks that a stream that had produced events before its
// engine crashed continues at another engine, on trial, and that its content is cleared by the
// next events there.
func TestBystanderGoesOnAndIsCleared(t *testing.T) {
	b := streamBed(t)
	b.d.hold["d2"] = []error{&dialect.FullError{}, nil}
	b.crash(reply{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}, "d1")
	b.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 8)}}
	var got sink
	_, err := b.Stream(t.Context(), withContent(resumable), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 8))
	assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Clear)
	noted := b.o.Register.TellOf(time.Now(), deadly)
	assert.Equal(t, len(noted), 1)
	assert.Assert(t, noted[0].Cleared)
}

// TestSuspectsAreTriedOneAtATime checks that while one attempt with a suspect content is
// running, a second one is told to retry later, and that another may run when the first has
// ended.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := streamBed(t)
		b.evidence("x")
		b.serveStreams(reply{hangs: true})
		ended := make(chan error, 1)
		go func() {
			j := withContent(stream1)
			j.Deadline = j.Arrived.Add(2 * time.Second)
			_, err := b.Stream(t.Context(), j, &sink{})
			ended <- err
		}()
		time.Sleep(time.Second)
		_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
		assert.Equal(t, fateOf(t, err), NotRun)
		var told *Error
		assert.Assert(t, errors.As(err, &told))
		assert.Equal(t, told.Reason, "on_trial")
		assert.Equal(t, told.RetryAfter, trialRetry)
		assert.Equal(t, b.d.countKind("do"), 1)
		<-ended
		b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
		_, err = b.Stream(t.Context(), withContent(stream1), &sink{})
		assert.NilError(t, err)
	})
}

// TestNewsStopARequestOnItsWay checks that evidence which arrives while the prompt is computed
// keeps the request from the decode engine, and that its reservation and prefill result are
// released.
func TestNewsStopARequestOnItsWay(t *testing.T) {
	b := streamBed(t)
	b.d.prefilled = func() { b.evidence("x", "y") }
	_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
	assert.Equal(t, fateOf(t, err), NotRun)
	assert.Equal(t, b.d.countKind("do"), 0)
	b.Close()
	assert.Equal(t, b.d.countKind("free"), 1)
	assert.Equal(t, b.d.countKind("release"), 1)
}

// TestSilentEngineIsFoundToHaveCrashed checks that an engine that does not answer, and may only
// be unreachable, counts as crashed only when a newer incarnation is listed under its ID or
// another engine at its address.
func TestSilentEngineIsFoundToHaveCrashed(t *testing.T) {
	for name, later := range map[string]dialect.Upstream{
		"same ID":      {ID: "d1", Address: "d1", Incarnation: 6, Stage: dialect.StageDecode},
		"same address": {ID: "new", Address: "d1", Incarnation: 6, Stage: dialect.StageDecode},
		"neither":      {ID: "d1", Address: "d1", Incarnation: 5, Stage: dialect.StageDecode},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, slack, born(5, engineUps([]string{"p1"}, []string{"d1"}))...)
			b.d.silent = map[ident.UpstreamID]bool{"d1": true}
			b.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, breaks: true}}
			_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
			assert.Equal(t, fateOf(t, err), Unknown)
			assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Clear)
			b.Listed([]dialect.Upstream{later})
			want := quarantine.Suspect
			if name == "neither" {
				want = quarantine.Clear
			}
			assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, want)
		})
	}
}

// TestEngineThatWasGoneBeforeIsNoEvidence checks that crashes are not attributed to a request
// that was sent after them: two engines crash without closing connections, and a stream that is
// then sent to both gets no sign of life from either.
func TestEngineThatWasGoneBeforeIsNoEvidence(t *testing.T) {
	ups := born(5, engineUps([]string{"p1"}, []string{"d1", "d2"}))
	b := newBed(t, slack, ups...)
	b.d.silent = map[ident.UpstreamID]bool{"d1": true, "d2": true}
	b.serveStreams(reply{err: broken})
	_, err := b.Stream(t.Context(), withContent(resumable), &sink{})
	assert.Equal(t, fateOf(t, err), Unknown)
	assert.Equal(t, b.d.countKind("do"), 2)
	b.Listed(born(6, ups))
	assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Clear)
}

// TestServicesAreKeptFromIt checks the same for plain services: a request that crashes their
// processes takes down two of them in one attempt if its route allows that, and none afterwards.
func TestServicesAreKeptFromIt(t *testing.T) {
	b := newBed(t, slack, plainUps("x", "y", "z")...)
	b.crash(reply{err: broken}, "x", "y", "z")
	many := often
	many.MaxAttempts = 5
	_, err := b.Plain(t.Context(), withContent(many))
	assert.Equal(t, fateOf(t, err), Unknown)
	assert.Equal(t, b.d.countKind("do"), 2)
	_, err = b.Plain(t.Context(), withContent(many))
	assert.Equal(t, fateOf(t, err), NotRun)
	assert.Equal(t, b.d.countKind("do"), 2)
}

// TestCrashedPrefillEngineIsEvidence checks that the crash of a prefill engine counts as
// evidence too. The prompt is given to one more engine, on trial, and to none after that.
func TestCrashedPrefillEngineIsEvidence(t *testing.T) {
	b := streamBed(t)
	b.d.prefill["p1"], b.d.prefill["p2"] = []error{broken}, []error{broken}
	b.d.crashed = map[ident.UpstreamID]bool{"p1": true, "p2": true}
	_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
	assert.Equal(t, fateOf(t, err), NotRun)
	assert.Equal(t, b.d.countKind("prefill"), 2)
	assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Quarantined)
	_, err = b.Stream(t.Context(), withContent(stream1), &sink{})
	assert.Equal(t, fateOf(t, err), NotRun)
	assert.Equal(t, b.d.countKind("prefill"), 2)
}

// TestPromptAtACrashedEngineIsComputedElsewhere checks that a prompt whose prefill engine
// crashed for another reason is computed by another engine in the same attempt, so the first
// event is still on time.
func TestPromptAtACrashedEngineIsComputedElsewhere(t *testing.T) {
	b := streamBed(t)
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	b.d.prefill["p1"] = []error{broken}
	b.d.crashed = map[ident.UpstreamID]bool{"p1": true}
	for range 3 {
		// p2 gets more work, so that p1 is chosen.
		b.o.Books.PlacePrefill(time.Now(), engineUps([]string{"p2"}, nil), 1000, "a", nil)
	}
	_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
	assert.NilError(t, err)
	assert.Equal(t, b.d.count("prefill p1"), 1)
	assert.Equal(t, b.d.count("prefill p2"), 1)
	assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Clear)
}

// TestSuspectGetsFewNeighbours checks that a request on trial is placed at the engine with the
// fewest requests, not at the one with the most free memory.
func TestSuspectGetsFewNeighbours(t *testing.T) {
	b := streamBed(t)
	b.evidence("x")
	b.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	ups := engineUps(nil, []string{"d1", "d2"})
	service := withContent(stream1).Service
	for range 3 {
		_, ok := b.o.Books.PlaceDecode(time.Now(), ups[1:], service.Engine, sizeOf(10), nil)
		assert.Assert(t, ok)
	}
	// One large request runs at d1, three small ones at d2.
	_, ok := b.o.Books.PlaceDecode(time.Now(), ups[:1], service.Engine, sizeOf(6000), nil)
	assert.Assert(t, ok)
	_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
	assert.NilError(t, err)
	assert.Equal(t, b.d.count("do d1"), 1)
}

// sizeOf returns the size of a request with the given prompt length.
func sizeOf(prompt int) schedule.Size { return schedule.Size{Prompt: prompt, Estimate: 100} }

// TestPlannedEndIsNoEvidence checks that the end of an engine that had announced its shutdown,
// or had been removed from the list, does not count as a crash.
func TestPlannedEndIsNoEvidence(t *testing.T) {
	for name, left := range map[string]func(b *bed){
		"leaves": func(b *bed) {
			for i := range b.view.Upstreams["s"] {
				b.view.Upstreams["s"][i].Leaving = true
			}
		},
		"has left": func(b *bed) { b.view.Upstreams["s"] = nil },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, slack, engineUps([]string{"p1"}, []string{"d1"})...)
			b.crash(reply{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}, "d1")
			b.d.prefilled = func() { left(b) }
			_, err := b.Stream(t.Context(), withContent(stream1), &sink{})
			assert.Assert(t, err != nil)
			assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Clear)
		})
	}
}

// TestSilentEngineWhoseCallerLeaves checks that evidence is not lost when the caller disconnects
// first: an engine accepts the stream and stops responding, and nobody has checked it when the
// caller leaves. It counts as crashed when a newer incarnation is listed.
func TestSilentEngineWhoseCallerLeaves(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ups := born(5, engineUps([]string{"p1"}, []string{"d1"}))
		b := newBed(t, slack, ups...)
		b.d.silent = map[ident.UpstreamID]bool{"d1": true}
		body := newStoppable()
		b.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(3600*time.Millisecond, leave)
		_, err := b.Stream(ctx, withContent(stream1), &sink{})
		var left *AbandonedError
		assert.Assert(t, errors.As(err, &left), "%v", err)
		synctest.Wait()
		b.Listed(born(6, ups))
		assert.Equal(t, b.o.Register.Verdict(time.Now(), deadly).Standing, quarantine.Suspect)
	})
}
