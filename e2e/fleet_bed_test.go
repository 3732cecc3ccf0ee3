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

// bundleState is the version and digest of the bundle that an agent has in force.
type bundleState struct {
	version uint64
	digest  string
}

// watcher records every change that it observes of the bundles in force.
type watcher struct {
	b        *bed
	stopping chan struct{}
	ended    sync.WaitGroup

	mu      sync.Mutex
	agents  map[ident.InstanceID][]bundleState
	entries map[ident.InstanceID][]uint64
}

// watchBundles starts a watcher that polls all agents until it is stopped.
func (b *bed) watchBundles() *watcher {
	w := &watcher{
		b: b, stopping: make(chan struct{}),
		agents: map[ident.InstanceID][]bundleState{}, entries: map[ident.InstanceID][]uint64{},
	}
	w.ended.Go(w.run)
	return w
}

func (w *watcher) run() {
	for {
		w.record(w.b.fleetStatus())
		select {
		case <-w.stopping:
			return
		case <-w.b.ctx.Done():
			return
		default:
			w.b.wait(pollInterval)
		}
	}
}

// record records the bundles that differ from the last ones seen. It ignores
// version 0, which a process has when it has just started.
func (w *watcher) record(f *console.Fleet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range f.Agents {
		s := &f.Agents[i]
		now := bundleState{version: s.Bundle.Version, digest: s.Bundle.Digest}
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

// requireNoRevert stops the watcher and fails the test if an instance ever
// reverted to an older version, or changed from one bundle to another of the
// same version.
func (w *watcher) requireNoRevert() {
	w.b.t.Helper()
	close(w.stopping)
	w.ended.Wait()
	for _, in := range w.b.Instances {
		seen := w.agents[in.ID]
		assert.Assert(w.b.t, len(seen) > 0, "%s: no bundle was ever in force", in.ID)
		for i := 1; i < len(seen); i++ {
			assert.Assert(w.b.t, seen[i].version > seen[i-1].version, "%s: %v", in.ID, seen)
		}
		versions := w.entries[in.ID]
		for i := 1; i < len(versions); i++ {
			assert.Assert(w.b.t, versions[i] > versions[i-1], "entry of %s: %v", in.ID, versions)
		}
	}
}

// awaitVersion waits until the agents and entries of instances have a version in
// force, and logs the time until each was first seen to have it.
func (b *bed) awaitVersion(version uint64, list ...*testbed.Instance) {
	b.t.Helper()
	began := time.Now()
	since := map[ident.InstanceID]time.Duration{}
	b.eventually(fmt.Sprintf("version %d to be in force", version), func() (bool, string) {
		f := b.fleetStatus()
		lacks := ""
		for _, in := range list {
			switch s := findStatus(f, in.ID); {
			case s == nil:
				lacks = string(in.ID) + " does not answer"
			case s.Bundle.Version != version || s.Entry.BundleVersion != version:
				lacks = fmt.Sprintf("%s has version %d, its entry %d", in.ID, s.Bundle.Version, s.Entry.BundleVersion)
			case since[in.ID] == 0:
				since[in.ID] = time.Since(began).Round(time.Millisecond)
			}
		}
		return lacks == "", lacks
	})
	b.t.Logf("version %d in force after %v", version, since)
}

// requireAnswers sends requests to each instance and fails the test unless the
// answers are complete and name the given bundle version. The version is not
// checked for calls with tickets, whose answers do not name one.
func (b *bed) requireAnswers(version uint64, list ...*testbed.Instance) {
	b.t.Helper()
	for _, in := range list {
		b.requireComplete(b.startServiceCall(b.withTicket(order(in))))
		sent := []*pending{b.startCompletion(review(in, 200, 10)), b.startServiceCall(lookup(in))}
		for _, p := range sent {
			r := b.await(p)
			assert.Assert(b.t, r.Complete(), "%s: %s", p.id, describe(r))
			assert.Equal(b.t, r.BundleVersion, strconv.FormatUint(version, 10), "%s at %s", p.id, in.ID)
		}
	}
}

// roll publishes the next version with the same content, rolls it to all instances
// and returns its number.
func (b *bed) roll() uint64 {
	b.t.Helper()
	assert.NilError(b.t, b.Operators.Publish(b.ctx, b.Deployment.Content))
	assert.NilError(b.t, b.Operators.RollAll(b.ctx))
	return b.Operators.Version()
}

// platformIndex returns the platform's index of the current roll. It identifies
// the state that the platform serves in a later stale mode.
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

// status returns the status that an instance's agent reports, and fails the test
// if the agent does not answer.
func (b *bed) status(in *testbed.Instance) *wire.Status {
	b.t.Helper()
	s := findStatus(b.fleetStatus(), in.ID)
	assert.Assert(b.t, s != nil, "the agent of %s does not answer", in.ID)
	return s
}
