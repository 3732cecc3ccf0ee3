package carry

import (
	"cmp"
	"context"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// scriptedLimits is a RateLimits that grants the given number of requests to each upstream.
type scriptedLimits struct {
	grants  map[ident.UpstreamID]int
	wait    time.Duration
	charged []ident.UpstreamID
	// asked is called for each request, if it is not nil.
	asked func()
}

func (l *scriptedLimits) TakeRequest(_ context.Context, u dialect.Upstream, _ float64) (bool, time.Duration) {
	if l.asked != nil {
		l.asked()
	}
	if l.grants[u.ID] > 0 {
		l.grants[u.ID]--
		return true, 0
	}
	return false, l.wait
}

func (l *scriptedLimits) ChargeRequest(_ context.Context, u dialect.Upstream, _ float64) {
	l.charged = append(l.charged, u.ID)
}

// limitRates makes upstreams of the service s state a rate limit.
func (env *testEnv) limitRates(perSecond float64, ids ...string) {
	for _, u := range env.view.Upstreams["s"] {
		if slices.Contains(ids, string(u.ID)) {
			env.o.Scheduler.ObserveRateLimit(clock.Now(), dialect.Notice{From: u, RequestedAt: clock.Now(), RateLimit: &perSecond})
		}
	}
}

// TestPlacementsPassTheGate guards against a new path to upstreams that does not ask for permission:
// all placements are made in gate.go, and requests are sent in the listed functions only.
func TestPlacementsPassTheGate(t *testing.T) {
	allowed := map[string][]string{
		"PickService": {"placePlain"}, "PlaceDecode": {"placeDecode"}, "PlacePrefill": {"placePrefill"},
		"Do": {"exchange", "send", "resumeAt"}, "Prefill": {"prefillAt"},
	}
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	found := map[string][]string{}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		assert.NilError(t, err)
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(f, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				method, ok := call.Fun.(*ast.SelectorExpr)
				if !ok || allowed[method.Sel.Name] == nil {
					return true
				}
				if on, ok := method.X.(*ast.SelectorExpr); ok && (on.Sel.Name == "Scheduler" || on.Sel.Name == "Dialect") {
					found[method.Sel.Name] = append(found[method.Sel.Name], f.Name.Name)
				}
				return true
			})
		}
	}
	for method, functions := range found {
		slices.Sort(functions)
		found[method] = functions
	}
	for _, functions := range allowed {
		slices.Sort(functions)
	}
	assert.DeepEqual(t, found, allowed)
}

// TestRateLimitHoldsOffPlainRequests guards against plain requests, first attempts and retries, that
// reach an upstream whose rate limit is reached.
func TestRateLimitHoldsOffPlainRequests(t *testing.T) {
	env := newTestEnv(t, ampleBudget, plainUps("a", "b", "c")...)
	limits := &scriptedLimits{grants: map[ident.UpstreamID]int{"a": 2}, wait: time.Minute}
	env.o.RateLimits = limits
	env.limitRates(1, "a", "b")
	env.d.do["c"] = []reply{refusal}
	for range 20 {
		_, _ = env.Plain(t.Context(), job(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}))
	}
	assert.Equal(t, env.d.count("do a"), 2)
	assert.Equal(t, env.d.count("do b"), 0)
	assert.Assert(t, env.d.count("do c") >= 18)
}

// TestRequestsBeyondRateLimitsAreRefusedAtOnce guards against requests that wait although the rate
// limits of all upstreams are reached, and against callers that are told to return too early or all
// at the same time.
func TestRequestsBeyondRateLimitsAreRefusedAtOnce(t *testing.T) {
	const wait = 3 * time.Second
	for name, send := range map[string]func(*testEnv) error{
		"plain": func(env *testEnv) error {
			env.view.Upstreams["s"] = plainUps("a", "b")
			env.limitRates(1, "a", "b")
			_, err := env.Plain(t.Context(), job(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}))
			return err
		},
		"decode": func(env *testEnv) error {
			env.limitRates(1, "d1", "d2")
			_, err := env.Stream(t.Context(), shortJob(), &streamRecorder{})
			return err
		},
		"prefill": func(env *testEnv) error {
			env.limitRates(1, "p1", "p2")
			env.o.Scheduler.RecordLimitReached(clock.Now(), env.view.Upstreams["s"][0], wait)
			env.o.Scheduler.RecordLimitReached(clock.Now(), env.view.Upstreams["s"][1], wait)
			_, err := env.Stream(t.Context(), shortJob(), &streamRecorder{})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newStreamEnv(t)
			env.o.RateLimits = &scriptedLimits{wait: wait}
			var retries []time.Duration
			for range 3 {
				start := time.Now()
				var refused *Error
				assert.Assert(t, errors.As(send(env), &refused))
				assert.Equal(t, refused.Outcome, NotRun)
				assert.Check(t, time.Since(start) < wait/2, "refused after %s", time.Since(start))
				retries = append(retries, refused.RetryAfter)
			}
			t.Log(retries)
			if name != "prefill" {
				assert.Check(t, retries[0] > wait/2 && retries[1] > retries[0] && retries[2] > retries[1], "%v", retries)
			}
			assert.Equal(t, env.d.countKind("do"), 0)
		})
	}
}

// shortJob returns a job for a stream whose first event must come within 0.9 s.
func shortJob() *Job {
	return job(routing.Route{Kind: routing.Stream, MaxAttempts: 1, Objective: 900 * time.Millisecond})
}

// TestRateLimitHoldsOffStreams guards against prefills, streams and migrations that reach an engine
// whose rate limit is reached.
func TestRateLimitHoldsOffStreams(t *testing.T) {
	env := newStreamEnv(t)
	env.o.RateLimits = &scriptedLimits{wait: time.Minute}
	env.limitRates(1, "p1", "d2")
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 2)})
	for range 10 {
		_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
		assert.NilError(t, err)
	}
	assert.Equal(t, env.d.count("prefill p1"), 0)
	assert.Equal(t, env.d.count("do d2"), 0)

	moving := startStreamAtD1(t, resumable)
	moving.o.RateLimits = &scriptedLimits{wait: time.Minute}
	moving.limitRates(1, "d2")
	s := moving.firstStream()
	_, ok := s.reserveDestination(t.Context(), moving.view.Upstreams["s"][1])
	assert.Assert(t, !ok)
	_ = moving.body.w.Close()
	<-moving.ended
}

// TestPrefillWaitsBrieflyForRateLimit guards against a decode engine that computes a prompt itself
// while the rate limit of the prefill engines allows it a moment later.
func TestPrefillWaitsBrieflyForRateLimit(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 2)})
	limits := &refilledLimits{wait: 50 * time.Millisecond}
	env.o.RateLimits = limits
	env.limitRates(20, "p1", "p2")
	_, err := env.Stream(t.Context(), shortJob(), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.countKind("prefill"), 1)
}

// refilledLimits denies the first request to each upstream.
type refilledLimits struct {
	wait  time.Duration
	asked map[ident.UpstreamID]bool
}

func (l *refilledLimits) TakeRequest(_ context.Context, u dialect.Upstream, _ float64) (bool, time.Duration) {
	if l.asked[u.ID] {
		return true, 0
	}
	if l.asked == nil {
		l.asked = map[ident.UpstreamID]bool{}
	}
	l.asked[u.ID] = true
	return false, l.wait
}

func (l *refilledLimits) ChargeRequest(context.Context, dialect.Upstream, float64) {}

// TestReturnToStoppedEngineIsCharged guards against sends that are made in any case and not counted
// in the engine's rate limit.
func TestReturnToStoppedEngineIsCharged(t *testing.T) {
	env := newStreamEnv(t)
	limits := &scriptedLimits{}
	env.o.RateLimits = limits
	env.limitRates(1, "d1")
	list := env.view.Upstreams["s"]
	env.chargeRateLimit(list[2])
	env.chargeRateLimit(list[3])
	env.cleanup.Wait()
	assert.DeepEqual(t, limits.charged, []ident.UpstreamID{"d1"})
}

// TestReservedEngineThatLeavesGetsNoStream guards against a stream that is sent to its reserved
// engine although the engine has said meanwhile that it leaves.
func TestReservedEngineThatLeavesGetsNoStream(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 2)})
	var leaves ident.UpstreamID
	env.d.prefilled = func() {
		list := slices.Clone(env.view.Upstreams["s"])
		for i, u := range list {
			if leaves == "" && slices.Contains(env.d.calls, "hold "+u.Address) {
				leaves = u.ID
				list[i].Leaving = true
			}
		}
		slices.SortFunc(list, func(a, b dialect.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		env.view = &fleet.Snapshot{Upstreams: map[string][]dialect.Upstream{"s": list}, AsOf: time.Now()}
	}
	_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.count("do "+string(leaves)), 0)
	assert.Equal(t, env.d.countKind("do"), 1)
	assert.Equal(t, env.d.countKind("prefill"), 1, "the prefill result goes to another engine")
}

// TestRestingUpstreamsGetNoRequests guards against plain requests, prefills, streams and migrations
// that reach an upstream which has asked for rest, and against callers that wait for its end.
func TestRestingUpstreamsGetNoRequests(t *testing.T) {
	rest := func(env *testEnv, ids ...string) {
		for _, u := range env.view.Upstreams["s"] {
			if slices.Contains(ids, string(u.ID)) {
				env.o.Scheduler.ObserveRest(clock.Now(), u, time.Minute)
			}
		}
	}
	plain := newTestEnv(t, ampleBudget, plainUps("a", "b")...)
	rest(plain, "a")
	for range 10 {
		_, err := plain.Plain(t.Context(), job(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}))
		assert.NilError(t, err)
	}
	assert.Equal(t, plain.d.count("do a"), 0)
	rest(plain, "b")
	var refused *Error
	start := time.Now()
	_, err := plain.Plain(t.Context(), job(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}))
	assert.Assert(t, errors.As(err, &refused) && refused.Outcome == NotRun)
	assert.Check(t, refused.RetryAfter > 10*time.Second && time.Since(start) < time.Second)

	streams := newStreamEnv(t)
	rest(streams, "p1", "d2")
	streams.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 2)})
	for range 10 {
		_, err := streams.Stream(t.Context(), job(singleRun), &streamRecorder{})
		assert.NilError(t, err)
	}
	assert.Equal(t, streams.d.count("prefill p1")+streams.d.count("do d2")+streams.d.count("hold d2"), 0)
	rest(streams, "d1")
	start = time.Now()
	_, err = streams.Stream(t.Context(), shortJob(), &streamRecorder{})
	assert.Assert(t, errors.As(err, &refused) && refused.Outcome == NotRun && refused.Reason == string(schedule.Resting), "%v", err)
	assert.Check(t, time.Since(start) < 500*time.Millisecond)
}

// TestReservedEngineThatAsksForRestGetsNoStream guards against a stream that is sent to its reserved
// engine although the engine has asked for rest meanwhile.
func TestReservedEngineThatAsksForRestGetsNoStream(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: http.StatusOK, body: events(1, 2)})
	var rests ident.UpstreamID
	env.d.prefilled = func() {
		for _, u := range env.view.Upstreams["s"] {
			if rests == "" && slices.Contains(env.d.calls, "hold "+u.Address) {
				rests = u.ID
				env.o.Scheduler.ObserveRest(clock.Now(), u, time.Minute)
			}
		}
	}
	_, err := env.Stream(t.Context(), job(singleRun), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.count("do "+string(rests)), 0)
	assert.Equal(t, env.d.countKind("do"), 1)
}
