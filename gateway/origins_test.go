package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/internal/bubble"
)

// setVersions makes the engines of a fleet run the given software versions in turn.
func (w *simFleet) setVersions(versions ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := 0
	for _, e := range w.engines {
		e.upstream.SoftwareVersion = versions[i%len(versions)]
		i++
	}
	w.revision++
}

// replaceEngines replaces all engines by new ones of a software version, with other IDs.
func (w *simFleet) replaceEngines(version string) {
	w.setVersions(version)
	for _, e := range w.engines {
		w.startEngine(e)
	}
}

// countOriginCalls returns the number of calls about the origins of streams in a write.
func countOriginCalls(p []byte) int64 {
	return int64(bytes.Count(p, []byte(fleet.MethodShareOrigins)) + bytes.Count(p, []byte(fleet.MethodFindOrigin)))
}

// originCalls returns the number of calls about the origins of streams that instances have made.
func (w *simFleet) originCalls() (sum int64) {
	for _, i := range w.instances {
		sum += i.originCalls.Load()
	}
	return sum
}

// begin has each instance begin some streams, and returns their attempts.
func (w *simFleet) begin(round, each int) (attempts []string) {
	for _, i := range w.instances {
		for n := range each {
			attempt := fmt.Sprintf("%s-%d-%d", i.id, round, n)
			i.running().node.StreamBegan("llm", origin.Origin{Attempt: attempt, Version: "v2"})
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// askAll asks all running instances for the origins of streams, and returns how many answers there were and
// how many of them were unknown.
func (w *simFleet) askAll(attempts []string) (asked, unknown int) {
	for n, i := range w.instances {
		s := i.running()
		if s == nil {
			continue
		}
		for k := n % 5; k < len(attempts); k += 5 {
			version, source := s.node.StreamVersion(w.t.Context(), "llm", origin.Query{Attempt: attempts[k]})
			asked++
			if source == origin.Unknown {
				unknown++
				continue
			}
			assert.Equal(w.t, version, "v2", "source %s", source)
		}
	}
	return asked, unknown
}

// TestOriginsOutliveTheInstancesOfStreams guards against streams that nobody can resume because the instances
// that began them died, were restarted, or are in another zone.
func TestOriginsOutliveTheInstancesOfStreams(t *testing.T) {
	for _, size := range []int{8, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newSimFleet(t, size, 3, 2, 6)
				defer w.close()
				w.setVersions("v1", "v2")
				time.Sleep(5 * time.Second)
				attempts := w.begin(0, 4)
				time.Sleep(time.Second)
				asked, unknown := w.askAll(attempts)
				assert.Equal(t, unknown, 0, "of %d while all run", asked)
				for _, i := range w.instances[:size/4] {
					i.kill()
				}
				asked, unknown = w.askAll(attempts)
				t.Logf("%d of %d unknown just after a quarter of the instances died", unknown, asked)
				assert.Assert(t, unknown <= asked/20, "%d of %d unknown", unknown, asked)
				for _, i := range w.instances[:size/4] {
					i.start()
				}
				time.Sleep(5 * time.Second)
				asked, unknown = w.askAll(attempts)
				assert.Assert(t, unknown <= asked/20, "%d of %d unknown after the restart", unknown, asked)
			})
		})
	}
}

// TestOriginsOfEarlierStreamsAreSharedWhenAVersionAppears guards against streams that began before a release
// and whose instances die during it.
func TestOriginsOfEarlierStreamsAreSharedWhenAVersionAppears(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 2, 6)
		defer w.close()
		w.setVersions("v2")
		time.Sleep(origin.TTL + 5*time.Second)
		attempts := w.begin(0, 4)
		time.Sleep(time.Second)
		w.setVersions("v1", "v2")
		time.Sleep(4 * time.Second)
		w.instances[0].kill()
		asked, unknown := w.askAll(attempts)
		assert.Assert(t, unknown <= asked/20, "%d of %d unknown", unknown, asked)
	})
}

// TestOriginsCostNothingWhileOneVersionServes guards against messages for each stream, or for each resumed
// one, on a day without a release.
func TestOriginsCostNothingWhileOneVersionServes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 8, 3, 2, 6)
		defer w.close()
		w.setVersions("v2")
		time.Sleep(origin.TTL + 5*time.Second)
		begin := func() int64 {
			before := w.originCalls()
			for round := range 10 {
				attempts := w.begin(round, 5)
				w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: attempts[1]})
				time.Sleep(time.Second)
			}
			return w.originCalls() - before
		}
		assert.Equal(t, begin(), int64(0))
		w.setVersions("v1", "v2")
		time.Sleep(5 * time.Second)
		assert.Assert(t, begin() > 0, "the calls are not counted")
	})
}

// TestStreamVersionIsNotGuessed guards against an instance that takes the version it knows for the only one
// because its list is old or it has just started.
func TestStreamVersionIsNotGuessed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newSimFleet(t, 3, 3, 1, 3)
		defer w.close()
		w.setVersions("v1")
		time.Sleep(origin.TTL + 5*time.Second)
		node := w.instances[0].running().node
		_, source := node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x"})
		assert.Equal(t, source, origin.SoleVersion)

		w.restartAll()
		w.await("ready again", func() bool { return w.instances[0].running().node.Snapshot().Ready() })
		_, source = w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x"})
		assert.Equal(t, source, origin.Unknown)

		w.setVersions("v1", "v2")
		time.Sleep(5 * time.Second)
		_, source = w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x"})
		assert.Equal(t, source, origin.Unknown)

		// A version that is gone may still have streams, whether its engines were replaced or restarted.
		for _, change := range []func(){func() { w.replaceEngines("v3") }, func() { w.setVersions("v4") }} {
			time.Sleep(origin.TTL)
			change()
			time.Sleep(5 * time.Second)
			_, source = w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x"})
			assert.Equal(t, source, origin.Unknown)
			time.Sleep(origin.TTL)
			_, source = w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x"})
			assert.Equal(t, source, origin.SoleVersion)
		}

		for _, i := range w.instances {
			i.mu.Lock()
			i.storeDown = true
			i.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		_, source = w.instances[0].running().node.StreamVersion(t.Context(), "llm", origin.Query{Attempt: "x"})
		assert.Equal(t, source, origin.Unknown)
	})
}
