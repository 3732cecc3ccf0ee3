package schedule

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// maxToMean returns the ratio of the busiest of n upstreams' requests to the mean.
func maxToMean(counts map[ident.UpstreamID]int, n int) float64 {
	most, total := 0, 0
	for _, c := range counts {
		most = max(most, c)
		total += c
	}
	return float64(most) * float64(n) / float64(total)
}

// TestInstancesThatSeeTheSameDontChooseTheSame guards against instances with the same view
// choosing the same engines. 60 instances place requests on 40 engines, some of which look
// slightly better.
func TestInstancesThatSeeTheSameDontChooseTheSame(t *testing.T) {
	list := engines(0, 40)
	size := Size{Prompt: 3000, Estimate: 1000}
	counts := map[ident.UpstreamID]int{}
	for i := range 60 {
		b := NewScheduler("a", uint64(i))
		b.SetFleetSize(60, 450*time.Millisecond)
		for r := range 8 {
			ticket, ok := b.PlaceDecode(at(r*250-2000), list, engine, size, nil)
			assert.Assert(t, ok)
			b.Done(ticket)
		}
		for _, u := range list[8:] {
			b.recordOf(u)
		}
		peers := map[ident.UpstreamID]*InFlight{}
		for _, u := range list[8:] {
			f := &InFlight{}
			f.Memory.Add([]int{15000, 15000, 15000, 15000, 15000, 15000, 15000, 15000, 15000, 15000})
			peers[u.ID] = f
		}
		b.SetPeers(at(0), peers)
		for r := range 4 {
			ticket, ok := b.PlaceDecode(at(r*250), list, engine, size, nil)
			assert.Assert(t, ok)
			counts[ticket.Upstream.ID]++
		}
	}
	assert.Assert(t, maxToMean(counts, 40) < 2.6, "%v", counts)
}

func TestArrivalsAreARate(t *testing.T) {
	a := &arrivals{}
	now := at(0)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		a.add(now)
	}
	assert.Assert(t, math.Abs(a.perSecond(now)-20) < 1, "%v", a.perSecond(now))
	assert.Assert(t, a.perSecond(now.Add(20*time.Second)) < 0.1)
}

// TestOneInstanceChoosesTheBest checks that an instance without peers chooses the cheapest
// engine.
func TestOneInstanceChoosesTheBest(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 3)
	ticket, _ := b.PlaceDecode(at(0), list, engine, Size{Prompt: 30000, Estimate: 1000}, nil)
	for range 5 {
		next, _ := b.PlaceDecode(at(0), list, engine, Size{Prompt: 1000, Estimate: 100}, nil)
		assert.Assert(t, next.Upstream.ID != ticket.Upstream.ID)
		b.Done(next)
	}
}

// TestOneEngineIsNotTakenForAll checks that unseen placements of other instances are assumed to
// be spread over all engines, also for a request that can be placed on only one of them.
func TestOneEngineIsNotTakenForAll(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 20)
	b.SetFleetSize(60, 500*time.Millisecond)
	for range 3 {
		b.recordArrival(at(0), "m")
	}
	assert.Assert(t, b.unseenPlacements(at(0), "m") > 20)
	size := Size{Prompt: 5000, Estimate: 1000, Produced: 1000, ComputePrompt: true, CachedTokens: 6000, CachedOn: list[7].ID}
	ticket, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	assert.Equal(t, ticket.Upstream.ID, list[7].ID)
}

// TestZonesServeThemselves checks that streams are placed in the instance's own zone as long as
// it has enough free memory, and then in other zones too.
func TestZonesServeThemselves(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 12)
	for i := range list {
		list[i].Zone = ident.Zone(rune('a' + i%3))
	}
	b.SetFleetSize(60, 300*time.Millisecond)
	b.SetOfferedRate("m", 20)
	own, others := 0, 0
	for {
		ticket, ok := b.PlaceDecode(at(0), list, engine, Size{Prompt: 5000, Estimate: 1000}, nil)
		if !ok {
			break
		}
		if ticket.Upstream.Zone == "a" {
			own++
		} else {
			others++
		}
		if own <= 12 {
			assert.Equal(t, others, 0)
		}
	}
	assert.Assert(t, own > 12 && others > 8, "%d in the own zone and %d in others", own, others)
}
