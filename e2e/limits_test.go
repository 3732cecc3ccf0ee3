package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/testbed"
)

// The limits of the workspaces "few" and "paced" in testdata/bundle.yaml, and
// their split over two zones with two instances each, as docs/design/limits.md
// defines it.
const (
	fewConcurrency  = 8
	fewZonePart     = fewConcurrency / 2
	fewInstancePart = fewConcurrency / 4
	// fewSingleInstance is what one instance can use while the others are idle:
	// its own part, and its neighbour's except for the one slot that is never
	// lent.
	fewSingleInstance = 2*fewInstancePart - 1

	pacedRate  = 20.0
	pacedBurst = 8.0
	// pacedInstancePart is the part of the rate of each instance.
	pacedInstancePart = pacedRate / 4
	// pacedInitialTokens is the number of tokens in an instance's bucket when
	// the instance starts.
	pacedInitialTokens = 1.0
)

// heldStreams returns the number of attempts of streams that decode engines hold.
func (b *bed) heldStreams(engines ...ident.UpstreamID) int {
	b.t.Helper()
	n := 0
	for _, id := range engines {
		n += b.engineReport(id).Held.Attempts
	}
	return n
}

// awaitStreams waits until engines hold exactly the wanted number of streams
// under a flood. It fails the test if they hold more than most before that or
// during the refusals that follow.
func (b *bed) awaitStreams(f *flood, want, most int, engines ...ident.UpstreamID) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d streams on %v", want, engines), func() (bool, string) {
		n := b.heldStreams(engines...)
		assert.Assert(b.t, n <= most, "%d streams on %v, limit is %d", n, engines, most)
		return n == want, fmt.Sprintf("%d streams; %d refusals", n, len(f.refusals()))
	})
	// Enough further refusals that it is no coincidence that no more streams were
	// admitted.
	before := len(f.refusals())
	b.eventually("further refusals", func() (bool, string) {
		n := b.heldStreams(engines...)
		assert.Assert(b.t, n <= most, "%d streams on %v, limit is %d", n, engines, most)
		return len(f.refusals()) > before+enough, "too few refusals"
	})
}

// refusals returns the IDs of the requests that the limit has refused so far.
func (f *flood) refusals() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// floodOfStreams starts a flood of endless streams of workspace "few".
func (b *bed) floodOfStreams(to []*testbed.Instance) *flood {
	return b.startFlood(to, func(in *testbed.Instance) *pending {
		call := review(in, 50, endlessTokens)
		call.Call = withWorkspace("few", call.Call)
		return b.startCompletion(call)
	})
}

// TestConcurrencyLimitAcrossInstances floods instances with endless streams of
// one workspace: first a single instance, which borrows from its neighbour, then
// all. According to the engines, the streams reach the limit and never exceed it.
// When an instance is killed, the others take over its part.
func TestConcurrencyLimitAcrossInstances(t *testing.T) {
	b := newBed(t)
	f := b.floodOfStreams(b.Instances[:1])
	t.Log("one instance alone")
	b.awaitStreams(f, fewSingleInstance, fewSingleInstance, decodeA, decodeB)
	t.Log("all instances")
	f.setInstances(b.Instances)
	b.awaitStreams(f, fewConcurrency, fewConcurrency, decodeA, decodeB)

	t.Log("an instance is killed")
	// The victim is an instance that borrows nothing: it uses only its own part.
	victim := b.instancesIn(hallB)[1]
	f.setInstances(b.others(victim))
	assert.NilError(t, b.KillInstance(victim))
	// The victim's streams count until its peers have released them.
	b.eventually("the other instances to use the victim's part", func() (bool, string) {
		n := b.heldStreams(decodeA, decodeB)
		assert.Assert(t, n <= fewConcurrency+fewInstancePart, "%d streams", n)
		mine := b.heldByInstance(victim.ID, decodeA, decodeB)
		return mine == 0 && n == fewConcurrency, fmt.Sprintf("%d streams, %d of them the victim's", n, mine)
	})
	b.awaitStreams(f, fewConcurrency, fewConcurrency, decodeA, decodeB)
	f.stop()
}

// heldByInstance returns the number of an instance's attempts that engines hold.
func (b *bed) heldByInstance(owner ident.InstanceID, engines ...ident.UpstreamID) int {
	b.t.Helper()
	n := 0
	for _, id := range engines {
		for _, q := range b.heldRequestsOf(id).Requests {
			if a, err := ident.ParseAttemptID(q.ID); err == nil && a.Instance == owner {
				n++
			}
		}
	}
	return n
}

// rateCheck compares the number of calls of workspace "paced" that services ran
// with the workspace's rate limit.
type rateCheck struct {
	b     *bed
	began time.Time
	// starts is the number of instance starts. killedAt is the time at which an
	// instance was killed, or zero if none was.
	starts   int
	killedAt time.Time
}

// floodOfCalls starts a flood of calls of workspace "paced".
func (b *bed) floodOfCalls() (*flood, *rateCheck) {
	w := &rateCheck{b: b, began: time.Now(), starts: len(b.Instances)}
	return b.startFlood(b.Instances, func(in *testbed.Instance) *pending {
		call := order(in)
		call.Call = withWorkspace("paced", call.Call)
		call.Deadline = shortDeadline
		return b.startServiceCall(call)
	}), w
}

// allowed returns how many calls may have run by now. Once an instance was
// killed, the part of the rate of an instance that is missing from a peer's view
// is added.
func (w *rateCheck) allowed() float64 {
	n := pacedRate*time.Since(w.began).Seconds() + pacedBurst + pacedInitialTokens*float64(w.starts)
	if !w.killedAt.IsZero() {
		n += pacedInstancePart * time.Since(w.killedAt).Seconds()
	}
	return n
}

// awaitRuns waits until each of the given services ran the given number of further
// calls. It fails the test if all services together ran more than allowed.
func (w *rateCheck) awaitRuns(by int, services ...ident.UpstreamID) {
	w.b.t.Helper()
	from := map[ident.UpstreamID]int{}
	for _, id := range services {
		from[id] = w.b.serviceRuns(id)
	}
	w.b.eventually(fmt.Sprintf("%d more calls at %v", by, services), func() (bool, string) {
		all := w.b.serviceRuns(serviceA) + w.b.serviceRuns(serviceB)
		allowed := w.allowed()
		assert.Assert(w.b.t, float64(all) <= allowed, "%d calls ran, limit is %.1f", all, allowed)
		for _, id := range services {
			if n := w.b.serviceRuns(id) - from[id]; n < by {
				return false, fmt.Sprintf("%s ran %d", id, n)
			}
		}
		return true, ""
	})
}

// TestRateLimitAcrossInstances floods all instances with calls of one workspace
// while one instance is killed and replaced. According to the services, the calls
// never exceed what the rate has allowed since the start.
func TestRateLimitAcrossInstances(t *testing.T) {
	b := newBed(t)
	f, w := b.floodOfCalls()
	w.awaitRuns(enough, serviceA, serviceB)

	t.Log("an instance is killed")
	victim := b.Instances[0]
	assert.NilError(t, b.KillInstance(victim))
	w.killedAt = time.Now()
	w.awaitRuns(someWork, serviceA, serviceB)

	t.Log("the instance is replaced")
	w.starts++
	assert.NilError(t, b.StartInstance(victim))
	assert.NilError(t, b.WaitReady(b.ctx, victim))
	w.awaitRuns(someWork, serviceA, serviceB)
	f.stop()
}

// TestZoneCutOffKeepsItsLimits floods both sides of a network partition with
// streams of one workspace and calls of another. According to the engines and
// services of each zone, each side uses exactly its zone's part of the
// concurrency, and both sides together run no more calls than the rate allows.
func TestZoneCutOffKeepsItsLimits(t *testing.T) {
	b := newBed(t, withRelays)
	b.IsolateZone(hallB)
	calls, w := b.floodOfCalls()
	streams := b.floodOfStreams(b.Instances)
	b.awaitStreams(streams, fewZonePart, fewZonePart, decodeA)
	b.awaitStreams(streams, fewZonePart, fewZonePart, decodeB)
	w.awaitRuns(enough, serviceA, serviceB)
	calls.stop()
	streams.stop()
}

// serviceRuns returns how many calls a service ran.
func (b *bed) serviceRuns(id ident.UpstreamID) int {
	b.t.Helper()
	s, err := b.upstream(id).Service(b.ctx)
	assert.NilError(b.t, err)
	return s.Runs
}
