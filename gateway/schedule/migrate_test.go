package schedule

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// placeStreams places streams on the first of two engines and starts them.
func placeStreams(t *testing.T, b *Scheduler, streams int, size Size) []Ticket {
	t.Helper()
	var tickets []Ticket
	for range streams {
		ticket, ok := b.PlaceDecode(at(0), engines(0, 1), engine, size, nil)
		assert.Assert(t, ok)
		b.RecordProgress(at(0), ticket, size.Estimate/2)
		tickets = append(tickets, ticket)
	}
	return tickets
}

// TestCrowdedEngineGivesUpAStream checks that streams are moved from an engine only if it is
// about to run out of memory, one at a time, starting with the one that is expected to continue
// longest.
func TestCrowdedEngineGivesUpAStream(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 2)
	tickets := placeStreams(t, b, 7, Size{Prompt: 6500, Estimate: 4000})
	assert.Equal(t, len(b.Migrants(at(0), list, engine)), 0)
	// The streams progress at 650 us per token.
	for _, ticket := range tickets {
		b.RecordProgress(at(2470), ticket, 5800)
	}
	b.RecordProgress(at(2470), tickets[3], 5750)
	found := b.Migrants(at(2470), list, engine)
	assert.Equal(t, len(found), 1, "moves at 86,050 of 90,000 tokens and rising")
	assert.Equal(t, found[0].Reason, ReasonNearFull)
	for _, ticket := range tickets {
		b.RecordProgress(at(3055), ticket, 6700)
	}
	b.RecordProgress(at(3055), tickets[5], 1000)
	found = b.Migrants(at(3055), list, engine)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Ticket.Number(), tickets[5].Number())
}

// TestInstancesShareTheMoves checks that an instance moves streams from an engine with a
// probability equal to its share of the engine's memory.
func TestInstancesShareTheMoves(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 2)
	placeStreams(t, b, 1, Size{Prompt: 8000, Estimate: 4000})
	peers := &InFlight{Requests: 7}
	peers.Memory.Add([]int{80000, 80000, 80000})
	b.SetPeers(at(0), map[ident.UpstreamID]*InFlight{"a": peers})
	moves := 0
	for range 1000 {
		moves += len(b.Migrants(at(0), list, engine))
	}
	assert.Assert(t, moves > 60 && moves < 180, "%d moves in 1000 calls with a memory share of 0.11", moves)
}

// TestLeavingEngineGivesUpAllStreams checks that all streams are moved from an engine that is
// leaving or no longer listed, except those that end soon.
func TestLeavingEngineGivesUpAllStreams(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 2)
	tickets := placeStreams(t, b, 3, Size{Prompt: 1000, Estimate: 4000})
	b.performanceOf("m").lengthVariance = 0
	b.RecordProgress(at(0), tickets[1], 3900)
	assert.Equal(t, len(b.Migrants(at(0), list, engine)), 0)
	assert.Equal(t, len(b.Migrants(at(0), list[1:], engine)), 2, "moves from an engine that is not listed")
	list[0].Leaving = true
	found := b.Migrants(at(0), list, engine)
	assert.Equal(t, len(found), 2)
	assert.Equal(t, found[0].Reason, ReasonLeaving)
	waiting, ok := b.PlaceDecode(at(0), engines(0, 1), engine, Size{Prompt: 1000, Estimate: 4000}, nil)
	assert.Assert(t, ok)
	assert.Equal(t, len(b.Migrants(at(0), list, engine)), 2, "a stream that has not started cannot be moved")
	b.Done(waiting)
	assert.Assert(t, b.remaining(at(0), b.records["a"], runningStream{estimate: 4000, produced: 3900}) < minRemaining)
}

// TestCopiedStreamNeedsNoComputing checks that a stream whose KV cache is transferred needs no
// computation, unlike one that is resumed without it.
func TestCopiedStreamNeedsNoComputing(t *testing.T) {
	size := Size{Prompt: 1000, Estimate: 4000, Produced: 2000}
	assert.Equal(t, size.tokensToCompute(), 2000)
	size.KVCopied = true
	assert.Equal(t, size.tokensToCompute(), 0)
}
