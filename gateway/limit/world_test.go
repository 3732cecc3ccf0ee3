package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/tokenbucket"
)

// The users' requirement for a limit: the cost of the requests that run in any window of
// ruleWindow must not exceed (rate x window + burst) x (1 + excess) + slack.
const (
	ruleWindow = 8 * time.Second
	ruleExcess = 0.25
	ruleSlack  = 120000
)

// world simulates, in virtual time, the callers of one workspace and a method of enforcing its
// limit, with a number of instances in three zones.
type world struct {
	limit  routing.Limit
	random *rand.Rand
	now    time.Time
	// weights holds each instance's weight in the distribution of the requests, total their sum.
	weights []float64
	total   float64
	// zones holds the zone of each instance, deaf whether it can't communicate with the others.
	zones []int
	deaf  []bool
	// cut is the zone that can't communicate with the others, -1 for none.
	cut int
	// born is when each instance last started.
	born []time.Time
}

const worldZones = 3

// way is a method of enforcing the limit of a workspace.
type way interface {
	// admit reports whether a request is granted at an instance.
	admit(w *world, instance int, cost float64) bool
	// restart clears the state of an instance.
	restart(w *world, instance int)
}

// newWorld returns a simulation of instances that started a minute before it. The requests are
// spread unevenly: a few instances get most of them.
func newWorld(instances int, seed uint64, l routing.Limit) *world {
	w := &world{limit: l, random: rand.New(rand.NewPCG(seed, 1)), now: start, cut: -1}
	for i := range instances {
		w.weights = append(w.weights, math.Exp(1.5*w.random.NormFloat64()))
		w.total += w.weights[i]
		w.zones = append(w.zones, i%worldZones)
		w.deaf = append(w.deaf, false)
		w.born = append(w.born, start.Add(-time.Minute))
	}
	return w
}

// reaches reports whether two instances can communicate.
func (w *world) reaches(from, to int) bool {
	if from == to {
		return true
	}
	return !w.deaf[from] && !w.deaf[to] && (w.zones[from] == w.zones[to] || w.cut != w.zones[from] && w.cut != w.zones[to])
}

// any draws an instance according to the weights.
func (w *world) any() int {
	at := w.random.Float64() * w.total
	for i, weight := range w.weights {
		if at -= weight; at < 0 {
			return i
		}
	}
	return len(w.weights) - 1
}

// cost draws the cost of a request: 85% cost 200 tokens, the others are streams of 4,000 to
// 14,000 tokens.
func (w *world) cost() float64 {
	if w.random.Float64() < 0.85 {
		return 200
	}
	return 4000 + 10000*w.random.Float64()
}

// meanCost is the mean of cost.
const meanCost = 0.85*200 + 0.15*9000

// outcome sums up a simulation, in tokens.
type outcome struct {
	// offered is the cost of all requests, admitted that of the granted ones, and owed that of
	// the requests that a single bucket for all instances would have granted.
	offered, admitted, owed float64
	// below is the cost of the refused requests that a single bucket would have granted.
	below float64
	// most is the largest cost that ran in any window, relative to what the limit allows without
	// excess and slack; over is by how many tokens the requirement was exceeded.
	most, over float64
}

// play runs the simulation for the given time. demand is the rate of requested tokens as a
// multiple of the limit, pick chooses the instance of each request, and step is called at each
// step and may change the simulation.
func (w *world) play(by way, demand float64, lasts time.Duration, pick func() int, step func(since time.Duration)) outcome {
	const tick = 5 * time.Millisecond
	var out outcome
	var ran []run
	var one tokenbucket.Bucket
	for since := time.Duration(0); since < lasts; since += tick {
		w.now = start.Add(since)
		step(since)
		one.Fill(w.now, w.limit.Rate, w.limit.Burst, w.limit.Burst)
		for n := w.poisson(demand * w.limit.Rate / meanCost * tick.Seconds()); n > 0; n-- {
			i, cost := pick(), w.cost()
			out.offered += cost
			owed := one.Tokens >= min(cost, w.limit.Burst)
			if owed {
				one.Tokens -= cost
				out.owed += cost
			}
			switch {
			case by.admit(w, i, cost):
				out.admitted += cost
				ran = append(ran, run{w.now, cost})
			case owed:
				out.below += cost
			}
		}
	}
	out.most, out.over = w.judge(ran)
	return out
}

// run is the time and cost of a request that ran.
type run struct {
	at   time.Time
	cost float64
}

// judge finds the window with the largest cost; see outcome for the results.
func (w *world) judge(ran []run) (most, over float64) {
	inWindow, first := 0.0, 0
	plain := w.limit.Rate*ruleWindow.Seconds() + w.limit.Burst
	for _, r := range ran {
		inWindow += r.cost
		for ; r.at.Sub(ran[first].at) >= ruleWindow; first++ {
			inWindow -= ran[first].cost
		}
		most = max(most, inWindow/plain)
		over = max(over, inWindow-plain*(1+ruleExcess)-ruleSlack)
	}
	return most, over
}

// poisson draws from a Poisson distribution.
func (w *world) poisson(mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for {
		if p *= w.random.Float64(); p <= bound {
			return n
		}
		n++
	}
}

// byKeepers is the method that instances use: the code of this package. Messages to owners are
// answered at once or not at all. An instance skips an owner that doesn't answer.
type byKeepers struct {
	clients  []*Client
	accounts []*Accounts
}

func newByKeepers(w *world) *byKeepers {
	k := &byKeepers{}
	for i := range w.zones {
		k.clients = append(k.clients, NewClient())
		k.accounts = append(k.accounts, NewAccounts(w.born[i]))
	}
	return k
}

func (k *byKeepers) restart(w *world, i int) {
	k.clients[i], k.accounts[i] = NewClient(), NewAccounts(w.now)
}

// keeperOf returns the first instance of a zone that the given instance reaches, -1 for none. An
// isolated instance knows that it is isolated and doesn't act as an owner.
func (k *byKeepers) keeperOf(w *world, from, zone int) int {
	if w.deaf[from] {
		return -1
	}
	for i := range w.zones {
		if w.zones[i] == zone && w.reaches(from, i) {
			return i
		}
	}
	return -1
}

func (k *byKeepers) admit(w *world, i int, cost float64) bool {
	c := k.clients[i]
	if granted, _, ok := c.Decide(w.now, "w", cost); ok {
		return granted
	}
	part := PartOf(w.limit, worldZones)
	keeper := k.keeperOf(w, i, w.zones[i])
	if keeper < 0 {
		n := float64((len(w.zones) + worldZones - 1) / worldZones)
		return c.Alone(w.now, "w", cost, Part{Rate: part.Rate / n, Burst: part.Burst / n})
	}
	name := Keeper{ID: ident.InstanceID(fmt.Sprint(keeper)), Incarnation: ident.NewIncarnation(w.born[keeper])}
	q := c.Ask(w.now, "w", cost, name)
	q.Part, q.Version = part, 1
	a := k.accounts[keeper].Take(w.now, q)
	if !a.Granted {
		k.borrow(w, keeper, q, a)
		q.Back, q.Told = 0, nil
		a = k.accounts[keeper].Take(w.now, q)
	}
	if a.Granted && a.Level < part.Burst/2 {
		k.borrow(w, keeper, q, Answer{Level: a.Level})
	}
	wait := time.Duration(0)
	if !a.Granted {
		wait = k.accounts[keeper].Refuse(w.now, "w", cost)
	}
	c.Answered(w.now, "w", cost, name, a, wait)
	return a.Granted
}

// borrow moves tokens from the accounts of other zones to that of the owner's zone.
func (k *byKeepers) borrow(w *world, keeper int, q Ask, short Answer) {
	for zone := range worldZones {
		from := k.keeperOf(w, keeper, zone)
		if zone == w.zones[keeper] || from < 0 {
			continue
		}
		loan := Ask{Workspace: "w", Part: q.Part, Version: 1, Cost: short.Short / (worldZones - 1)}
		k.accounts[keeper].Borrowed("w", k.accounts[from].Lend(w.now, loan, short.Level))
	}
}

// byEqualParts gives each instance an equal share of the limit. A request is granted only if the
// bucket holds its whole cost, up to the burst.
type byEqualParts struct{ buckets []tokenbucket.Bucket }

func (p *byEqualParts) restart(_ *world, i int) { p.buckets[i] = tokenbucket.Bucket{} }

func (p *byEqualParts) admit(w *world, i int, cost float64) bool {
	n := float64(len(w.zones))
	b := &p.buckets[i]
	b.Fill(w.now, w.limit.Rate/n, w.limit.Burst/n, w.limit.Burst/n)
	if b.Tokens < min(cost, w.limit.Burst/n) {
		return false
	}
	b.Tokens -= cost
	return true
}

// bySums gives each instance a bucket for the whole limit, from which it deducts what the other
// instances report to have granted. The reports arrive with a delay of newsAge.
type bySums struct {
	buckets []tokenbucket.Bucket
	// said holds the granted requests with the time at which other instances learn of them, and
	// by the instance that granted each.
	said []run
	by   []int
	// heard is the number of these that each instance has processed.
	heard []int
}

// newsAge is the age of the sums of loads when instances receive them through hubs.
const newsAge = 600 * time.Millisecond

func (s *bySums) restart(_ *world, i int) {
	s.buckets[i], s.heard[i] = tokenbucket.Bucket{}, len(s.said)
}

func (s *bySums) admit(w *world, i int, cost float64) bool {
	b := &s.buckets[i]
	for ; s.heard[i] < len(s.said) && !s.said[s.heard[i]].at.After(w.now); s.heard[i]++ {
		if o := s.by[s.heard[i]]; o != i && w.reaches(i, o) {
			b.Fill(s.said[s.heard[i]].at, w.limit.Rate, w.limit.Burst, w.limit.Burst)
			b.Tokens -= s.said[s.heard[i]].cost
		}
	}
	b.Fill(w.now, w.limit.Rate, w.limit.Burst, w.limit.Burst)
	if b.Tokens < min(cost, w.limit.Burst) {
		return false
	}
	b.Tokens -= cost
	s.said = append(s.said, run{w.now.Add(newsAge), cost})
	s.by = append(s.by, i)
	return true
}

// ways returns a new limiter of each method.
var ways = map[string]func(w *world) way{
	"keepers":     func(w *world) way { return newByKeepers(w) },
	"equal parts": func(w *world) way { return &byEqualParts{buckets: make([]tokenbucket.Bucket, len(w.zones))} },
	"sums": func(w *world) way {
		return &bySums{buckets: make([]tokenbucket.Bucket, len(w.zones)), heard: make([]int, len(w.zones))}
	},
}

// smallest is the smallest limit of the users' workspaces. Some requests cost half of its burst.
var smallest = routing.Limit{Rate: 29000, Burst: 29000, Unit: routing.Tokens, Plain: 200}

// usual is the limit of one of the users' larger workspaces.
var usual = routing.Limit{Rate: 110000, Burst: 110000, Unit: routing.Tokens, Plain: 200}

// sizes are the numbers of instances that are tested.
var sizes = []int{7, 60, 295, 409}

// TestBelowTheLimitNothingIsRefused checks that a workspace that requests 55% of its limit, mostly
// at a few instances, loses at most a thousandth of the tokens that a single bucket for all
// instances would grant. Where single requests cost half of the burst, a single bucket also
// refuses some requests, but not the same ones; there only the sums of granted tokens are
// compared.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, n := range sizes {
		for name, l := range map[string]routing.Limit{"smallest": smallest, "usual": usual} {
			for what, make := range ways {
				var all outcome
				for seed := range uint64(5) {
					w := newWorld(n, seed, l)
					out := w.play(make(w), 0.55, 60*time.Second, w.any, func(time.Duration) {})
					all.offered, all.below, all.owed, all.admitted = all.offered+out.offered, all.below+out.below, all.owed+out.owed, all.admitted+out.admitted
				}
				lost := (all.owed - all.admitted) / all.owed
				t.Logf("%3d instances, %s, %s: share refused below the limit %.4f, share lost %.4f", n, name, what, all.below/all.owed, lost)
				if what == "keepers" {
					assert.Check(t, lost <= 0.001, "%d %s", n, name)
					assert.Check(t, all.owed < all.offered || all.below <= 0.001*all.owed, "%d %s", n, name)
				}
			}
		}
	}
}

// trouble is a distribution of the requests over instances, or a fault of the fleet, while a
// workspace requests eight times its limit.
type trouble struct {
	name string
	// pick returns the function that chooses the instance of each request; nil for any.
	pick func(w *world) func() int
	// step injects the fault; nil for none.
	step func(w *world, by way, since time.Duration)
}

// once calls do in the one step, of 5 ms, that begins at the given time.
func once(at time.Duration, since time.Duration, do func()) {
	if since >= at && since < at+5*time.Millisecond {
		do()
	}
}

var troubles = []trouble{
	{name: "all instances"},
	{name: "one instance", pick: func(*world) func() int { return func() int { return 4 } }},
	{name: "one zone", pick: func(w *world) func() int {
		return func() int {
			for {
				if i := w.any(); w.zones[i] == 1 {
					return i
				}
			}
		}
	}},
	{name: "zone cut off", step: func(w *world, _ way, since time.Duration) {
		once(10*time.Second, since, func() { w.cut = 1 })
		once(20*time.Second, since, func() { w.cut = -1 })
	}},
	{name: "a third isolated", step: func(w *world, _ way, since time.Duration) {
		once(10*time.Second, since, func() {
			for i := range w.deaf {
				w.deaf[i] = w.random.Float64() < 0.33
			}
		})
		once(20*time.Second, since, func() { clear(w.deaf) })
	}},
	{name: "all killed", step: func(w *world, by way, since time.Duration) {
		once(10*time.Second, since, func() {
			for i := range w.zones {
				w.born[i] = w.now
				by.restart(w, i)
			}
		})
	}},
	{name: "all killed twice, zone cut off", step: func(w *world, by way, since time.Duration) {
		for _, at := range []time.Duration{10 * time.Second, 13 * time.Second} {
			once(at, since, func() {
				w.cut = 2
				for i := range w.zones {
					w.born[i] = w.now
					by.restart(w, i)
				}
			})
		}
	}},
	{name: "two thirds killed", step: func(w *world, by way, since time.Duration) {
		once(10*time.Second, since, func() {
			for i := range w.zones {
				if i%9 < 6 {
					w.born[i] = w.now
					by.restart(w, i)
				}
			}
		})
	}},
	{name: "first owners paused", step: func(w *world, _ way, since time.Duration) {
		once(10*time.Second, since, func() { w.deaf[0], w.deaf[1], w.deaf[2] = true, true, true })
		once(14*time.Second, since, func() { clear(w.deaf) })
	}},
}

// TestEightTimesTheLimit checks, for each fault, that the requests that run in any window stay
// within the users' requirement, and within the limit and ruleExcess without the slack.
func TestEightTimesTheLimit(t *testing.T) {
	for _, n := range sizes {
		for _, l := range []routing.Limit{smallest, usual} {
			for _, trouble := range troubles {
				for what, make := range ways {
					most, over := 0.0, 0.0
					for seed := range uint64(3) {
						w := newWorld(n, seed, l)
						by := make(w)
						pick := w.any
						if trouble.pick != nil {
							pick = trouble.pick(w)
						}
						out := w.play(by, 8, 30*time.Second, pick, func(since time.Duration) {
							if trouble.step != nil {
								trouble.step(w, by, since)
							}
						})
						most, over = max(most, out.most), max(over, out.over)
					}
					t.Logf("%3d instances, rate %.0f, %s, %s: largest window %.2f of the limit, %.0f tokens over the requirement", n, l.Rate, trouble.name, what, most, over)
					if what == "keepers" {
						assert.Check(t, over <= 0, "%d %.0f %s: %.0f", n, l.Rate, trouble.name, over)
						assert.Check(t, most <= 1+ruleExcess, "%d %.0f %s: %.2f", n, l.Rate, trouble.name, most)
					}
				}
			}
		}
	}
}
