// Package schedule decides which upstream gets a request. The decision rests on the requests
// that this instance has in flight at each upstream, on those that its peers report, and on the
// upstream's recent latency and failures. The package does no I/O, and callers pass in the
// current time.
package schedule

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// successWeight is the weight of one outcome in the moving average of the success ratio.
	// The last ten outcomes make up about two thirds of it.
	successWeight = 0.1
	// latencyWeight is the weight of one response in the moving average of the latency.
	latencyWeight = 0.1
	// initialLatency is assumed for upstreams that have not responded yet.
	initialLatency = 60 * time.Millisecond
	// ejectAfter is the number of consecutive hard failures after which an upstream is ejected.
	// A refused connection ejects it at once.
	ejectAfter = 2
	// ejectFirst and ejectMost are the minimum and maximum ejection times. The time doubles
	// with each failed retry of the upstream.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// refusingFirst and refusingMost are the minimum and maximum times for which an engine gets
	// no requests after it rejected one despite a reservation.
	refusingFirst = 800 * time.Millisecond
	refusingMost  = 4 * time.Second
	// switchingMost is the longest time for which an ordered stage change is considered
	// pending. Running streams end first, which takes up to about 14 s, and then the change
	// itself takes 6 s.
	switchingMost = 20 * time.Second
	// overdueFactor is the multiple of an upstream's mean latency after which a request without
	// a response is overdue.
	overdueFactor = 8
	// overdueLeast is the shortest time after which a request is overdue.
	overdueLeast = 400 * time.Millisecond
	// otherZone is the factor by which placing a request in another zone costs more. Traffic
	// between zones is charged for and adds 1 to 3 ms of latency.
	otherZone = 1.15
)

// book is the load and health of one upstream as known to this instance.
type book struct {
	up dialect.Upstream
	// requests and tokens are the requests that this instance has in flight and the prompt
	// tokens still to be computed for them.
	requests int
	tokens   int
	// peerRequests and peerTokens are the same as reported by peers.
	peerRequests int
	peerTokens   int
	// streams holds this instance's requests at a decode engine, by ticket number. peerForecast
	// is the memory forecast that peers report for their requests.
	streams      map[uint64]running
	peerForecast Forecast
	// known holds recent samples of the memory taken by all instances' known requests.
	// unexplained is the memory that the engine reported beyond that, at unexplainedAt.
	// peerUnexplained is the same as reported by peers.
	known           []knownMemory
	unexplained     int
	unexplainedAt   time.Time
	peerUnexplained int
	// usedAt is the last time at which InUse found the engine in use.
	usedAt time.Time
	// ownPace is the prefill throughput measured by this instance, peerPace the one reported by
	// peers.
	ownPace, peerPace enginePace
	success           float64
	latency           time.Duration
	failures          int
	ejections         int
	ejectedUntil      time.Time
	// computing holds the number of tokens that the engine has to compute for each of this
	// instance's requests, by ticket number. A decode engine computes prompts only while
	// prefill engines are unreachable or busy, and otherwise only the tokens that a resumed
	// stream lacks.
	computing map[uint64]int
	// unreachable means that the last failure was a connection that could not be established,
	// or that reached another incarnation or an engine of another stage.
	unreachable bool
	// attested means that the last failure is a response from the upstream's address
	// (connection refused, or another incarnation) and not a possible fault of the network
	// path.
	attested bool
	// readmitted means that the upstream has answered a probe since it was ejected.
	readmitted bool
	// lastGood is the time of the last successful response, stream event or answered probe.
	lastGood time.Time
	// replaced means that another incarnation now uses the upstream's address.
	replaced bool
	// starts holds the start times of this instance's requests in flight, by ticket number.
	starts map[uint64]time.Time
	// refusingUntil is the time until which the engine gets no requests because it rejected one
	// despite a reservation. refusals counts such rejections in a row. peerRefusing is the same
	// time as reported by peers.
	refusingUntil time.Time
	refusals      int
	peerRefusing  time.Time
	// switching is the stage that the engine was ordered to change to. It applies until the
	// engine is listed with that stage, or until switchingUntil.
	switching      dialect.Stage
	switchingUntil time.Time
	// fullUntil is the time until which the engine has no memory for reservations of fullTokens
	// or more.
	fullUntil  time.Time
	fullTokens int
}

// Books holds the load and health of all upstreams and places requests on them. It is safe for
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
	// active holds the upstreams that may not be idle. Own and SetPeers iterate only over
	// these, since usually only a few of thousands of upstreams are in use.
	active map[ident.UpstreamID]bool
	// peersSince is when the first load report from peers arrived.
	peersSince time.Time
	// overflow holds the decode engines on which this instance may have prompts computed while
	// prefill engines are busy.
	overflow map[ident.UpstreamID]bool
	// cold limits this instance's request rate to cold upstreams.
	cold map[ident.UpstreamID]*coldLimit
	// offered is the request rate of all other instances, in requests per second by service.
	offered map[string]float64
	// others is the number of other instances. age is the mean age of the load reports from
	// them.
	others int
	age    time.Duration
}

// NewBooks returns Books without any upstreams for an instance in the given zone. seed seeds
// the random choice between similar upstreams.
func NewBooks(zone ident.Zone, seed uint64) *Books {
	return &Books{
		zone: zone, books: map[ident.UpstreamID]*book{}, active: map[ident.UpstreamID]bool{},
		random: rand.New(rand.NewPCG(seed, seed)), rates: map[string]*rate{}, demands: map[string]*demand{}, doubts: map[ident.Zone]*doubt{}, arrived: map[string]*arrivals{}, offered: map[string]float64{},
	}
}

// of returns the book of an upstream and creates it if needed. A newer incarnation of the same
// ID gets a new book, without the requests and failures of the former one. For an older
// incarnation it returns a book that is not stored, so that late results of it are dropped. The
// caller holds mu.
func (b *Books) of(u dialect.Upstream) *book {
	k := b.books[u.ID]
	if k != nil && u.Restarted(k.up.Incarnation) {
		// Results of a former incarnation are dropped.
		return newBook(u)
	}
	if k == nil || k.up.Restarted(u.Incarnation) {
		k = newBook(u)
		b.books[u.ID] = k
	}
	k.up = u
	return k
}

// newBook returns the initial book of an upstream.
func newBook(u dialect.Upstream) *book {
	return &book{up: u, success: 1, starts: map[uint64]time.Time{}, streams: map[uint64]running{}, computing: map[uint64]int{}}
}

// Restarted records that an upstream has restarted under the same ID.
func (b *Books) Restarted(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(u)
}

// Ticket is the placement of one request on an upstream. It is valid until it is passed to
// Done.
type Ticket struct {
	Upstream dialect.Upstream
	number   uint64
}

// Number returns the number of the placement, which is unique within the instance.
func (t Ticket) Number() uint64 { return t.number }

// place adds a request with the given number of tokens to compute to an upstream's load. The
// caller holds mu.
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

// Done removes a placement from its upstream's load. Further calls for the same ticket have no
// effect.
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

// usable reports whether an upstream accepts new requests, has quota left if it is cold, and is
// not excluded. The caller holds mu.
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

// InFlight is the load that one or several instances have in flight at an upstream.
type InFlight struct {
	Requests int
	// Tokens are the prompt tokens queued at a prefill engine.
	Tokens int
	// Memory is the forecast of the memory that requests take at a decode engine.
	Memory Forecast
	// Unexplained is the memory that an engine reported beyond that of all known requests, in
	// tokens.
	Unexplained int
	// Pace is the recent throughput of a prefill engine, as a 1-based bucket of Paces; 0 if
	// unknown.
	Pace int
}

// SetPeers records the load that peers have in flight. It replaces the former report.
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

// Own returns the load that this instance has in flight, by upstream. Upstreams without any are
// left out.
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

// ownForecast returns the memory forecast of this instance's requests at an engine. The caller
// holds mu.
func (b *Books) ownForecast(k *book) Forecast {
	var f Forecast
	r := b.rateOf(k.up.Service)
	for _, s := range k.streams {
		f.add(s.forecast(r.tokenTime, r.spread()))
	}
	return f
}

// Keep removes the upstreams that are no longer listed and have no requests of this instance in
// flight.
func (b *Books) Keep(listed map[ident.UpstreamID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, k := range b.books {
		if !listed[id] && k.requests == 0 {
			delete(b.books, id)
		}
	}
}

// Busy returns the number of requests known to be in flight at an upstream, including those of
// peers.
func (b *Books) Busy(id ident.UpstreamID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.books[id]
	if k == nil {
		return 0
	}
	return k.requests + k.peerRequests
}
