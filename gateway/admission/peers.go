package admission

import (
	"slices"
	"time"
)

// maxCount bounds each number in a report of a peer. A larger one is an error of the peer.
const maxCount = 100_000

// Queue is what instances report about their queues of one service, and the sum of such reports.
type Queue struct {
	// Waiting is the number of waiting requests by rank: index 2p is for the returned callers of
	// priority p, 2p+1 for its other requests.
	Waiting []int `json:"w,omitempty"`
	// Returns is the number of refused callers that were told to return, by rank and half second from
	// the report.
	Returns [][]int `json:"r,omitempty"`
}

// Valid reports whether all numbers of a report are possible.
func (q Queue) Valid() bool {
	if len(q.Waiting) > Ranks || len(q.Returns) > Ranks || !possible(q.Waiting) {
		return false
	}
	for _, slots := range q.Returns {
		if len(slots) > ReturnSlots || !possible(slots) {
			return false
		}
	}
	return true
}

// possible reports whether all numbers lie within bounds.
func possible(numbers []int) bool {
	for _, n := range numbers {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}

// Empty reports whether there is nothing to report. After and Minus leave lists of zeros.
func (q Queue) Empty() bool {
	nonzero := func(n int) bool { return n != 0 }
	return !slices.ContainsFunc(q.Waiting, nonzero) &&
		!slices.ContainsFunc(q.Returns, func(slots []int) bool { return slices.ContainsFunc(slots, nonzero) })
}

// Plus returns the sum of two queues. Both are left unchanged.
func (q Queue) Plus(o Queue) Queue {
	sum := Queue{Waiting: combine(q.Waiting, o.Waiting, 1)}
	for p := range max(len(q.Returns), len(o.Returns)) {
		sum.Returns = append(sum.Returns, combine(at(q.Returns, p), at(o.Returns, p), 1))
	}
	return sum
}

// Minus returns the queue without another one. Numbers do not fall below 0, because the other one
// may be newer than its part in the sum.
func (q Queue) Minus(o Queue) Queue {
	rest := Queue{Waiting: combine(q.Waiting, o.Waiting, -1)}
	for p := range q.Returns {
		rest.Returns = append(rest.Returns, combine(q.Returns[p], at(o.Returns, p), -1))
	}
	return rest
}

// After returns the queue as of a time after the report: promised returns whose time has passed no
// longer count.
func (q Queue) After(elapsed time.Duration) Queue {
	passed := int(elapsed / returnSlot)
	if passed <= 0 {
		return q
	}
	later := Queue{Waiting: q.Waiting}
	for _, slots := range q.Returns {
		later.Returns = append(later.Returns, slots[min(passed, len(slots)):])
	}
	return later
}

// at returns an element of a list, or nil beyond its end.
func at(list [][]int, i int) []int {
	if i >= len(list) {
		return nil
	}
	return list[i]
}

// combine returns a plus sign times b, without negative numbers.
func combine(a, b []int, sign int) []int {
	if len(a) == 0 && len(b) == 0 {
		return nil
	}
	out := make([]int, max(len(a), len(b)))
	copy(out, a)
	for i, n := range b {
		out[i] = max(0, out[i]+sign*n)
	}
	return out
}

// byPriority returns the queue with the numbers of both ranks of each priority added.
func (q Queue) byPriority() (out Queue) {
	for rank, n := range q.Waiting {
		out.Waiting = set(out.Waiting, rank/2, n+elementAt(out.Waiting, rank/2))
	}
	for rank, slots := range q.Returns {
		for len(out.Returns) <= rank/2 {
			out.Returns = append(out.Returns, nil)
		}
		out.Returns[rank/2] = combine(out.Returns[rank/2], slots, 1)
	}
	return out
}

// elementAt returns an element of a list, 0 beyond its end.
func elementAt(list []int, i int) int {
	if i >= len(list) {
		return 0
	}
	return list[i]
}

// Peers is the state of the other instances.
type Peers struct {
	// Instances is the number of live instances, including this one.
	Instances int
	// Age is how old the sums are on average.
	Age time.Duration
	// Queues is the sum of the other instances' queues, by service.
	Queues map[string]Queue
	// Rates is the rate of requests to the other instances, in requests per second by service.
	Rates map[string]float64
}

// SetInstances sets the number of live instances, including this one, for the share of the room that
// an instance without sums uses.
func (c *Controller) SetInstances(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = max(1, n)
}

// SetPeers records the state of the other instances. It replaces the former one.
func (c *Controller) SetPeers(now time.Time, p Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances, c.peersAt = max(1, p.Instances), now.Add(-p.Age)
	for name, s := range c.services {
		if _, ok := p.Queues[name]; !ok {
			s.setPeers(c.peersAt, Queue{})
		}
		if _, ok := p.Rates[name]; !ok {
			s.arrivals.setPeers(now, 0)
		}
	}
	for name, q := range p.Queues {
		c.service(name).setPeers(c.peersAt, q)
	}
	for name, rate := range p.Rates {
		c.service(name).arrivals.setPeers(now, rate)
	}
}

// setPeers records the queues of the other instances as of a time.
func (s *service) setPeers(madeAt time.Time, q Queue) {
	s.peers = [Ranks]float64{}
	for p, n := range q.Waiting {
		if p < Ranks {
			s.peers[p] = float64(n)
		}
	}
	s.peerReturns = ledger{}
	first := slotOf(madeAt)
	for p, slots := range q.Returns {
		for i, n := range slots {
			if p < Ranks && n > 0 {
				s.peerReturns.add(first+i, p, float64(n))
			}
		}
	}
}

// Report returns the queues of this instance to be told to peers, by service. Services without
// waiting requests and promises are left out.
func (c *Controller) Report(now time.Time) map[string]Queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]Queue
	for name, s := range c.services {
		q := s.report(now)
		if q.Empty() {
			continue
		}
		if out == nil {
			out = map[string]Queue{}
		}
		out[name] = q
	}
	return out
}

// report returns this instance's queue of the service.
func (s *service) report(now time.Time) Queue {
	var q Queue
	for p, n := range s.queue.waiting() {
		q.Waiting = set(q.Waiting, p, n)
	}
	first := slotOf(now)
	s.prunePromises(now)
	for slot, counts := range s.returns {
		if slot >= first+ReturnSlots {
			continue
		}
		for p, n := range counts {
			for n > 0 && len(q.Returns) <= p {
				q.Returns = append(q.Returns, nil)
			}
			if n > 0 {
				q.Returns[p] = set(q.Returns[p], slot-first, int(n))
			}
		}
	}
	return q
}

// set sets an element of a list, which it extends if the element is not 0.
func set(list []int, i, n int) []int {
	if n == 0 {
		return list
	}
	for len(list) <= i {
		list = append(list, 0)
	}
	list[i] = n
	return list
}

// Status is the state of a service's queues, for operators. Unlike in reports, the queues are by
// priority.
type Status struct {
	Service string `json:"service"`
	// Own is the queue of this instance, Peers the sum of the others' as of AgeMS milliseconds ago.
	Own   Queue `json:"own"`
	Peers Queue `json:"peers"`
	AgeMS int64 `json:"age_ms"`
	// Alone means that there is no recent sum.
	Alone bool `json:"alone"`
	// RequestRate is the rate of all instances, in requests per second. CorrectionMS is added to
	// expected waits.
	RequestRate  float64 `json:"request_rate"`
	CorrectionMS int64   `json:"correction_ms"`
}

// Status returns the state of all services that have had requests, in no particular order.
func (c *Controller) Status(now time.Time) []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []Status{}
	for name, s := range c.services {
		st := Status{
			Service: name, Own: s.report(now).byPriority(), AgeMS: c.age(now).Milliseconds(), Alone: !c.informed(now),
			RequestRate: s.arrivals.rate(now), CorrectionMS: s.correction.at(now).Milliseconds(),
		}
		for p, n := range s.peers {
			st.Peers.Waiting = set(st.Peers.Waiting, p, int(n))
		}
		st.Peers = st.Peers.byPriority()
		out = append(out, st)
	}
	return out
}
