package schedule

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// Times per token of the engines in these tests, and the length of an event in tokens. A fast engine
// sends an event every 30 ms.
const (
	fastTokenTime = 2500 * time.Microsecond
	slowTokenTime = 6250 * time.Microsecond
	eventTokens   = 12
)

// startStream places a stream on an engine.
func startStream(t *testing.T, b *Scheduler, now time.Time, u dialect.Upstream) Ticket {
	t.Helper()
	ticket, ok := b.PlaceDecode(now, []dialect.Upstream{u}, engine, Size{Prompt: 1000, Estimate: 900}, nil)
	assert.Assert(t, ok)
	return ticket
}

// runStream records the given number of events of a stream at a time per token, the first at now, and
// returns the time of the last one.
func runStream(b *Scheduler, now time.Time, ticket Ticket, events int, tokenTime time.Duration) time.Time {
	produced := b.records[ticket.Upstream.ID].streams[ticket.number].produced
	for i := range events {
		if i > 0 {
			now = now.Add(eventTokens * tokenTime)
		}
		produced += eventTokens
		b.RecordProgress(now, ticket, produced)
	}
	return now
}

// checkTokenTime checks the time per token of an engine, within two buckets.
func checkTokenTime(t *testing.T, b *Scheduler, now time.Time, id ident.UpstreamID, want time.Duration) {
	t.Helper()
	got := b.tokenTimeOf(now, b.records[id])
	assert.Check(t, !bucketsDiffer(tokenTimeBucket(got), tokenTimeBucket(want.Seconds())), "%s: %.3f ms, want %v", id, 1000*got, want)
}

// mixedEngines returns a scheduler that has measured a service of decode engines of which the
// first slow ones are slow, and the time of the last measurement.
func mixedEngines(t *testing.T, engineCount, slow int) (*Scheduler, []dialect.Upstream, time.Time) {
	t.Helper()
	b := NewScheduler("a", 1)
	list := engines(0, engineCount)
	end := at(0)
	// The last ones are measured last, so that the mean is that of the fast ones.
	for i, u := range list {
		tokenTime := fastTokenTime
		if i < slow {
			tokenTime = slowTokenTime
		}
		ticket := startStream(t, b, at(0), u)
		if stop := runStream(b, at(0), ticket, 20, tokenTime); stop.After(end) {
			end = stop
		}
		b.Done(ticket)
	}
	return b, list, end
}

// TestSlowSpellFades guards against an engine that was slow for 6 s being believed slow for long:
// its own events correct that, and without events it is forgotten within 30 s, at peers as well.
func TestSlowSpellFades(t *testing.T) {
	b, list, _ := mixedEngines(t, 3, 0)
	peer := NewScheduler("a", 2)
	startStream(t, peer, at(0), list[0])
	running := startStream(t, b, at(0), list[0])
	spell := int(6 * time.Second / (eventTokens * slowTokenTime))
	now := runStream(b, at(0), running, spell, slowTokenTime)
	checkTokenTime(t, b, now, "a", slowTokenTime)
	// The service's mean comes from all engines.
	b.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	told := b.OwnTokenTimes(now)
	assert.Assert(t, bucketsDiffer(told["a"].Bucket, tokenTimeBucket(fastTokenTime.Seconds())), "%v", told)
	peer.SetPeerTokenTimes(now, told)
	peer.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	checkTokenTime(t, peer, now, "a", slowTokenTime)

	checkTokenTime(t, b, now.Add(tokenTimeExpiry), "a", fastTokenTime)
	checkTokenTime(t, peer, now.Add(tokenTimeExpiry), "a", fastTokenTime)

	// Half a second of events at the usual pace.
	before := b.tokenTimeOf(now, b.records["a"])
	now = now.Add(eventTokens * fastTokenTime)
	after := runStream(b, now, running, 3, fastTokenTime)
	assert.Assert(t, b.tokenTimeOf(after, b.records["a"]) < 0.9*before, "not corrected by three events")
	after = runStream(b, after.Add(eventTokens*fastTokenTime), running, 14, fastTokenTime)
	checkTokenTime(t, b, after, "a", fastTokenTime)
	told = b.OwnTokenTimes(after)
	assert.Assert(t, !bucketsDiffer(told["a"].Bucket, tokenTimeBucket(fastTokenTime.Seconds())), "correction not told: %v", told)
	peer.SetPeerTokenTimes(after, told)
	checkTokenTime(t, peer, after, "a", fastTokenTime)
}

// TestStaleTokenTimeIsReplaced guards against an engine's value from a slow period outlasting new
// measurements after a pause.
func TestStaleTokenTimeIsReplaced(t *testing.T) {
	b, list, now := mixedEngines(t, 3, 1)
	now = now.Add(tokenTimeTTL + time.Second)
	checkTokenTime(t, b, now, "a", slowTokenTime)
	now = runStream(b, now, startStream(t, b, now, list[0]), 1+minTokenTimeEvents, fastTokenTime)
	checkTokenTime(t, b, now, "a", fastTokenTime)
}

// TestPausesAreNotPace guards against the time that an engine takes to compute a preempted request
// again, or the wait for a stream's first event, being taken for its pace.
func TestPausesAreNotPace(t *testing.T) {
	b, list, _ := mixedEngines(t, 1, 0)
	running := startStream(t, b, at(1000), list[0])
	now := runStream(b, at(3000), running, 10, fastTokenTime)
	checkTokenTime(t, b, now, "a", fastTokenTime)
	now = runStream(b, now.Add(600*time.Millisecond), running, 1, fastTokenTime)
	checkTokenTime(t, b, now, "a", fastTokenTime)
	assert.Equal(t, len(b.OwnTokenTimes(now)), 0)
}

// TestTokenTimeEndsWithItsIncarnation guards against a restarted engine being believed as slow as
// before, by this instance's measurement or by a peer's.
func TestTokenTimeEndsWithItsIncarnation(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	list[0].Incarnation = 7
	ticket := startStream(t, b, at(0), list[0])
	now := runStream(b, at(0), ticket, 10, slowTokenTime)
	b.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	checkTokenTime(t, b, now, "a", slowTokenTime)
	restarted := list[0]
	restarted.Incarnation = 8
	b.RecordRestart(restarted)
	b.RecordProgress(now.Add(75*time.Millisecond), ticket, 1000)
	assert.Equal(t, b.tokenTimeOf(now, b.records["a"]), fastTokenTime.Seconds())
	assert.Equal(t, len(b.OwnTokenTimes(now)), 0)
	slow := tokenTimeBucket(slowTokenTime.Seconds())
	b.SetPeerTokenTimes(now, map[ident.UpstreamID]TokenTime{"a": {Bucket: slow, Incarnation: 7}})
	assert.Equal(t, b.tokenTimeOf(now, b.records["a"]), fastTokenTime.Seconds())
	// A peer may know the next incarnation first.
	b.SetPeerTokenTimes(now, map[ident.UpstreamID]TokenTime{"a": {Bucket: slow, Incarnation: 9}})
	assert.Equal(t, b.tokenTimeOf(now, b.records["a"]), fastTokenTime.Seconds())
	restarted.Incarnation = 9
	b.RecordRestart(restarted)
	checkTokenTime(t, b, now, "a", slowTokenTime)
}

// TestUnknownTokenTimeIsTheMean checks that an engine that no instance has measured, or only by
// fewer events than required, has the service's mean, and that a peer's value is used before the
// first request of an instance.
func TestUnknownTokenTimeIsTheMean(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 3)
	slow := TokenTime{Bucket: tokenTimeBucket(slowTokenTime.Seconds())}
	b.SetPeerTokenTimes(at(0), map[ident.UpstreamID]TokenTime{"c": slow})
	ticket := startStream(t, b, at(0), list[0])
	startStream(t, b, at(0), list[1])
	startStream(t, b, at(0), list[2])
	runStream(b, at(0), ticket, minTokenTimeEvents, slowTokenTime)
	b.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	for _, id := range []ident.UpstreamID{"a", "b"} {
		assert.Equal(t, b.tokenTimeOf(at(300), b.records[id]), fastTokenTime.Seconds(), "%s", id)
	}
	checkTokenTime(t, b, at(300), "c", slowTokenTime)
	assert.Equal(t, b.tokenTimeOf(at(0).Add(tokenTimeExpiry), b.records["c"]), fastTokenTime.Seconds(), "peer's value not forgotten")
	assert.Equal(t, len(b.OwnTokenTimes(at(300))), 0)
}

// TestFalseBucketsFromPeersAreIgnored guards against values out of range, which would cause a panic
// or an engine that looks endlessly slow. Valid extreme values remain within the buckets.
func TestFalseBucketsFromPeersAreIgnored(t *testing.T) {
	b, _, now := mixedEngines(t, 1, 0)
	now = now.Add(tokenTimeTTL)
	for _, bucket := range []int{math.MinInt, -1, 0, tokenTimeBuckets + 1, math.MaxInt} {
		b.SetPeerTokenTimes(now, map[ident.UpstreamID]TokenTime{"a": {Bucket: bucket}, "unknown": {Bucket: bucket}})
		checkTokenTime(t, b, now, "a", fastTokenTime)
	}
	assert.Equal(t, len(b.earlyTokenTimes), 0)
	for _, seconds := range []float64{0, 1e-12, 1e-5, 0.0026, 1, 1e9, math.Inf(1)} {
		bucket := tokenTimeBucket(seconds)
		assert.Check(t, bucket >= 1 && bucket <= tokenTimeBuckets, "%v: %d", seconds, bucket)
	}
	for i, seconds := range bucketTimes {
		assert.Equal(t, tokenTimeBucket(seconds), i+1)
	}
}

// TestTokenTimesAreToldWhenTheyAreNews guards against reports that repeat what peers know: a value
// is told for tellDuration, again before peers forget it, and at once if it changes. What a peer
// told counts as known.
func TestTokenTimesAreToldWhenTheyAreNews(t *testing.T) {
	b, list, _ := mixedEngines(t, 4, 1)
	running := startStream(t, b, at(0), list[0])
	var told []time.Duration
	now, start := at(2000), at(2000)
	for ; now.Before(start.Add(40 * time.Second)); now = now.Add(eventTokens * slowTokenTime) {
		runStream(b, now, running, 1, slowTokenTime)
		b.performanceOf("m").tokenTime = fastTokenTime.Seconds()
		if times := b.OwnTokenTimes(now); len(times) > 0 {
			assert.Equal(t, len(times), 1)
			told = append(told, now.Sub(start))
		}
	}
	again := slices.IndexFunc(told, func(d time.Duration) bool { return d > 10*time.Second })
	assert.Assert(t, again > 0, "not told again")
	first, second := told[:again], told[again:]
	assert.Check(t, first[again-1] < tellDuration, "%v", first)
	assert.Check(t, second[0]-first[again-1] >= tellInterval && second[0]-first[again-1] < tokenTimeExpiry, "%v", second)
	assert.Check(t, second[len(second)-1]-second[0] < tellDuration, "%v", second)

	heard := NewScheduler("a", 1)
	other := startStream(t, heard, at(0), list[0])
	end := runStream(heard, at(0), other, 10, slowTokenTime)
	heard.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	slow := tokenTimeBucket(slowTokenTime.Seconds())
	heard.SetPeerTokenTimes(end, map[ident.UpstreamID]TokenTime{"a": {Bucket: slow}})
	assert.Equal(t, len(heard.OwnTokenTimes(end)), 0, "told although a peer has told it")
	heard.SetPeerTokenTimes(end, map[ident.UpstreamID]TokenTime{"a": {Bucket: slow + minBucketDifference}})
	assert.Equal(t, heard.OwnTokenTimes(end)["a"].Bucket, slow, "a different value of a peer not corrected")
}

// TestEqualEnginesTellNothing guards against longer load reports, and different placements, in a
// fleet whose engines are alike. Events vary by 15%.
func TestEqualEnginesTellNothing(t *testing.T) {
	limited, unlimited := NewScheduler("a", 1), NewScheduler("a", 1)
	list := engines(0, 5)
	size := Size{Prompt: 1000, Estimate: 900}
	withLimit := size
	withLimit.TimeLeft, withLimit.MaxOutput = 2*time.Second, 2000
	for i := range 200 {
		now := at(400 * i)
		a, okA := limited.PlaceDecode(now, list, engine, withLimit, nil)
		c, okC := unlimited.PlaceDecode(now, list, engine, size, nil)
		assert.Assert(t, okA && okC)
		assert.Equal(t, a.Upstream.ID, c.Upstream.ID, "stream %d", i)
		for event := range 10 {
			jitter := time.Duration((event*3+i)%7-3) * 1500 * time.Microsecond
			now = now.Add(30*time.Millisecond + jitter)
			limited.RecordProgress(now, a, (event+1)*eventTokens)
			unlimited.RecordProgress(now, c, (event+1)*eventTokens)
		}
		assert.Equal(t, len(limited.OwnTokenTimes(now)), 0)
		limited.Done(a)
		unlimited.Done(c)
	}
	assert.Assert(t, limited.EngineCapacities(at(80000), list) == nil)
}

// TestLongStreamsGoToFastEngines guards against a stream placed where it does not end in time. Only
// if no other engine has room is it placed there, and a short stream is placed anywhere.
func TestLongStreamsGoToFastEngines(t *testing.T) {
	b, list, now := mixedEngines(t, 6, 5)
	b.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	long := Size{Prompt: 1000, Estimate: 2000, TimeLeft: 10 * time.Second}
	short := Size{Prompt: 1000, Estimate: 200, TimeLeft: 10 * time.Second}
	for range 20 {
		ticket, ok := b.PlaceDecode(now, list, engine, long, nil)
		assert.Assert(t, ok)
		assert.Equal(t, ticket.Upstream.ID, ident.UpstreamID("f"))
	}
	found := map[ident.UpstreamID]bool{}
	for range 10 {
		ticket, ok := b.PlaceDecode(now, list, engine, short, nil)
		assert.Assert(t, ok)
		found[ticket.Upstream.ID] = true
	}
	assert.Assert(t, !found["f"] && len(found) > 1, "%v", found)
	bound := long
	bound.MaxOutput = 1000
	ticket, ok := b.PlaceDecode(now, list, engine, bound, nil)
	assert.Assert(t, ok)
	assert.Assert(t, ticket.Upstream.ID != "f", "the bound of the output is not used")
	ticket, ok = b.PlaceDecode(now, list, engine, long, []ident.UpstreamID{"f"})
	assert.Assert(t, ok, "refused although slow engines have room")
	assert.Assert(t, b.HasRoom(now, list, engine, long, []ident.UpstreamID{"f"}))
	assert.Assert(t, ticket.Upstream.ID != "f")
}

// TestForecastUsesThePaceOfTheEngine guards against memory of a fast engine counting as used for as
// long as that of a slow one.
func TestForecastUsesThePaceOfTheEngine(t *testing.T) {
	b, list, now := mixedEngines(t, 2, 1)
	for _, u := range list {
		b.RecordProgress(now, startStream(t, b, now, u), eventTokens)
	}
	slow, fast := b.ownForecast(now, b.records["a"]), b.ownForecast(now, b.records["b"])
	assert.Assert(t, slow[9] > 0 && fast[9] == 0, "slow %v, fast %v", slow, fast)
	run := runningStream{estimate: 900, produced: eventTokens}
	left, leftFast := b.remaining(now, b.records["a"], run), b.remaining(now, b.records["b"], run)
	assert.Assert(t, left > 2*leftFast, "%v, %v", left, leftFast)
}

// TestSlowEnginesPrefill guards against a plan that counts slow decode engines as full ones, and
// that changes fast ones to prefill. Engines that do not differ give the plan of their number.
func TestSlowEnginesPrefill(t *testing.T) {
	b, list, now := mixedEngines(t, 9, 4)
	b.performanceOf("m").tokenTime = fastTokenTime.Seconds()
	list = append(list, dialect.Upstream{ID: "p", Service: "m", Zone: "a", Stage: dialect.StagePrefill}, dialect.Upstream{ID: "q", Service: "m", Zone: "a", Stage: dialect.StagePrefill})
	capacities := b.EngineCapacities(now, list)
	assert.Assert(t, math.Abs(capacities["a"].Decode-0.4) < 0.01 && capacities["i"].Decode == 1, "%v", capacities)
	assert.Equal(t, capacities["p"], EngineCapacity{Prefill: 1, Decode: 1})
	// A slow engine with requests, in a smaller zone, changes before an idle fast one.
	for i := range 4 {
		list[i].Zone = "b"
	}
	for _, busiest := range []ident.UpstreamID{"a", "i"} {
		busy := func(id ident.UpstreamID) int { return map[bool]int{true: 10}[id == busiest] }
		n := Need{Work: Work{Prefill: 130000, Memory: 200000}, PrefillRate: 55000, Capacities: capacities}
		changes := PlanStages(list, engine, n, busy)
		assert.Assert(t, len(changes) >= 2, "%v", changes)
		for _, c := range changes {
			assert.Equal(t, c.To, dialect.StagePrefill)
			assert.Assert(t, c.Engine.ID <= "d", "fast engine %s changes to prefill", c.Engine.ID)
		}
	}
	// Five prefill engines and six decode engines, four of which have 0.4 of the capacity.
	for i := range list {
		if i >= 6 {
			list[i].Stage = dialect.StagePrefill
		}
	}
	idle := func(ident.UpstreamID) int { return 0 }
	n := Need{Work: Work{Prefill: 200000, Memory: 420000}, PrefillRate: 55000}
	assert.Equal(t, len(PlanStages(list, engine, n, idle)), 0, "six full engines suffice")
	n.Capacities = capacities
	n.Capacities["g"] = EngineCapacity{Prefill: 1, Decode: 0.4}
	changes := PlanStages(list, engine, n, idle)
	assert.Assert(t, len(changes) > 0)
	for _, c := range changes {
		assert.Equal(t, c.To, dialect.StageDecode)
		assert.Assert(t, c.Engine.ID != "g", "slow engine changes to decode")
	}
}

// divideByCount is the division of equal engines between the stages by their number alone.
func divideByCount(n Need, engines int, e *routing.Engine) (prefill int, load float64) {
	load = math.Inf(1)
	for p := minStageEngines; p <= engines-minStageEngines; p++ {
		if w := n.maxLoad(float64(p), float64(engines-p), e); w < load {
			prefill, load = p, w
		}
	}
	return prefill, load
}

// TestEqualEnginesArePlannedByNumber checks that the plan for engines of equal capacity is that of
// their number, at many loads, and that stated capacities of 1 change nothing.
func TestEqualEnginesArePlannedByNumber(t *testing.T) {
	busy := func(id ident.UpstreamID) int { return int(id[0]) % 5 }
	planned := 0
	for i := range 400 {
		list := engines(2+i%11, 2+i*7%23)
		for j := range list {
			list[j].Zone = ident.Zone(rune('a' + j%3))
			list[j].Leaving = j%13 == 12
		}
		n := Need{Work: Work{Prefill: float64(20000 + 9000*(i%50)), Memory: float64(100000 + 31000*(i*11%60)), Streams: float64(i % 300)}, PrefillRate: 55000}
		wantPrefill, wantLoad := divideByCount(n, countStage(list, dialect.StagePrefill)+countStage(list, dialect.StageDecode), engine)
		prefill, load := n.bestDivision(list, engine)
		assert.Equal(t, prefill, wantPrefill, "%d", i)
		assert.Equal(t, load, wantLoad, "%d", i)
		plan := fmt.Sprint(PlanStages(list, engine, n, busy))
		n.Capacities = map[ident.UpstreamID]EngineCapacity{}
		for _, u := range list {
			n.Capacities[u.ID] = EngineCapacity{Prefill: 1, Decode: 1}
		}
		assert.Equal(t, fmt.Sprint(PlanStages(list, engine, n, busy)), plan)
		if plan != "[]" {
			planned++
		}
	}
	assert.Assert(t, planned > 50, "%d", planned)
}
