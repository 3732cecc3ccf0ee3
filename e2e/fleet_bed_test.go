package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/console"
	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	standin "github.com/wardspool/wardspool/standin/platform"
	"github.com/wardspool/wardspool/testbed"
)

// force is the bundle that an instance's agent has in force.
type force struct {
	version uint64
	digest  string
}

// watcher remembers every change of the bundles in force that it sees.
type watcher struct {
	b        *bed
	stopping chan struct{}
	ended    sync.WaitGroup

	mu      sync.Mutex
	agents  map[ident.InstanceID][]force
	entries map[ident.InstanceID][]uint64
}

// watchBundles looks at all agents until the watcher is stopped.
func (b *bed) watchBundles() *watcher {
	w := &watcher{
		b: b, stopping: make(chan struct{}),
		agents: map[ident.InstanceID][]force{}, entries: map[ident.InstanceID][]uint64{},
	}
	w.ended.Go(w.run)
	return w
}

func (w *watcher) run() {
	for {
		w.note(w.b.look())
		select {
		case <-w.stopping:
			return
		case <-w.b.ctx.Done():
			return
		default:
			w.b.wait(poll)
		}
	}
}

// note adds what differs from the look before. Version 0 is that of a process
// that has just started.
func (w *watcher) note(f *console.Fleet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range f.Agents {
		s := &f.Agents[i]
		now := force{version: s.Bundle.Version, digest: s.Bundle.Digest}
		seen := w.agents[s.Instance]
		if now.version > 0 && (len(seen) == 0 || seen[len(seen)-1] != now) {
			w.agents[s.Instance] = append(seen, now)
		}
		versions := w.entries[s.Instance]
		if v := s.Entry.BundleVersion; v > 0 && (len(versions) == 0 || versions[len(versions)-1] != v) {
			w.entries[s.Instance] = append(versions, v)
		}
	}
}

// neverBack stops the watcher. It fails the test if an instance ever went back
// to an older version, or from one bundle of a version to another.
func (w *watcher) neverBack() {
	w.b.t.Helper()
	close(w.stopping)
	w.ended.Wait()
	for _, in := range w.b.Instances {
		seen := w.agents[in.ID]
		assert.Assert(w.b.t, len(seen) > 0, "%s was never seen", in.ID)
		for i := 1; i < len(seen); i++ {
			assert.Assert(w.b.t, seen[i].version > seen[i-1].version, "%s: %v", in.ID, seen)
		}
		versions := w.entries[in.ID]
		for i := 1; i < len(versions); i++ {
			assert.Assert(w.b.t, versions[i] > versions[i-1], "entry of %s: %v", in.ID, versions)
		}
	}
}

// inForce waits until agents and entries of instances have a version in force, and
// logs when each was first seen to have it.
func (b *bed) inForce(version uint64, list ...*testbed.Instance) {
	b.t.Helper()
	began := time.Now()
	since := map[ident.InstanceID]time.Duration{}
	b.eventually(fmt.Sprintf("version %d in force", version), func() (bool, string) {
		f := b.look()
		lacks := ""
		for _, in := range list {
			switch s := status(f, in.ID); {
			case s == nil:
				lacks = string(in.ID) + " does not answer"
			case s.Bundle.Version != version || s.Entry.BundleVersion != version:
				lacks = fmt.Sprintf("%s has %d, its entry %d", in.ID, s.Bundle.Version, s.Entry.BundleVersion)
			case since[in.ID] == 0:
				since[in.ID] = time.Since(began).Round(time.Millisecond)
			}
		}
		return lacks == "", lacks
	})
	b.t.Logf("version %d in force after %v", version, since)
}

// answers makes requests to each instance and fails the test unless the answers
// are whole and say that they were decided under a version. The answers to calls
// with tickets do not name their version.
func (b *bed) answers(version uint64, list ...*testbed.Instance) {
	b.t.Helper()
	for _, in := range list {
		b.whole(b.serve(b.ticketed(order(in))))
		sent := []*pending{b.complete(review(in, 200, 10)), b.serve(lookup(in))}
		for _, p := range sent {
			r := b.done(p)
			assert.Assert(b.t, r.Complete(), "%s: %s", p.id, describe(r))
			assert.Equal(b.t, r.BundleVersion, strconv.FormatUint(version, 10), "%s at %s", p.id, in.ID)
		}
	}
}

// roll publishes the next version with the same content and rolls it to all.
func (b *bed) roll() uint64 {
	b.t.Helper()
	assert.NilError(b.t, b.Operators.Publish(b.ctx, b.Deployment.Content))
	assert.NilError(b.t, b.Operators.RollAll(b.ctx))
	return b.Operators.Version()
}

// platformIndex is the index of the platform's last write to the current roll,
// by which a snapshot that is stale later is named.
func (b *bed) platformIndex() uint64 {
	b.t.Helper()
	url := "http://" + b.Platform.Address + "/v1/keys/" + configservice.KeyRoll
	req, err := http.NewRequestWithContext(b.ctx, http.MethodGet, url, nil)
	assert.NilError(b.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	assert.NilError(b.t, resp.Body.Close())
	index, err := strconv.ParseUint(resp.Header.Get(standin.HeaderIndex), 10, 64)
	assert.NilError(b.t, err, "status %d", resp.StatusCode)
	return index
}

// status asks an instance's agent what it believes.
func (b *bed) status(in *testbed.Instance) *wire.Status {
	b.t.Helper()
	s := status(b.look(), in.ID)
	assert.Assert(b.t, s != nil, "the agent of %s does not answer", in.ID)
	return s
}
