package e2e

import (
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/testbed"
)

// flood continuously sends more requests of one workspace than its limit admits to
// a set of instances.
type flood struct {
	b    *bed
	send func(*testbed.Instance) *pending

	mu   sync.Mutex
	open []*pending
	// refused lists the IDs of the requests that were refused by the limit, with
	// outcome not-run.
	refused []string
	// otherFailures lists the results that are neither such a refusal nor a
	// complete answer.
	otherFailures []*client.Result
	// instances lists the instances that the requests are sent to.
	instances []*testbed.Instance
	stopping  chan struct{}
	ended     sync.WaitGroup
}

// floodPause is the interval between two requests to an instance.
const floodPause = 25 * time.Millisecond

// startFlood starts a flood of the given instances.
func (b *bed) startFlood(to []*testbed.Instance, send func(*testbed.Instance) *pending) *flood {
	f := &flood{b: b, send: send, instances: to, stopping: make(chan struct{})}
	f.ended.Go(f.run)
	return f
}

// run sends requests to each instance in turn until the flood is stopped.
func (f *flood) run() {
	for {
		for _, in := range f.targets() {
			p := f.send(in)
			f.mu.Lock()
			f.open = append(f.open, p)
			f.mu.Unlock()
		}
		f.collect()
		select {
		case <-f.stopping:
			return
		case <-f.b.ctx.Done():
			return
		case <-time.After(floodPause):
		}
	}
}

func (f *flood) targets() []*testbed.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances
}

// setInstances sets the instances that all further requests are sent to.
func (f *flood) setInstances(list []*testbed.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = list
}

// collect classifies the requests that have ended and removes them from open.
func (f *flood) collect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []*pending
	for _, p := range f.open {
		select {
		case r := <-p.result:
			f.classify(p, r)
		default:
			open = append(open, p)
		}
	}
	f.open = open
}

func (f *flood) classify(p *pending, r *client.Result) {
	switch {
	case r.Complete():
	case r.Outcome == api.NotRun && r.Problem != nil && r.Problem.Type == api.ProblemLimit:
		f.refused = append(f.refused, p.id)
	default:
		f.otherFailures = append(f.otherFailures, r)
	}
}

// cancelOpen cancels the open calls by closing their connections.
func (f *flood) cancelOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.open {
		p.cancel()
	}
}

// stop ends the flood and all its calls. It fails the test if no request was
// refused, or if a refused request ran.
func (f *flood) stop() {
	f.b.t.Helper()
	close(f.stopping)
	f.ended.Wait()
	f.cancelOpen()
	f.collect()
	assert.Assert(f.b.t, len(f.refused) > 0, "no request was refused")
	ran := f.b.runs()
	for _, id := range f.refused {
		assert.Assert(f.b.t, !ran.Request(id).Ran(), "%s was refused by the limit, but ran", id)
	}
	f.b.t.Logf("%d refused by the limit, %d other failures", len(f.refused), len(f.otherFailures))
	for _, r := range f.otherFailures[:min(len(f.otherFailures), 5)] {
		f.b.t.Log(describe(r))
	}
}

// withWorkspace returns the call with the given workspace.
func withWorkspace(w ident.Workspace, call client.Call) client.Call {
	call.Workspace = w
	return call
}
