package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overload is what the failures of these tests meet: 90 instances at twice the capacity.
var overload = scenario{instances: 90, places: 225, counted: 8 * time.Second, age: 600 * time.Millisecond, load: constant(2)}

// start is the time at which the tests without a play begin.
var start = time.Unix(1_700_000_000, 0)

// request returns a request that arrives at a time and keeps its own priority.
func request(arrived time.Time, priority int) Request {
	return Request{
		Service: "s", ID: plainID(), Priority: priority, Arrived: arrived, Deadline: arrived.Add(playTimeout), Timeout: playTimeout,
		Objective: time.Second,
	}
}

// steady returns a supply of places that are free now and a rate from now on.
func steady(places, rate float64) Supply {
	s := Supply{Step: 300 * time.Millisecond, Rate: rate}
	for i := range 10 {
		s.Places = append(s.Places, places+rate*s.Step.Seconds()*float64(i))
	}
	return s
}

// TestOverloadWithFailures guards against a failure of the exchange of sums that starves a class,
// reverses the order of the classes, or lets requests be held back because of old sums.
func TestOverloadWithFailures(t *testing.T) {
	for name, change := range map[string]func(*scenario){
		"no sums":                    func(s *scenario) { s.noSums = true },
		"sums 3 s old":               func(s *scenario) { s.age = 3 * time.Second },
		"hub dead":                   func(s *scenario) { s.hubDies = 3 * time.Second },
		"instance gone":              func(s *scenario) { s.vanishes = 3 * time.Second },
		"half of an older release":   func(s *scenario) { s.silent = s.instances / 2 },
		"refused callers stay away":  func(s *scenario) { s.stay = 1 },
		"half of the callers return": func(s *scenario) { s.stay = 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			s := overload
			change(&s)
			o := s.play()
			o.log(t, name)
			for i, c := range o.class {
				assert.Check(t, c.served() > 0, "priority %d is starved", i)
			}
			assert.Check(t, o.heldAlone == 0, "held back %d times by old sums", o.heldAlone)
			if s.noSums || s.age >= 2*time.Second {
				assert.Check(t, o.held == 0, "held back %d times without recent sums", o.held)
			} else if s.hubDies == 0 {
				checkOrder(t, o)
			}
		})
	}
}

// TestOldSumsLeaveTheShareOfAnInstance guards against an instance that is cut off and decides by the
// requests of the whole fleet against its share of the capacity, or by queues that it no longer knows.
func TestOldSumsLeaveTheShareOfAnInstance(t *testing.T) {
	c := New(1)
	c.SetPeers(start, Peers{Instances: 10, Queues: map[string]Queue{"s": {Waiting: []int{500}}}, Rates: map[string]float64{"s": 900}})
	now := start.Add(peersTTL)
	c.Enter(now, request(now, 0)).Leave(now, true)
	w := c.Enter(now, request(now, 1))
	_, held := w.Held(now, func() bool { return true })
	assert.Assert(t, !held)
	v := w.Decide(now, steady(0, 100), playLead)
	assert.Assert(t, v.Alone)
	assert.Equal(t, v.Ahead, 0.0)
	assert.Assert(t, !v.Refuse, "10 places per second for less than 1 request per second: expected %s", v.Expected)
	assert.Equal(t, w.Decide(now, steady(40, 100), playLead).Places, 4.0)
}

// TestInstanceThatIsGoneLeavesTheSums guards against requests that are held back or refused for those
// of an instance that has ended, and against the rate of a service that no peer reports any more.
func TestInstanceThatIsGoneLeavesTheSums(t *testing.T) {
	c := New(1)
	now := start
	c.SetPeers(now, Peers{Instances: 2, Queues: map[string]Queue{"s": {Waiting: []int{50}, Returns: [][]int{{9}}}}, Rates: map[string]float64{"s": 100}})
	w := c.Enter(now, request(now, 1))
	_, held := w.Held(now, func() bool { return false })
	assert.Assert(t, held)
	assert.Assert(t, w.Decide(now, steady(0, 10), playLead).Refuse)
	c.SetPeers(now, Peers{Instances: 1})
	_, held = w.Held(now, func() bool { return true })
	assert.Assert(t, !held)
	v := w.Decide(now, steady(0, 10), playLead)
	assert.Assert(t, !v.Refuse, "expected %s with %v ahead", v.Expected, v.Ahead)
	assert.Assert(t, c.Status(now)[0].RequestRate < 1, "%v requests per second", c.Status(now)[0].RequestRate)
}

// TestOldPeerCountsAsWithoutQueue guards against a correction that does not adapt to requests of
// peers that report no queue.
func TestOldPeerCountsAsWithoutQueue(t *testing.T) {
	c := New(1)
	now := start
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		c.SetPeers(now, Peers{Instances: 2})
		w := c.Enter(now, request(now, 0))
		w.Decide(now, steady(0, 100), playLead)
		w.Leave(now.Add(300*time.Millisecond), true)
	}
	w := c.Enter(now, request(now, 0))
	v := w.Decide(now, steady(0, 100), playLead)
	assert.Assert(t, v.Expected > 100*time.Millisecond, "expected %s", v.Expected)
}

// TestImpossibleQueuesAreNotValid guards against a faulty peer that has all instances refuse their
// requests.
func TestImpossibleQueuesAreNotValid(t *testing.T) {
	many := make([]int, Ranks+1)
	for _, q := range []Queue{
		{Waiting: []int{-1}}, {Waiting: []int{100_001}}, {Waiting: many}, {Returns: [][]int{{0, -1}}}, {Returns: [][]int{{1 << 40}}},
		{Returns: [][]int{make([]int, ReturnSlots+1)}}, {Returns: make([][]int, Ranks+1)},
	} {
		assert.Check(t, !q.Valid(), "%v", q)
	}
	for _, q := range []Queue{{}, {Waiting: []int{0, 100_000}}, {Waiting: many[1:], Returns: [][]int{nil, make([]int, ReturnSlots)}}} {
		assert.Check(t, q.Valid(), "%v", q)
	}
	// What is not checked by a caller must at least not fail.
	c := New(1)
	c.SetPeers(start, Peers{Queues: map[string]Queue{"s": {Waiting: many, Returns: [][]int{make([]int, 40)}}}})
	assert.Equal(t, c.Enter(start, request(start, 0)).Decide(start, steady(1, 1), 0).Ahead, 0.0)
}

// TestPromiseEndsWithItsHalfSecond guards against room that is kept for a caller that does not come.
func TestPromiseEndsWithItsHalfSecond(t *testing.T) {
	c := New(1)
	w := c.Enter(start, request(start, 0))
	at := w.PromiseReturn(start, steady(0, 1))
	w.Leave(start, false)
	promised := func(at time.Time) (n int) {
		for _, slots := range c.Report(at)["s"].Returns {
			for _, count := range slots {
				n += count
			}
		}
		return n
	}
	assert.Equal(t, promised(start), 1)
	due := start.Add(at)
	assert.Equal(t, promised(due), 1)
	ended := due.Add(returnSlot)
	assert.Equal(t, len(c.Report(ended)), 0)
	before := c.services["s"].kept.at(start)
	for range 20 {
		now := ended
		w := c.Enter(now, request(now, 0))
		ended = now.Add(w.PromiseReturn(now, steady(0, 1)) + returnSlot)
		w.Leave(now, false)
		c.Report(ended)
	}
	kept := c.services["s"].kept.at(ended)
	assert.Assert(t, kept < before/2, "expects %.2f of the promises to be kept", kept)
}

// TestSuspendedInstanceDecidesWithTheCurrentTime guards against an instance that resumes after some
// seconds and lets requests wait that are past their objective.
func TestSuspendedInstanceDecidesWithTheCurrentTime(t *testing.T) {
	c := New(1)
	c.SetPeers(start, Peers{Instances: 2})
	first := request(start, 0)
	again := request(start, 0)
	again.Deadline = start.Add(9 * time.Second)
	for _, r := range []Request{first, again} {
		w := c.Enter(start, r)
		assert.Check(t, !w.Decide(start, steady(0, 100), playLead).Refuse)
		v := w.Decide(start.Add(5*time.Second), steady(10, 100), playLead)
		assert.Check(t, v.Refuse && v.Alone)
		wait := w.PromiseReturn(start.Add(5*time.Second), steady(10, 100))
		assert.Check(t, wait >= 0 && wait <= r.Deadline.Sub(start.Add(5*time.Second))/3, "%s", wait)
		w.Leave(start.Add(5*time.Second), false)
	}
	w := c.Enter(start, first)
	assert.Equal(t, w.PromiseReturn(start.Add(20*time.Second), steady(10, 100)), time.Duration(0))
}

// TestCallerThatReturnsTooEarlyKeepsItsTime guards against a caller that returns before there is
// room and is told a later time than at first.
func TestCallerThatReturnsTooEarlyKeepsItsTime(t *testing.T) {
	later := 0
	for seed := range uint64(100) {
		c := New(seed)
		now := start
		c.SetPeers(now, Peers{Instances: 2, Queues: map[string]Queue{"s": {Waiting: []int{20}}}})
		r := request(now, 0)
		r.Content = 7
		w := c.Enter(now, r)
		assert.Assert(t, w.Decide(now, steady(0, 10), playLead).Refuse)
		promised := now.Add(w.PromiseReturn(now, steady(0, 10)))
		w.Leave(now, false)
		now = now.Add(300 * time.Millisecond)
		r.Arrived, r.ID = now, r.ID+"-again"
		w = c.Enter(now, r)
		v := w.Decide(now, steady(0, 10), playLead)
		assert.Check(t, v.Refuse, "seed %d: not refused", seed)
		if now.Add(w.PromiseReturn(now, steady(0, 10))).After(promised) {
			later++
		}
	}
	assert.Check(t, later == 0, "%d of 100 callers were told a later time", later)
}

// TestNoEngineLeavesTheForecastOut guards against requests that are refused at once while all engines
// are ejected or not listed for a moment.
func TestNoEngineLeavesTheForecastOut(t *testing.T) {
	c := New(1)
	c.SetPeers(start, Peers{Instances: 2, Queues: map[string]Queue{"s": {Waiting: []int{0, 50}}}})
	w := c.Enter(start, request(start, 0))
	assert.Assert(t, !w.Decide(start, steady(0, 0), playLead).Refuse)
	assert.Assert(t, w.Decide(start.Add(time.Second), steady(0, 0), playLead).Refuse)
}
