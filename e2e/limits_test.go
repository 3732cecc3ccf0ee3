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
// what docs/design/limits.md makes of them for two zones with two instances each.
const (
	fewConcurrency  = 8
	fewZonePart     = fewConcurrency / 2
	fewInstancePart = fewConcurrency / 4
	// fewAlone is what one instance has when the others are idle: its part, and
	// its neighbour's but for the slot that this one never lends.
	fewAlone = 2*fewInstancePart - 1

	pacedRate  = 20.0
	pacedBurst = 8.0
	// pacedInstancePart is each instance's part of the rate.
	pacedInstancePart = pacedRate / 4
	// pacedStart is the token with which the bucket of each instance's life starts.
	pacedStart = 1.0
)

// inUse counts the attempts of streams that engines hold for decoding.
func (b *bed) inUse(engines ...ident.UpstreamID) int {
	b.t.Helper()
	n := 0
	for _, id := range engines {
		n += b.engine(id).Held.Attempts
	}
	return n
}

// filled waits until engines decode exactly so many streams under a flood. They
// must never have more on the way there, nor for a while afterwards.
func (b *bed) filled(f *flood, want, most int, engines ...ident.UpstreamID) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d streams on %v", want, engines), func() (bool, string) {
		n := b.inUse(engines...)
		assert.Assert(b.t, n <= most, "%d streams on %v, at most %d are allowed", n, engines, most)
		return n == want, fmt.Sprintf("%d; %d were refused", n, len(f.refusals()))
	})
	// So many requests more at each instance that no stream is admitted by chance.
	before := len(f.refusals())
	b.eventually("further refusals", func() (bool, string) {
		n := b.inUse(engines...)
		assert.Assert(b.t, n <= most, "%d streams on %v, at most %d are allowed", n, engines, most)
		return len(f.refusals()) > before+enough, "too few"
	})
}

// refusals are the requests that were refused so far.
func (f *flood) refusals() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// floodOfStreams sends endless streams of workspace "few".
func (b *bed) floodOfStreams(to []*testbed.Instance) *flood {
	return b.startFlood(to, func(in *testbed.Instance) *pending {
		call := review(in, 50, endless)
		call.Call = of("few", call.Call)
		return b.complete(call)
	})
}

// TestConcurrencyLimitAcrossInstances floods instances with endless streams of one
// workspace, one of them first, which borrows from its neighbour. By the engines'
// counts, they never run more than the limit together, and all of it; when an
// instance is killed, the others get its part.
func TestConcurrencyLimitAcrossInstances(t *testing.T) {
	b := newBed(t)
	f := b.floodOfStreams(b.Instances[:1])
	t.Log("one instance alone")
	b.filled(f, fewAlone, fewAlone, decodeA, decodeB)
	t.Log("all instances")
	f.aim(b.Instances)
	b.filled(f, fewConcurrency, fewConcurrency, decodeA, decodeB)

	t.Log("an instance is killed")
	// One without a loan: it has its part and no more.
	victim := b.in(hallB)[1]
	f.aim(b.others(victim))
	assert.NilError(t, b.KillInstance(victim))
	// Its own streams are held until its peers release them.
	b.eventually("the victim's part at the others", func() (bool, string) {
		n := b.inUse(decodeA, decodeB)
		assert.Assert(t, n <= fewConcurrency+fewInstancePart, "%d streams", n)
		mine := b.heldFor(victim.ID, decodeA, decodeB)
		return mine == 0 && n == fewConcurrency, fmt.Sprintf("%d streams, %d of the victim", n, mine)
	})
	b.filled(f, fewConcurrency, fewConcurrency, decodeA, decodeB)
	f.stop()
}

// heldFor counts the attempts of an instance that engines hold.
func (b *bed) heldFor(owner ident.InstanceID, engines ...ident.UpstreamID) int {
	b.t.Helper()
	n := 0
	for _, id := range engines {
		for _, q := range b.heldBy(id).Requests {
			if a, err := ident.ParseAttemptID(q.ID); err == nil && a.Instance == owner {
				n++
			}
		}
	}
	return n
}

// rateWatch compares the calls of workspace "paced" that services ran with its
// limit.
type rateWatch struct {
	b     *bed
	began time.Time
	// lives counts the instances' lives; missing is since when one is missing
	// from views, zero if none is.
	lives   int
	missing time.Time
}

// floodOfCalls sends calls of workspace "paced".
func (b *bed) floodOfCalls() (*flood, *rateWatch) {
	w := &rateWatch{b: b, began: time.Now(), lives: len(b.Instances)}
	return b.startFlood(b.Instances, func(in *testbed.Instance) *pending {
		call := order(in)
		call.Call = of("paced", call.Call)
		call.Deadline = patience
		return b.serve(call)
	}), w
}

// allowed is how many calls may have run by now. The part of an instance that is
// missing from a peer's view may come on top.
func (w *rateWatch) allowed() float64 {
	n := pacedRate*time.Since(w.began).Seconds() + pacedBurst + pacedStart*float64(w.lives)
	if !w.missing.IsZero() {
		n += pacedInstancePart * time.Since(w.missing).Seconds()
	}
	return n
}

// grown waits until each of some services ran some calls more. All services must
// never have run more than is allowed.
func (w *rateWatch) grown(by int, services ...ident.UpstreamID) {
	w.b.t.Helper()
	from := map[ident.UpstreamID]int{}
	for _, id := range services {
		from[id] = w.b.runsOf(id)
	}
	w.b.eventually(fmt.Sprintf("%d more calls at %v", by, services), func() (bool, string) {
		all := w.b.runsOf(serviceA) + w.b.runsOf(serviceB)
		allowed := w.allowed()
		assert.Assert(w.b.t, float64(all) <= allowed, "%d calls ran, %.1f are allowed", all, allowed)
		for _, id := range services {
			if n := w.b.runsOf(id) - from[id]; n < by {
				return false, fmt.Sprintf("%s ran %d", id, n)
			}
		}
		return true, ""
	})
}

// TestRateLimitAcrossInstances floods all instances with calls of one workspace,
// while one is killed and replaced. By the services' counts, no more run than the
// rate allows since the start.
func TestRateLimitAcrossInstances(t *testing.T) {
	b := newBed(t)
	f, w := b.floodOfCalls()
	w.grown(enough, serviceA, serviceB)

	t.Log("an instance is killed")
	victim := b.Instances[0]
	assert.NilError(t, b.KillInstance(victim))
	w.missing = time.Now()
	w.grown(someWork, serviceA, serviceB)

	t.Log("it is replaced")
	w.lives++
	assert.NilError(t, b.StartInstance(victim))
	assert.NilError(t, b.WaitReady(b.ctx, victim))
	w.grown(someWork, serviceA, serviceB)
	f.stop()
}

// TestZoneCutOffKeepsItsLimits floods both sides of a cut with streams of one
// workspace and calls of another. By the counts of the engines and services of
// each zone, each side runs its zone's part of the concurrency and no more, and
// both together no more calls than the rate allows.
func TestZoneCutOffKeepsItsLimits(t *testing.T) {
	b := newBed(t, withRelays)
	b.CutOff(hallB)
	calls, w := b.floodOfCalls()
	streams := b.floodOfStreams(b.Instances)
	b.filled(streams, fewZonePart, fewZonePart, decodeA)
	b.filled(streams, fewZonePart, fewZonePart, decodeB)
	w.grown(enough, serviceA, serviceB)
	calls.stop()
	streams.stop()
}

// runsOf is how many calls a service ran.
func (b *bed) runsOf(id ident.UpstreamID) int {
	b.t.Helper()
	s, err := b.upstream(id).Service(b.ctx)
	assert.NilError(b.t, err)
	return s.Runs
}
