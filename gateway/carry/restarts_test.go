package carry

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// withIncarnation returns copies of upstreams with the given incarnation.
func withIncarnation(incarnation ident.Incarnation, ups []dialect.Upstream) []dialect.Upstream {
	out := append([]dialect.Upstream(nil), ups...)
	for i := range out {
		out[i].Incarnation = incarnation
	}
	return out
}

// runHangingRequest sends a request to x, which never answers. After 300 ms, a list says that x
// has the given incarnation. It returns the environment, the duration of the request and its
// error.
func runHangingRequest(t *testing.T, r routing.Route, listed ident.Incarnation) (*testEnv, time.Duration, error) {
	ups := withIncarnation(5, plainUps("x", "y"))
	env := newTestEnv(t, ampleBudget, ups...)
	for range 9 {
		// y has more requests in flight, so that x is chosen.
		env.o.Scheduler.PickService(time.Now(), ups[1:], true, nil)
	}
	env.d.do["x"] = []reply{{hangs: true}}
	time.AfterFunc(300*time.Millisecond, func() { env.ObserveUpstreams(withIncarnation(listed, ups[:1])) })
	start := time.Now()
	_, err := env.Plain(t.Context(), job(r))
	return env, time.Since(start), err
}

// TestRestartEndsWhatWaitsForTheFormerIncarnation checks that requests which wait for an
// upstream that has restarted end at once: a repeatable one is sent elsewhere, for another it is
// reported as unknown whether it ran.
func TestRestartEndsWhatWaitsForTheFormerIncarnation(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env, took, err := runHangingRequest(t, idempotent, 6)
		assert.NilError(t, err)
		assert.Equal(t, took, 300*time.Millisecond)
		assert.Equal(t, env.d.count("do y"), 1)
	})
	bubble.Test(t, func(t *testing.T) {
		env, took, err := runHangingRequest(t, atMostOnce, 6)
		assert.Equal(t, outcomeOf(t, err), Unknown)
		assert.Equal(t, took, 300*time.Millisecond)
		assert.Equal(t, env.d.countKind("do"), 1)
	})
}

// TestSameOrOlderIncarnationEndsNothing checks that lists that arrive late or repeatedly cancel
// no attempts.
func TestSameOrOlderIncarnationEndsNothing(t *testing.T) {
	for _, listed := range []ident.Incarnation{5, 4, 0} {
		bubble.Test(t, func(t *testing.T) {
			_, took, _ := runHangingRequest(t, idempotent, listed)
			assert.Assert(t, took > 20*time.Second, "%v", took)
		})
	}
}

// TestReportShowsARestart checks that a restart is detected from an engine's report before any
// list shows it. The stream continues elsewhere, and failures of the previous incarnation do not
// count against the new one.
func TestReportShowsARestart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env, got, took, err := runStalledStreamWith(t, resumable, func(env *testEnv) {
			env.view.Upstreams["s"] = withIncarnation(5, env.view.Upstreams["s"])
			env.d.incarnations = map[ident.UpstreamID]ident.Incarnation{"d1": 6}
		})
		assert.NilError(t, err)
		assert.Equal(t, got.body.String(), events(1, 5))
		assert.Assert(t, took < time.Second, "%v", took)
		assert.Equal(t, env.d.count("do d2"), 1)
		fresh := withIncarnation(6, engineUps(nil, []string{"d1"}))
		assert.Equal(t, len(env.o.Scheduler.Reachable(time.Now(), fresh, dialect.StageDecode)), 1)
	})
}

// TestRestartEndsAMovedStream checks that a stream that was migrated to another engine ends when
// that engine restarts, even if nothing resets its connection.
func TestRestartEndsAMovedStream(t *testing.T) {
	env := startStreamAtD1(t, singleRun)
	env.d.mu.Lock()
	env.d.do["d2"] = []reply{{hangs: true}}
	env.d.mu.Unlock()
	ups := env.view.Upstreams["s"]
	env.mu.Lock()
	env.view.Upstreams["s"] = withIncarnation(5, ups)
	env.mu.Unlock()
	env.migrate(t)
	for env.d.count("do d2") == 0 {
		time.Sleep(time.Millisecond)
	}
	env.ObserveUpstreams(withIncarnation(6, ups))
	select {
	case <-env.ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the stream still waits for an engine that has restarted")
	}
	var interrupted *InterruptedError
	assert.Assert(t, errors.As(env.err, &interrupted), "%v", env.err)
	assert.Equal(t, env.got.body.String(), events(1, 2))
}
