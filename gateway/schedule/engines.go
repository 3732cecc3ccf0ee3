package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

const (
	// usableMemoryShare is the share of an engine's memory that requests are planned into. The
	// rest allows for peers' forecasts, which are about 300 ms old, and for outputs that are
	// all longer than estimated. An engine that runs out of memory preempts a request, whose
	// prompt then has to be computed again, and pauses for about 300 ms.
	usableMemoryShare = 0.92
	// unseenMemoryShare is the share of the unseen placements, those that other instances are
	// expected to have made but not yet reported, for which the engines must have free memory.
	// With the full amount more streams would be refused than are saved from preemption.
	unseenMemoryShare = 0.25
	// localZoneBonus is how much more of its memory, as a share, a decode engine of another
	// zone must have free to be preferred. Streams within the zone survive a network partition
	// between zones, and traffic between zones is charged for.
	localZoneBonus = 0.12
	// localZoneFreeShare is the share of its memory that a decode engine of the instance's zone
	// must have free for other zones to be disregarded. Otherwise most streams would run in
	// other zones in a large fleet, where many engines are about equally good.
	localZoneFreeShare = 0.3
	// reservedOutputShare is the share of the estimated output for which memory is reserved.
	// Memory that is reserved but not yet used is not available to other requests.
	reservedOutputShare = 0.25
	// fullBackoff is how long an engine that rejected a reservation is not asked again for as
	// much memory. At peak load a stream ends somewhere every 50 to 80 ms.
	fullBackoff = 60 * time.Millisecond
	// freeMemoryNoise is the difference in free memory, as a share, below which two engines
	// count as equally free. The choice between them is random, so that instances with the same
	// view do not all choose the same engine.
	freeMemoryNoise = 0.08
	// missWeight is the cost of a stream that does not end before its deadline, as a share of an
	// engine's memory. The whole run of such a stream is wasted.
	missWeight = 2
	// maxMissProbability is the probability that a stream does not end before its deadline above
	// which an engine is used only if there is no other.
	maxMissProbability = 0.5
	// tokenTimeMargin is the factor by which a stream's time per token may be longer than known when
	// it is placed. Peers tell only buckets, and the time rises with the streams at the engine.
	tokenTimeMargin = tokenTimeRatio
)

// Size describes the memory and computation that a request is expected to need. Lengths are in
// tokens.
type Size struct {
	Prompt int
	// Estimate is the expected length of the whole output.
	Estimate int
	// Produced is the length of the output that another engine has already generated. The
	// decode engine has to compute its KV cache unless KVCopied is set.
	Produced int
	// KVCopied means that the KV cache of the output so far is transferred to the engine.
	KVCopied bool
	// CachedTokens is the number of tokens of prompt and output whose KV cache the engine CachedOn
	// still holds. With CachedOn set the request can be placed only there.
	CachedTokens int
	CachedOn     ident.UpstreamID
	// TimeLeft is the time from the first event to the caller's deadline, 0 for no limit. MaxOutput
	// is the maximum length of the whole output, 0 for none.
	TimeLeft  time.Duration
	MaxOutput int
	// ComputePrompt means that the decode engine has to compute the prompt itself, which pauses its
	// streams. MaxPause is the longest permitted pause, 0 for no limit.
	ComputePrompt bool
	MaxPause      time.Duration
	// Overflow means that prefill engines are reachable but busy. The request can then only be
	// placed on an engine given to SetOverflow.
	Overflow bool
	// Isolate means that the request may crash its engine. It is placed on the engine with the
	// fewest other requests, in any zone.
	Isolate bool
}

// TokensToReserve returns the memory to reserve for a request, in tokens. Memory beyond the
// reservation is accounted for only by the forecast.
func (s Size) TokensToReserve() int {
	return s.Prompt + s.Produced + int(reservedOutputShare*float64(max(0, s.Estimate-s.Produced)))
}

// PlaceDecode places a request on a decode engine: among those whose memory is expected to
// suffice until the request ends, one with the most free memory. It reports false if there is
// none.
func (b *Scheduler) PlaceDecode(now time.Time, list []dialect.Upstream, e *routing.Engine, size Size, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := runningStream{prompt: size.Prompt, estimate: size.Estimate, produced: size.Produced, reserved: size.TokensToReserve()}
	unseen := b.unseenPlacements(now, serviceOf(list))
	candidates := b.availableDecode(now, list, e, size, run, exclude, unseen)
	if !size.Isolate {
		candidates, unseen = b.preferLocalZone(candidates, unseen)
	}
	best := b.chooseDecode(candidates, unseen)
	if best == nil {
		return Ticket{}, false
	}
	b.recordArrival(now, serviceOf(list))
	t := b.place(now, best, size.tokensToCompute())
	best.streams[t.number] = run
	return t, true
}

// chooseDecode chooses among the candidates. Where the stream may miss its deadline, it chooses by
// water level. A random choice among as many engines as there are unseen placements, about 20 in a
// fleet of 40 instances, would include slow engines regardless of their costs. The caller holds mu.
func (b *Scheduler) chooseDecode(candidates []candidate, unseen float64) *upstreamRecord {
	if len(candidates) > 0 && candidates[0].requestCost > 0 {
		return b.chooseByWaterLevel(candidates, unseen)
	}
	return b.chooseAmongCheapest(candidates, unseen)
}

// availableDecode returns the decode engines with enough memory for the request and for unseen
// placements of other instances. The caller holds mu.
func (b *Scheduler) availableDecode(now time.Time, list []dialect.Upstream, e *routing.Engine, size Size, run runningStream, exclude []ident.UpstreamID, unseen float64) []candidate {
	b.suspectStalledZones(now)
	r := b.performanceOf(serviceOf(list))
	spread, mean := r.spread(), tokenTimeBucket(r.tokenTime)
	differ := false
	var candidates []candidate
	for _, u := range list {
		if u.Stage != dialect.StageDecode || !b.usable(now, u, exclude) || size.CachedOn != "" && size.CachedOn != u.ID {
			continue
		}
		rec := b.recordOf(u)
		tokenTime, bucket := rec.tokenTime.best(now)
		if bucket == 0 {
			tokenTime, bucket = r.tokenTime, mean
		}
		free, ok := b.freeMemory(now, rec, e, run, tokenTime, spread)
		if !ok || now.Before(rec.fullUntil) && run.reserved >= rec.fullTokens || size.Overflow && !b.overflow[u.ID] || !b.mayCompute(rec, e, size, tokenTime) {
			continue
		}
		cost := -free - freeMemoryNoise*b.random.Float64()
		if u.Zone == b.zone {
			cost -= localZoneBonus
		}
		if size.Isolate {
			cost = float64(rec.requests+rec.peerRequests) + b.random.Float64()
		}
		differ = differ || bucketsDiffer(bucket, mean)
		candidates = append(candidates, candidate{record: rec, cost: cost, freeShare: free, tokenTimeBucket: bucket})
	}
	if size.CachedOn != "" {
		return candidates
	}
	candidates = withMemoryFor(candidates, unseenMemoryShare*unseen*run.finalMemoryShare(e))
	if differ && size.TimeLeft > 0 && !size.Isolate {
		candidates = endingInTime(candidates, size, spread, run.finalMemoryShare(e))
	}
	return candidates
}

// endingInTime adds the cost of a stream that does not end before its deadline to the engines'
// costs, subtracts it from their free memory, and removes the engines where this is more likely
// than not, unless no other remains. It changes candidates in place.
func endingInTime(candidates []candidate, size Size, spread, requestCost float64) []candidate {
	// misses holds the probability by bucket, plus 1 if it is known.
	var misses [tokenTimeBuckets]float64
	inTime := 0
	for i := range candidates {
		c := &candidates[i]
		known := &misses[c.tokenTimeBucket-1]
		if *known == 0 {
			*known = 1 + size.missProbability(tokenTimeMargin*bucketTimes[c.tokenTimeBucket-1], spread, size.MaxOutput, size.TimeLeft)
		}
		miss := *known - 1
		c.cost += missWeight * miss
		c.freeShare -= missWeight * miss
		c.requestCost = requestCost
		if miss <= maxMissProbability {
			candidates[inTime], *c = *c, candidates[inTime]
			inTime++
		}
	}
	if inTime == 0 {
		return candidates
	}
	return candidates[:inTime]
}

// withMemoryFor returns the largest set of engines that can each hold an equal share of the
// placements expected from other instances. placed and the free memory are shares of one
// engine's memory. Other instances, too, place requests only where memory is free. It sorts
// open in place.
func withMemoryFor(candidates []candidate, expected float64) []candidate {
	slices.SortFunc(candidates, func(a, c candidate) int { return cmp.Compare(c.freeShare, a.freeShare) })
	for len(candidates) > 0 && candidates[len(candidates)-1].freeShare < expected/float64(len(candidates)) {
		candidates = candidates[:len(candidates)-1]
	}
	return candidates
}

// preferLocalZone removes the engines of other zones if one of the instance's zone has more
// than localZoneFreeShare of its memory free. It returns the remaining engines and their share
// of the unseen placements. The caller holds mu.
func (b *Scheduler) preferLocalZone(candidates []candidate, unseen float64) ([]candidate, float64) {
	var own []candidate
	hasSpace := false
	for _, c := range candidates {
		if c.record.up.Zone == b.zone {
			own = append(own, c)
			hasSpace = hasSpace || c.freeShare > localZoneFreeShare
		}
	}
	if !hasSpace {
		return candidates, unseen
	}
	return own, unseen * float64(len(own)) / float64(len(candidates))
}

// serviceOf returns the service of a list of upstreams, all of which belong to the same one.
func serviceOf(list []dialect.Upstream) string {
	if len(list) == 0 {
		return ""
	}
	return list[0].Service
}

// available reports whether an engine may get a request now: it is not expected to reject it,
// and has answered a probe since its last failure. The caller holds mu.
func (b *Scheduler) available(now time.Time, rec *upstreamRecord) bool {
	return !rec.unavailable(now) && b.stateWithZone(now, rec) == stateHealthy
}

// freeMemory returns the share of an engine's usable memory that is expected to stay free with
// one more request, and whether the request fits. tokenTime is the engine's time per token in
// seconds, spread that of the service's output lengths. The caller holds mu.
func (b *Scheduler) freeMemory(now time.Time, rec *upstreamRecord, e *routing.Engine, run runningStream, tokenTime, spread float64) (float64, bool) {
	if !b.available(now, rec) {
		return 0, false
	}
	if rec.requests+rec.peerRequests >= e.Slots {
		return 0, false
	}
	f := rec.forecastStreams(tokenTime, spread)
	f.add(rec.peerForecast)
	f.add(run.forecast(tokenTime, spread))
	total := usableMemoryShare * float64(e.KVTokens)
	free := total - float64(f.peak()+rec.unaccountedMemory(now))
	return free / total, free >= 0
}

// RecordProgress records the number of output tokens that a request has produced so far.
func (b *Scheduler) RecordProgress(now time.Time, t Ticket, produced int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.records[t.Upstream.ID]
	if rec == nil {
		return
	}
	b.markSeen(now, rec)
	if run, ok := rec.streams[t.number]; ok {
		if run.started {
			took, tokens := now.Sub(run.lastEventAt), produced-run.produced
			b.performanceOf(rec.up.Service).observeTokenTime(took, tokens)
			b.observeEngineTokenTime(now, rec, took, tokens)
		}
		run.produced, run.started, run.lastEventAt = produced, true, now
		rec.streams[t.number] = run
	}
}

// RecordFull records that an engine rejected a reservation of the given number of tokens.
func (b *Scheduler) RecordFull(now time.Time, u dialect.Upstream, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.recordOf(u)
	if now.Before(rec.fullUntil) {
		tokens = min(tokens, rec.fullTokens)
	}
	rec.fullUntil = now.Add(fullBackoff)
	rec.fullTokens = tokens
}

// PlacePrefill places a prompt on the prefill engine that is expected to complete it first, as
// far as the other instances' placements are known. near is the zone of the decode engine. If
// all prefill engines fail, it uses the one whose ejection ends first, since a decode engine
// that computes a prompt itself pauses all of its streams.
//
// It reports false if no prefill engine is reachable. Otherwise each request would wait for two
// time-outs of 400 ms, with memory reserved, before a decode engine of its zone computed the
// prompt. Probes detect when an engine is reachable again.
func (b *Scheduler) PlacePrefill(now time.Time, list []dialect.Upstream, tokens int, near ident.Zone, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.availablePrefill(now, list, tokens, near, exclude)
	best := b.chooseByWaterLevel(candidates, b.unseenPlacements(now, serviceOf(list)))
	if best == nil {
		best = b.firstToRetry(now, b.reachable(now, prefillEngines(list)), exclude)
	}
	if best == nil {
		return Ticket{}, false
	}
	return b.place(now, best, tokens), true
}

// PrefillWait returns how long a prompt is expected to take at the prefill engine that would
// complete it first, including the queue. If all engines are held off, it returns how long they
// are. It reports false if no engine is available.
func (b *Scheduler) PrefillWait(now time.Time, list []dialect.Upstream, tokens int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := b.chooseAmongCheapest(b.availablePrefill(now, list, tokens, b.zone, nil), 0)
	if best == nil {
		wait, reason := b.allHeldOff(now, list, dialect.StagePrefill, nil)
		return wait, reason != ""
	}
	return b.prefillTime(now, best, tokens), true
}

// prefillTime returns how long an engine takes to complete a prompt, including those queued
// before it. The caller holds mu.
func (b *Scheduler) prefillTime(now time.Time, rec *upstreamRecord, tokens int) time.Duration {
	usual := b.performanceOf(rec.up.Service).prefill.time(rec.tokens + rec.peerTokens + tokens)
	return time.Duration(b.slowdown(now, rec) * float64(usual))
}

// availablePrefill returns the available prefill engines with their costs. The caller holds mu.
func (b *Scheduler) availablePrefill(now time.Time, list []dialect.Upstream, tokens int, near ident.Zone, exclude []ident.UpstreamID) []candidate {
	usual := b.lowestLatency(dialect.StagePrefill)
	// A prompt of unknown length has 0 tokens. Its request cost would be 0 and the water level
	// NaN.
	tokens = max(1, tokens)
	b.suspectStalledZones(now)
	var candidates []candidate
	for _, u := range list {
		if u.Stage != dialect.StagePrefill || !b.usable(now, u, exclude) {
			continue
		}
		if rec := b.recordOf(u); b.available(now, rec) {
			cost := b.prefillCost(now, rec, tokens, near, usual)
			share := float64(tokens) / math.Max(1, float64(rec.tokens+rec.peerTokens+tokens))
			candidates = append(candidates, candidate{record: rec, cost: cost, requestCost: cost * share})
		}
	}
	return candidates
}

// prefillEngines returns the prefill engines of a list.
func prefillEngines(list []dialect.Upstream) []dialect.Upstream {
	var out []dialect.Upstream
	for _, u := range list {
		if u.Stage == dialect.StagePrefill {
			out = append(out, u)
		}
	}
	return out
}

// prefillCost returns the number of tokens that an engine has to compute to complete a prompt,
// scaled by the engine's slowdown. The cost is higher for engines that fail, and for engines of
// unknown throughput whose latency exceeds usual, in seconds. The caller holds mu.
func (b *Scheduler) prefillCost(now time.Time, rec *upstreamRecord, tokens int, near ident.Zone, usual float64) float64 {
	c := float64(rec.tokens+rec.peerTokens+tokens) * b.slowdown(now, rec)
	if rec.prefillThroughput(now) == 0 && rec.latency > 0 {
		c *= math.Max(1, rec.latency.Seconds()/usual)
	}
	return b.weightedCost(now, rec, c, near)
}

// lowestLatency returns the lowest mean latency among the engines of a stage, in seconds. The
// caller holds mu.
func (b *Scheduler) lowestLatency(s dialect.Stage) float64 {
	lowest := math.Inf(1)
	for _, rec := range b.records {
		if rec.up.Stage == s && rec.latency > 0 {
			lowest = math.Min(lowest, rec.latency.Seconds())
		}
	}
	return lowest
}
