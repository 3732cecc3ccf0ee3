package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
)

func (w *simFleet) CacheLog(_ context.Context, u dialect.Upstream, after int64) (dialect.CacheLog, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logReads++
	e, ok := w.engineAt(u.Address)
	if !ok || e.upstream.ID != u.ID {
		return dialect.CacheLog{}, connectionRefused()
	}
	entries := e.log[min(int(after), len(e.log)):min(int(after)+simLogPage, len(e.log))]
	return dialect.CacheLog{Epoch: string(u.ID), Next: after + int64(len(entries)), Entries: entries}, nil
}

func (w *simFleet) Activity(_ context.Context, u dialect.Upstream) (dialect.Activity, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.engineAt(u.Address)
	if !ok || e.upstream.ID != u.ID {
		return dialect.Activity{}, connectionRefused()
	}
	return dialect.Activity{Running: maps.Clone(e.requests), NeverOrdered: !e.ordered}, nil
}

// simLogPage is the number of entries in a page of an engine's cache log.
const simLogPage = 500

// lostStream is a stream whose origin no instance remembers.
type lostStream struct {
	query   origin.Query
	version string
}

// loseStreams has engines begin streams, and returns them. Of three streams one still runs, one has left its
// output in the engine's cache, and one only its prompt. Prefill engines of all versions hold the prompts.
func (w *simFleet) loseStreams(prefix string, count int) (lost []lostStream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	addresses := slices.Sorted(maps.Keys(w.engines))
	var decode, prefill []*simEngine
	for _, a := range addresses {
		if e := w.engines[a]; e.upstream.Stage == dialect.StageDecode {
			decode = append(decode, e)
		} else {
			prefill = append(prefill, e)
		}
	}
	const promptTokens = 5000
	for n := range count {
		e := decode[n%len(decode)]
		s := lostStream{origin.Query{Attempt: fmt.Sprintf("%s-%d", prefix, n), Part: fmt.Sprintf("part-%s-%d", prefix, n), PartTokens: promptTokens}, e.upstream.SoftwareVersion}
		prefill[n%len(prefill)].keep(s.query.Part, promptTokens)
		e.keep(s.query.Part, promptTokens-6)
		switch n % 3 {
		case 0:
			if e.requests == nil {
				e.requests = map[string]int{}
			}
			e.requests[s.query.Attempt] = 12
		case 1:
			e.keep(s.query.Part, promptTokens+800)
		}
		e.keep(s.query.Part, 0)
		lost = append(lost, s)
	}
	return lost
}

// keep adds an entry to the log of the engine's cache.
func (e *simEngine) keep(part string, tokens int) {
	e.log = append(e.log, dialect.CacheEntry{Position: int64(len(e.log) + 1), Part: part, Tokens: tokens})
}

// loseAll kills all instances at once and starts them after a time. It returns when all of them are ready.
func (w *simFleet) loseAll(dark time.Duration, meanwhile func()) {
	for _, i := range w.instances {
		i.kill()
	}
	meanwhile()
	time.Sleep(dark)
	for _, i := range w.instances {
		i.start()
	}
	w.await("ready again", func() bool {
		return !slices.ContainsFunc(w.instances, func(i *simInstance) bool { return !i.running().node.Snapshot().Ready() })
	})
}

// takeUp has callers take streams up, each at another instance, and returns how many origins were found. An
// origin that is wrong fails the test.
func (w *simFleet) takeUp(lost []lostStream) (found int) {
	w.t.Helper()
	for n, s := range lost {
		version, source := w.instances[n%len(w.instances)].running().node.StreamVersion(w.t.Context(), "llm", s.query)
		if source != origin.Unknown {
			assert.Equal(w.t, version, s.version, "%s %+v", source, s.query)
			found++
		}
	}
	return found
}

// TestStreamsGoOnAtTheirVersionAfterTheLossOfAllInstances guards against origins that die with the instances.
func TestStreamsGoOnAtTheirVersionAfterTheLossOfAllInstances(t *testing.T) {
	for _, size := range []struct {
		instances, decode int
		dark              time.Duration
	}{
		{8, 9, 300 * time.Millisecond}, {8, 9, 2600 * time.Millisecond}, {8, 9, 10 * time.Second},
		{60, 24, 300 * time.Millisecond}, {60, 24, 10 * time.Second}, {300, 90, 2600 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(size.instances, "/", size.dark), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newSimFleet(t, size.instances, 3, size.decode/2, size.decode)
				defer w.close()
				w.setVersions("v1", "v2", "v3")
				time.Sleep(5 * time.Second)
				lost := w.loseStreams("lost", 12*size.decode)
				w.loseAll(size.dark, func() {})
				found := w.takeUp(lost)
				w.mu.Lock()
				defer w.mu.Unlock()
				t.Logf("%d of %d origins found, %.1f pages of logs a return", found, len(lost), float64(w.logReads)/float64(len(lost)))
				assert.Equal(t, found, len(lost))
			})
		})
	}
}

// TestStreamsOfAVersionThatHasLeftDoNotGoOnAtAnother guards against the only version that is listed after the
// loss of all instances being taken for the origin.
func TestStreamsOfAVersionThatHasLeftDoNotGoOnAtAnother(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(5 * time.Second)
		lost := w.loseStreams("before", 90)
		var after []lostStream
		w.loseAll(3*time.Second, func() {
			w.mu.Lock()
			for _, e := range w.engines {
				w.history = append(w.history, e.upstream)
			}
			w.mu.Unlock()
			w.replaceEngines("v2")
			after = w.loseStreams("after", 90)
		})
		assert.Equal(t, w.takeUp(lost), 0)
		found := w.takeUp(after)
		t.Logf("%d of %d origins of the version that serves found", found, len(after))
		assert.Assert(t, found >= len(after)/2)
	})
}

// TestNewStreamsFindTheVersionThatReadTheirPrompt guards against a caller's second attempt that begins at another
// version than the one where its first attempt ran when all instances died, and checks what that costs.
func TestNewStreamsFindTheVersionThatReadTheirPrompt(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1", "v2", "v3")
		time.Sleep(5 * time.Second)
		lost := w.loseStreams("lost", 108)
		w.loseAll(time.Second, func() {})
		for n, s := range lost {
			s.query.Attempt = ""
			version, ok := w.instances[n%8].running().node.PromptVersion(t.Context(), "llm", s.query)
			assert.Assert(t, ok && version == s.version, "%q %+v", version, s)
		}
		reads := w.logReads
		_, ok := w.instances[0].running().node.PromptVersion(t.Context(), "llm", origin.Query{Part: "new", PartTokens: 5000})
		assert.Assert(t, !ok)
		assert.Equal(t, w.logReads, reads, "engines are read once")
		assert.Assert(t, reads <= 8*9*2, "%d pages", reads)
	})
}

// TestOneListedVersionIsNoOrigin guards against the only version that is listed after a start being taken for the
// origin of a stream of which no engine has a trace, whether or not the store's history shows another version.
func TestOneListedVersionIsNoOrigin(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(5 * time.Second)
		lost := w.loseStreams("lost", 27)
		w.loseAll(3*time.Second, func() {})
		instance := w.instances[0]
		for _, down := range []bool{true, false} {
			instance.setStoreDown(down)
			time.Sleep(2 * time.Second)
			_, source := instance.running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x", Part: "x", PartTokens: 5000})
			assert.Equal(t, source, origin.Unknown)
			for _, s := range lost {
				version, source := instance.running().node.StreamVersion(t.Context(), "llm", s.query)
				assert.Equal(t, source, origin.EngineTrace)
				assert.Equal(t, version, "v1")
			}
		}
	})
}

// TestHistoryDiscardedInPartIsNoOrigin guards against the only version that is listed being taken for the origin
// because the part of the history that the store still keeps shows no other.
func TestHistoryDiscardedInPartIsNoOrigin(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(5 * time.Second)
		lost := w.loseStreams("before", 90)
		var after []lostStream
		w.loseAll(3*time.Second, func() {
			w.replaceEngines("v2")
			after = w.loseStreams("after", 90)
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, e := range w.engines {
				w.history = append(w.history, e.upstream)
			}
		})
		assert.Equal(t, w.takeUp(lost), 0)
		assert.Equal(t, w.takeUp(after), len(after))
	})
}

// TestDiscardedHistoryShowsNothing guards against the only version that is listed being taken for the origin
// because the store, which has discarded its history, shows no other.
func TestDiscardedHistoryShowsNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(5 * time.Second)
		lost := w.loseStreams("before", 90)
		w.historyLost = true
		w.loseAll(3*time.Second, func() { w.replaceEngines("v2") })
		assert.Equal(t, w.takeUp(lost), 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.takeUp(lost), 0)
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, w.historyReads, len(w.instances), "each instance reads the history once")
	})
}

// TestVersionThatCameAndWentUnseenMayHaveBegunAStream guards against an instance that was cut off and takes the only
// version of its lists before and after for the only one there was.
func TestVersionThatCameAndWentUnseenMayHaveBegunAStream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(40 * time.Second)
		cut := w.instances[0]
		w.cutOff(cut.zone, true)
		time.Sleep(2 * time.Second)
		w.replaceEngines("v2")
		time.Sleep(5 * time.Second)
		for _, i := range w.instances {
			if i.zone != cut.zone {
				i.running().node.StreamBegan("llm", origin.Origin{Attempt: "at-v2", Version: "v2"})
				break
			}
		}
		time.Sleep(3 * time.Second)
		w.replaceEngines("v1")
		w.historyLost = true
		time.Sleep(4 * time.Second)
		w.cutOff(cut.zone, false)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			version, source := cut.running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "at-v2"})
			assert.Assert(t, version != "v1", "%s", source)
		}
	})
}

// TestPromptThatAnotherVersionReadIsNoOrigin guards against a version whose only engine read a prompt and made no
// event, while an engine of another version, which has left, began the stream.
func TestPromptThatAnotherVersionReadIsNoOrigin(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(5 * time.Second)
		w.loseAll(time.Second, func() {
			w.mu.Lock()
			for _, e := range w.engines {
				w.history = append(w.history, e.upstream)
			}
			w.mu.Unlock()
			w.replaceEngines("v2")
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, e := range w.engines {
				if e.upstream.Stage == dialect.StageDecode {
					e.keep("p", 5000)
					break
				}
			}
		})
		version, source := w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "a", Part: "p", PartTokens: 5000})
		assert.Equal(t, source, origin.Unknown, "%s", version)
	})
}

// TestVersionThatAListDoesNotShowYetMayHaveBegunAStream guards against an instance that is cut off and takes the
// only version of a list that is two seconds old for certain.
func TestVersionThatAListDoesNotShowYetMayHaveBegunAStream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(40 * time.Second)
		cut := w.instances[0]
		w.cutOff(cut.zone, true)
		w.setVersions("v1", "v2")
		time.Sleep(2 * time.Second)
		version, source := cut.running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "at-v2"})
		assert.Assert(t, source != origin.SoleVersion, "%s", version)
	})
}

// TestVersionThatOtherInstancesListFirstMayHaveBegunAStream guards against an instance that takes the only version of
// its list for certain while streams begin at one that the next list shows.
func TestVersionThatOtherInstancesListFirstMayHaveBegunAStream(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 3, 9)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(40 * time.Second)
		w.setVersions("v1", "v2")
		beginsStreams := func(i *simInstance) bool {
			s := i.running().node.Snapshot()
			return slices.ContainsFunc(s.MayBegin(time.Now(), "llm", s.Upstreams["llm"]), func(u dialect.Upstream) bool {
				return u.Stage == dialect.StageDecode && u.SoftwareVersion == "v2"
			})
		}
		var first *simInstance
		for first == nil {
			time.Sleep(time.Millisecond)
			for _, i := range w.instances {
				if beginsStreams(i) {
					first = i
				}
			}
		}
		first.running().node.StreamBegan("llm", origin.Origin{Attempt: "at-v2", Version: "v2"})
		time.Sleep(150 * time.Millisecond)
		first.kill()
		for _, i := range w.instances {
			if i == first {
				continue
			}
			version, source := i.running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "at-v2"})
			assert.Check(t, version != "v1", "%s", source)
		}
	})
}

// TestPromptOfAFormerPrefillEngineIsNoOrigin guards against the prompt that a prefill engine of another version read
// before it became a decode engine, whether the store's history shows that or was discarded.
func TestPromptOfAFormerPrefillEngineIsNoOrigin(t *testing.T) {
	for _, discarded := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			w := newSimFleet(t, 8, 3, 3, 9)
			defer w.close()
			w.setVersions("v1")
			time.Sleep(5 * time.Second)
			w.historyLost = discarded
			w.loseAll(3*time.Second, func() {
				w.replaceEngines("v2")
				w.mu.Lock()
				defer w.mu.Unlock()
				for _, e := range w.engines {
					if e.upstream.Stage == dialect.StagePrefill {
						if !discarded {
							w.history = append(w.history, e.upstream)
						}
						e.keep("p", 5000)
						e.upstream.Stage, e.ordered = dialect.StageDecode, true
						break
					}
				}
				w.revision++
			})
			version, source := w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "a", Part: "p", PartTokens: 5000})
			assert.Equal(t, source, origin.Unknown, "discarded %t: %s", discarded, version)
		})
	}
}

// cutOff cuts the instances of a zone off from the store and the other zones, or ends that.
func (w *simFleet) cutOff(zone ident.Zone, off bool) {
	partitioned := zone
	if !off {
		partitioned = ""
	}
	w.partitionZone(partitioned)
	for _, i := range w.instances {
		if i.zone == zone {
			i.setStoreDown(off)
		}
	}
}

// setStoreDown makes the store reject the instance's requests, or serve them again.
func (i *simInstance) setStoreDown(down bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.storeDown = down
}
