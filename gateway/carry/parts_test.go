package carry

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

// crashingPart is the part of prompts that crashes upstreams in these tests.
const crashingPart = "bad"

// withParts returns a job for a route, with a content of its own, whose prompt has the given parts.
func withParts(r routing.Route, parts ...string) *Job {
	j := job(r)
	j.Call.SharedPromptParts = parts
	j.Content = quarantine.ContentOf(j.Call)
	return j
}

// blame records crashes in succession that quarantine crashingPart.
func (env *testEnv) blame() {
	now := time.Now()
	env.o.Register.AnswerBegun(now, quarantine.PartsOf("s", []string{"sound"}))
	for i := range 3 {
		sent := now.Add(time.Duration(i-3) * time.Second)
		env.o.Register.Crashed(now, quarantine.Attempt{
			Content: quarantine.Content(100 + i), Upstream: dialect.Upstream{ID: ident.UpstreamID(fmt.Sprint("gone", i))},
			Parts: quarantine.PartsOf("s", []string{crashingPart}), SentAt: sent, BrokenAt: sent.Add(time.Second),
		})
	}
}

// TestQuarantinedPartIsSentOnNoPath guards against a path to upstreams that does not ask, just before
// it sends, whether a part of the prompt is quarantined.
func TestQuarantinedPartIsSentOnNoPath(t *testing.T) {
	for name, c := range map[string]struct {
		route routing.Route
		// when has blame called before or during the request.
		when func(env *testEnv)
		// sent and prefills are the numbers of requests and prefills sent, runs that of the requests
		// which may have run.
		sent, prefills, runs int
	}{
		"stream":                {route: resumable, when: (*testEnv).blame},
		"stream that runs once": {route: singleRun, when: (*testEnv).blame},
		"plain":                 {route: idempotent, when: (*testEnv).blame},
		"after the prefill":     {route: singleRun, when: func(env *testEnv) { env.d.prefilled = env.blame }, prefills: 1},
		"plain, while it waits for an upstream": {route: idempotent, when: func(env *testEnv) {
			env.o.RateLimits = &scriptedLimits{grants: map[ident.UpstreamID]int{"d1": 9, "d2": 9, "p1": 9}, asked: env.blame}
			env.limitRates(1, "d1", "d2", "p1")
		}},
		"plain retry": {route: idempotent, when: func(env *testEnv) {
			env.d.onDo = env.blame
			for _, u := range env.view.Upstreams["s"] {
				env.d.do[u.ID] = []reply{{err: errInterrupted}}
			}
		}, sent: 1, runs: 1},
		"stream started again": {route: resumable, when: func(env *testEnv) {
			env.d.onDo = env.blame
			env.d.do["d1"], env.d.do["d2"] = []reply{refusal}, []reply{refusal}
		}, sent: 1, prefills: 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newStreamEnv(t)
				c.when(env)
				j := withParts(c.route, "first", crashingPart)
				var err error
				if c.route.Kind == routing.Stream {
					_, err = env.Stream(t.Context(), j, &streamRecorder{})
				} else {
					_, err = env.Plain(t.Context(), j)
				}
				synctest.Wait()
				var refused *Error
				assert.Assert(t, errors.As(err, &refused), "%v", err)
				assert.Equal(t, refused.Reason, reasonPartQuarantined)
				assert.Equal(t, refused.Outcome, outcomeAfter(c.runs))
				assert.Equal(t, env.d.countKind("do"), c.sent)
				assert.Equal(t, env.d.countKind("prefill"), c.prefills)
				assert.Equal(t, env.d.countKind("free"), c.prefills, "the prefill result is not freed")
				// Prompts without the part are sent.
				env.d.onDo, env.d.do = nil, map[ident.UpstreamID][]reply{}
				_, err = env.Plain(t.Context(), withParts(idempotent, "first"))
				assert.NilError(t, err)
			})
		})
	}
}

// TestCrashesBlameThePartsOfPromptsWithoutAnAnswer checks which attempts incriminate the parts of
// their prompts: those that no answer had begun to, whether their engine refuses connections or
// falls silent.
func TestCrashesBlameThePartsOfPromptsWithoutAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		reply     reply
		lastEvent string
		silent    bool
		blamed    bool
	}{
		"before the head":         {reply: reply{err: errInterrupted}, blamed: true},
		"after the head":          {reply: reply{verdict: dialect.Success, status: 200, breaks: true}, blamed: true},
		"after one event":         {reply: reply{verdict: dialect.Success, status: 200, body: events(1, 1), breaks: true}, blamed: true},
		"after two events":        {reply: reply{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}},
		"resumed":                 {reply: reply{verdict: dialect.Success, status: 200, breaks: true}, lastEvent: "7"},
		"silent after the head":   {reply: reply{verdict: dialect.Success, status: 200, breaks: true}, silent: true, blamed: true},
		"silent after two events": {reply: reply{verdict: dialect.Success, status: 200, body: events(1, 2), breaks: true}, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newStreamEnv(t)
				for i := range 3 {
					env.o.Register.AnswerBegun(time.Now(), quarantine.PartsOf("s", []string{"sound"}))
					j := withParts(singleRun, crashingPart)
					j.Content, j.Call.LastEvent = quarantine.Content(i), c.lastEvent
					env.crashUpstreams(c.reply, "d1", "d2")
					if c.silent {
						env.d.silent, env.d.crashed = env.d.crashed, nil
					}
					// The next incarnations of both engines.
					for n, u := range env.view.Upstreams["s"] {
						env.view.Upstreams["s"][n].Incarnation = u.Incarnation + 1
					}
					_, err := env.Stream(t.Context(), j, &streamRecorder{})
					assert.Assert(t, err != nil)
					time.Sleep(time.Second)
				}
				want := quarantine.Clear
				if c.blamed {
					want = quarantine.Quarantined
				}
				v := env.o.Register.PartsVerdict(time.Now(), quarantine.PartsOf("s", []string{crashingPart}))
				assert.Equal(t, v.Standing, want)
			})
		})
	}
}

// TestAnswersToPromptsWithoutPartsCount guards against a part that is never blamed because the sound
// prompts of its service have no part that they share.
func TestAnswersToPromptsWithoutPartsCount(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newStreamEnv(t)
		for i := range 3 {
			env.d.do["d1"], env.d.do["d2"] = []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}, []reply{{verdict: dialect.Success, status: 200, body: events(1, 2)}}
			_, err := env.Stream(t.Context(), withParts(singleRun), &streamRecorder{})
			assert.NilError(t, err)
			env.crashUpstreams(reply{err: errInterrupted}, "d1", "d2")
			for n, u := range env.view.Upstreams["s"] {
				env.view.Upstreams["s"][n].Incarnation = u.Incarnation + 1
			}
			j := withParts(singleRun, crashingPart)
			j.Content = quarantine.Content(i)
			_, err = env.Stream(t.Context(), j, &streamRecorder{})
			assert.Assert(t, err != nil)
			env.d.crashed = nil
			time.Sleep(time.Second)
		}
		v := env.o.Register.PartsVerdict(time.Now(), quarantine.PartsOf("s", []string{crashingPart}))
		assert.Equal(t, v.Standing, quarantine.Quarantined)
	})
}
