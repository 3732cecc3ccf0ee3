package carry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// TestMovedStreamStaysAtASilentDestination guards against a stream that may run once and is lost because the
// destination of its migration, which has begun to run it, is silent for over a second.
func TestMovedStreamStaysAtASilentDestination(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := startStreamAtD1(t, singleRun)
		env.d.mu.Lock()
		// The destination has used the handle, so the source cannot continue the stream.
		env.d.do["d1"] = []reply{refusal}
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 5), delay: 1200 * time.Millisecond}}
		env.d.mu.Unlock()
		env.migrate(t)
		<-env.ended
		assert.NilError(t, env.err)
		assert.Equal(t, env.got.body.String(), events(1, 5))
	})
}

// TestFailureOfTheSecondUpstreamIsFollowedByAnotherAttempt guards against a request whose first upstream is dead
// and which waits for nothing after the second one has refused it.
func TestFailureOfTheSecondUpstreamIsFollowedByAnotherAttempt(t *testing.T) {
	for name, second := range map[string]reply{"refuses": refusal, "not reached": {err: errConnectionRefused}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, plainUps("x", "y", "z")...)
				first := []reply{{hangs: true}}
				env.d.do["x"], env.d.do["y"], env.d.do["z"] = first, first, first
				env.d.silent = map[ident.UpstreamID]bool{"x": true, "y": true, "z": true}
				env.d.checkTime = stateCheckTimeout
				asked := 0
				env.d.onDo = func() {
					env.d.mu.Lock()
					defer env.d.mu.Unlock()
					next := second
					if asked++; asked > 1 {
						next = reply{verdict: dialect.Success, status: 200, body: "third"}
					}
					for _, id := range []ident.UpstreamID{"x", "y", "z"} {
						env.d.do[id] = []reply{next}
					}
				}
				j := job(idempotent)
				j.Deadline = j.Arrived.Add(10 * time.Second)
				a, err := env.Plain(t.Context(), j)
				assert.NilError(t, err)
				assert.Equal(t, string(a.Body), "third")
				t.Logf("answered after %v", time.Since(j.Arrived))
				assert.Assert(t, time.Since(j.Arrived) <= 4900*time.Millisecond, "answered after %v", time.Since(j.Arrived))
			})
		})
	}
}

// TestDeadEngineIsLeftAlthoughTheNextOneFails guards against a pause of two silences, when the engine is dead and the
// next one refuses the stream.
func TestDeadEngineIsLeftAlthoughTheNextOneFails(t *testing.T) {
	for name, second := range map[string]reply{"refused": refusal, "not reached": {err: errConnectionRefused}, "breaks": {verdict: dialect.Success, status: 200, breaks: true}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2", "d3"})...)
				body := newControlledBody()
				defer body.w.Close()
				good := reply{verdict: dialect.Success, status: 200, body: events(3, 5)}
				env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
				env.d.do["d2"], env.d.do["d3"] = []reply{second}, []reply{second}
				env.d.reserve["d2"], env.d.reserve["d3"] = []error{&dialect.NoCapacityError{}, nil}, []error{&dialect.NoCapacityError{}, nil}
				env.d.silent = map[ident.UpstreamID]bool{"d1": true}
				asked := 0
				env.d.onDo = func() {
					env.d.mu.Lock()
					defer env.d.mu.Unlock()
					if asked++; asked == 2 {
						env.d.do["d2"], env.d.do["d3"] = []reply{good}, []reply{good}
					}
				}
				go func() { _, _ = io.WriteString(body.w, events(1, 2)) }()
				r := resumable
				r.MaxAttempts = 3
				r.PaceObjective = 300 * time.Millisecond
				got := &streamRecorder{}
				start := time.Now()
				_, err := env.Stream(t.Context(), job(r), got)
				took := time.Since(start)
				assert.NilError(t, err)
				assert.Equal(t, got.body.String(), events(1, 5))
				t.Logf("complete after %v", took)
				assert.Assert(t, took <= 900*time.Millisecond, "%v", took)
			})
		})
	}
}

// TestLostHedgeAtAPeerIsCounted guards against a request that is reported as not run, or sent to more upstreams than
// its route allows, although a peer that was asked beside a silent upstream may have run it.
func TestLostHedgeAtAPeerIsCounted(t *testing.T) {
	for name, budget := range map[string]float64{"budget for the peer only": 2, "ample budget": ampleBudget} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, budget, plainUps("x")...)
				env.disconnectedFrom = time.Now().Add(100 * time.Millisecond)
				env.d.do["x"] = []reply{{verdict: dialect.Refused, status: 503, delay: 700 * time.Millisecond}}
				env.relayTo = func(relay.Request) (*http.Response, error) {
					return nil, &relay.LostError{Err: io.ErrUnexpectedEOF}
				}
				_, err := env.Plain(t.Context(), plainJob(idempotent))
				assert.Equal(t, env.relayed[0].Runs, 1)
				for _, q := range env.relayed[1:] {
					assert.Equal(t, q.Runs, 1)
				}
				assert.Equal(t, outcomeOf(t, err), Unknown, "%v", err)
			})
		})
	}
}

// slowCancels takes a millisecond to end a request that was canceled.
type slowCancels struct{ *fakeDialect }

func (d slowCancels) Do(ctx context.Context, c *dialect.Call, s dialect.Send) (*http.Response, dialect.Verdict, error) {
	resp, v, err := d.fakeDialect.Do(ctx, c, s)
	if ctx.Err() != nil {
		time.Sleep(time.Millisecond)
	}
	return resp, v, err
}

// TestStopDuringATakeoverDoesNotSayNotRun guards against a stream that is reported as not run although it was sent
// to another engine beside a silent one that then refused it.
func TestStopDuringATakeoverDoesNotSayNotRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.do["d1"] = []reply{{verdict: dialect.Refused, status: 503, delay: 1100 * time.Millisecond}}
		env.d.do["d2"] = []reply{{hangs: true}}
		env.o.Dialect = slowCancels{env.d}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		ctx, stop := context.WithCancelCause(t.Context())
		time.AfterFunc(1200*time.Millisecond, func() { stop(&StoppedError{}) })
		_, err := env.Stream(ctx, job(r), &streamRecorder{})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, env.d.count("do d2"), 1)
		assert.Equal(t, outcomeOf(t, err), Unknown, "%v", err)
	})
}

// TestTakenOverStreamLeavesItsPlacement guards against a stream that goes on to hold its place at the engine that it has
// left.
func TestTakenOverStreamLeavesItsPlacement(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var held int
		env, _, _, err := runStalledStreamWith(t, resumable, func(env *testEnv) {
			env.d.silent = map[ident.UpstreamID]bool{"d1": true}
			body := newControlledBody()
			env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
			go func() {
				_, _ = io.WriteString(body.w, events(3, 4))
				for range 10 {
					time.Sleep(200 * time.Millisecond)
					_, _ = io.WriteString(body.w, ": beat\n\n")
				}
				held = env.o.Scheduler.RequestCount("d1")
				_, _ = io.WriteString(body.w, events(5, 5))
				_ = body.w.Close()
			}()
		})
		assert.NilError(t, err)
		assert.Equal(t, env.d.count("do d2"), 1)
		assert.Equal(t, held, 0)
	})
}

// TestFailedTakeoversLeaveNothingBehind guards against attempts that stay in the list of running ones.
func TestFailedTakeoversLeaveNothingBehind(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env, _, _, err := runStalledStreamWith(t, resumable, func(env *testEnv) {
			env.d.silent = map[ident.UpstreamID]bool{"d1": true}
			env.d.do["d2"] = []reply{{err: errConnectionRefused}}
		})
		assert.NilError(t, err)
		assert.Equal(t, env.d.count("do d2"), 1)
		env.Close()
		synctest.Wait()
		assert.Equal(t, len(env.inFlight.byUpstream), 0)
	})
}

// TestOldEngineOfAMovedStreamStartsNoTakeover guards against a stream that is sent to a third engine because
// the one that it has left is silent.
func TestOldEngineOfAMovedStreamStartsNoTakeover(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := resumable
		r.MaxAttempts = 3
		r.PaceObjective = 300 * time.Millisecond
		env := startStreamAtD1(t, r)
		body := newControlledBody()
		env.d.mu.Lock()
		other := newControlledBody()
		defer other.w.Close()
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, stream: body}, {verdict: dialect.Success, status: 200, stream: other}}
		env.d.mu.Unlock()
		go func() {
			for e := 3; e <= 30; e++ {
				_, _ = io.WriteString(body.w, events(e, e))
				time.Sleep(150 * time.Millisecond)
			}
			_ = body.w.Close()
		}()
		env.migrate(t)
		env.d.mu.Lock()
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.reserve["d2"] = nil
		env.d.mu.Unlock()
		<-env.ended
		assert.NilError(t, env.err)
		t.Log(env.o.Budget.Spent(time.Now()))
		assert.Equal(t, env.got.body.String(), events(1, 30))
		assert.Equal(t, env.d.count("report d1"), 0)
		assert.Equal(t, env.o.Budget.Spent(time.Now())["s"], 1)
	})
}

// slowReports answers reports of engines after a time.
type slowReports struct {
	*fakeDialect
	takes time.Duration
}

func (d slowReports) Report(ctx context.Context, u dialect.Upstream) (dialect.Report, error) {
	select {
	case <-time.After(d.takes):
	case <-ctx.Done():
	}
	return d.fakeDialect.Report(ctx, u)
}

// TestRestartBesideATakeover guards against a stream that is started again and taken over at once: two engines
// run it besides the one that failed, and the budget is charged for both.
func TestRestartBesideATakeover(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2", "d3"})...)
		env.o.Dialect = slowReports{env.d, 190 * time.Millisecond}
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.reserve["d2"], env.d.reserve["d3"] = []error{&dialect.NoCapacityError{}, nil}, []error{&dialect.NoCapacityError{}, nil}
		env.d.do["d1"] = []reply{{err: errInterrupted, delay: 700 * time.Millisecond}}
		for _, id := range []ident.UpstreamID{"d2", "d3"} {
			env.d.do[id] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 5), delay: 300 * time.Millisecond}}
		}
		r := resumable
		r.MaxAttempts = 3
		r.PaceObjective = 300 * time.Millisecond
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), job(r), got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		env.Close()
		t.Log(env.o.Budget.Spent(time.Now()))
		assert.Equal(t, env.d.countKind("do"), 2)
	})
}

// TestResponseOfASilentUpstreamIsKept guards against a complete response that is discarded because its upstream is
// silent for a second after it.
func TestResponseOfASilentUpstreamIsKept(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, plainUps("x")...)
		env.d.do["x"] = []reply{{verdict: dialect.Success, status: 200, body: "whole", unframed: true, delay: 50 * time.Millisecond}}
		env.d.silent = map[ident.UpstreamID]bool{"x": true}
		env.d.checkTime = stateCheckTimeout
		time.AfterFunc(1250*time.Millisecond, func() {
			env.d.mu.Lock()
			defer env.d.mu.Unlock()
			env.d.silent = nil
		})
		j := job(atMostOnce)
		j.Deadline = j.Arrived.Add(10 * time.Second)
		a, err := env.Plain(t.Context(), j)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "whole")
	})
}

// TestCheckOfAResponsesEndDoesNotOutlastTheDeadline guards against a caller who is answered after its deadline
// because the upstream was asked three times whether it still runs.
func TestCheckOfAResponsesEndDoesNotOutlastTheDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, plainUps("x")...)
		env.d.do["x"] = []reply{{verdict: dialect.Success, status: 200, body: "whole", unframed: true, delay: 800 * time.Millisecond}}
		env.d.silent = map[ident.UpstreamID]bool{"x": true}
		env.d.checkTime = stateCheckTimeout
		j := plainJob(atMostOnce)
		_, _ = env.Plain(t.Context(), j)
		assert.Assert(t, time.Since(j.Arrived) <= 980*time.Millisecond, "answered after %v", time.Since(j.Arrived))
	})
}

// TestStreamIsAnsweredBeforeItsDeadlineInEachPhase guards against callers that are told nothing before their deadline
// while the prompt is computed by a silent engine, also for a takeover.
func TestStreamIsAnsweredBeforeItsDeadlineInEachPhase(t *testing.T) {
	for name, prefill := range map[string][]time.Duration{"prefill": {time.Hour}, "prefill of a takeover": {0, time.Hour}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 3, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
				env.d.silent = map[ident.UpstreamID]bool{"p1": true, "d1": true, "d2": true}
				env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": prefill}
				if len(prefill) == 1 {
					env.o.Budget = budgetOf(0)
				} else {
					env.o.Budget = budgetOf(3)
				}
				env.d.do["d1"], env.d.do["d2"] = []reply{{hangs: true}}, []reply{{hangs: true}}
				r := resumable
				r.PaceObjective = 300 * time.Millisecond
				j := job(r)
				j.Deadline = j.Arrived.Add(2 * time.Second)
				_, err := env.Stream(t.Context(), j, &streamRecorder{})
				t.Log(err, time.Since(j.Deadline))
				assert.Assert(t, time.Now().Before(j.Deadline), "answered %v after the deadline", time.Since(j.Deadline))
			})
		})
	}
}

// silentPeer is a peer that does not answer.
type silentPeer struct{}

func (silentPeer) Needed(string) bool    { return true }
func (silentPeer) Suspected(string) bool { return true }
func (silentPeer) Send(ctx context.Context, _ relay.Request, _ []byte, _ time.Time, _ routing.Regions) (*http.Response, error) {
	<-ctx.Done()
	return nil, &relay.LostError{Err: ctx.Err()}
}

// TestStreamAtASilentPeerIsAnsweredBeforeItsDeadline guards against a caller who is told nothing before its deadline.
func TestStreamAtASilentPeerIsAnsweredBeforeItsDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		env.o.Relay = silentPeer{}
		j := job(resumable)
		j.Deadline = j.Arrived.Add(2 * time.Second)
		_, err := env.Stream(t.Context(), j, &streamRecorder{})
		t.Log(err)
		assert.Assert(t, time.Now().Before(j.Deadline), "answered %v after the deadline", time.Since(j.Deadline))
	})
}

// TestSilentPrefillEngineKeepsItsPromptUntilAnotherComputesIt guards against a request that fails because its prompt was
// taken from a silent engine and given to one that fails.
func TestSilentPrefillEngineKeepsItsPromptUntilAnotherComputesIt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, engineUps([]string{"p1", "p2"}, []string{"d1"})...)
		env.o.Budget = budgetOf(2)
		env.d.silent = map[ident.UpstreamID]bool{"p1": true, "p2": true}
		env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {1200 * time.Millisecond}, "p2": {1200 * time.Millisecond}}
		// The second prefill fails, whichever engine is asked.
		time.AfterFunc(100*time.Millisecond, func() {
			env.d.mu.Lock()
			defer env.d.mu.Unlock()
			other := ident.UpstreamID("p2")
			for _, c := range env.d.calls {
				if c == "prefill p2" {
					other = "p1"
				}
			}
			env.d.prefillTime[other] = nil
			env.d.prefill[other] = []error{errNotSent}
		})
		env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), job(resumable), got)
		t.Log(env.o.Budget.Spent(time.Now()))
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
	})
}

// TestAbandonedTakeoverCostsNoBudget guards against sends that are charged and not made.
func TestAbandonedTakeoverCostsNoBudget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		body := newControlledBody()
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {0, 200 * time.Millisecond}}
		go func() {
			_, _ = io.WriteString(body.w, events(1, 2))
			time.Sleep(700 * time.Millisecond)
			_, _ = io.WriteString(body.w, events(3, 5))
			_ = body.w.Close()
		}()
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		_, err := env.Stream(t.Context(), job(r), &streamRecorder{})
		assert.NilError(t, err)
		env.Close()
		extra := env.d.countKind("do") - 1 + env.d.countKind("prefill") - 1
		t.Log(env.d.calls)
		assert.Equal(t, env.o.Budget.Spent(time.Now())["s"], extra)
	})
}

// TestTwoEnginesRunAStreamOnlyBriefly guards against a run that goes on at an engine that is reached again, over 400 ms after
// another engine has begun to run the stream.
func TestTwoEnginesRunAStreamOnlyBriefly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		body := newControlledBody()
		defer body.w.Close()
		var mu sync.Mutex
		var sentAt, leftAt time.Time
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: &closeRecorder{controlledBody: body, closed: func() {
			mu.Lock()
			defer mu.Unlock()
			if leftAt.IsZero() {
				leftAt = time.Now()
			}
		}}}}
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 5), delay: 1500 * time.Millisecond}}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		asked := 0
		env.d.onDo = func() {
			mu.Lock()
			defer mu.Unlock()
			if asked++; asked == 2 {
				sentAt = time.Now()
				env.d.mu.Lock()
				env.d.silent = nil
				env.d.mu.Unlock()
			}
		}
		go func() { _, _ = io.WriteString(body.w, events(1, 2)) }()
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		_, err := env.Stream(t.Context(), job(r), &streamRecorder{})
		assert.NilError(t, err)
		assert.Assert(t, leftAt.Sub(sentAt) <= 400*time.Millisecond, "both ran for %v", leftAt.Sub(sentAt))
	})
}

type closeRecorder struct {
	*controlledBody
	closed func()
}

func (c *closeRecorder) Close() error {
	c.closed()
	return c.controlledBody.Close()
}

// TestOneSlowResponseEjectsNoUpstream guards against an upstream that is ejected because of one request which it
// answers.
func TestOneSlowResponseEjectsNoUpstream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, plainUps("x", "y")...)
		ejected := 0
		env.o.Count = func(name string) {
			if name == "ejected" {
				ejected++
			}
		}
		slow := []reply{{verdict: dialect.Success, status: 200, body: "slow", delay: 940 * time.Millisecond}}
		env.d.do["x"], env.d.do["y"] = slow, slow
		a, err := env.Plain(t.Context(), plainJob(idempotent))
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "slow")
		assert.Equal(t, ejected, 0)
	})
}

// TestAnswerIsNotHeldUpByAnotherAttempt guards against an answer that waits until the owner of a rate limit has said
// whether another upstream may be asked.
func TestAnswerIsNotHeldUpByAnotherAttempt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
		limits := &scriptedLimits{grants: map[ident.UpstreamID]int{"x": 9, "y": 9}}
		env.o.RateLimits = limits
		env.limitRates(1, "x", "y")
		env.serveFirstAndSecond(reply{verdict: dialect.Success, status: 200, body: "slow", delay: 700 * time.Millisecond}, reply{hangs: true})
		start := time.Now()
		// The second attempt is asked for later than that.
		limits.asked = func() {
			if time.Since(start) >= 200*time.Millisecond {
				time.Sleep(200 * time.Millisecond)
			}
		}
		env.d.silent = map[ident.UpstreamID]bool{"x": true, "y": true}
		env.d.checkTime = stateCheckTimeout
		j := plainJob(idempotent)
		_, err := env.Plain(t.Context(), j)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(j.Arrived) <= 710*time.Millisecond, "answered after %v", time.Since(j.Arrived))
	})
}

// TestErrorByWayOfAPeerDoesNotEndTheRequest guards against a request that is answered with the failure of another
// upstream, asked by way of a peer, while the first one would have answered, and whose content is acquitted by that.
func TestErrorByWayOfAPeerDoesNotEndTheRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, plainUps("x")...)
		env.disconnectedFrom = time.Now().Add(100 * time.Millisecond)
		env.d.do["x"] = []reply{{verdict: dialect.Success, status: 200, body: "slow", delay: 700 * time.Millisecond}}
		env.relayTo = func(relay.Request) (*http.Response, error) {
			return &http.Response{StatusCode: 500, Header: http.Header{}, ContentLength: 4, Body: io.NopCloser(strings.NewReader("oops"))}, nil
		}
		j := plainJob(idempotent)
		env.o.Register.Crashed(time.Now(), quarantine.Attempt{Content: j.Content, Upstream: dialect.Upstream{ID: "gone"}, SentAt: time.Now(), BrokenAt: time.Now()})
		a, err := env.Plain(t.Context(), j)
		assert.NilError(t, err)
		assert.Equal(t, len(env.relayed), 1)
		assert.Check(t, env.o.Register.Verdict(time.Now(), j.Content).Standing != quarantine.Clear || a.Status == 200)
		assert.Equal(t, a.Status, 200)
	})
}

// TestTakeoverKnowsOfTheCrash guards against a request that is sent to another engine without a trial while the engine
// that it has crashed is known to have crashed.
func TestTakeoverKnowsOfTheCrash(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		trials, atSecond, asked := 0, -1, 0
		env.o.Count = func(name string) {
			if name == "trial" {
				trials++
			}
		}
		env.d.onDo = func() {
			if asked++; asked == 2 {
				atSecond = trials
			}
		}
		env.d.silent = map[ident.UpstreamID]bool{"d1": true}
		env.d.do["d1"] = []reply{{hangs: true}}
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 5)}}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {0, 300 * time.Millisecond}}
		d1 := &env.view.Upstreams["s"][1]
		d1.Incarnation = ident.Incarnation(1)
		d1.Zone = "a"
		time.AfterFunc(300*time.Millisecond, func() { env.o.Scheduler.RecordContact(time.Now(), *d1) })
		time.AfterFunc(800*time.Millisecond, func() {
			again := *d1
			again.Incarnation = ident.Incarnation(2)
			env.ObserveUpstreams([]dialect.Upstream{again})
		})
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		_, err := env.Stream(t.Context(), job(r), &streamRecorder{})
		t.Log(err, atSecond)
		assert.Assert(t, atSecond != 0, "sent to another engine without a trial")
	})
}

// TestLatePrefillOfAResumedStream guards against a timer of a late prompt that reads the stream while it goes on. The race
// detector finds it.
func TestLatePrefillOfAResumedStream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, engineUps([]string{"p1"}, []string{"d1"})...)
		env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {20 * time.Second}}
		env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(3, 5)})
		r := resumable
		r.Objective = 300 * time.Millisecond
		j := job(r)
		j.Call.LastEvent = "2"
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), j, got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(3, 5))
	})
}
