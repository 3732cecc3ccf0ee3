package origin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

const testPage = 5

var errDown = errors.New("down")

// fakeEngines implements EngineReader with engines whose logs have pages of testPage entries.
type fakeEngines struct {
	mu      sync.Mutex
	logs    map[ident.UpstreamID][]dialect.CacheEntry
	running map[ident.UpstreamID]map[string]int
	epoch   map[ident.UpstreamID]string
	lost    int64
	ordered bool
	down    bool
	calls   int
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{logs: map[ident.UpstreamID][]dialect.CacheEntry{}, running: map[ident.UpstreamID]map[string]int{}, epoch: map[ident.UpstreamID]string{}}
}

func (f *fakeEngines) keep(id ident.UpstreamID, part string, tokens int) {
	f.logs[id] = append(f.logs[id], dialect.CacheEntry{Position: int64(len(f.logs[id]) + 1), Part: part, Tokens: tokens})
}

func (f *fakeEngines) CacheLog(_ context.Context, u dialect.Upstream, after int64) (dialect.CacheLog, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return dialect.CacheLog{}, errDown
	}
	log, from := f.logs[u.ID], max(after, f.lost)
	page := log[min(int(from), len(log)):min(int(from)+testPage, len(log))]
	return dialect.CacheLog{Epoch: f.epoch[u.ID], Next: from + int64(len(page)), Lost: after < f.lost, Entries: page}, nil
}

func (f *fakeEngines) Activity(_ context.Context, u dialect.Upstream) (dialect.Activity, error) {
	if f.down {
		return dialect.Activity{}, errDown
	}
	return dialect.Activity{Running: f.running[u.ID], NeverOrdered: !f.ordered}, nil
}

func engine(id ident.UpstreamID, version string) Engine {
	return Engine{Upstream: dialect.Upstream{ID: id, Stage: dialect.StageDecode, SoftwareVersion: version}}
}

var testQuery = Query{Attempt: "a", Part: "p", PartTokens: 1000}

// TestDecide checks which evidence is taken for the origin of a stream.
func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		shown   []evidence
		version string
		rule    Rule
	}{
		"no engine":             {nil, "", RuleNone},
		"runs":                  {[]evidence{{version: "v1", running: true}, {version: "v1", kept: 1000}, {version: "v2"}}, "v1", RuleRunning},
		"runs on elsewhere":     {[]evidence{{version: "v1", running: true}, {version: "v2", kept: 1200}}, "", RuleSeveral},
		"runs at two versions":  {[]evidence{{version: "v1", running: true}, {version: "v2", running: true}}, "", RuleSeveral},
		"output":                {[]evidence{{version: "v1"}, {version: "v2", kept: 1064}}, "v2", RuleOutput},
		"output at two":         {[]evidence{{version: "v1", kept: 1064}, {version: "v2", kept: 1064}}, "", RuleSeveral},
		"output and prompt":     {[]evidence{{version: "v1", kept: 1000}, {version: "v2", kept: 1064}}, "", RuleSeveral},
		"prompt in blocks":      {[]evidence{{version: "v1", kept: 985}, {version: "v2"}}, "v1", RulePrompt},
		"prompt of two engines": {[]evidence{{version: "v1", kept: 985}, {version: "v1", kept: 1000}}, "v1", RulePrompt},
		"earlier turn":          {[]evidence{{version: "v1", kept: 700}}, "", RuleNone},
		"once a prefill engine": {[]evidence{{version: "v1", kept: 1000, restaged: true}}, "", RuleNone},
		"output of one such":    {[]evidence{{version: "v1", kept: 1064, restaged: true}, {version: "v2", kept: 1000, restaged: true}}, "v1", RuleOutput},
	} {
		for i := range test.shown {
			test.shown[i].complete = true
		}
		version, ok, rule := decide(testQuery, test.shown)
		assert.Equal(t, version, test.version, name)
		assert.Equal(t, ok, test.version != "", name)
		assert.Equal(t, rule, test.rule, name)
	}
	_, ok, rule := decide(testQuery, []evidence{{version: "v1", kept: 1000, complete: true}, {version: "v2"}})
	assert.Assert(t, !ok && rule == RuleIncomplete, "%s: the other engine may have begun the stream", rule)
	version, ok, rule := decide(testQuery, []evidence{{version: "v1", kept: 1000, complete: true}, {version: "v1"}, {version: "v2", complete: true}})
	assert.Assert(t, ok && version == "v1" && rule == RulePrompt, "%s: an engine of the same version began the stream if the other one did", rule)
	_, ok, rule = decide(testQuery, []evidence{{version: "v1", kept: 1064, complete: true}, {version: "v2"}})
	assert.Assert(t, !ok && rule == RuleIncomplete, "%s: a silent engine may have made events that nobody got", rule)
	_, ok, _ = decide(Query{Attempt: "a", Part: "p"}, []evidence{{version: "v1", kept: 1000, complete: true}})
	assert.Assert(t, !ok, "the length of the prompt is unknown")
}

// TestEarlierTurnOfASessionIsNoOrigin guards against what an earlier request of the same session left at an engine.
func TestEarlierTurnOfASessionIsNoOrigin(t *testing.T) {
	for _, tokens := range []int{1000, 1200, 1230, 1260} {
		q := Query{Attempt: "b", Part: "p", PartTokens: tokens}
		version, ok, rule := decide(q, []evidence{{version: "v1", kept: 1200, complete: true}})
		assert.Check(t, !ok, "turn of %d tokens: %s %s", tokens, version, rule)
	}
}

// TestDecideNeverTakesAnotherVersion guards against an origin whose engine shows the stream and that is
// decided for another version.
func TestDecideNeverTakesAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "truth")
		var shown []evidence
		for range rapid.IntRange(0, 5).Draw(t, "others") {
			e := evidence{version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"), kept: rapid.SampledFrom([]int{0, 500, 1000, 1500}).Draw(t, "kept")}
			e.restaged, e.running, e.complete = rapid.Bool().Draw(t, "restaged"), rapid.Bool().Draw(t, "runs"), rapid.Bool().Draw(t, "complete")
			shown = append(shown, e)
		}
		began := evidence{version: truth, kept: rapid.SampledFrom([]int{1000, 1064}).Draw(t, "began"), running: rapid.Bool().Draw(t, "running")}
		shown = append(shown, began)
		version, ok, _ := decide(testQuery, shown)
		assert.Assert(t, !ok || version == truth, "%+v", shown)
	})
}

// TestFinderReadsWholeLogs checks that all pages of a log are read, later reads continue, and callers share
// a read.
func TestFinderReadsWholeLogs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFakeEngines()
		for n := range 3*testPage + 2 {
			f.keep("e1", fmt.Sprint("other", n), 100)
		}
		f.keep("e1", "p", 1064)
		finder, engines := NewFinder(f), []Engine{engine("e1", "v1"), engine("e2", "v2")}
		found := finder.Find(t.Context(), engines, testQuery, ReadTTL)
		assert.Equal(t, found.Version, "v1")
		assert.Equal(t, found.Rule, RuleOutput)
		assert.Equal(t, found.Incomplete, 0)
		calls := f.calls
		assert.Equal(t, finder.Find(t.Context(), engines, testQuery, ReadTTL).Version, "v1")
		assert.Equal(t, f.calls, calls, "a second caller reads nothing")
		time.Sleep(2 * ReadTTL)
		f.keep("e1", "q", 1064)
		assert.Equal(t, finder.Find(t.Context(), engines, Query{Part: "q", PartTokens: 1000}, ReadTTL).Version, "v1")
		assert.Assert(t, f.calls <= calls+3, "%d calls after %d", f.calls, calls)
	})
}

// TestFinderDistrustsLogs guards against what a log of an earlier incarnation showed, and checks that missing
// entries and engines that don't answer are counted.
func TestFinderDistrustsLogs(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFakeEngines()
		f.epoch["e1"] = "1"
		f.keep("e1", "p", 1064)
		finder, engines := NewFinder(f), []Engine{engine("e1", "v1")}
		assert.Equal(t, finder.Find(t.Context(), engines, testQuery, ReadTTL).Version, "v1")

		time.Sleep(2 * ReadTTL)
		f.epoch["e1"], f.logs["e1"] = "2", nil
		f.keep("e1", "other", 10)
		found := finder.Find(t.Context(), engines, testQuery, ReadTTL)
		assert.Assert(t, !found.Known)
		assert.Equal(t, found.Incomplete, 0)

		time.Sleep(2 * ReadTTL)
		f.down = true
		assert.Equal(t, finder.Find(t.Context(), engines, testQuery, ReadTTL).Incomplete, 1)

		f = newFakeEngines()
		for n := range 4 {
			f.keep("e1", fmt.Sprint(n), 10)
		}
		f.lost = 2
		found = NewFinder(f).Find(t.Context(), engines, testQuery, ReadTTL)
		assert.Equal(t, found.Incomplete, 1)
	})
}

// slowEngines implements EngineReader with engines that take some time to answer.
type slowEngines struct{ *fakeEngines }

func (s slowEngines) Activity(ctx context.Context, u dialect.Upstream) (dialect.Activity, error) {
	select {
	case <-time.After(10 * time.Millisecond):
		return s.fakeEngines.Activity(ctx, u)
	case <-ctx.Done():
		return dialect.Activity{}, ctx.Err()
	}
}

// TestCallerThatLeavesDoesNotEndTheReadOfOthers guards against origins that are not found because the caller whose
// return started the read of an engine has left.
func TestCallerThatLeavesDoesNotEndTheReadOfOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFakeEngines()
		f.keep("e1", "p", 1064)
		finder := NewFinder(slowEngines{f})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		assert.Assert(t, !finder.Find(ctx, []Engine{engine("e1", "v1")}, testQuery, TTL).Known)
		assert.Assert(t, finder.Find(t.Context(), []Engine{engine("e1", "v1")}, testQuery, TTL).Known)
	})
}

// TestEngineWithoutOrdersNeedsNoHistory guards against streams that are refused because the store's history is
// missing or late, though the engines that keep their prompts have been decode engines since their start.
func TestEngineWithoutOrdersNeedsNoHistory(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			f := newFakeEngines()
			f.ordered = ordered
			f.keep("e1", "p", 1000)
			engines := []Engine{engine("e1", "v1"), engine("e2", "v2")}
			for i := range engines {
				engines[i].Restaged = true
			}
			found := NewFinder(f).Find(t.Context(), engines, testQuery, ReadTTL)
			assert.Equal(t, found.Known, !ordered, "%s", found.Rule)
		})
	}
}

// TestReturnsAtOnceShareTheReadsOfEngines guards against engines that are asked once for each of hundreds of callers
// who return at the same time.
func TestReturnsAtOnceShareTheReadsOfEngines(t *testing.T) {
	const returns = 400
	for _, count := range []int{9, 90, 512} {
		bubble.Test(t, func(t *testing.T) {
			f := newFakeEngines()
			var engines []Engine
			for n := range count {
				id := ident.UpstreamID(fmt.Sprint("e", n))
				f.keep(id, fmt.Sprint("p", n), 1064)
				engines = append(engines, engine(id, "v1"))
			}
			finder := NewFinder(slowEngines{f})
			var all sync.WaitGroup
			took := make([]time.Duration, returns)
			for n := range returns {
				all.Go(func() {
					found := finder.Find(t.Context(), engines, Query{Part: fmt.Sprint("p", n%count), PartTokens: 1000}, ReadTTL)
					assert.Check(t, found.Known, "%d engines, return %d: %s", count, n, found.Rule)
					took[n] = found.Took
				})
			}
			all.Wait()
			assert.Assert(t, f.calls <= 2*count, "%d pages of %d engines", f.calls, count)
			assert.Assert(t, slices.Max(took) <= readTimeout, "%s", slices.Max(took))
		})
	}
}

// TestEngineThatDidNotAnswerIsAskedAgain guards against an engine that counts as read although it did not answer.
func TestEngineThatDidNotAnswerIsAskedAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFakeEngines()
		f.keep("e1", "p", 1064)
		f.down = true
		finder := NewFinder(f)
		assert.Assert(t, !finder.Find(t.Context(), []Engine{engine("e1", "v1")}, testQuery, TTL).Known)
		f.down = false
		time.Sleep(2 * ReadTTL)
		assert.Assert(t, finder.Find(t.Context(), []Engine{engine("e1", "v1")}, testQuery, TTL).Known)
	})
}

// TestLogOfAnotherVersionIsNotReused guards against what an engine showed before it restarted under its ID with
// another version.
func TestLogOfAnotherVersionIsNotReused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFakeEngines()
		f.keep("e1", "p", 1064)
		finder := NewFinder(f)
		assert.Assert(t, finder.Find(t.Context(), []Engine{engine("e1", "v1")}, testQuery, ReadTTL).Known)
		f.down = true
		assert.Assert(t, !finder.Find(t.Context(), []Engine{engine("e1", "v2")}, testQuery, ReadTTL).Known)
	})
}

// TestPartsOfAnEngineAreBounded checks that the most recent parts are remembered, and what nobody uses is freed.
func TestPartsOfAnEngineAreBounded(t *testing.T) {
	l := newEngineLog(dialect.Upstream{})
	for n := range 5 * maxRecentParts {
		l.keep(dialect.CacheEntry{Part: fmt.Sprint(n), Tokens: 1})
		assert.Assert(t, len(l.recent)+len(l.earlier) <= 2*maxRecentParts)
	}
	assert.Equal(t, l.evidence(t.Context(), Query{Part: fmt.Sprint(4 * maxRecentParts)}).kept, 1)
	bubble.Test(t, func(t *testing.T) {
		finder := NewFinder(newFakeEngines())
		finder.Find(t.Context(), []Engine{engine("e1", "v1")}, testQuery, ReadTTL)
		time.Sleep(idleTTL + time.Second)
		finder.Expire(time.Now())
		assert.Equal(t, len(finder.engines), 0)
	})
}

// TestEnginesThatLeftAreForgotten guards against memory that grows with each engine that is replaced while callers
// return.
func TestEnginesThatLeftAreForgotten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		finder := NewFinder(newFakeEngines())
		for n := range 100 {
			finder.Find(t.Context(), []Engine{engine(ident.UpstreamID(fmt.Sprint("e", n)), "v1")}, testQuery, ReadTTL)
			time.Sleep(idleTTL / 4)
			finder.Expire(time.Now())
		}
		assert.Assert(t, len(finder.engines) <= 5, "%d engines", len(finder.engines))
	})
}

// TestRunThatAnotherVersionTookOverIsNoOrigin guards against a silent engine that runs on after an engine of another
// version, which does not answer now, took its stream over before the first event.
func TestRunThatAnotherVersionTookOverIsNoOrigin(t *testing.T) {
	version, ok, rule := decide(testQuery, []evidence{{version: "v1", running: true, complete: true}, {version: "v2"}})
	assert.Assert(t, !ok, "%s %s", version, rule)
}

// TestEngineWithoutATraceOfAShortPromptIsNoOrigin guards against engines that have not kept the prompt but count as if
// they had, because its last part is shorter than a block of the cache.
func TestEngineWithoutATraceOfAShortPromptIsNoOrigin(t *testing.T) {
	for _, tokens := range []int{1, 50, blockTokens - 1, blockTokens, blockTokens + 1} {
		q := Query{Attempt: "a", Part: "p", PartTokens: tokens}
		version, ok, rule := decide(q, []evidence{{version: "v1", complete: true}})
		assert.Check(t, !ok && rule == RuleNone, "%d tokens: %s %s", tokens, version, rule)
		version, _, rule = decide(q, []evidence{{version: "v1", running: true, complete: true}, {version: "v2", complete: true}})
		assert.Check(t, version == "v1", "%d tokens: %s", tokens, rule)
		version, _, rule = decide(q, []evidence{{version: "v1", kept: tokens, complete: true}, {version: "v2", complete: true}})
		assert.Check(t, version == "v1", "%d tokens: %s", tokens, rule)
	}
}
