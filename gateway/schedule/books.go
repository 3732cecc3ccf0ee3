// Package schedule decides which upstream gets a request: from what this
// instance has in flight there, what its peers say they have, and how the
// upstream did lately. It does no I/O; time is passed in.
package schedule

import (
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
	// usedAt is when InUse last found requests at an engine.
	usedAt time.Time
	// ownPace is the prefill pace measured by this instance, peerPace the one reported by
	// peers.
	ownPace, peerPace enginePace
	success           float64
	latency           time.Duration
	failures          int
	ejections         int
	ejectedUntil      time.Time
	// computing are the lengths of the own prompts that the engine computes, by
	// number; a decode engine does so only while prefill engines are out of reach or
	// busy, and for what a resumed stream lacks.
	computing map[uint64]int
	// unreachable means that the last failure was that no connection came about.
	unreachable bool
	// attested means that the last failure came from there, not from the way.
	attested bool
	// readmitted means that a probe found it answering since it was ejected.
	readmitted bool
	// lastGood is when it last answered well, or sent an event.
	lastGood time.Time
	// replaced means that another incarnation has its address.
	replaced bool
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
	// active are the upstreams that may not be idle. Own and SetPeers iterate only over these,
	// since usually few of thousands of upstreams are in use.
	active map[ident.UpstreamID]bool
	// peersSince is when peers' loads first came.
	peersSince time.Time
	// overflow are the decode engines that this instance may have compute prompts while
	// prefill engines are busy.
	overflow map[ident.UpstreamID]bool
	// cold limits this instance's request rate to cold upstreams.
	cold map[ident.UpstreamID]*coldLimit
	// offered is how many requests a second the others offer, by service.
	offered map[string]float64
	// others is how many further instances there are, age that of what is known of
	// their requests.
	others int
	age    time.Duration
}

// NewBooks returns empty books of an instance in the given zone.
func NewBooks(zone ident.Zone, seed uint64) *Books {
	return &Books{
		zone: zone, books: map[ident.UpstreamID]*book{}, active: map[ident.UpstreamID]bool{},
		random: rand.New(rand.NewPCG(seed, seed)), rates: map[string]*rate{}, demands: map[string]*demand{}, doubts: map[ident.Zone]*doubt{}, arrived: map[string]*arrivals{}, offered: map[string]float64{},
	}
}

// of returns the book of an upstream. One that started again under its ID has a new
// book: it holds nothing of what it had, and nothing that was found of it counts. The
// caller holds mu.
func (b *Books) of(u dialect.Upstream) *book {
	k := b.books[u.ID]
	if k != nil && u.Restarted(k.up.Incarnation) {
		// What is found of an incarnation that has ended counts for nothing.
		return newBook(u)
	}
	if k == nil || k.up.Restarted(u.Incarnation) {
		k = newBook(u)
		b.books[u.ID] = k
	}
	k.up = u
	return k
}

// newBook returns the book of an upstream of which nothing is known.
func newBook(u dialect.Upstream) *book {
	return &book{up: u, success: 1, starts: map[uint64]time.Time{}, streams: map[uint64]running{}, computing: map[uint64]int{}}
}

// Restarted takes in that an upstream has started again under its ID.
func (b *Books) Restarted(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u)
}

// Ticket is a placement of one request, until Done.
type Ticket struct {
	Upstream dialect.Upstream
	number   uint64
}

// Number tells an instance's placements apart.
func (t Ticket) Number() uint64 { return t.number }

// place books a request. The caller holds mu.
func (b *Books) place(now time.Time, k *book, tokens int) Ticket {
	b.next++
	b.active[k.up.ID] = true
	b.cold[k.up.ID].take()
	k.requests++
	k.tokens += tokens
	k.computing[b.next] = tokens
	k.starts[b.next] = now
	return Ticket{Upstream: k.up, number: b.next}
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
	k.tokens -= k.computing[t.number]
	delete(k.computing, t.number)
}

// usable reports whether an upstream takes new work and is not excluded. The caller holds mu.
func (b *Books) usable(now time.Time, u dialect.Upstream, exclude []ident.UpstreamID) bool {
	if u.Leaving || !b.cold[u.ID].allows(now) {
		return false
	}
	for _, id := range exclude {
		if id == u.ID {
			return false
		}
	}
	return true
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
	// Pace is the recent pace of a prefill engine, as a 1-based bucket of Paces; 0 if unknown.
	Pace int
}

// SetPeers takes in what peers have in flight.
func (b *Books) SetPeers(now time.Time, peers map[ident.UpstreamID]*InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peersSince.IsZero() {
		b.peersSince = now
	}
	for id := range peers {
		if b.books[id] != nil {
			b.active[id] = true
		}
	}
	for id := range b.active {
		k := b.books[id]
		if k == nil || k.idle(now) && peers[id] == nil {
			delete(b.active, id)
			continue
		}
		f := peers[id]
		if f == nil {
			f = &InFlight{}
		}
		k.peerRequests, k.peerTokens, k.peerForecast = f.Requests, f.Tokens, f.Memory
		k.peerUnexplained = f.Unexplained
		k.peerPace.update(now, f.Pace)
		b.remember(now, k)
	}
}

// idle reports whether an upstream has no known requests, no recent memory use that a report
// may still include, and nothing to report to peers. The caller holds mu.
func (k *book) idle(now time.Time) bool {
	return k.requests == 0 && len(k.known) == 0 && k.peerRequests == 0 && k.peerTokens == 0 &&
		k.peerUnexplained == 0 && k.peerForecast == Forecast{} && k.ownUnexplained(now) == 0 && !k.ownPace.fresh(now)
}

// Own returns what this instance has in flight at each upstream.
func (b *Books) Own(now time.Time) map[ident.UpstreamID]InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[ident.UpstreamID]InFlight{}
	for id := range b.active {
		k := b.books[id]
		if k == nil {
			continue
		}
		f := InFlight{Requests: k.requests, Tokens: k.tokens, Memory: b.ownForecast(k), Unexplained: k.ownUnexplained(now)}
		if k.ownPace.fresh(now) {
			f.Pace = k.ownPace.bucket
		}
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
