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

// crashingContent is the content of the requests in these tests.
const crashingContent quarantine.Content = 7

// withContent returns a job for the route with crashingContent.
func withContent(r routing.Route) *Job {
	j := job(r)
	j.Content = crashingContent
	return j
}

// crashUpstreams makes upstreams answer their next request with r and refuse connections
// afterwards.
func (env *testEnv) crashUpstreams(r reply, ids ...ident.UpstreamID) {
	env.d.crashed = map[ident.UpstreamID]bool{}
	for _, id := range ids {
		env.d.do[id] = []reply{r}
		env.d.crashed[id] = true
	}
}

// recordCrashes records crashes of the given upstreams under crashingContent.
func (env *testEnv) recordCrashes(ids ...string) {
	for _, u := range plainUps(ids...) {
		env.o.Register.Crashed(time.Now(), quarantine.Attempt{Content: crashingContent, Upstream: u, SentAt: time.Now(), BrokenAt: time.Now()})
	}
}

// TestQuarantinedIsRefusedAtOnce checks that a request with a quarantined content is refused
// without any call to an upstream, and that the caller is told that nothing ran and how long the
// quarantine lasts.
func TestQuarantinedIsRefusedAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.recordCrashes("x", "y")
		start := time.Now()
		_, err := env.Stream(t.Context(), withContent(resumable), &streamRecorder{})
		assert.Equal(t, outcomeOf(t, err), NotRun)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, len(env.d.calls), 0, "%v", env.d.calls)
		var reqErr *Error
		assert.Assert(t, errors.As(err, &reqErr))
		assert.Equal(t, reqErr.Reason, "quarantined")
		assert.Equal(t, reqErr.RetryAfter, env.o.Register.Verdict(time.Now(), crashingContent).Remaining)

		_, err = env.Plain(t.Context(), withContent(idempotent))
		assert.Equal(t, outcomeOf(t, err), NotRun)
		assert.Equal(t, len(env.d.calls), 0, "%v", env.d.calls)
		// Requests with other contents are served.
		_, err = env.Plain(t.Context(), job(idempotent))
		assert.NilError(t, err)
	})
}

// TestDisconnectionIsNoEvidenceOfACrash guards against contents that are suspected because the
// instance lost its connections to all upstreams while they ran.
func TestDisconnectionIsNoEvidenceOfACrash(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.pathBroken = true
		env.crashUpstreams(reply{verdict: dialect.Success, status: 200, breaks: true}, "d1", "d2")
		_, err := env.Stream(t.Context(), withContent(resumable), &streamRecorder{})
		assert.Assert(t, err != nil)
		assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Clear)
	})
}

// TestCrashIsEvidence checks that a stream whose engine crashed before the first event is not
// started again within the same attempt, even if its route allows that. Its content is suspect
// after the first crash and quarantined after the second.
func TestCrashIsEvidence(t *testing.T) {
	for name, r := range map[string]reply{
		"before the head": {err: errInterrupted},
		"after the head":  {verdict: dialect.Success, status: 200, breaks: true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newStreamEnv(t)
			env.crashUpstreams(r, "d1", "d2")
			_, err := env.Stream(t.Context(), withContent(resumable), &streamRecorder{})
			assert.Equal(t, outcomeOf(t, err), Unknown)
			assert.Equal(t, env.d.countKind("do"), 1)
			v := env.o.Register.Verdict(time.Now(), crashingContent)
			assert.Equal(t, v.Standing, quarantine.Suspect)
			assert.Equal(t, v.Early, 1)

			_, err = env.Stream(t.Context(), withContent(resumable), &streamRecorder{})
			assert.Equal(t, outcomeOf(t, err), Unknown)
			assert.Equal(t, env.d.countKind("do"), 2)
			assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Quarantined)
		})
	}
}

// endingUpstreams breaks the first liveness check of each upstream, and answers later ones like fakeDialect.
type endingUpstreams struct {
	*fakeDialect
	checked map[ident.UpstreamID]bool
}

// breaks reports whether a liveness check is the first one of an upstream.
func (d endingUpstreams) breaks(u dialect.Upstream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.checked[u.ID]
	d.checked[u.ID] = true
	return first
}

func (d endingUpstreams) Report(ctx context.Context, u dialect.Upstream) (dialect.Report, error) {
	if d.breaks(u) {
		return dialect.Report{}, errInterrupted
	}
	return d.fakeDialect.Report(ctx, u)
}

func (d endingUpstreams) CheckReachable(ctx context.Context, u dialect.Upstream) error {
	if d.breaks(u) {
		return errInterrupted
	}
	return d.fakeDialect.CheckReachable(ctx, u)
}

// TestCrashDuringTheCheckIsEvidence guards against a crash that is not recorded because the liveness check met a
// connection that the ending process closed.
func TestCrashDuringTheCheckIsEvidence(t *testing.T) {
	for name, standing := range map[string]quarantine.Standing{"crashed": quarantine.Suspect, "runs": quarantine.Clear} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				for _, r := range []routing.Route{singleRun, atMostOnce} {
					env := newStreamEnv(t)
					env.o.Dialect = endingUpstreams{env.d, map[ident.UpstreamID]bool{}}
					env.crashUpstreams(reply{err: errInterrupted}, "d1", "d2", "p1")
					if standing == quarantine.Clear {
						env.d.crashed = nil
					}
					start := time.Now()
					var err error
					if r.Kind == routing.Stream {
						_, err = env.Stream(t.Context(), withContent(r), &streamRecorder{})
					} else {
						_, err = env.Plain(t.Context(), withContent(r))
					}
					assert.Equal(t, outcomeOf(t, err), Unknown)
					env.Close()
					assert.Equal(t, env.d.countKind("do"), 1)
					assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, standing)
					assert.Assert(t, time.Since(start) < stateCheckTimeout)
				}
			})
		})
	}
}

// TestResetIsNoEvidence checks that a connection reset by an engine that still answers, as the
// same incarnation, does not count as a crash. The stream continues at another engine.
func TestResetIsNoEvidence(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
	env.d.do["d1"] = []reply{{err: errInterrupted}}
	env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
	var got streamRecorder
	_, err := env.Stream(t.Context(), withContent(resumable), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 5))
	assert.Equal(t, env.o.Register.Digest(), uint64(0))
}

// TestBystanderGoesOnAndIsCleared checks that a stream that had produced events before its
// engine crashed continues at another engine, on trial, and that its content is cleared by the
// next events there.
func TestBystanderGoesOnAndIsCleared(t *testing.T) {
	env := newStreamEnv(t)
	env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
	env.crashUpstreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}, "d1")
	env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 8)}}
	var got streamRecorder
	_, err := env.Stream(t.Context(), withContent(resumable), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(1, 8))
	assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Clear)
	noted := env.o.Register.ShareRecords(time.Now(), quarantine.Subject(crashingContent))
	assert.Equal(t, len(noted), 1)
	assert.Assert(t, noted[0].Cleared)
}

// TestSuspectsAreTriedOneAtATime checks that while one attempt with a suspect content is
// running, a second one is told to retry later, and that another may run when the first has
// ended.
func TestSuspectsAreTriedOneAtATime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.recordCrashes("x")
		env.serveStreams(reply{hangs: true})
		ended := make(chan error, 1)
		go func() {
			j := withContent(singleRun)
			j.Deadline = j.Arrived.Add(2 * time.Second)
			_, err := env.Stream(t.Context(), j, &streamRecorder{})
			ended <- err
		}()
		time.Sleep(time.Second)
		_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
		assert.Equal(t, outcomeOf(t, err), NotRun)
		var reqErr *Error
		assert.Assert(t, errors.As(err, &reqErr))
		assert.Equal(t, reqErr.Reason, "on_trial")
		assert.Equal(t, reqErr.RetryAfter, trialRetryAfter)
		assert.Equal(t, env.d.countKind("do"), 1)
		<-ended
		env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
		_, err = env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
		assert.NilError(t, err)
	})
}

// TestNewsStopARequestOnItsWay checks that crash records which arrive while the prompt is
// computed keep the request from the decode engine, and that its reservation and prefill result are
// released.
func TestNewsStopARequestOnItsWay(t *testing.T) {
	env := newStreamEnv(t)
	env.d.prefilled = func() { env.recordCrashes("x", "y") }
	_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), NotRun)
	assert.Equal(t, env.d.countKind("do"), 0)
	env.Close()
	assert.Equal(t, env.d.countKind("free"), 1)
	assert.Equal(t, env.d.countKind("release"), 1)
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
			env := newTestEnv(t, ampleBudget, withIncarnation(5, engineUps([]string{"p1"}, []string{"d1"}))...)
			env.d.silent = map[ident.UpstreamID]bool{"d1": true}
			env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, breaks: true}}
			_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
			assert.Equal(t, outcomeOf(t, err), Unknown)
			assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Clear)
			env.ObserveUpstreams([]dialect.Upstream{later})
			want := quarantine.Suspect
			if name == "neither" {
				want = quarantine.Clear
			}
			assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, want)
		})
	}
}

// TestEngineThatWasGoneBeforeIsNoEvidence checks that crashes are not attributed to a request
// that was sent after them: two engines crash without closing connections, and a stream that is
// then sent to both gets no sign of life from either.
func TestEngineThatWasGoneBeforeIsNoEvidence(t *testing.T) {
	ups := withIncarnation(5, engineUps([]string{"p1"}, []string{"d1", "d2"}))
	env := newTestEnv(t, ampleBudget, ups...)
	env.d.silent = map[ident.UpstreamID]bool{"d1": true, "d2": true}
	env.serveStreams(reply{err: errInterrupted})
	_, err := env.Stream(t.Context(), withContent(resumable), &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), Unknown)
	assert.Equal(t, env.d.countKind("do"), 2)
	env.ObserveUpstreams(withIncarnation(6, ups))
	assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Clear)
}

// TestServicesAreKeptFromIt checks the same for plain services: a request that crashes their
// processes takes down two of them in one attempt if its route allows that, and none afterwards.
func TestServicesAreKeptFromIt(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("x", "y", "z")...)
	env.crashUpstreams(reply{err: errInterrupted}, "x", "y", "z")
	many := idempotent
	many.MaxAttempts = 5
	_, err := env.Plain(t.Context(), withContent(many))
	assert.Equal(t, outcomeOf(t, err), Unknown)
	assert.Equal(t, env.d.countKind("do"), 2)
	_, err = env.Plain(t.Context(), withContent(many))
	assert.Equal(t, outcomeOf(t, err), NotRun)
	assert.Equal(t, env.d.countKind("do"), 2)
}

// TestCrashedPrefillEngineIsEvidence checks that the crash of a prefill engine is
// recorded too. The prompt is given to one more engine, on trial, and to none after that.
func TestCrashedPrefillEngineIsEvidence(t *testing.T) {
	env := newStreamEnv(t)
	env.d.prefill["p1"], env.d.prefill["p2"] = []error{errInterrupted}, []error{errInterrupted}
	env.d.crashed = map[ident.UpstreamID]bool{"p1": true, "p2": true}
	_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), NotRun)
	assert.Equal(t, env.d.countKind("prefill"), 2)
	assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Quarantined)
	_, err = env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
	assert.Equal(t, outcomeOf(t, err), NotRun)
	assert.Equal(t, env.d.countKind("prefill"), 2)
}

// TestPromptAtACrashedEngineIsComputedElsewhere checks that a prompt whose prefill engine
// crashed for another reason is computed by another engine in the same attempt, so the first
// event is still on time.
func TestPromptAtACrashedEngineIsComputedElsewhere(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	env.d.prefill["p1"] = []error{errInterrupted}
	env.d.crashed = map[ident.UpstreamID]bool{"p1": true}
	for range 3 {
		// p2 gets more work, so that p1 is chosen.
		env.o.Scheduler.PlacePrefill(time.Now(), engineUps([]string{"p2"}, nil), 1000, "a", nil)
	}
	_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.count("prefill p1"), 1)
	assert.Equal(t, env.d.count("prefill p2"), 1)
	assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Clear)
}

// TestSuspectGetsFewNeighbours checks that a request on trial is placed at the engine with the
// fewest requests, not at the one with the most free memory.
func TestSuspectGetsFewNeighbours(t *testing.T) {
	env := newStreamEnv(t)
	env.recordCrashes("x")
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2)})
	ups := engineUps(nil, []string{"d1", "d2"})
	service := withContent(singleRun).Service
	for range 3 {
		_, ok := env.o.Scheduler.PlaceDecode(time.Now(), ups[1:], service.Engine, sizeOf(10), nil)
		assert.Assert(t, ok)
	}
	// One large request runs at d1, three small ones at d2.
	_, ok := env.o.Scheduler.PlaceDecode(time.Now(), ups[:1], service.Engine, sizeOf(6000), nil)
	assert.Assert(t, ok)
	_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.count("do d1"), 1)
}

// sizeOf returns the size of a request with the given prompt length.
func sizeOf(prompt int) schedule.Size { return schedule.Size{Prompt: prompt, Estimate: 100} }

// TestPlannedEndIsNoEvidence checks that the end of an engine that had announced its shutdown,
// or had been removed from the list, does not count as a crash.
func TestPlannedEndIsNoEvidence(t *testing.T) {
	for name, left := range map[string]func(env *testEnv){
		"leaves": func(env *testEnv) {
			for i := range env.view.Upstreams["s"] {
				env.view.Upstreams["s"][i].Leaving = true
			}
		},
		"has left": func(env *testEnv) { env.view.Upstreams["s"] = nil },
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
			env.crashUpstreams(reply{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}, "d1")
			env.d.prefilled = func() { left(env) }
			_, err := env.Stream(t.Context(), withContent(singleRun), &streamRecorder{})
			assert.Assert(t, err != nil)
			assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Clear)
		})
	}
}

// TestSilentEngineWhoseCallerLeaves checks that a crash record is not lost when the caller
// disconnects first: an engine accepts the stream and stops responding, and nobody has checked it
// when the caller leaves. It counts as crashed when a newer incarnation is listed.
func TestSilentEngineWhoseCallerLeaves(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ups := withIncarnation(5, engineUps([]string{"p1"}, []string{"d1"}))
		env := newTestEnv(t, ampleBudget, ups...)
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		body := newControlledBody()
		env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(3600*time.Millisecond, leave)
		_, err := env.Stream(ctx, withContent(singleRun), &streamRecorder{})
		var left *AbandonedError
		assert.Assert(t, errors.As(err, &left), "%v", err)
		synctest.Wait()
		env.ObserveUpstreams(withIncarnation(6, ups))
		assert.Equal(t, env.o.Register.Verdict(time.Now(), crashingContent).Standing, quarantine.Suspect)
	})
}
