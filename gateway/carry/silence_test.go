package carry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// The tests in this file guard against answers that are lost while a sound upstream is silent for a
// second or so.

// budgetOf returns a retry budget for the given number of sends beyond the first.
func budgetOf(sends float64) *schedule.Budget {
	return schedule.NewBudget(time.Now(), schedule.BudgetOptions{Window: time.Hour, Slack: sends}, func() int { return 1 })
}

// TestSilentEngineKeepsItsStreamUntilAnotherEngineAnswers guards against a stream that is ended at a
// silent engine in favor of an engine or a peer that then does not run it.
func TestSilentEngineKeepsItsStreamUntilAnotherEngineAnswers(t *testing.T) {
	for name, prepare := range map[string]func(env *testEnv){
		"prefill fails":          func(env *testEnv) { env.d.prefill["p1"] = []error{nil, errInterrupted} },
		"decode is refused":      func(env *testEnv) { env.d.do["d2"] = []reply{refusal} },
		"decode is not answered": func(env *testEnv) { env.d.do["d2"] = []reply{{hangs: true}} },
		"connection is refused":  func(env *testEnv) { env.d.do["d2"] = []reply{{err: errConnectionRefused}} },
		"stream ends before an event": func(env *testEnv) {
			env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, breaks: true}}
		},
		"no peer takes it": func(env *testEnv) { env.disconnectedFrom = time.Now().Add(500 * time.Millisecond) },
		"peer declines": func(env *testEnv) {
			env.disconnectedFrom = time.Now().Add(500 * time.Millisecond)
			env.relayTo = func(relay.Request) (*http.Response, error) { return nil, &relay.Failure{Outcome: relay.NotRun} }
		},
		"peer does not answer": func(env *testEnv) {
			env.disconnectedFrom = time.Now().Add(500 * time.Millisecond)
			env.peersHang = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				_, got, took, err := runStalledStreamWith(t, resumable, func(env *testEnv) {
					env.d.silent = map[ident.UpstreamID]bool{"d1": true}
					env.o.Budget = budgetOf(3)
					prepare(env)
				})
				assert.NilError(t, err)
				assert.Equal(t, got.body.String(), events(1, 5))
				assert.Equal(t, got.heads, 1)
				assert.Assert(t, took >= 3*time.Second, "%v", took)
			})
		})
	}
}

// TestStreamAtASilentEngineIsDeliveredOnce guards against events that are missing or come twice when a
// silent engine goes on while another one takes its stream over.
func TestStreamAtASilentEngineIsDeliveredOnce(t *testing.T) {
	const last = 8
	for _, silence := range []time.Duration{700, 820, 900, 950, 1000, 1050, 1200, 1500, 2500} {
		for _, prefill := range []time.Duration{0, 100, 300} {
			for _, decode := range []time.Duration{0, 50, 250, 600} {
				t.Run(fmt.Sprintf("silent %d ms, prefill %d ms, decode %d ms", silence, prefill, decode), func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) {
						env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
						body := newControlledBody()
						env.d.silent = map[ident.UpstreamID]bool{"d1": true}
						env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, stream: body}}
						env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, last), delay: decode * time.Millisecond}}
						env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
						env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {0, prefill * time.Millisecond}}
						var upstream sync.WaitGroup
						defer upstream.Wait()
						upstream.Go(func() {
							_, err := io.WriteString(body.w, events(1, 2))
							for event := 3; event <= last && err == nil; event++ {
								pause := 20 * time.Millisecond
								if event == 3 {
									pause = silence * time.Millisecond
								}
								time.Sleep(pause)
								_, err = io.WriteString(body.w, events(event, event))
							}
							if err == nil {
								_ = body.w.Close()
							}
						})
						r := resumable
						r.PaceObjective = 300 * time.Millisecond
						got := &streamRecorder{}
						_, err := env.Stream(t.Context(), job(r), got)
						assert.NilError(t, err)
						assert.Equal(t, got.body.String(), events(1, last))
						assert.Equal(t, got.heads, 1)
						env.Close()
						for _, id := range []ident.UpstreamID{"p1", "d1", "d2"} {
							assert.Equal(t, env.o.Scheduler.RequestCount(id), 0, "%s", id)
						}
					})
				})
			}
		}
	}
}

// TestSilentEngineKeepsAStreamThatHasNotBegun guards against a request that fails because its engine is
// silent before the first event, while the retry budget is spent.
func TestSilentEngineKeepsAStreamThatHasNotBegun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		env.d.silent = map[ident.UpstreamID]bool{"d1": true, "d2": true}
		for _, id := range []ident.UpstreamID{"d1", "d2"} {
			env.d.do[id] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 5), delay: 1500 * time.Millisecond}}
		}
		r := resumable
		r.PaceObjective = 300 * time.Millisecond
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), job(r), got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.Equal(t, env.d.countKind("do"), 1)
	})
}

// TestSilentPrefillEngineKeepsItsPrompt guards against a request that fails because its prefill engine
// is silent for a second, while the retry budget does not allow another prefill.
func TestSilentPrefillEngineKeepsItsPrompt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0, engineUps([]string{"p1", "p2"}, []string{"d1"})...)
		env.d.silent = map[ident.UpstreamID]bool{"p1": true, "p2": true}
		env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {1200 * time.Millisecond}, "p2": {1200 * time.Millisecond}}
		env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(1, 5)})
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), job(resumable), got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.Equal(t, env.d.countKind("prefill"), 1)
	})
}

// TestSilentPrefillEngineKeepsAStreamUnderWay guards against a stream whose engine has crashed and that ends
// because the prefill for its next run takes longer than usual, while the retry budget does not allow another
// one.
func TestSilentPrefillEngineKeepsAStreamUnderWay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2"})...)
		env.o.Budget = budgetOf(3)
		env.d.silent = map[ident.UpstreamID]bool{"p1": true}
		env.d.prefillTime = map[ident.UpstreamID][]time.Duration{"p1": {0, 1300 * time.Millisecond}}
		env.d.do["d1"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}}
		env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 5)}}
		env.d.reserve["d2"] = []error{&dialect.NoCapacityError{}, nil}
		r := resumable
		r.PaceObjective, r.Objective = 300*time.Millisecond, 500*time.Millisecond
		got := &streamRecorder{}
		_, err := env.Stream(t.Context(), job(r), got)
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
	})
}

// TestStreamWithoutAnEventIsAnsweredBeforeItsDeadline guards against a caller who is told nothing before
// its deadline, because its engine is silent until then.
func TestStreamWithoutAnEventIsAnsweredBeforeItsDeadline(t *testing.T) {
	for name, hung := range map[string]reply{"no head": {hangs: true}, "no event": {verdict: dialect.Success, status: 200}} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1"})...)
				if !hung.hangs {
					body := newControlledBody()
					defer body.w.Close()
					hung.stream = body
				}
				env.d.do["d1"] = []reply{hung}
				j := job(singleRun)
				j.Deadline = j.Arrived.Add(3 * time.Second)
				_, err := env.Stream(t.Context(), j, &streamRecorder{})
				var failed *Error
				assert.Assert(t, errors.As(err, &failed), "%v", err)
				assert.Equal(t, failed.Outcome, TimedOut)
				assert.Assert(t, time.Now().Before(j.Deadline), "answered %v after the deadline", time.Since(j.Deadline))
			})
		})
	}
}

// plainJob returns a job of a route whose caller waits for a second.
func plainJob(r routing.Route) *Job {
	j := job(r)
	j.Deadline = j.Arrived.Add(time.Second)
	return j
}

// serveFirstAndSecond makes whichever of the upstreams x and y is asked first answer with first, and the
// other one with second.
func (env *testEnv) serveFirstAndSecond(first, second reply) {
	env.d.do["x"], env.d.do["y"] = []reply{first}, []reply{first}
	time.AfterFunc(100*time.Millisecond, func() {
		env.d.mu.Lock()
		defer env.d.mu.Unlock()
		env.d.do["x"], env.d.do["y"] = []reply{second}, []reply{second}
	})
}

// TestSlowUpstreamKeepsItsRequest guards against a request that is ended at a silent upstream although no
// other one answers it: there is no send of the retry budget, or the other upstream is silent as well.
func TestSlowUpstreamKeepsItsRequest(t *testing.T) {
	slow := reply{verdict: dialect.Success, status: 200, body: "slow", delay: 800 * time.Millisecond}
	for name, c := range map[string]struct {
		budget float64
		other  reply
		sends  int
	}{
		"no budget":       {0, reply{verdict: dialect.Success, status: 200}, 1},
		"other silent":    {ampleBudget, reply{hangs: true}, 2},
		"other fails":     {ampleBudget, reply{verdict: dialect.Failure, status: 500}, 2},
		"other refuses":   {ampleBudget, refusal, 2},
		"other breaks":    {ampleBudget, reply{err: errInterrupted}, 2},
		"other not there": {ampleBudget, reply{err: errNotSent}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, c.budget, plainUps("x", "y")...)
				env.serveFirstAndSecond(slow, c.other)
				a, err := env.Plain(t.Context(), plainJob(idempotent))
				assert.NilError(t, err)
				assert.Equal(t, string(a.Body), "slow")
				env.Close()
				assert.Equal(t, env.d.countKind("do"), c.sends)
				for _, id := range []ident.UpstreamID{"x", "y"} {
					assert.Equal(t, env.o.Scheduler.RequestCount(id), 0)
				}
			})
		})
	}
}

// TestSilentUpstreamIsLeftAsSoonAsAnotherAnswers checks that a request whose upstream is silent is answered
// by another one as early as if the first one had been given up, and that the first one is canceled then.
func TestSilentUpstreamIsLeftAsSoonAsAnotherAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
		env.serveFirstAndSecond(reply{hangs: true}, reply{verdict: dialect.Success, status: 200, body: "other"})
		j := plainJob(idempotent)
		a, err := env.Plain(t.Context(), j)
		assert.NilError(t, err)
		assert.Equal(t, string(a.Body), "other")
		assert.Assert(t, time.Since(j.Arrived) <= 650*time.Millisecond, "%v", time.Since(j.Arrived))
		env.Close()
		synctest.Wait()
		for _, id := range []ident.UpstreamID{"x", "y"} {
			assert.Equal(t, env.o.Scheduler.RequestCount(id), 0)
		}
	})
}

// TestCallerIsAnsweredBeforeItsDeadline guards against a caller who is told nothing before its deadline: the
// last attempt lasted until then, and then the upstream was asked whether it had crashed.
func TestCallerIsAnsweredBeforeItsDeadline(t *testing.T) {
	for name, r := range map[string]reply{
		"silent":            {hangs: true},
		"breaks off late":   {err: errInterrupted, delay: 940 * time.Millisecond},
		"breaks off before": {err: errInterrupted, delay: 850 * time.Millisecond},
	} {
		for _, route := range []routing.Route{atMostOnce, idempotent} {
			t.Run(fmt.Sprint(name, route.Kind), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
					env.d.do["x"], env.d.do["y"] = []reply{r}, []reply{r}
					env.d.silent = map[ident.UpstreamID]bool{"x": true, "y": true}
					env.d.checkTime = stateCheckTimeout
					j := plainJob(route)
					_, err := env.Plain(t.Context(), j)
					assert.Assert(t, outcomeOf(t, err) != NotRun)
					assert.Assert(t, time.Since(j.Arrived) <= 980*time.Millisecond, "answered after %v", time.Since(j.Arrived))
				})
			})
		}
	}
}

// TestStopDuringTwoAttemptsDoesNotSayNotRun checks that a request which two upstreams may be running when
// the instance stops is not reported as not run.
func TestStopDuringTwoAttemptsDoesNotSayNotRun(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			env := newTestEnv(t, ampleBudget, plainUps("x", "y")...)
			env.d.do["x"], env.d.do["y"] = []reply{{hangs: true}}, []reply{{hangs: true}}
			ctx, stop := context.WithCancelCause(t.Context())
			time.AfterFunc(after, func() { stop(&StoppedError{}) })
			_, err := env.Plain(ctx, plainJob(idempotent))
			assert.Equal(t, outcomeOf(t, err), Unknown)
		})
	}
}

// TestStreamThatMovedOnDoesNotCountAtItsFirstEngine guards against an engine that counts as busy with a
// stream which another one has taken over.
func TestStreamThatMovedOnDoesNotCountAtItsFirstEngine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		second := newControlledBody()
		time.AfterFunc(2*time.Second, func() {
			if _, err := io.WriteString(second.w, events(4, 5)); err == nil {
				_ = second.w.Close()
			}
		})
		var upstream sync.WaitGroup
		upstream.Go(func() { _, _ = io.WriteString(second.w, events(3, 3)) })
		defer upstream.Wait()
		counted := make(chan map[ident.UpstreamID]int, 1)
		_, got, _, err := runStalledStreamWith(t, resumable, func(env *testEnv) {
			env.d.silent = map[ident.UpstreamID]bool{"d1": true}
			env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, stream: second}}
			time.AfterFunc(1500*time.Millisecond, func() {
				counted <- map[ident.UpstreamID]int{"d1": env.o.Scheduler.RequestCount("d1"), "d2": env.o.Scheduler.RequestCount("d2")}
			})
		})
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.DeepEqual(t, <-counted, map[ident.UpstreamID]int{"d1": 0, "d2": 1})
	})
}
