package schedule

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// TestDecodeEnginesAreNotOverfilled checks that the memory forecast of all requests stays
// within the usable memory, and that requests are spread over the engines.
func TestDecodeEnginesAreNotOverfilled(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 2)
	size := Size{Prompt: 5000, Estimate: 4000}
	placed := map[ident.UpstreamID]int{}
	for {
		ticket, ok := b.PlaceDecode(at(0), list, engine, size, nil)
		if !ok {
			break
		}
		placed[ticket.Upstream.ID]++
	}
	total := 0
	for id, n := range placed {
		total += n
		f := b.ownForecast(at(0), b.records[id])
		assert.Assert(t, f.peak() <= int(usableMemoryShare*float64(engine.KVTokens)), "%s: forecast peak %d", id, f.peak())
	}
	assert.Assert(t, total >= 16 && total <= 20, "%d placed", total)
	assert.Assert(t, math.Abs(float64(placed["a"]-placed["b"])) <= 2, "%v", placed)
}

// TestPeersForecastLeavesNoRoom checks that memory that peers forecast for their requests is
// not planned for others.
func TestPeersForecastLeavesNoRoom(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	size := Size{Prompt: 5000, Estimate: 1000}
	ticket, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	b.Done(ticket)
	full := &InFlight{Requests: 9}
	full.Memory.Add([]int{60000, 70000, 80000, 85000, 0, 0, 0, 0, 0, 0})
	b.SetPeers(at(0), map[ident.UpstreamID]*InFlight{"a": full})
	_, ok = b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, !ok, "placed although the forecast peak in 0.9 s leaves no memory")
}

// TestRefusedReservationIsNotRepeatedAtOnce checks that after a rejected reservation the engine
// is briefly not asked for as much memory again, while smaller reservations are still possible.
func TestRefusedReservationIsNotRepeatedAtOnce(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	large, small := Size{Prompt: 5000, Estimate: 1000}, Size{Prompt: 500, Estimate: 100}
	b.RecordFull(at(0), list[0], large.TokensToReserve())
	_, ok := b.PlaceDecode(at(10), list, engine, large, nil)
	assert.Assert(t, !ok)
	_, ok = b.PlaceDecode(at(10), list, engine, small, nil)
	assert.Assert(t, ok)
	_, ok = b.PlaceDecode(at(100), list, engine, large, nil)
	assert.Assert(t, ok)
}

func TestPrefillGoesWhereItIsDoneFirst(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(2, 0)
	first, _ := b.PlacePrefill(at(0), list, 8000, "a", nil)
	for range 2 {
		ticket, ok := b.PlacePrefill(at(0), list, 2000, "a", nil)
		assert.Assert(t, ok)
		assert.Assert(t, ticket.Upstream.ID != first.Upstream.ID)
	}
}

func TestSlowPrefillEngineGetsLess(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(2, 0)
	b.RecordSuccess(at(0), list[0], 900*time.Millisecond)
	b.RecordSuccess(at(0), list[1], 100*time.Millisecond)
	for range 5 {
		ticket, _ := b.PlacePrefill(at(0), list, 1000, "a", nil)
		assert.Equal(t, ticket.Upstream.ID, list[1].ID)
	}
}

// TestForecastGrowsAndEnds checks that a request's forecast memory grows with its output and is
// released when the output is expected to end.
func TestForecastGrowsAndEnds(t *testing.T) {
	f := runningStream{prompt: 1000, estimate: 900}.forecast(0.001, 0.1)
	assert.Equal(t, f[0], 1000)
	assert.Equal(t, f[2], 1600)
	assert.Equal(t, f[4], 0)
	long := runningStream{prompt: 1000, estimate: 900, produced: 2000}.forecast(0.001, 0.5)
	assert.Assert(t, long[0] == 3000 && long[1] > 3000, "output longer than estimated not expected to continue: %v", long)
}

func TestExpectedOutputRisesWithWhatWasProduced(t *testing.T) {
	before := 0.0
	for _, produced := range []float64{0, 500, 1000, 2000, 4000, 20000} {
		n := expectedOutput(1000, produced, 0.5)
		assert.Assert(t, n >= produced && n >= before, "%v: %v", produced, n)
		before = n
	}
	assert.Equal(t, expectedOutput(0, 300, 0.5), 300.0)
}

func TestSpreadIsLearned(t *testing.T) {
	b := NewScheduler("a", 1)
	for range 400 {
		b.StreamDone("m", 1000, 1000)
	}
	assert.Assert(t, b.performanceOf("m").spread() == minSpread)
}

// TestUnexplainedMemoryLeavesNoRoom guards against filling an engine beyond its memory. Memory
// that an engine reports beyond that of all known requests, such as that of streams of a
// crashed instance, is not available. Since reports are delayed, the highest recently known
// memory use accounts for them.
func TestUnexplainedMemoryLeavesNoRoom(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	size := Size{Prompt: 40000, Estimate: 1000}
	ticket, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	b.SetPeers(at(100), nil)
	assert.Equal(t, b.RecordReport(at(200), list[0], dialect.Report{UsedTokens: 90000}), 0, "report used right after the start")
	b.SetPeers(at(1200), nil)
	b.Done(ticket)
	assert.Equal(t, b.RecordReport(at(2000), list[0], dialect.Report{UsedTokens: 40000}), 0)
	assert.Equal(t, b.RecordReport(at(4000), list[0], dialect.Report{UsedTokens: 60000}), 60000)
	_, ok = b.PlaceDecode(at(4100), list, engine, size, nil)
	assert.Assert(t, !ok)
	assert.Equal(t, b.OwnLoad(at(4100))["a"].UnaccountedMemory, 60000)
	peer := NewScheduler("a", 2)
	peer.recordOf(list[0])
	peer.SetPeers(at(3100), map[ident.UpstreamID]*InFlight{"a": {UnaccountedMemory: 60000}})
	_, ok = peer.PlaceDecode(at(3100), list, engine, size, nil)
	assert.Assert(t, !ok)
	_, ok = b.PlaceDecode(at(7000), list, engine, size, nil)
	assert.Assert(t, ok, "outdated report still used")
}

// TestPrefillEnginesAreUsedWhileThereAreAny checks that with all prefill engines ejected, the
// one whose ejection ends first is used, and that PlacePrefill fails for a list without prefill
// engines.
func TestPrefillEnginesAreUsedWhileThereAreAny(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(2, 1)
	for range ejectAfter {
		b.RecordFailure(at(0), list[0], Hard)
		b.RecordFailure(at(100), list[1], Hard)
	}
	assert.Assert(t, b.PrefillReachable(at(200), list))
	ticket, ok := b.PlacePrefill(at(200), list, 1000, "a", nil)
	assert.Assert(t, ok)
	assert.Equal(t, ticket.Upstream.ID, list[0].ID)
	_, ok = b.PrefillWait(at(200), list, 1000)
	assert.Assert(t, !ok)
	_, ok = b.PlacePrefill(at(200), list[2:], 1000, "a", nil)
	assert.Assert(t, !ok)
}

// TestPrefillWaitGrowsWithTheQueue checks that the expected wait includes the queued prompts of
// this instance and of its peers.
func TestPrefillWaitGrowsWithTheQueue(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(1, 0)
	idle, ok := b.PrefillWait(at(0), list, 5000)
	assert.Assert(t, ok)
	_, ok = b.PlacePrefill(at(0), list, 10000, "a", nil)
	assert.Assert(t, ok)
	busy, _ := b.PrefillWait(at(0), list, 5000)
	assert.Equal(t, busy, 3*idle)
	b.SetPeers(at(0), map[ident.UpstreamID]*InFlight{"a": {Tokens: 5000}})
	busier, _ := b.PrefillWait(at(0), list, 5000)
	assert.Equal(t, busier, 4*idle)
}

// TestPrefillOutOfReachIsNotWaitedFor guards against requests waiting for the time-outs of
// prefill engines to which no connection can be established. A successful probe puts an engine
// back into use.
func TestPrefillOutOfReachIsNotWaitedFor(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(2, 1)
	b.RecordFailure(at(0), list[0], Unreachable)
	b.RecordFailure(at(0), list[1], Misdirected)
	for ms := range 30 {
		_, ok := b.PlacePrefill(at(100*ms), list, 1000, "a", nil)
		assert.Assert(t, !ok)
		assert.Assert(t, !b.PrefillReachable(at(100*ms), list))
	}
	assert.Equal(t, len(b.ProbeCandidates(at(3000), list)), 2)
	b.Readmit(at(3000), list[1])
	ticket, ok := b.PlacePrefill(at(3010), list, 1000, "a", nil)
	assert.Assert(t, ok)
	assert.Equal(t, ticket.Upstream.ID, list[1].ID)
}

// TestResumedStreamTakesWhatItHas checks that the output so far counts in the reservation and
// in the forecast of a resumed stream.
func TestResumedStreamTakesWhatItHas(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	size := Size{Prompt: 5000, Estimate: 4000, Produced: 3000}
	assert.Equal(t, size.TokensToReserve(), 8250)
	assert.Equal(t, Size{Prompt: 5000, Estimate: 4000, Produced: 6000}.TokensToReserve(), 11000)
	_, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	assert.Assert(t, b.ownForecast(at(0), b.records["a"])[0] >= 8000)
}

// TestQuietEngineGetsNoMoreRequests checks that an engine whose running streams have stalled
// gets no further requests until it sends something.
func TestQuietEngineGetsNoMoreRequests(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	size := Size{Prompt: 1000, Estimate: 1000}
	running, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	later := 1000 + int(stallTimeout.Milliseconds())
	waiting, ok := b.PlaceDecode(at(later), list, engine, size, nil)
	assert.Assert(t, ok, "engine avoided because of a stream that has not started")
	b.Done(waiting)
	b.RecordProgress(at(1000), running, 64)
	_, ok = b.PlaceDecode(at(later), list, engine, size, nil)
	assert.Assert(t, ok)
	_, ok = b.PlaceDecode(at(later+1), list, engine, size, nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(b.ProbeCandidates(at(later+1), list)), 1, "engines to probe")
	b.RecordProgress(at(later+2), running, 128)
	_, ok = b.PlaceDecode(at(later+3), list, engine, size, nil)
	assert.Assert(t, ok)
}

// TestQuietEnginesShowACut checks that stalled streams at two engines of a zone cause the whole
// zone to be avoided, including its prefill engines.
func TestQuietEnginesShowACut(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(2, 3)
	for _, i := range []int{0, 2, 3} {
		list[i].Zone = "z"
	}
	size := Size{Prompt: 1000, Estimate: 1000}
	for _, u := range list[2:] {
		ticket, ok := b.PlaceDecode(at(0), []dialect.Upstream{u}, engine, size, nil)
		assert.Assert(t, ok)
		b.RecordProgress(at(100), ticket, 64)
	}
	now := at(101 + int(stallTimeout.Milliseconds()))
	for range 10 {
		ticket, ok := b.PlacePrefill(now, list, 1000, "z", nil)
		assert.Assert(t, ok)
		assert.Equal(t, ticket.Upstream.Zone, ident.Zone("a"))
	}
	assert.Assert(t, !b.PrefillReachable(now, list[:1]))
}

// TestLikelihoodOfEndingInTime checks that the probability follows the output estimate, the
// output so far, and the output limit.
func TestLikelihoodOfEndingInTime(t *testing.T) {
	b := NewScheduler("a", 1)
	second := 1000 * defaultTokenTime
	at := func(within time.Duration, size Size, bound int) float64 {
		return b.EndsWithin("s", size, bound, within)
	}
	of1000 := Size{Estimate: 1000}
	assert.Assert(t, math.Abs(at(second, of1000, 0)-0.5) < 0.01, "the estimate is not the median")
	assert.Assert(t, at(4*second, of1000, 0) > 0.95)
	assert.Assert(t, at(second/4, of1000, 0) < 0.05)
	assert.Equal(t, at(second, of1000, 900), 1.0)
	assert.Equal(t, at(0, of1000, 900), 0.0)
	half := Size{Estimate: 1000, Produced: 900}
	assert.Assert(t, at(second, half, 0) > at(second, of1000, 0))
	assert.Assert(t, at(second/10, half, 0) < 0.5)
}

// TestRequestsOfUnknownInstancesAreNoticed guards against an instance that takes the requests of another one, which it
// doesn't know, for its own or for those of a peer.
func TestRequestsOfUnknownInstancesAreNoticed(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	ticket, ok := b.PlaceDecode(at(0), list, engine, Size{Prompt: 4000, Estimate: 100}, nil)
	assert.Assert(t, ok)
	b.SetPeers(at(100), map[ident.UpstreamID]*InFlight{"a": {Requests: 2}})
	b.RecordReport(at(200), list[0], dialect.Report{Running: 2, Waiting: 1})
	b.Done(ticket)
	b.SetPeers(at(900), map[ident.UpstreamID]*InFlight{"a": {Requests: 1}})
	b.RecordReport(at(1000), list[0], dialect.Report{Running: 3})
	assert.Assert(t, b.UnknownRequestsAt().IsZero(), "known at most 1.5 s ago")
	b.RecordReport(at(3000), list[0], dialect.Report{Running: 2})
	assert.Equal(t, b.UnknownRequestsAt(), at(3000))
}
