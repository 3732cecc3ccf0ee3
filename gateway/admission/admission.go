// Package admission decides, while a service's engines have too little room, which requests wait,
// which are refused, and when refused callers are to return. The decisions consider the requests
// that wait at all instances, by sums that the instances exchange. The package does no I/O and
// reads no clock.
//
// It answers overload of a service by bursts of a few seconds, and by lasting overload. A request
// that cannot be on time is refused while its caller can still go on with something else, and
// its caller returns when there is room.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// peersTTL is how long the sums of the other instances remain valid. They arrive every 300 to
	// 600 ms; after three missing ones this instance is cut off or the hub is gone.
	peersTTL = 2 * time.Second
	// floorShare is one in how many less urgent requests ranks with the most urgent ones of its
	// service, so that a lasting overload by urgent requests does not starve the others.
	floorShare = 10
	// headStart is how long requests at other instances that go first have to take room before others
	// do. The first request of each queue looks for room every 15 ms.
	headStart = 45 * time.Millisecond
	// returnedShare is the share of the route's timeout that a caller's time has to be below for the
	// caller to count as returned. It has spent the rest on an earlier attempt.
	returnedShare = 0.95
)

// Controller holds the queues of one instance, by service, and decides on the requests in them. It
// is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	// peersAt is when the sums of the other instances were made, on average; zero if there are none
	// yet. instances is the number of live instances.
	peersAt   time.Time
	instances int
}

// service is the state of one service.
type service struct {
	queue queue
	// peers are the requests that wait at other instances, by rank. peerReturns are the promises that
	// they made.
	peers       [Ranks]float64
	peerReturns ledger
	// returns are the promises of this instance, kept how many of them callers keep.
	returns  ledger
	kept     keptShare
	arrivals arrivals
	// promised holds the times that callers were told by this instance, by the content of the request.
	promised   map[uint64]time.Time
	prunedSlot int
	correction correction
	margin     leadMargin
}

// New returns a controller without any queues. seed seeds the random choice among return times.
func New(seed uint64) *Controller {
	return &Controller{random: rand.New(rand.NewPCG(seed, seed)), services: map[string]*service{}, instances: 1}
}

// service returns the state of a service and creates it if needed. The caller holds mu.
func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{returns: ledger{}, peerReturns: ledger{}, promised: map[uint64]time.Time{}}
		c.services[name] = s
	}
	return s
}

// Request describes a request that needs an engine.
type Request struct {
	Service string
	// ID identifies the attempt. Content identifies what is asked for, in all attempts; 0 if unknown.
	ID      string
	Content uint64
	// Priority ranks the request; 0 is the most urgent. MostUrgent is the most urgent priority that
	// requests of the service can have.
	Priority, MostUrgent int
	Arrived              time.Time
	// Deadline is when the caller stops waiting. Timeout is the longest time that the route allows.
	Deadline time.Time
	Timeout  time.Duration
	// Objective is the time from the arrival within which the first event is on time.
	Objective time.Duration
	// Late means that the request cannot be on time any more, such as a stream that its caller
	// resumes. It ranks behind the others of its priority and is not refused by Decide.
	Late bool
}

// returned reports whether the caller has been refused before. A new attempt has a new ID, so this
// is known only from the time that the caller has left. A stream that its caller resumes was not
// refused.
func (r *Request) returned() bool {
	return !r.Late && r.Timeout > 0 && r.Deadline.Sub(r.Arrived) < time.Duration(returnedShare*float64(r.Timeout))
}

// Ranks is the number of ranks: two for each priority that is told apart, the first of which is that
// of returned callers. Less urgent priorities count as the last.
const Ranks = 2 * Priorities

// Priorities is the number of priorities that are told apart.
const Priorities = 10

// rankOf returns the rank of requests of a priority. Returned callers were promised room, and most of
// them return only once; a new caller that is refused for them still has a return.
func rankOf(priority int, returned bool) int {
	rank := 2 * min(max(priority, 0), Priorities-1)
	if !returned {
		rank++
	}
	return rank
}

// rank returns the rank of the request. One in floorShare of the less urgent requests ranks with the
// most urgent. All instances derive the same rank.
func (r *Request) rank() int {
	priority := r.Priority
	if xxhash.Sum64String(r.ID)%floorShare == 0 {
		priority = min(priority, r.MostUrgent)
	}
	return rankOf(priority, r.returned())
}

// Enter adds a request to its service's queue. The caller must call Leave once the request is placed
// or given up.
func (c *Controller) Enter(now time.Time, r Request) *Waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	w := &Waiter{c: c, s: s, request: r, rank: r.rank(), returned: r.returned(), entered: now, wake: make(chan struct{}, 1)}
	s.arrivals.add(now, w.rank)
	if w.returned {
		s.kept.returned(now)
	}
	s.queue.insert(w)
	return w
}

// Waiter is a request in a queue. Its methods may be called by one goroutine at a time.
type Waiter struct {
	c        *Controller
	s        *service
	request  Request
	rank     int
	returned bool
	entered  time.Time
	// expected is the first expected wait, valid if asked.
	expected time.Duration
	asked    bool
	// roomSince is since when an engine has had room for the request while it was held back.
	roomSince time.Time
	wake      chan struct{}
}

// Woken receives a value when room may have become available for the request.
func (w *Waiter) Woken() <-chan struct{} { return w.wake }

// First reports whether the request is at the head of its queue.
func (w *Waiter) First() bool {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.s.queue.first(w)
}

// Stay is what Leave reports about the time that a request spent in its queue.
type Stay struct {
	// Expected is the wait that was expected when the request was first decided on, Waited the time
	// that it took. Asked is false if the request was placed without a decision.
	Expected, Waited time.Duration
	Asked            bool
	// Returned means that the caller had been refused before.
	Returned bool
}

// Leave removes the request from its queue and wakes the next one. placed means that it got an
// engine. Only the first call has an effect.
func (w *Waiter) Leave(now time.Time, placed bool) Stay {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	stay := Stay{Expected: w.expected, Waited: now.Sub(w.entered), Asked: w.asked, Returned: w.returned}
	// A request that was not placed would have waited longer still.
	if w.s.queue.remove(w) && w.asked && !w.returned && (placed || stay.Waited > stay.Expected) {
		w.s.correction.observe(now, stay.Expected, stay.Waited)
	}
	return stay
}

// Freed wakes the head of a service's queue because an engine may have room again.
func (c *Controller) Freed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(name).queue.wakeFirst()
}

// Waiting returns the number of requests in this instance's queue of a service.
func (c *Controller) Waiting(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.service(name).queue)
}

// Hold is the reason why a request is held back.
type Hold struct {
	// For is the most urgent priority of the requests that wait at other instances and go first,
	// Waiting their number.
	For     int
	Waiting float64
	// Age is the age of that information.
	Age time.Duration
}

// Held reports whether the request is held back for requests that wait at other instances and go
// first. hasRoom reports whether an engine has room for the request; it is called only if there are
// any. Those others see the same room, so they have taken it within headStart if they can use it, and
// no room is left unused for longer.
func (w *Waiter) Held(now time.Time, hasRoom func() bool) (Hold, bool) {
	hold := w.hold(now)
	room := hold.Waiting > 0 && hasRoom()
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	switch {
	case !room:
		w.roomSince = time.Time{}
	case w.roomSince.IsZero():
		w.roomSince = now
	}
	return hold, hold.Waiting > 0 && (!room || w.heldWithRoom(now))
}

// heldWithRoom reports whether the request is held back although an engine has room for it. The caller
// holds mu.
func (w *Waiter) heldWithRoom(now time.Time) bool {
	return !w.roomSince.IsZero() && now.Sub(w.roomSince) < headStart
}

// hold returns for whom the request would be held back.
func (w *Waiter) hold(now time.Time) Hold {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	if !w.c.informed(now) || w.request.Late {
		return Hold{}
	}
	urgent, first := w.s.urgentElsewhere(w.rank)
	if urgent == 0 {
		return Hold{}
	}
	return Hold{For: first / 2, Waiting: urgent, Age: w.c.age(now)}
}

// current returns a supply as of now, less the placements of other instances that it does not show
// yet. Without recent sums it is this instance's share. The caller holds mu.
func (c *Controller) current(now time.Time, s *service, supply Supply) Supply {
	if !c.informed(now) {
		return supply.times(1 / float64(c.instances))
	}
	return supply.after(c.age(now), s.arrivals.peers)
}

// arrivalRate returns the rate of the requests that the supply of current is for, and its mean: those
// of all instances, or without recent sums this instance's. The caller holds mu.
func (c *Controller) arrivalRate(now time.Time, s *service) (rate, mean float64) {
	if !c.informed(now) {
		return s.arrivals.ownRate(now), s.arrivals.mean / float64(c.instances)
	}
	return s.arrivals.rate(now), s.arrivals.mean
}

// urgentElsewhere returns the number of requests that wait at other instances before a
// rank, and the first rank among them.
func (s *service) urgentElsewhere(rank int) (count float64, first int) {
	for p := rank - 1; p >= 0; p-- {
		if s.peers[p] > 0 {
			count += s.peers[p]
			first = p
		}
	}
	return count, first
}

// Verdict is the decision on a request for which there is no room now.
type Verdict struct {
	// Refuse means that the request is not expected to be on time. Late means that it was expected to
	// be when it was first decided on, and is too late now even if it were placed at once.
	Refuse, Late bool
	// Expected is the expected wait for an engine. It is maxWait if there is no end to be seen.
	Expected time.Duration
	// Ahead is the number of requests that go first, Places the room for requests now.
	Ahead, Places float64
	// Alone means that there are no recent sums of the other instances. Age is their age.
	Alone bool
	Age   time.Duration
}

// Decide decides whether a request for which no engine has room waits on. lead is the time from the
// placement to the first event. It must be called only for requests that have not been answered in
// part.
func (w *Waiter) Decide(now time.Time, supply Supply, lead time.Duration) Verdict {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Verdict{Alone: !c.informed(now), Age: c.age(now)}
	supply = c.current(now, w.s, supply)
	d := c.demandAhead(now, w)
	v.Ahead, v.Places = d.Ahead, supply.placesBy(0)
	v.Expected = max(0, expectedWait(supply, d)+w.s.correction.at(now))
	first := !w.asked
	if first {
		w.expected, w.asked = v.Expected, true
	}
	wait := v.Expected
	margin := w.s.margin.value()
	switch {
	case w.s.queue.heldWithRoom(now):
		// The supply may be older than the room. Without the hold the queue would have moved.
		wait, margin = 0, 0
	case supply.Rate <= 0:
		// No engine is available, so there is no forecast. One may be back in time.
		wait = 0
	}
	due := w.request.Arrived.Add(w.request.Objective)
	lead += margin
	v.Refuse = !w.request.Late && now.Add(wait+lead).After(due)
	v.Late = v.Refuse && !first && now.Add(lead).After(due)
	return v
}

// ObserveLead records the time from the placement to the first event of a request that had waited.
func (c *Controller) ObserveLead(name string, expected, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(name).margin.observe(took - expected)
}

// PromiseReturn returns the time after which the caller of a refused request is to return, and counts
// the promise as load to come.
func (w *Waiter) PromiseReturn(now time.Time, supply Supply) time.Duration {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.promiseReturn(now, w, c.current(now, w.s, supply))
}

// demandAhead returns what goes before a request. The caller holds mu.
func (c *Controller) demandAhead(now time.Time, w *Waiter) Demand {
	s := w.s
	rate, _ := c.arrivalRate(now, s)
	d := Demand{Ahead: float64(s.queue.before(w)), Rate: rate * s.arrivals.share(w.rank)}
	if c.informed(now) {
		for rank := range w.rank + 1 {
			d.Ahead += s.peers[rank]
		}
	}
	c.addReturns(now, &d, s, w.rank-1)
	return d
}

// addReturns adds the callers of up to the given rank that are expected to return as promised. The
// caller holds mu.
func (c *Controller) addReturns(now time.Time, d *Demand, s *service, rank int) {
	kept := s.kept.at(now)
	d.addReturns(now, s.returns, rank, kept)
	if c.informed(now) {
		d.addReturns(now, s.peerReturns, rank, kept)
	}
}

// informed reports whether the sums of the other instances are recent. The caller holds mu.
func (c *Controller) informed(now time.Time) bool {
	return !c.peersAt.IsZero() && c.age(now) < peersTTL
}

// age returns the age of the sums of the other instances, 0 if there are none. The caller holds mu.
func (c *Controller) age(now time.Time) time.Duration {
	if c.peersAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(c.peersAt))
}
