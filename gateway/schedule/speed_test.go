package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// mixedFleet simulates gateway instances that share prefill engines of different throughput and
// exchange their loads periodically.
type mixedFleet struct {
	schedulers []*Scheduler
	list       []dialect.Upstream
	// throughput is the throughput in tokens per second.
	throughput map[ident.UpstreamID]float64
	// idleAt is when an engine has completed its queue.
	idleAt map[ident.UpstreamID]time.Time
	// observeThroughput enables the measurement of the engines' throughput.
	observeThroughput bool
	latencies         []time.Duration
	pending           []pendingPrefill
}

// pendingPrefill is a prompt that an engine completes at doneAt.
type pendingPrefill struct {
	doneAt    time.Time
	scheduler *Scheduler
	ticket    Ticket
	took      time.Duration
}

const (
	promptTokens     = 3200
	exchangeInterval = 300 * time.Millisecond
)

func newMixedFleet(instances, engines int, observeThroughputs bool) *mixedFleet {
	f := &mixedFleet{throughput: map[ident.UpstreamID]float64{}, idleAt: map[ident.UpstreamID]time.Time{}, observeThroughput: observeThroughputs}
	for i := range engines {
		id := ident.UpstreamID(fmt.Sprintf("e%d", i))
		f.list = append(f.list, dialect.Upstream{ID: id, Service: "llm", Zone: "z", Stage: dialect.StagePrefill})
		f.throughput[id] = 33000
		if i%2 == 1 {
			f.throughput[id] = 15000
		}
	}
	for i := range instances {
		f.schedulers = append(f.schedulers, NewScheduler("z", uint64(i)))
	}
	return f
}

// exchange sends each instance the load of the others and the throughput histograms of all.
func (f *mixedFleet) exchange(now time.Time, perSecond float64) {
	sum := map[ident.UpstreamID]*InFlight{}
	var throughputs ThroughputHistogram
	for _, b := range f.schedulers {
		for id, own := range b.OwnLoad(now) {
			if sum[id] == nil {
				sum[id] = &InFlight{}
			}
			sum[id].Requests += own.Requests
			sum[id].Tokens += own.Tokens
			sum[id].ThroughputBucket = max(sum[id].ThroughputBucket, own.ThroughputBucket)
		}
		throughputs = throughputs.Plus(b.performanceOf("llm").prefill.long.histogram())
	}
	for _, b := range f.schedulers {
		others := map[ident.UpstreamID]*InFlight{}
		for id, all := range sum {
			own := b.OwnLoad(now)[id]
			others[id] = &InFlight{Requests: all.Requests - own.Requests, Tokens: all.Tokens - own.Tokens, ThroughputBucket: all.ThroughputBucket}
		}
		b.SetOfferedRate("llm", perSecond)
		b.SetFleetSize(len(f.schedulers), exchangeInterval)
		b.SetPeers(now, others)
		b.SetThroughputHistograms(map[string]ThroughputHistogram{"llm": throughputs})
	}
}

// run sends prompts to random instances at a Poisson rate for a duration.
func (f *mixedFleet) run(perSecond float64, duration time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	exchanged := start
	for now := start; now.Before(start.Add(duration)); {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for ; !exchanged.After(now); exchanged = exchanged.Add(exchangeInterval) {
			f.finish(exchanged)
			f.exchange(exchanged, perSecond)
		}
		f.finish(now)
		f.send(now, f.schedulers[random.IntN(len(f.schedulers))])
	}
}

// send places a prompt and queues it at the chosen engine.
func (f *mixedFleet) send(now time.Time, b *Scheduler) {
	t, ok := b.PlacePrefill(now, f.list, promptTokens, "z", nil)
	if !ok {
		return
	}
	id := t.Upstream.ID
	begins := f.idleAt[id]
	if begins.Before(now) {
		begins = now
	}
	f.idleAt[id] = begins.Add(time.Duration(promptTokens / f.throughput[id] * float64(time.Second)))
	f.pending = append(f.pending, pendingPrefill{doneAt: f.idleAt[id], scheduler: b, ticket: t, took: f.idleAt[id].Sub(now)})
}

// finish completes the prompts that are due by now.
func (f *mixedFleet) finish(now time.Time) {
	f.pending = slices.DeleteFunc(f.pending, func(p pendingPrefill) bool {
		if p.doneAt.After(now) {
			return false
		}
		p.scheduler.Done(p.ticket)
		p.scheduler.PrefillDone("llm", promptTokens, p.took)
		if f.observeThroughput {
			p.scheduler.ObservePrefillThroughput(p.doneAt, p.ticket.Upstream, promptTokens, p.took)
		}
		p.scheduler.RecordSuccess(p.doneAt, p.ticket.Upstream, p.took)
		f.latencies = append(f.latencies, p.took)
		return true
	})
}

// shareWithin returns the share of prompts that completed within limit.
func (f *mixedFleet) shareWithin(limit time.Duration) float64 {
	n := 0
	for _, t := range f.latencies {
		if t <= limit {
			n++
		}
	}
	return float64(n) / float64(len(f.latencies))
}

// TestPlacementAccountsForEnginePace runs engines of two speeds at 75% of their total capacity.
// It guards against an equal split of prompts, which overloads the slower half.
func TestPlacementAccountsForEnginePace(t *testing.T) {
	const engines = 16
	perSecond := 0.75 * engines / 2 * (33000 + 15000) / promptTokens
	for _, n := range []int{7, 82} {
		f := newMixedFleet(n, engines, true)
		f.run(perSecond, 30*time.Second)
		baseline := newMixedFleet(n, engines, false)
		baseline.run(perSecond, 30*time.Second)
		t.Logf("%d instances: share within 600 ms: %.3f, without engine throughputs: %.3f", n, f.shareWithin(600*time.Millisecond), baseline.shareWithin(600*time.Millisecond))
		late, lateWithout := 1-f.shareWithin(600*time.Millisecond), 1-baseline.shareWithin(600*time.Millisecond)
		assert.Check(t, late <= 0.7*lateWithout, "%d instances: late %.3f, without engine throughputs %.3f", n, late, lateWithout)
		assert.Check(t, f.shareWithin(600*time.Millisecond) >= 0.9)
	}
}

// TestEnginePaceKeepsFastestUntilStale guards against queueing time lowering an engine's
// throughput, and against a stale throughput hiding a slowdown. The throughput reported by
// peers counts as well.
func TestEnginePaceKeepsFastestUntilStale(t *testing.T) {
	now := time.Unix(1000, 0)
	checkNear := func(got, want float64) {
		t.Helper()
		assert.Check(t, math.Abs(got-want) < bucketRatio*want-want, "got %.0f, want %.0f", got, want)
	}
	var rec upstreamRecord
	assert.Equal(t, rec.prefillThroughput(now), 0.0)
	rec.ownThroughput.update(now, throughputBucket(10000)+1)
	rec.ownThroughput.update(now, throughputBucket(30000)+1)
	rec.ownThroughput.update(now, throughputBucket(8000)+1)
	checkNear(rec.prefillThroughput(now), 30000)
	rec.peerThroughput.update(now, throughputBucket(40000)+1)
	checkNear(rec.prefillThroughput(now), 40000)
	now = now.Add(throughputTTL)
	checkNear(rec.prefillThroughput(now), 40000)
	rec.ownThroughput.update(now, throughputBucket(8000)+1)
	checkNear(rec.prefillThroughput(now), 8000)
	now = now.Add(throughputExpiry)
	assert.Equal(t, rec.prefillThroughput(now), 0.0)
}

// TestWaterLevel guards against unseen placements going to engines above the common cost level.
func TestWaterLevel(t *testing.T) {
	list := []candidate{{cost: 1, requestCost: 1}, {cost: 2, requestCost: 2}, {cost: 10, requestCost: 1}}
	level, below := waterLevel(list, 0.5)
	assert.Equal(t, below, 1)
	assert.Equal(t, level, 1.5)
	level, below = waterLevel(list, 4)
	assert.Equal(t, below, 2)
	assert.Equal(t, level, 4.0)
	_, below = waterLevel(list, 1000)
	assert.Equal(t, below, 3)
}

// TestPromptsOfUnknownLengthAreSpread guards against placing all prompts of unknown
// length on one prefill engine.
func TestPromptsOfUnknownLengthAreSpread(t *testing.T) {
	b := NewScheduler("z", 1)
	var list []dialect.Upstream
	for i := range 4 {
		list = append(list, dialect.Upstream{ID: ident.UpstreamID(fmt.Sprintf("e%d", i)), Service: "llm", Zone: "z", Stage: dialect.StagePrefill})
	}
	now := time.Unix(1000, 0)
	b.SetOfferedRate("llm", 100)
	b.SetFleetSize(80, exchangeInterval)
	counts := map[ident.UpstreamID]int{}
	for range 1000 {
		placed, ok := b.PlacePrefill(now, list, 0, "z", nil)
		assert.Assert(t, ok)
		counts[placed.Upstream.ID]++
		b.Done(placed)
	}
	for _, u := range list {
		assert.Check(t, counts[u.ID] >= 100, "%v", counts)
	}
}
