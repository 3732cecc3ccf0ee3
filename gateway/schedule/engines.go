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
	// usableMemory is the share of an engine's memory that is planned with: peers'
	// forecasts are some 300 ms old, and outputs may all turn out long. An engine
	// that runs out preempts a request, which costs its prompt a second time and
	// a pause of about 300 ms.
	usableMemory = 0.92
	// unseenRoom is the share of what others are expected to have placed unseen for which the
	// engines must have room. Were it all, more streams would be refused than are saved from
	// being preempted.
	unseenRoom = 0.25
	// ownZone is how much more of its memory a decode engine of another zone must
	// have left to be preferred: streams within the zone outlive a cut between
	// zones, and bytes between zones are priced.
	ownZone = 0.12
	// zoneRoom is the share of its memory that a decode engine of the own zone must
	// have left for the others not to be looked at: among many engines that are all nearly
	// as good, most streams would run in other zones.
	zoneRoom = 0.3
	// holdShare is the share of the estimated output that is reserved: what is reserved and
	// not yet used is refused to others.
	holdShare = 0.25
	// fullFor is how long an engine that refused a reservation is not asked for as
	// much again: a stream ends somewhere every 50 to 80 ms at the peak.
	fullFor = 60 * time.Millisecond
	// closeEnough is the share of memory by which two engines count as equally
	// free; between them the choice is random, so that instances that see the
	// same don't all choose the same.
	closeEnough = 0.08
)

// Size is the memory that a request is expected to take, in tokens.
type Size struct {
	Prompt int
	// Estimate is the expected length of the whole output.
	Estimate int
	// Produced is the part of the output that was generated elsewhere before, which
	// the decode engine has to read in.
	Produced int
	// Copied means that what was produced comes with a copy of the KV cache.
	Copied bool
	// Kept is what the engine At itself keeps of prompt and output; no other engine
	// will do then.
	Kept int
	At   ident.UpstreamID
	// Self means that the decode engine has to compute the prompt itself, for
	// which it pauses its streams; by MaxPause at most, 0 for any time.
	Self     bool
	MaxPause time.Duration
	// Overflow means that prefill engines are only busy: the decode engine must be one
	// at which this instance alone may do so.
	Overflow bool
	// Apart means that the request may crash its engine: it gets the one with the fewest
	// neighbours, in whatever zone.
	Apart bool
}

// HoldTokens is the memory to reserve for a request. What the reservation doesn't
// cover is left to the forecast.
func (s Size) HoldTokens() int {
	return s.Prompt + s.Produced + int(holdShare*float64(max(0, s.Estimate-s.Produced)))
}

// PlaceDecode chooses the decode engine for a request: of those whose memory is
// expected to suffice until the request ends, the one with the most left. It
// reports false if there is none.
func (b *Books) PlaceDecode(now time.Time, list []dialect.Upstream, e *routing.Engine, size Size, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := running{prompt: size.Prompt, estimate: size.Estimate, produced: size.Produced, hold: size.HoldTokens()}
	unseen := b.unseen(now, serviceOf(list))
	open := b.openDecode(now, list, e, size, run, exclude, unseen)
	if !size.Apart {
		open, unseen = b.preferOwn(open, unseen)
	}
	best := b.spread(open, unseen)
	if best == nil {
		return Ticket{}, false
	}
	b.arrive(now, serviceOf(list))
	t := b.place(now, best, size.compute())
	best.streams[t.number] = run
	return t, true
}

// openDecode returns the decode engines with room, for what other instances may have placed
// unseen too. The caller holds mu.
func (b *Books) openDecode(now time.Time, list []dialect.Upstream, e *routing.Engine, size Size, run running, exclude []ident.UpstreamID, unseen float64) []candidate {
	b.doubtQuiet(now)
	var open []candidate
	for _, u := range list {
		if u.Stage != dialect.StageDecode || !b.usable(now, u, exclude) || size.At != "" && size.At != u.ID {
			continue
		}
		k := b.of(u)
		left, ok := b.left(now, k, e, run)
		if !ok || now.Before(k.fullUntil) && run.hold >= k.fullTokens || size.Overflow && !b.overflow[u.ID] || !b.mayCompute(k, e, size) {
			continue
		}
		cost := -left - closeEnough*b.random.Float64()
		if u.Zone == b.zone {
			cost -= ownZone
		}
		if size.Apart {
			cost = float64(k.requests+k.peerRequests) + b.random.Float64()
		}
		open = append(open, candidate{book: k, cost: cost, left: left})
	}
	if size.At != "" {
		return open
	}
	return withRoomFor(open, unseenRoom*unseen*run.share(e))
}

// withRoomFor returns the most engines that can each take an equal part of what others are
// expected to have placed there, a share of an engine's memory: they too place it only where
// there is room.
func withRoomFor(open []candidate, placed float64) []candidate {
	slices.SortFunc(open, func(a, c candidate) int { return cmp.Compare(c.left, a.left) })
	for len(open) > 0 && open[len(open)-1].left < placed/float64(len(open)) {
		open = open[:len(open)-1]
	}
	return open
}

// preferOwn leaves out the engines of other zones while one of the own has plenty of
// room; of the unseen placements, only those at what is left count then. The caller
// holds mu.
func (b *Books) preferOwn(open []candidate, unseen float64) ([]candidate, float64) {
	var own []candidate
	roomy := false
	for _, c := range open {
		if c.book.up.Zone == b.zone {
			own = append(own, c)
			roomy = roomy || c.left > zoneRoom
		}
	}
	if !roomy {
		return open, unseen
	}
	return own, unseen * float64(len(own)) / float64(len(open))
}

// serviceOf returns the service of a list of upstreams.
func serviceOf(list []dialect.Upstream) string {
	if len(list) == 0 {
		return ""
	}
	return list[0].Service
}

// open reports whether an engine may be given a request now: it keeps promises,
// and if it failed lately, a probe has found it answering since. The caller holds
// mu.
func (b *Books) open(now time.Time, k *book) bool {
	return !k.away(now) && b.stateIn(now, k) == stateGood
}

// left returns the share of an engine's memory that is expected to stay unused
// with one more request, and whether the request fits. The caller holds mu.
func (b *Books) left(now time.Time, k *book, e *routing.Engine, run running) (float64, bool) {
	if !b.open(now, k) {
		return 0, false
	}
	if k.requests+k.peerRequests >= e.Slots {
		return 0, false
	}
	r := b.rateOf(k.up.Service)
	f := b.ownForecast(k)
	f.add(k.peerForecast)
	f.add(run.forecast(r.tokenTime, r.spread()))
	total := usableMemory * float64(e.KVTokens)
	left := total - float64(f.peak()+k.unexplainedNow(now))
	return left / total, left >= 0
}

// Progress takes in how many tokens a request's output has.
func (b *Books) Progress(now time.Time, t Ticket, produced int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.books[t.Upstream.ID]
	if k == nil {
		return
	}
	b.heard(now, k)
	if run, ok := k.streams[t.number]; ok {
		if run.begun {
			b.rateOf(k.up.Service).learnTokenTime(now.Sub(run.at), produced-run.produced)
		}
		run.produced, run.begun, run.at = produced, true, now
		k.streams[t.number] = run
	}
}

// Full takes in that an engine refused a reservation.
func (b *Books) Full(now time.Time, u dialect.Upstream, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if now.Before(k.fullUntil) {
		tokens = min(tokens, k.fullTokens)
	}
	k.fullUntil = now.Add(fullFor)
	k.fullTokens = tokens
}

// PlacePrefill chooses the prefill engine for a prompt: the one that is expected
// to be done with it first. near is the zone of the decode engine. With all of them
// failing, the one that is due to be tried first is taken, since decode engines that
// compute prompts themselves pause all their streams. It reports false if none is in
// reach: each request would wait for two time-outs of 400 ms, with memory reserved,
// before a decode engine of its own zone computed its prompt. Probes find out when
// one is back.
func (b *Books) PlacePrefill(now time.Time, list []dialect.Upstream, tokens int, near ident.Zone, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := b.openPrefill(now, list, tokens, near, exclude)
	best := b.spreadByCost(open, b.unseen(now, serviceOf(list)))
	if best == nil {
		best = b.leastBad(now, b.reachable(now, prefillEngines(list)), exclude)
	}
	if best == nil {
		return Ticket{}, false
	}
	return b.place(now, best, tokens), true
}

// PrefillWait returns how long a prompt is expected to take at the prefill engine
// that would be done with it first; false if none may be used.
func (b *Books) PrefillWait(now time.Time, list []dialect.Upstream, tokens int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := b.spread(b.openPrefill(now, list, tokens, b.zone, nil), 0)
	if best == nil {
		return 0, false
	}
	return b.prefillTime(now, best, tokens), true
}

// prefillTime is how long a prompt takes at an engine behind what is queued there.
// The caller holds mu.
func (b *Books) prefillTime(now time.Time, k *book, tokens int) time.Duration {
	usual := b.rateOf(k.up.Service).prefill.time(k.tokens + k.peerTokens + tokens)
	return time.Duration(b.slowdown(now, k) * float64(usual))
}

// openPrefill returns the open prefill engines with their costs. The caller holds
// mu.
func (b *Books) openPrefill(now time.Time, list []dialect.Upstream, tokens int, near ident.Zone, exclude []ident.UpstreamID) []candidate {
	usual := b.usualLatency(dialect.StagePrefill)
	// A prompt of unknown length has 0 tokens, which would make its request cost 0 and the
	// water level NaN.
	tokens = max(1, tokens)
	b.doubtQuiet(now)
	var open []candidate
	for _, u := range list {
		if u.Stage != dialect.StagePrefill || !b.usable(now, u, exclude) {
			continue
		}
		if k := b.of(u); b.open(now, k) {
			cost := b.prefillCost(now, k, tokens, near, usual)
			share := float64(tokens) / math.Max(1, float64(k.tokens+k.peerTokens+tokens))
			open = append(open, candidate{book: k, cost: cost, requestCost: cost * share})
		}
	}
	return open
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

// prefillCost is the work before a prompt's result at an engine, in tokens scaled by the
// engine's slowdown. It is higher for engines that fail, and for engines of unknown pace whose
// latency exceeds usual, in seconds. The caller holds mu.
func (b *Books) prefillCost(now time.Time, k *book, tokens int, near ident.Zone, usual float64) float64 {
	c := float64(k.tokens+k.peerTokens+tokens) * b.slowdown(now, k)
	if k.pace(now) == 0 && k.latency > 0 {
		c *= math.Max(1, k.latency.Seconds()/usual)
	}
	return b.weigh(now, k, c, near)
}

// usualLatency returns the lowest latency of the engines of a stage, in seconds.
// The caller holds mu.
func (b *Books) usualLatency(s dialect.Stage) float64 {
	lowest := math.Inf(1)
	for _, k := range b.books {
		if k.up.Stage == s && k.latency > 0 {
			lowest = math.Min(lowest, k.latency.Seconds())
		}
	}
	return lowest
}
