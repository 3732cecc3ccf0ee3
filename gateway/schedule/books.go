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
	// minEjection and maxEjection are the minimum and maximum ejection times. The time doubles
	// with each failed retry of the upstream.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// minRejectionBackoff and maxRejectionBackoff are the minimum and maximum times for which
	// an engine gets no requests after it rejected one despite a reservation.
	minRejectionBackoff = 800 * time.Millisecond
	maxRejectionBackoff = 4 * time.Second
	// stageChangeTimeout is the longest time for which an ordered stage change is considered
	// pending. Running streams end first, which takes up to about 14 s, and then the change
	// itself takes 6 s.
	stageChangeTimeout = 20 * time.Second
	// overdueFactor is the multiple of an upstream's mean latency after which a request without
	// a response is overdue.
	overdueFactor = 8
	// minOverdue is the shortest time after which a request is overdue.
	minOverdue = 400 * time.Millisecond
	// crossZoneFactor is the factor by which placing a request in another zone costs more.
	// Traffic between zones is charged for and adds 1 to 3 ms of latency.
	crossZoneFactor = 1.15
)

// upstreamRecord is the load and health of one upstream as known to this instance.
type upstreamRecord struct {
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
	streams      map[uint64]runningStream
	peerForecast Forecast
	// tokenTime is what is known of a decode engine's time per output token, nil if nothing is.
	tokenTime *engineTokenTime
	// loadSamples holds recent samples of all instances' known requests and of the memory that they take.
	// unaccounted is the memory that the engine reported beyond that, at unaccountedAt.
	// peerUnaccounted is the same as reported by peers.
	loadSamples     []loadSample
	unaccounted     int
	unaccountedAt   time.Time
	peerUnaccounted int
	// lastUsed is the last time at which InUse found the engine in use.
	lastUsed time.Time
	// ownThroughput is the prefill throughput measured by this instance, peerThroughput the one
	// reported by peers.
	ownThroughput, peerThroughput measuredThroughput
	success                       float64
	latency                       time.Duration
	failures                      int
	ejections                     int
	ejectedUntil                  time.Time
	// computeTokens holds the number of tokens that the engine has to compute for each of this
	// instance's requests, by ticket number. A decode engine computes prompts only while
	// prefill engines are unreachable or busy, and otherwise only the tokens that a resumed
	// stream lacks.
	computeTokens map[uint64]int
	// unreachable means that the last failure was a connection that could not be established,
	// or that reached another incarnation or an engine of another stage.
	unreachable bool
	// downConfirmed means that the last failure is a response from the upstream's address
	// (connection refused, or another incarnation) and not a possible fault of the network
	// path. refusedAt is when it last refused a connection without such a confirmation, zero if it
	// has not.
	downConfirmed bool
	refusedAt     time.Time
	// readmitted means that the upstream has answered a probe since it was ejected.
	readmitted bool
	// lastSeen is the time of the last successful response, stream event or answered probe.
	lastSeen time.Time
	// replaced means that another incarnation now uses the upstream's address.
	replaced bool
	// startTimes holds the start times of this instance's requests in flight, by ticket number.
	startTimes map[uint64]time.Time
	// rejectingUntil is the time until which the engine gets no requests because it rejected
	// one despite a reservation. rejections counts such rejections in a row. peerRejectingUntil
	// is the same time as reported by peers.
	rejectingUntil     time.Time
	rejections         int
	peerRejectingUntil time.Time
	// pendingStage is the stage that the engine was ordered to change to. It applies until the
	// engine is listed with that stage, or until pendingUntil.
	pendingStage dialect.Stage
	pendingUntil time.Time
	// fullUntil is the time until which the engine has no memory for reservations of fullTokens
	// or more.
	fullUntil  time.Time
	fullTokens int
}

// Scheduler holds the load and health of all upstreams and places requests on them. It is safe for
// concurrent use.
type Scheduler struct {
	zone ident.Zone

	mu           sync.Mutex
	records      map[ident.UpstreamID]*upstreamRecord
	lastNumber   uint64
	random       *rand.Rand
	performances map[string]*enginePerformance
	demands      map[string]*demand
	suspicions   map[ident.Zone]*zoneSuspicion
	arrivals     map[string]*arrivals
	// active holds the upstreams that may not be idle. OwnLoad and SetPeers iterate only over
	// these, since usually only a few of thousands of upstreams are in use.
	active map[ident.UpstreamID]bool
	// timed holds the engines whose time per token this instance has measured recently.
	timed map[ident.UpstreamID]bool
	// earlyTokenTimes holds the times per token that peers told of engines without a record.
	earlyTokenTimes map[ident.UpstreamID]earlyTokenTime
	// firstPeerReport is when the first load report from peers arrived.
	firstPeerReport time.Time
	// unknownRequestsAt is when an engine last reported more requests than are known.
	unknownRequestsAt time.Time
	// overflow holds the decode engines on which this instance may have prompts computed while
	// prefill engines are busy.
	overflow map[ident.UpstreamID]bool
	// coldLimits limits this instance's request rate to cold upstreams.
	coldLimits map[ident.UpstreamID]*coldLimit
	// statedLimits holds the rate limits that upstreams state in their responses.
	statedLimits map[ident.UpstreamID]*statedLimit
	// rests holds the times until which upstreams want no requests from this instance.
	rests map[ident.UpstreamID]*rest
	// limitRetries holds, by service, the retry time of the next caller that is refused because of
	// rate limits.
	limitRetries map[string]time.Time
	// offeredRates is the request rate of all other instances, in requests per second by
	// service.
	offeredRates map[string]float64
	// otherInstances is the number of other instances. reportAge is the mean age of the load
	// reports from them.
	otherInstances int
	reportAge      time.Duration
}

// NewScheduler returns a Scheduler without any upstreams for an instance in the given zone. seed
// seeds the random choice between similar upstreams.
func NewScheduler(zone ident.Zone, seed uint64) *Scheduler {
	return &Scheduler{
		zone: zone, records: map[ident.UpstreamID]*upstreamRecord{}, active: map[ident.UpstreamID]bool{}, timed: map[ident.UpstreamID]bool{}, earlyTokenTimes: map[ident.UpstreamID]earlyTokenTime{},
		random: rand.New(rand.NewPCG(seed, seed)), performances: map[string]*enginePerformance{}, demands: map[string]*demand{}, suspicions: map[ident.Zone]*zoneSuspicion{}, arrivals: map[string]*arrivals{}, offeredRates: map[string]float64{}, statedLimits: map[ident.UpstreamID]*statedLimit{}, limitRetries: map[string]time.Time{}, rests: map[ident.UpstreamID]*rest{},
	}
}

// recordOf returns the record of an upstream and creates it if needed. A newer incarnation of
// the same ID gets a new record, without the requests and failures of the former one. For an
// older incarnation it returns a record that is not stored, so that late results of it are
// dropped. The caller holds mu.
func (b *Scheduler) recordOf(u dialect.Upstream) *upstreamRecord {
	rec := b.records[u.ID]
	if rec != nil && u.Restarted(rec.up.Incarnation) {
		// Results of a former incarnation are dropped.
		return newRecord(u)
	}
	if rec == nil || rec.up.Restarted(u.Incarnation) {
		rec = newRecord(u)
		b.records[u.ID] = rec
		b.takeEarlyTokenTime(rec)
	}
	rec.up = u
	return rec
}

// newRecord returns the initial record of an upstream.
func newRecord(u dialect.Upstream) *upstreamRecord {
	return &upstreamRecord{up: u, success: 1, startTimes: map[uint64]time.Time{}, streams: map[uint64]runningStream{}, computeTokens: map[uint64]int{}}
}

// RecordRestart records that an upstream has restarted under the same ID.
func (b *Scheduler) RecordRestart(u dialect.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordOf(u)
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
func (b *Scheduler) place(now time.Time, rec *upstreamRecord, tokens int) Ticket {
	b.lastNumber++
	b.active[rec.up.ID] = true
	b.coldLimits[rec.up.ID].take()
	rec.requests++
	rec.tokens += tokens
	rec.computeTokens[b.lastNumber] = tokens
	rec.startTimes[b.lastNumber] = now
	return Ticket{Upstream: rec.up, number: b.lastNumber}
}

// Done removes a placement from its upstream's load. Further calls for the same ticket have no
// effect.
func (b *Scheduler) Done(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.records[t.Upstream.ID]
	if rec == nil {
		return
	}
	if _, inFlight := rec.startTimes[t.number]; !inFlight {
		return
	}
	delete(rec.startTimes, t.number)
	delete(rec.streams, t.number)
	rec.requests--
	rec.tokens -= rec.computeTokens[t.number]
	delete(rec.computeTokens, t.number)
}

// usable reports whether an upstream may get a request now. The caller holds mu.
func (b *Scheduler) usable(now time.Time, u dialect.Upstream, exclude []ident.UpstreamID) bool {
	_, reason := b.heldOff(now, u)
	return reason == "" && b.mayAccept(now, u, exclude)
}

// mayAccept reports whether an upstream accepts new requests, has quota left if it is cold, and is
// not excluded. The caller holds mu.
func (b *Scheduler) mayAccept(now time.Time, u dialect.Upstream, exclude []ident.UpstreamID) bool {
	if u.Leaving || !b.coldLimits[u.ID].allows(now) {
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
	// UnaccountedMemory is the memory that an engine reported beyond that of all known requests, in
	// tokens.
	UnaccountedMemory int
	// ThroughputBucket is the recent throughput of a prefill engine, as a 1-based bucket of
	// a ThroughputHistogram; 0 if unknown.
	ThroughputBucket int
}

// SetPeers records the load that peers have in flight. It replaces the former report.
func (b *Scheduler) SetPeers(now time.Time, peers map[ident.UpstreamID]*InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.firstPeerReport.IsZero() {
		b.firstPeerReport = now
	}
	for id := range peers {
		if b.records[id] != nil {
			b.active[id] = true
		}
	}
	for id := range b.active {
		rec := b.records[id]
		if rec == nil || rec.idle(now) && peers[id] == nil {
			delete(b.active, id)
			continue
		}
		f := peers[id]
		if f == nil {
			f = &InFlight{}
		}
		rec.peerRequests, rec.peerTokens, rec.peerForecast = f.Requests, f.Tokens, f.Memory
		rec.peerUnaccounted = f.UnaccountedMemory
		rec.peerThroughput.update(now, f.ThroughputBucket)
		b.recordLoad(now, rec)
	}
}

// idle reports whether an upstream has no known requests, no recent memory use that a report
// may still include, and nothing to report to peers. The caller holds mu.
func (rec *upstreamRecord) idle(now time.Time) bool {
	return rec.requests == 0 && len(rec.loadSamples) == 0 && rec.peerRequests == 0 && rec.peerTokens == 0 &&
		rec.peerUnaccounted == 0 && rec.peerForecast == Forecast{} && rec.ownUnaccounted(now) == 0 && !rec.ownThroughput.fresh(now)
}

// OwnLoad returns the load that this instance has in flight, by upstream. Upstreams without any are
// left out.
func (b *Scheduler) OwnLoad(now time.Time) map[ident.UpstreamID]InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[ident.UpstreamID]InFlight{}
	for id := range b.active {
		rec := b.records[id]
		if rec == nil {
			continue
		}
		f := InFlight{Requests: rec.requests, Tokens: rec.tokens, Memory: b.ownForecast(now, rec), UnaccountedMemory: rec.ownUnaccounted(now)}
		if rec.ownThroughput.fresh(now) {
			f.ThroughputBucket = rec.ownThroughput.bucket
		}
		if f != (InFlight{}) {
			own[id] = f
		}
	}
	return own
}

// ownForecast returns the memory forecast of this instance's requests at an engine. The caller
// holds mu.
func (b *Scheduler) ownForecast(now time.Time, rec *upstreamRecord) Forecast {
	if len(rec.streams) == 0 {
		return Forecast{}
	}
	return rec.forecastStreams(b.tokenTimeOf(now, rec), b.performanceOf(rec.up.Service).spread())
}

// forecastStreams returns the memory forecast of this instance's requests at an engine with a time
// per token in seconds. The caller holds mu.
func (rec *upstreamRecord) forecastStreams(tokenTime, spread float64) Forecast {
	var f Forecast
	for _, s := range rec.streams {
		f.add(s.forecast(tokenTime, spread))
	}
	return f
}

// RemoveUnlisted removes the upstreams that are no longer listed and have no requests of this
// instance in flight.
func (b *Scheduler) RemoveUnlisted(listed map[ident.UpstreamID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, rec := range b.records {
		if !listed[id] && rec.requests == 0 {
			delete(b.records, id)
		}
	}
	for id := range b.statedLimits {
		if !listed[id] {
			delete(b.statedLimits, id)
		}
	}
	for id := range b.rests {
		if !listed[id] {
			delete(b.rests, id)
		}
	}
}

// RequestCount returns the number of requests known to be in flight at an upstream, including those
// of peers.
func (b *Scheduler) RequestCount(id ident.UpstreamID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.records[id]
	if rec == nil {
		return 0
	}
	return rec.requests + rec.peerRequests
}
