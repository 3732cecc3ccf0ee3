package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The harness of this file plays a load against the controllers of several instances in virtual
// time. The engines are a number of places, each of which a stream holds for a log-normal time.
const (
	playTick    = 5 * time.Millisecond
	playPoll    = 15 * time.Millisecond
	playLead    = 200 * time.Millisecond
	playTimeout = 14 * time.Second
	// playWarm is the time before requests are counted, playDrain the time after it; the longest
	// return time is 4.7 s and the longest objective 2 s.
	playWarm  = 8 * time.Second
	playDrain = 7 * time.Second
	// playMean, in seconds, and playSpread describe the duration of streams.
	playMean, playSpread = 3.0, 0.7
)

// playClasses are the routes of the specification's deployment A, by priority.
var playClasses = []struct {
	objective time.Duration
	share     float64
}{{800 * time.Millisecond, 12.0 / 75}, {time.Second, 43.0 / 75}, {2 * time.Second, 20.0 / 75}}

// scenario is what is played.
type scenario struct {
	instances, places int
	// load is the offered load at a time after the warm-up, as a multiple of the capacity. counted
	// is how long it is counted.
	load    func(at time.Duration) float64
	counted time.Duration
	// age is the age of the sums and of the places that an instance knows; noSums leaves out the sums.
	age    time.Duration
	noSums bool
	// plain replaces decisions by a queue in which requests wait until they cannot be on time.
	plain bool
	// hubDies and vanishes are when the sums stop and when instance 0 ends, 0 for never. silent is
	// the number of instances whose release reports no queues.
	hubDies, vanishes time.Duration
	silent            int
	// stay is the share of refused callers that do not return.
	stay float64
}

// playCaller is a caller with its present attempt.
type playCaller struct {
	class                      int
	hold                       time.Duration
	arrived, deadline, decided time.Time
	counted, returned          bool
	w                          *Waiter
}

// late reports whether the first event of a placement now would be late.
func (c *playCaller) late(now time.Time) bool {
	return now.Add(playLead).After(c.arrived.Add(playClasses[c.class].objective))
}

// tally counts what happened to the callers of a class.
type tally struct {
	offered, onTime, atReturn, late, lost, refusals, quick, firstRefused, firstQuick, asked int
	expected, waited                                                                        time.Duration
}

// served returns the share of the callers that were served.
func (t tally) served() float64 {
	return float64(t.onTime+t.atReturn+t.late) / float64(max(1, t.offered))
}

// outcome is the result of a play. The slices are indexed by second of the play.
type outcome struct {
	class [3]tally
	used  float64
	// heldAlone counts requests held back by sums older than 2 s, withRoom those refused that could be
	// on time while places for all waiting requests of all instances were free.
	held, heldAlone, withRoom   int
	returns, freeAtStart, ended []int
}

// total returns the sum over the classes of what the bounds concern.
func (o *outcome) total() (sum tally) {
	for _, t := range o.class {
		sum.refusals, sum.quick = sum.refusals+t.refusals, sum.quick+t.quick
		sum.firstRefused, sum.atReturn = sum.firstRefused+t.firstRefused, sum.atReturn+t.atReturn
	}
	return sum
}

// log writes the table of the play. Expected and waited are means in milliseconds of the requests
// that were placed after a decision, whose number is in brackets.
func (o *outcome) log(t *testing.T, name string) {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "%s: capacity used %.4f, held %d, refused with room %d\n", name, o.used, o.held, o.withRoom)
	b.WriteString("prio offered on-time at-return late lost served refusals quick first quick expected waited")
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	for p, c := range o.class {
		n := time.Duration(max(1, c.asked))
		fmt.Fprintf(&b, "\n%4d %7d %7d %9d %4d %4d %6.3f %8d %5.2f %5d %5.2f %8d %6d (%d)", p, c.offered, c.onTime, c.atReturn, c.late, c.lost, c.served(),
			c.refusals, share(c.quick, c.refusals), c.firstRefused, share(c.firstQuick, c.firstRefused), (c.expected / n).Milliseconds(), (c.waited / n).Milliseconds(), c.asked)
	}
	t.Log(b.String())
}

// playInstance is one instance. busyAt is its number of streams at each snapshot.
type playInstance struct {
	c             *Controller
	waiting       []*playCaller
	busy          int
	busyAt        []int
	recent        float64
	gone, informs bool
}

// playStream is a stream at an engine.
type playStream struct {
	since, end time.Time
	in         *playInstance
}

// playReports are the reports of all instances as of a time.
type playReports struct {
	at     time.Time
	queues []Queue
	rates  []float64
}

// player is the state of a play.
type player struct {
	scenario
	o          *outcome
	now, start time.Time
	// arrivals draws the same new callers in all plays of a load, random everything else.
	arrivals, random *rand.Rand
	in               []*playInstance
	streams          []playStream
	free, ids        int
	snapshots        [][10]float64
	returning        map[int64][]*playCaller
	reports          []playReports
	residual         []float64
}

// upperTail returns the share of streams that last longer than a time, in seconds, and, with shift 1,
// their share of the sum of all durations.
func upperTail(seconds, shift float64) float64 {
	z := (math.Log(seconds)-math.Log(playMean)+playSpread*playSpread/2)/playSpread - shift*playSpread
	return math.Erfc(z/math.Sqrt2) / 2
}

// play plays a scenario.
func (s scenario) play() *outcome {
	p := &player{
		scenario: s, o: &outcome{}, now: time.Unix(1_700_000_000, 0), free: s.places, returning: map[int64][]*playCaller{},
		arrivals: rand.New(rand.NewPCG(7, 7)), random: rand.New(rand.NewPCG(8, 8)),
	}
	p.start = p.now.Add(playWarm)
	for i := range s.instances {
		p.in = append(p.in, &playInstance{c: New(uint64(i) + 1), informs: i >= s.silent})
	}
	for at := playTick; at < time.Minute; at += playTick {
		p.residual = append(p.residual, playMean*upperTail(at.Seconds(), 1)/upperTail(at.Seconds(), 0)-at.Seconds())
	}
	busy, available := 0, 0
	for ; p.now.Before(p.start.Add(s.counted + playDrain)); p.now = p.now.Add(playTick) {
		at := p.now.Sub(p.start)
		p.endStreams()
		p.arrive(at)
		if at%playPoll == 0 {
			p.snapshot()
		}
		p.exchange(at)
		for _, i := range p.random.Perm(len(p.in)) {
			p.poll(p.in[i], at, i)
		}
		if at >= 2*time.Second && at < s.counted {
			busy, available = busy+s.places-p.free, available+s.places
		}
	}
	p.o.used = float64(busy) / float64(available)
	return p.o
}

// endStreams frees the places of streams that have ended, and begins each second of the outcome.
func (p *player) endStreams() {
	if p.now.Nanosecond() == 0 {
		p.o.returns, p.o.ended, p.o.freeAtStart = append(p.o.returns, 0), append(p.o.ended, 0), append(p.o.freeAtStart, p.free)
	}
	left := p.streams[:0]
	for _, s := range p.streams {
		if s.end.After(p.now) {
			left = append(left, s)
			continue
		}
		p.free, s.in.busy = p.free+1, s.in.busy-1
		p.o.ended[len(p.o.ended)-1]++
	}
	p.streams = left
}

// arrive lets new and returning callers arrive.
func (p *player) arrive(at time.Duration) {
	load := 0.7
	if at >= 0 {
		load = p.load(at)
	}
	none := math.Exp(-load * float64(p.places) / playMean * playTick.Seconds())
	for n := p.arrivals.Float64(); n > none; n *= p.arrivals.Float64() {
		class, pick := 0, p.arrivals.Float64()
		for ; pick >= playClasses[class].share && class < 2; class++ {
			pick -= playClasses[class].share
		}
		c := &playCaller{class: class, arrived: p.now, deadline: p.now.Add(playTimeout), counted: at >= 0 && at < p.counted}
		c.hold = time.Duration(playMean * math.Exp(playSpread*p.arrivals.NormFloat64()-playSpread*playSpread/2) * float64(time.Second))
		if c.counted {
			p.o.class[class].offered++
		}
		p.enter(c)
	}
	for _, c := range p.returning[p.now.UnixNano()] {
		p.o.returns[len(p.o.returns)-1]++
		c.arrived, c.decided, c.returned = p.now, time.Time{}, true
		p.enter(c)
	}
	delete(p.returning, p.now.UnixNano())
}

// enter adds a caller to the queue of a random live instance.
func (p *player) enter(c *playCaller) {
	in := p.in[p.random.IntN(len(p.in))]
	for in.gone {
		in = p.in[p.random.IntN(len(p.in))]
	}
	p.ids++
	in.recent++
	c.w = in.c.Enter(p.now, Request{
		Service: "s", ID: fmt.Sprint("play-", p.ids), Priority: c.class, Arrived: c.arrived, Deadline: c.deadline, Timeout: playTimeout,
		Objective: playClasses[c.class].objective,
	})
	in.waiting = append(in.waiting, c)
}

// snapshot records the free places and the expected ends, which the scheduler takes from the number
// of streams and their mean duration.
func (p *player) snapshot() {
	var places [10]float64
	for i := range places {
		places[i] = float64(p.free) + 0.3*float64(i)*float64(len(p.streams))/playMean
	}
	p.snapshots = append(p.snapshots, places)
	for _, in := range p.in {
		in.busyAt = append(in.busyAt, in.busy)
	}
}

// supply returns what an instance's scheduler knows: the places as of the age of its information, and
// its own streams as of now.
func (p *player) supply(in *playInstance) Supply {
	age := p.age
	if p.hubDies > 0 {
		age += max(0, p.now.Sub(p.start)-p.hubDies)
	}
	at := max(0, len(p.snapshots)-1-int(age/playPoll))
	s := Supply{Step: 300 * time.Millisecond, Rate: float64(p.places) / playMean}
	for _, n := range p.snapshots[at] {
		s.Places = append(s.Places, math.Max(0, n-float64(in.busy-in.busyAt[at])))
	}
	return s
}

// exchange takes the reports of which the sums are made, and hands out those that have reached the age.
func (p *player) exchange(at time.Duration) {
	for _, in := range p.in {
		in.recent *= math.Exp2(-playTick.Seconds() / 2)
	}
	if p.noSums || p.hubDies > 0 && at >= p.hubDies {
		return
	}
	if at%(300*time.Millisecond) == 0 {
		made := playReports{at: p.now, queues: make([]Queue, len(p.in))}
		for i, in := range p.in {
			made.rates = append(made.rates, in.recent*math.Ln2/2)
			if in.informs && !in.gone {
				made.queues[i] = in.c.Report(p.now)["s"]
			}
		}
		p.reports = append(p.reports, made)
	}
	if len(p.reports) == 0 || p.now.Sub(p.reports[0].at) < p.age {
		return
	}
	sum, rate, made := Queue{}, 0.0, p.reports[0]
	p.reports = p.reports[1:]
	for i, q := range made.queues {
		sum, rate = sum.Plus(q), rate+made.rates[i]
	}
	for i, in := range p.in {
		peers := Peers{Instances: len(p.in), Age: p.age, Rates: map[string]float64{"s": rate - made.rates[i]}}
		if q := sum.Minus(made.queues[i]); !q.Empty() {
			peers.Queues = map[string]Queue{"s": q}
		}
		in.c.SetPeers(p.now, peers)
	}
}

// poll lets an instance place its first requests and decide on those that wait.
func (p *player) poll(in *playInstance, at time.Duration, i int) {
	if p.vanishes > 0 && i == 0 && at >= p.vanishes {
		for _, c := range in.waiting {
			p.lose(c)
		}
		in.waiting, in.gone = nil, true
	}
	due := (at+time.Duration(i)*playTick)%playPoll == 0
	for len(in.waiting) > 0 && (due || in.waiting[len(in.waiting)-1].arrived.Equal(p.now)) && p.placeFirst(in) {
	}
	left := in.waiting[:0]
	for _, c := range in.waiting {
		if (due || c.decided.IsZero()) && p.refused(in, c) {
			p.refuse(in, c)
		} else {
			left = append(left, c)
		}
	}
	in.waiting = left
}

// placeFirst places the first request of an instance, and reports whether it may be placed now.
func (p *player) placeFirst(in *playInstance) bool {
	first := 0
	for !in.waiting[first].w.First() {
		first++
	}
	c := in.waiting[first]
	if !p.plain {
		if hold, held := c.w.Held(p.now, func() bool { return p.free > 0 }); held {
			p.o.held++
			if hold.Age >= 2*time.Second {
				p.o.heldAlone++
			}
			return false
		}
	}
	if p.free == 0 {
		return false
	}
	p.free, in.busy = p.free-1, in.busy+1
	p.streams = append(p.streams, playStream{p.now, p.now.Add(c.hold), in})
	in.waiting = append(in.waiting[:first], in.waiting[first+1:]...)
	stay, t := c.w.Leave(p.now, true), &p.o.class[c.class]
	switch {
	case !c.counted:
		return true
	case c.late(p.now):
		t.late++
	case c.returned:
		t.atReturn++
	default:
		t.onTime++
	}
	if stay.Asked {
		t.asked, t.expected, t.waited = t.asked+1, t.expected+stay.Expected, t.waited+stay.Waited
	}
	return true
}

// refused decides on a request that waits: at once and then every 50 ms.
func (p *player) refused(in *playInstance, c *playCaller) bool {
	if p.plain {
		return c.late(p.now)
	}
	if !c.decided.IsZero() && p.now.Sub(c.decided) < 50*time.Millisecond {
		return false
	}
	c.decided = p.now
	return c.w.Decide(p.now, p.supply(in), playLead).Refuse
}

// refuse refuses a request and has its caller return once.
func (p *player) refuse(in *playInstance, c *playCaller) {
	wait := c.w.PromiseReturn(p.now, p.supply(in))
	c.w.Leave(p.now, false)
	if t := &p.o.class[c.class]; c.counted {
		quick, first := 0, 0
		if p.now.Sub(c.arrived) <= playClasses[c.class].objective/4 {
			quick = 1
		}
		if !c.returned {
			first = 1
		}
		t.refusals, t.quick, t.firstRefused, t.firstQuick = t.refusals+1, t.quick+quick, t.firstRefused+first, t.firstQuick+quick*first
	}
	waiting := 0
	for i := 0; p.free > 0 && i < len(p.in); i++ {
		waiting += p.in[i].c.Waiting("s")
	}
	// The refused request has left its queue.
	if p.free > waiting && !c.late(p.now) {
		p.o.withRoom++
	}
	if c.returned || p.random.Float64() < p.stay {
		p.lose(c)
		return
	}
	at := p.now.Add(max(playTick, wait.Truncate(playTick))).UnixNano()
	p.returning[at] = append(p.returning[at], c)
}

// lose counts a caller that is not served.
func (p *player) lose(c *playCaller) {
	if c.counted {
		p.o.class[c.class].lost++
	}
}
