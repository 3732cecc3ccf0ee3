package carry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// resumedJob returns a stream that its caller resumes after the second event.
func resumedJob(r routing.Route) *Job {
	j := job(r)
	j.Call.LastEvent, j.Call.ReceivedEvents, j.Call.LastPromptPart = "2", 2, "part"
	return j
}

// TestResumedStreamGoesWhereItsCacheIs checks that a resumed stream continues at the engine that
// holds most of its KV cache, which computes the rest, without a new prefill.
func TestResumedStreamGoesWhereItsCacheIs(t *testing.T) {
	env := newTestEnv(t, ampleBudget, engineUps([]string{"p1"}, []string{"d1", "d2", "d3"})...)
	env.d.cached = map[ident.UpstreamID]map[string]int{"d1": {"part": 300, "other": 9000}, "d3": {"part": 1100}}
	env.d.do["d3"] = []reply{{verdict: dialect.Success, status: 200, body: events(3, 5)}}
	var got streamRecorder
	_, err := env.Stream(t.Context(), resumedJob(resumable), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.body.String(), events(3, 5))
	assert.Equal(t, env.d.countKind("prefill"), 0)
	assert.Equal(t, env.d.count("do d3"), 1)
	assert.Assert(t, env.d.sends[0].Source == nil)
	assert.Equal(t, env.d.sends[0].LastEvent, "2")
}

// TestResumedStreamWithoutCacheIsComputed checks that a resumed stream is prefilled again if no
// engine holds its KV cache, or if the engine that does has no room for long.
func TestResumedStreamWithoutCacheIsComputed(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(3, 5)})
	_, err := env.Stream(t.Context(), resumedJob(resumable), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, env.d.countKind("prefill"), 1)
	full := newStreamEnv(t)
	full.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(3, 5)})
	full.d.cached = map[ident.UpstreamID]map[string]int{"d1": {"part": 1100}}
	full.d.reserve["d1"] = []error{&dialect.NoCapacityError{}}
	_, err = full.Stream(t.Context(), resumedJob(resumable), &streamRecorder{})
	assert.NilError(t, err)
	assert.Equal(t, full.d.count("do d2"), 1)
	assert.Equal(t, full.d.countKind("prefill"), 1)
}

// TestListsOfCachesAreShared checks that streams that are resumed at the same time share the
// engines' cache lists.
func TestListsOfCachesAreShared(t *testing.T) {
	env := newStreamEnv(t)
	env.serveStreams(reply{verdict: dialect.Success, status: 200, body: events(3, 5)})
	for range 3 {
		_, err := env.Stream(t.Context(), resumedJob(resumable), &streamRecorder{})
		assert.NilError(t, err)
	}
	assert.Equal(t, env.d.countKind("kept"), 2, "want one list call for each decode engine")
}

// TestOnlyTheOwnZonesCachesAreListedOfMany checks that with many decode engines only those of
// the instance's own zone are asked for their cache lists.
func TestOnlyTheOwnZonesCachesAreListedOfMany(t *testing.T) {
	ups := engineUps(nil, []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "13"})
	for i := range ups[3:] {
		ups[3+i].Zone = "z"
	}
	env := newTestEnv(t, ampleBudget, ups...)
	env.o.Zone = "a"
	s := &stream{c: env.Forwarder, j: resumedJob(resumable), log: env.o.Log}
	assert.Equal(t, len(s.cacheHolderCandidates()), 3)
	env.view.Upstreams["s"] = ups[:12]
	assert.Equal(t, len(s.cacheHolderCandidates()), 12)
}
