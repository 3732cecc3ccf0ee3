// Package schedule decides which upstream gets a request: from what this
// instance has in flight there, what its peers say they have, and how the
// upstream did lately. It does no I/O; time is passed in.
package schedule

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// successWeight is the weight of one outcome in the moving share of
	// successes: ten outcomes count for two thirds.
	successWeight = 0.1
	// latencyWeight is the weight of one answer in the moving latency.
	latencyWeight = 0.1
	// initialLatency stands for upstreams that have not answered yet.
	initialLatency = 60 * time.Millisecond
	// ejectAfter is how many hard failures in a row eject an upstream; a refused
	// connection ejects at once.
	ejectAfter = 2
	// ejectFirst and ejectMost bound how long an upstream stays ejected; the time
	// doubles with each failure of a trial.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// refusingFirst and refusingMost bound how long an engine is passed over that
	// refused what it had promised.
	refusingFirst = 800 * time.Millisecond
	refusingMost  = 4 * time.Second
	// switchingMost bounds how long an ordered change of stage is waited for:
	// running streams end first, at most some 14 s, then the switch takes 6 s.
	switchingMost = 20 * time.Second
	// overdueFactor is how many times its usual latency an upstream may leave a
	// request unanswered before it counts as silent.
	overdueFactor = 8
	// overdueLeast is the shortest time that counts as silence.
	overdueLeast = 400 * time.Millisecond
	// otherZone is what a placement in another zone costs, as a factor: bytes
	// between zones are priced, and take 1 to 3 ms more.
	otherZone = 1.15
)

// Failure says how an attempt failed.
type Failure int

// The kinds of failures, as far as they say something of the upstream.
const (
	// Soft failures are answers: the upstream's own error, a refusal.
	Soft Failure = iota + 1
	// Hard failures are resets, silence and bytes that are no answer.
	Hard
	// Unreachable upstreams refuse connections or don't answer them.
	Unreachable
)

// book is what is known of one upstream.
type book struct {
	up dialect.Upstream
	// requests and tokens are this instance's own in flight.
	requests int
	tokens   int
	// peerRequests and peerTokens are those that peers say they have.
	peerRequests int
	peerTokens   int
	// streams are the own requests at a decode engine, by number; peerForecast is
	// the memory that peers foresee for theirs.
	streams      map[uint64]running
	peerForecast Forecast
	// known is the memory that all instances' requests took lately; unexplained is
	// what the engine reported beyond it, peerUnexplained what a peer was told.
	known           []knownMemory
	unexplained     int
	unexplainedAt   time.Time
	peerUnexplained int
	success         float64
	latency         time.Duration
	failures        int
	ejections       int
	ejectedUntil    time.Time
	// unreachable means that the last failure was that no connection came about.
	unreachable bool
	// readmitted means that a probe found it answering since it was ejected.
	readmitted bool
	// lastGood is when it last answered well.
	lastGood time.Time
	// starts are when the own requests in flight began, by number.
	starts map[uint64]time.Time
	// refusingUntil is until when an engine is passed over because it refuses what
	// it promised; refusals counts how often in a row. peerRefusing is what peers
	// say of it.
	refusingUntil time.Time
	refusals      int
	peerRefusing  time.Time
	// switching is the stage that the engine was ordered to take, until it is
	// listed with it, or switchingUntil.
	switching      dialect.Stage
	switchingUntil time.Time
	// fullUntil is until when requests of fullTokens and more find no room.
	fullUntil  time.Time
	fullTokens int
}

// Books are the books of all upstreams of an instance. They are safe for
// concurrent use.
type Books struct {
	zone ident.Zone

	mu      sync.Mutex
	books   map[ident.UpstreamID]*book
	next    uint64
	random  *rand.Rand
	rates   map[string]*rate
	demands map[string]*demand
	doubts  map[ident.Zone]*doubt
	arrived map[string]*arrivals
	// peersSince is when peers' loads first came.
	peersSince time.Time
	// others is how many further instances there are, age that of what is known of
	// their requests.
	others int
	age    time.Duration
}

// NewBooks returns empty books of an instance in the given zone.
func NewBooks(zone ident.Zone, seed uint64) *Books {
	return &Books{
		zone: zone, books: map[ident.UpstreamID]*book{},
		random: rand.New(rand.NewPCG(seed, seed)), rates: map[string]*rate{}, demands: map[string]*demand{}, doubts: map[ident.Zone]*doubt{}, arrived: map[string]*arrivals{},
	}
}

// of returns the book of an upstream. The caller holds mu.
func (b *Books) of(u dialect.Upstream) *book {
	k := b.books[u.ID]
	if k == nil {
		k = &book{success: 1, starts: map[uint64]time.Time{}, streams: map[uint64]running{}}
		b.books[u.ID] = k
	}
	k.up = u
	return k
}

// Ticket is a placement of one request, until Done.
type Ticket struct {
	Upstream dialect.Upstream
	number   uint64
	tokens   int
}

// place books a request. The caller holds mu.
func (b *Books) place(now time.Time, k *book, tokens int) Ticket {
	b.next++
	k.requests++
	k.tokens += tokens
	k.starts[b.next] = now
	return Ticket{Upstream: k.up, number: b.next, tokens: tokens}
}

// Done ends a placement.
func (b *Books) Done(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.books[t.Upstream.ID]
	if k == nil {
		return
	}
	if _, open := k.starts[t.number]; !open {
		return
	}
	delete(k.starts, t.number)
	delete(k.streams, t.number)
	k.requests--
	k.tokens -= t.tokens
}

// Answered takes in a good answer.
func (b *Books) Answered(now time.Time, u dialect.Upstream, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.success += successWeight * (1 - k.success)
	k.failures, k.ejections = 0, 0
	k.ejectedUntil = time.Time{}
	k.lastGood = now
	delete(b.doubts, u.Zone)
	if k.latency == 0 {
		k.latency = latency
	}
	k.latency += time.Duration(latencyWeight * float64(latency-k.latency))
}

// AnsweredSince reports whether an upstream answered any request well since a time:
// one that did is busy, not dead.
func (b *Books) AnsweredSince(u dialect.Upstream, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(u).lastGood.After(since)
}

// Failed takes in a failure and reports whether the upstream was ejected for it.
func (b *Books) Failed(now time.Time, u dialect.Upstream, f Failure) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.success -= successWeight * k.success
	if f == Soft {
		return false
	}
	if f == Unreachable {
		b.doubt(now, k)
	}
	k.failures++
	k.readmitted = false
	k.unreachable = f == Unreachable
	if f == Hard && k.failures < ejectAfter && k.ejections == 0 {
		return false
	}
	if now.Before(k.ejectedUntil) {
		return false
	}
	k.ejectedUntil = now.Add(min(ejectMost, ejectFirst<<min(k.ejections, 6)))
	k.ejections++
	return true
}

// Refuses takes in that an engine refused what it had promised: a request for which
// it had reserved memory, or the fetching of a prefill result that it had just
// computed. It is passed over for a while, also by peers.
func (b *Books) Refuses(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	if now.Before(k.refusingUntil) {
		return
	}
	k.refusingUntil = now.Add(min(refusingMost, refusingFirst<<min(k.refusals, 4)))
	k.refusals++
}

// Kept takes in that an engine kept a promise.
func (b *Books) Kept(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u).refusals = 0
}

// Switching takes in that an engine was ordered to change its stage: it accepts
// reservations and refuses requests until it is done.
func (b *Books) Switching(now time.Time, id ident.UpstreamID, to dialect.Stage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.books[id]; k != nil {
		k.switching, k.switchingUntil = to, now.Add(switchingMost)
	}
}

// away reports whether an engine can't be expected to keep its promises now. The
// caller holds mu.
func (k *book) away(now time.Time) bool {
	if now.Before(k.refusingUntil) || now.Before(k.peerRefusing) {
		return true
	}
	return k.switches(now)
}

// switches reports whether the engine is changing its stage. The caller holds mu.
func (k *book) switches(now time.Time) bool {
	return k.switching != "" && k.switching != k.up.Stage && now.Before(k.switchingUntil)
}

// Away is what an instance tells its peers of engines that don't keep promises.
type Away struct {
	// Refusing is how much longer engines are passed over.
	Refusing map[ident.UpstreamID]time.Duration
	// Switching names the stages that engines were ordered to take.
	Switching map[ident.UpstreamID]dialect.Stage
}

// Away returns what this instance itself found of engines.
func (b *Books) Away(now time.Time) Away {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := Away{Refusing: map[ident.UpstreamID]time.Duration{}, Switching: map[ident.UpstreamID]dialect.Stage{}}
	for id, k := range b.books {
		if now.Before(k.refusingUntil) {
			a.Refusing[id] = k.refusingUntil.Sub(now)
		}
		if k.switches(now) {
			a.Switching[id] = k.switching
		}
	}
	return a
}

// SetAway takes in what peers found of engines.
func (b *Books) SetAway(now time.Time, a Away) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, left := range a.Refusing {
		if k := b.books[id]; k != nil {
			k.peerRefusing = now.Add(min(refusingMost, left))
		}
	}
	for id, stage := range a.Switching {
		if k := b.books[id]; k != nil && k.switching != stage {
			k.switching, k.switchingUntil = stage, now.Add(switchingMost)
		}
	}
}

// Staged returns a list with the engines' stages as they will be once their
// orders are carried out.
func (b *Books) Staged(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	staged := append([]dialect.Upstream(nil), list...)
	for i := range staged {
		if k := b.books[staged[i].ID]; k != nil && k.switches(now) {
			staged[i].Stage = k.switching
		}
	}
	return staged
}

// silent reports whether a request in flight has been unanswered for much longer
// than is usual. The caller holds mu.
func (k *book) silent(now time.Time) bool {
	limit := max(overdueLeast, overdueFactor*k.latency)
	for _, start := range k.starts {
		if now.Sub(start) > limit {
			return true
		}
	}
	return false
}

// state says whether an upstream should get requests.
type state int

const (
	stateGood state = iota
	// stateTrial upstreams were ejected for a while and may be tried again.
	stateTrial
	stateEjected
)

// state returns the state of a book. The caller holds mu.
func (k *book) state(now time.Time) state {
	switch {
	case k.ejections == 0:
		return stateGood
	case now.Before(k.ejectedUntil):
		return stateEjected
	case k.readmitted:
		return stateGood
	default:
		return stateTrial
	}
}

// stateIn returns the state of a book, taking doubts about its zone into account.
// The caller holds mu.
func (b *Books) stateIn(now time.Time, k *book) state {
	s := k.state(now)
	if s == stateGood && b.doubted(now, k) {
		return stateTrial
	}
	return s
}

// Readmit takes in that an ejected engine answered a probe. One further failure
// ejects it again, for longer.
func (b *Books) Readmit(now time.Time, u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(u)
	k.readmitted = true
	k.lastGood = now
	delete(b.doubts, u.Zone)
}

// Trials returns the engines of a list that were ejected, or are in a zone that
// seems cut off, and may be probed.
func (b *Books) Trials(now time.Time, list []dialect.Upstream) []dialect.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []dialect.Upstream
	for _, u := range list {
		if u.Stage != "" && b.stateIn(now, b.of(u)) == stateTrial {
			out = append(out, u)
		}
	}
	return out
}

// PickService chooses the upstream for a request of a plain service. Requests that
// may run only once are not used to try upstreams that failed lately, as long as
// there are others. It reports false if there is no upstream left.
func (b *Books) PickService(now time.Time, list []dialect.Upstream, repeatable bool, exclude []ident.UpstreamID) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(list) > 0 {
		b.arrive(now, list[0].Service)
	}
	best, trial := b.cheapest(now, list, exclude)
	if repeatable && trial != nil && b.idle(trial) {
		best = trial
	}
	if best == nil {
		best = trial
	}
	if best == nil {
		best = b.leastBad(list, exclude)
	}
	if best == nil || best.outOfReach(now) {
		return Ticket{}, false
	}
	return b.place(now, best, 0), true
}

// outOfReach reports whether an upstream could not be connected to and another
// request is finding out whether that still holds: all others would wait for the
// same time-out, 400 ms each, before they were refused. The caller holds mu.
func (k *book) outOfReach(now time.Time) bool {
	return k.unreachable && k.state(now) != stateGood && k.requests > 0
}

// idle reports whether an upstream on trial has no request of this instance.
func (b *Books) idle(k *book) bool { return k.requests == 0 }

// cheapest returns the best of the good upstreams and of those on trial.
func (b *Books) cheapest(now time.Time, list []dialect.Upstream, exclude []ident.UpstreamID) (good, trial *book) {
	lowest := math.Inf(1)
	trust := 1.0
	if len(list) > 0 {
		trust = 1 / (1 + b.unseen(now, list[0].Service)/float64(len(list)))
	}
	for _, u := range list {
		if !usable(u, exclude) {
			continue
		}
		k := b.of(u)
		switch b.stateIn(now, k) {
		case stateTrial:
			trial = k
		case stateGood:
			if c := b.cost(now, k, trust); c < lowest {
				lowest, good = c, k
			}
		}
	}
	return good, trial
}

// leastBad returns the ejected upstream that is due first: with nothing else left
// it is tried all the same.
func (b *Books) leastBad(list []dialect.Upstream, exclude []ident.UpstreamID) *book {
	var first *book
	for _, u := range list {
		if !usable(u, exclude) {
			continue
		}
		k := b.of(u)
		if first == nil || k.ejectedUntil.Before(first.ejectedUntil) {
			first = k
		}
	}
	return first
}

// usable reports whether an upstream takes new work and is not excluded.
func usable(u dialect.Upstream, exclude []ident.UpstreamID) bool {
	if u.Leaving {
		return false
	}
	for _, id := range exclude {
		if id == u.ID {
			return false
		}
	}
	return true
}

// cost is the expected time of one more request at an upstream, in seconds: its
// latency, longer the more it has to do, and as often as it takes to succeed.
// trust is how much what peers said of their requests still counts.
func (b *Books) cost(now time.Time, k *book, trust float64) float64 {
	latency := k.latency
	if latency == 0 {
		latency = initialLatency
	}
	load := float64(k.requests) + trust*float64(k.peerRequests) + 1
	c := latency.Seconds() * load / math.Pow(math.Max(k.success, 0.05), 2)
	if k.up.Zone != b.zone {
		c *= otherZone
	}
	if k.silent(now) {
		c *= overdueFactor
	}
	// A little noise spreads requests of instances that see the same.
	return c * (1 + 0.1*b.random.Float64())
}

// InFlight is what one or several instances have in flight at an upstream.
type InFlight struct {
	Requests int
	// Tokens are the prompt tokens queued at a prefill engine.
	Tokens int
	// Memory is what requests take of a decode engine.
	Memory Forecast
	// Unexplained is memory that an engine reported beyond that, in tokens.
	Unexplained int
}

// SetPeers takes in what peers have in flight.
func (b *Books) SetPeers(now time.Time, peers map[ident.UpstreamID]*InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peersSince.IsZero() {
		b.peersSince = now
	}
	for id, k := range b.books {
		f := peers[id]
		if f == nil {
			f = &InFlight{}
		}
		k.peerRequests, k.peerTokens, k.peerForecast = f.Requests, f.Tokens, f.Memory
		k.peerUnexplained = f.Unexplained
		b.remember(now, k)
	}
}

// Own returns what this instance has in flight at each upstream.
func (b *Books) Own(now time.Time) map[ident.UpstreamID]InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[ident.UpstreamID]InFlight{}
	for id, k := range b.books {
		f := InFlight{Requests: k.requests, Tokens: k.tokens, Memory: b.ownForecast(k), Unexplained: k.ownUnexplained(now)}
		if f != (InFlight{}) {
			own[id] = f
		}
	}
	return own
}

// ownForecast foresees the memory of the own requests at an engine. The caller
// holds mu.
func (b *Books) ownForecast(k *book) Forecast {
	var f Forecast
	r := b.rateOf(k.up.Service)
	for _, s := range k.streams {
		f.add(s.forecast(r.tokenTime, r.spread()))
	}
	return f
}

// Keep forgets upstreams that are no longer listed and have nothing in flight.
func (b *Books) Keep(listed map[ident.UpstreamID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, k := range b.books {
		if !listed[id] && k.requests == 0 {
			delete(b.books, id)
		}
	}
}

// Busy returns how many requests are known to be at an upstream.
func (b *Books) Busy(id ident.UpstreamID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.books[id]
	if k == nil {
		return 0
	}
	return k.requests + k.peerRequests
}
