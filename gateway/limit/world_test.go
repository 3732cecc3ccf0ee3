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

// simulation simulates, in virtual time, the callers of one workspace and a method of enforcing its
// limit, with a number of instances in three zones.
type simulation struct {
	limit  routing.Limit
	random *rand.Rand
	now    time.Time
	// weights holds each instance's weight in the distribution of the requests, total their sum.
	weights []float64
	total   float64
	// zones holds the zone of each instance, isolated whether it can't communicate with the others.
	zones    []int
	isolated []bool
	// partitionedZone is the zone that can't communicate with the others, -1 for none.
	partitionedZone int
	// startedAt is when each instance last started.
	startedAt []time.Time
}

// zoneCount is the number of zones in a simulation.
const zoneCount = 3

// limiter is a method of enforcing the limit of a workspace.
type limiter interface {
	// admit reports whether a request is granted at an instance.
	admit(w *simulation, instance int, cost float64) bool
	// restart clears the state of an instance.
	restart(w *simulation, instance int)
}

// newSimulation returns a simulation of instances that started a minute before it. The requests are
// spread unevenly: a few instances get most of them.
func newSimulation(instances int, seed uint64, l routing.Limit) *simulation {
	w := &simulation{limit: l, random: rand.New(rand.NewPCG(seed, 1)), now: start, partitionedZone: -1}
	for i := range instances {
		w.weights = append(w.weights, math.Exp(1.5*w.random.NormFloat64()))
		w.total += w.weights[i]
		w.zones = append(w.zones, i%zoneCount)
		w.isolated = append(w.isolated, false)
		w.startedAt = append(w.startedAt, start.Add(-time.Minute))
	}
	return w
}

// reaches reports whether two instances can communicate.
func (w *simulation) reaches(from, to int) bool {
	if from == to {
		return true
	}
	return !w.isolated[from] && !w.isolated[to] && (w.zones[from] == w.zones[to] || w.partitionedZone != w.zones[from] && w.partitionedZone != w.zones[to])
}

// drawInstance draws an instance according to the weights.
func (w *simulation) drawInstance() int {
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
func (w *simulation) cost() float64 {
	if w.random.Float64() < 0.85 {
		return 200
	}
	return 4000 + 10000*w.random.Float64()
}

// meanCost is the mean of cost.
const meanCost = 0.85*200 + 0.15*9000

// outcome sums up a simulation, in tokens.
type outcome struct {
	// offered is the cost of all requests, admitted that of the granted ones, and baseline that of
	// the requests that a single bucket for all instances would have granted.
	offered, admitted, baseline float64
	// refusedBelowLimit is the cost of the refused requests that a single bucket would have granted.
	refusedBelowLimit float64
	// largestWindow is the largest cost that ran in any window, relative to what the limit allows without
	// excess and slack; excess is the number of tokens by which the requirement was exceeded.
	largestWindow, excess float64
}

// simulate runs the simulation for the given time. demand is the rate of requested tokens as a
// multiple of the limit, pick chooses the instance of each request, and step is called at each
// step and may change the simulation.
func (w *simulation) simulate(lim limiter, demand float64, duration time.Duration, pick func() int, step func(since time.Duration)) outcome {
	const tick = 5 * time.Millisecond
	var out outcome
	var ran []grantedRequest
	var single tokenbucket.Bucket
	for since := time.Duration(0); since < duration; since += tick {
		w.now = start.Add(since)
		step(since)
		single.Fill(w.now, w.limit.Rate, w.limit.Burst, w.limit.Burst)
		for n := w.poisson(demand * w.limit.Rate / meanCost * tick.Seconds()); n > 0; n-- {
			i, cost := pick(), w.cost()
			out.offered += cost
			baselineGrants := single.Tokens >= min(cost, w.limit.Burst)
			if baselineGrants {
				single.Tokens -= cost
				out.baseline += cost
			}
			switch {
			case lim.admit(w, i, cost):
				out.admitted += cost
				ran = append(ran, grantedRequest{w.now, cost})
			case baselineGrants:
				out.refusedBelowLimit += cost
			}
		}
	}
	out.largestWindow, out.excess = w.largestWindow(ran)
	return out
}

// grantedRequest is the time and cost of a request that ran.
type grantedRequest struct {
	at   time.Time
	cost float64
}

// largestWindow finds the window in which the most tokens ran. Its results are described at the
// fields of outcome.
func (w *simulation) largestWindow(ran []grantedRequest) (largest, excess float64) {
	inWindow, first := 0.0, 0
	allowed := w.limit.Rate*ruleWindow.Seconds() + w.limit.Burst
	for _, r := range ran {
		inWindow += r.cost
		for ; r.at.Sub(ran[first].at) >= ruleWindow; first++ {
			inWindow -= ran[first].cost
		}
		largest = max(largest, inWindow/allowed)
		excess = max(excess, inWindow-allowed*(1+ruleExcess)-ruleSlack)
	}
	return largest, excess
}

// poisson draws from a Poisson distribution.
func (w *simulation) poisson(mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for {
		if p *= w.random.Float64(); p <= bound {
			return n
		}
		n++
	}
}

// ownerLimiter is the method that instances use: the code of this package. Messages to owners are
// answered at once or not at all. An instance skips an owner that doesn't answer.
type ownerLimiter struct {
	clients  []*Client
	accounts []*Accounts
}

// newOwnerLimiter returns an ownerLimiter for the instances of a simulation.
func newOwnerLimiter(w *simulation) *ownerLimiter {
	k := &ownerLimiter{}
	for i := range w.zones {
		k.clients = append(k.clients, NewClient())
		k.accounts = append(k.accounts, NewAccounts(w.startedAt[i]))
	}
	return k
}

func (k *ownerLimiter) restart(w *simulation, i int) {
	k.clients[i], k.accounts[i] = NewClient(), NewAccounts(w.now)
}

// ownerOf returns the first instance of a zone that the given instance reaches, -1 for none. An
// isolated instance knows that it is isolated and doesn't act as an owner.
func (k *ownerLimiter) ownerOf(w *simulation, from, zone int) int {
	if w.isolated[from] {
		return -1
	}
	for i := range w.zones {
		if w.zones[i] == zone && w.reaches(from, i) {
			return i
		}
	}
	return -1
}

func (k *ownerLimiter) admit(w *simulation, i int, cost float64) bool {
	c := k.clients[i]
	if granted, _, ok := c.Decide(w.now, "w", cost); ok {
		return granted
	}
	share := ShareOf(w.limit, zoneCount)
	owner := k.ownerOf(w, i, w.zones[i])
	if owner < 0 {
		n := float64((len(w.zones) + zoneCount - 1) / zoneCount)
		return c.DecideLocally(w.now, "w", cost, Share{Rate: share.Rate / n, Burst: share.Burst / n})
	}
	name := Owner{ID: ident.InstanceID(fmt.Sprint(owner)), Incarnation: ident.NewIncarnation(w.startedAt[owner])}
	q := c.NewRequest(w.now, "w", cost, name)
	q.Share, q.Version = share, 1
	a := k.accounts[owner].Take(w.now, q)
	if !a.Granted {
		k.borrow(w, owner, q, a)
		q.Returned, q.LastReport = 0, nil
		a = k.accounts[owner].Take(w.now, q)
	}
	if a.Granted && a.Balance < share.Burst/2 {
		k.borrow(w, owner, q, Response{Balance: a.Balance})
	}
	wait := time.Duration(0)
	if !a.Granted {
		wait = k.accounts[owner].RetryAfter(w.now, "w", cost)
	}
	c.RecordResponse(w.now, "w", cost, name, a, wait)
	return a.Granted
}

// borrow moves tokens from the accounts of other zones to that of the owner's zone.
func (k *ownerLimiter) borrow(w *simulation, owner int, q Request, refusal Response) {
	for zone := range zoneCount {
		from := k.ownerOf(w, owner, zone)
		if zone == w.zones[owner] || from < 0 {
			continue
		}
		loan := Request{Workspace: "w", Share: q.Share, Version: 1, Cost: refusal.Missing / (zoneCount - 1)}
		k.accounts[owner].AddBorrowed("w", k.accounts[from].Lend(w.now, loan, refusal.Balance))
	}
}

// equalShareLimiter gives each instance an equal share of the limit. A request is granted only if the
// bucket holds its whole cost, up to the burst.
type equalShareLimiter struct{ buckets []tokenbucket.Bucket }

func (p *equalShareLimiter) restart(_ *simulation, i int) { p.buckets[i] = tokenbucket.Bucket{} }

func (p *equalShareLimiter) admit(w *simulation, i int, cost float64) bool {
	n := float64(len(w.zones))
	b := &p.buckets[i]
	b.Fill(w.now, w.limit.Rate/n, w.limit.Burst/n, w.limit.Burst/n)
	if b.Tokens < min(cost, w.limit.Burst/n) {
		return false
	}
	b.Tokens -= cost
	return true
}

// loadSumLimiter gives each instance a bucket for the whole limit, from which it deducts what the other
// instances report to have granted. The reports arrive with a delay of reportDelay.
type loadSumLimiter struct {
	buckets []tokenbucket.Bucket
	// grants holds the granted requests with the time at which other instances learn of them, and
	// grantedBy the instance that granted each.
	grants    []grantedRequest
	grantedBy []int
	// processed is the number of these that each instance has processed.
	processed []int
}

// reportDelay is the age of the sums of loads when instances receive them through hubs.
const reportDelay = 600 * time.Millisecond

func (s *loadSumLimiter) restart(_ *simulation, i int) {
	s.buckets[i], s.processed[i] = tokenbucket.Bucket{}, len(s.grants)
}

func (s *loadSumLimiter) admit(w *simulation, i int, cost float64) bool {
	b := &s.buckets[i]
	for ; s.processed[i] < len(s.grants) && !s.grants[s.processed[i]].at.After(w.now); s.processed[i]++ {
		if o := s.grantedBy[s.processed[i]]; o != i && w.reaches(i, o) {
			b.Fill(s.grants[s.processed[i]].at, w.limit.Rate, w.limit.Burst, w.limit.Burst)
			b.Tokens -= s.grants[s.processed[i]].cost
		}
	}
	b.Fill(w.now, w.limit.Rate, w.limit.Burst, w.limit.Burst)
	if b.Tokens < min(cost, w.limit.Burst) {
		return false
	}
	b.Tokens -= cost
	s.grants = append(s.grants, grantedRequest{w.now.Add(reportDelay), cost})
	s.grantedBy = append(s.grantedBy, i)
	return true
}

// limiters holds a constructor for each method.
var limiters = map[string]func(w *simulation) limiter{
	"keepers": func(w *simulation) limiter { return newOwnerLimiter(w) },
	"equal shares": func(w *simulation) limiter {
		return &equalShareLimiter{buckets: make([]tokenbucket.Bucket, len(w.zones))}
	},
	"sums": func(w *simulation) limiter {
		return &loadSumLimiter{buckets: make([]tokenbucket.Bucket, len(w.zones)), processed: make([]int, len(w.zones))}
	},
}

// smallestLimit is the smallest limit of the users' workspaces. Some requests cost half of its burst.
var smallestLimit = routing.Limit{Rate: 29000, Burst: 29000, Unit: routing.Tokens, DefaultCost: 200}

// usualLimit is the limit of one of the users' larger workspaces.
var usualLimit = routing.Limit{Rate: 110000, Burst: 110000, Unit: routing.Tokens, DefaultCost: 200}

// fleetSizes are the numbers of instances that are tested.
var fleetSizes = []int{7, 60, 295, 409}

// TestBelowTheLimitNothingIsRefused checks that a workspace that requests 55% of its limit, mostly
// at a few instances, loses at most a thousandth of the tokens that a single bucket for all
// instances would grant. Where single requests cost half of the burst, a single bucket also
// refuses some requests, but not the same ones; there only the sums of granted tokens are
// compared.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, n := range fleetSizes {
		for name, l := range map[string]routing.Limit{"smallest": smallestLimit, "usual": usualLimit} {
			for method, newLimiter := range limiters {
				var all outcome
				for seed := range uint64(5) {
					w := newSimulation(n, seed, l)
					out := w.simulate(newLimiter(w), 0.55, 60*time.Second, w.drawInstance, func(time.Duration) {})
					all.offered, all.refusedBelowLimit, all.baseline, all.admitted = all.offered+out.offered, all.refusedBelowLimit+out.refusedBelowLimit, all.baseline+out.baseline, all.admitted+out.admitted
				}
				lost := (all.baseline - all.admitted) / all.baseline
				t.Logf("%3d instances, %s, %s: share refused below the limit %.4f, share lost %.4f", n, name, method, all.refusedBelowLimit/all.baseline, lost)
				if method == "keepers" {
					assert.Check(t, lost <= 0.001, "%d %s", n, name)
					assert.Check(t, all.baseline < all.offered || all.refusedBelowLimit <= 0.001*all.baseline, "%d %s", n, name)
				}
			}
		}
	}
}

// scenario is a distribution of the requests over instances, or a fault of the fleet, while a
// workspace requests eight times its limit.
type scenario struct {
	name string
	// pick returns the function that chooses the instance of each request; nil for any.
	pick func(w *simulation) func() int
	// step injects the fault; nil for none.
	step func(w *simulation, lim limiter, since time.Duration)
}

// atStep calls do in the one step, of 5 ms, that begins at the given time.
func atStep(at time.Duration, since time.Duration, do func()) {
	if since >= at && since < at+5*time.Millisecond {
		do()
	}
}

// scenarios are the scenarios of TestEightTimesTheLimit.
var scenarios = []scenario{
	{name: "all instances"},
	{name: "one instance", pick: func(*simulation) func() int { return func() int { return 4 } }},
	{name: "one zone", pick: func(w *simulation) func() int {
		return func() int {
			for {
				if i := w.drawInstance(); w.zones[i] == 1 {
					return i
				}
			}
		}
	}},
	{name: "zone partitioned", step: func(w *simulation, _ limiter, since time.Duration) {
		atStep(10*time.Second, since, func() { w.partitionedZone = 1 })
		atStep(20*time.Second, since, func() { w.partitionedZone = -1 })
	}},
	{name: "a third isolated", step: func(w *simulation, _ limiter, since time.Duration) {
		atStep(10*time.Second, since, func() {
			for i := range w.isolated {
				w.isolated[i] = w.random.Float64() < 0.33
			}
		})
		atStep(20*time.Second, since, func() { clear(w.isolated) })
	}},
	{name: "all killed", step: func(w *simulation, lim limiter, since time.Duration) {
		atStep(10*time.Second, since, func() {
			for i := range w.zones {
				w.startedAt[i] = w.now
				lim.restart(w, i)
			}
		})
	}},
	{name: "all killed twice, zone partitioned", step: func(w *simulation, lim limiter, since time.Duration) {
		for _, at := range []time.Duration{10 * time.Second, 13 * time.Second} {
			atStep(at, since, func() {
				w.partitionedZone = 2
				for i := range w.zones {
					w.startedAt[i] = w.now
					lim.restart(w, i)
				}
			})
		}
	}},
	{name: "two thirds killed", step: func(w *simulation, lim limiter, since time.Duration) {
		atStep(10*time.Second, since, func() {
			for i := range w.zones {
				if i%9 < 6 {
					w.startedAt[i] = w.now
					lim.restart(w, i)
				}
			}
		})
	}},
	{name: "first owners paused", step: func(w *simulation, _ limiter, since time.Duration) {
		atStep(10*time.Second, since, func() { w.isolated[0], w.isolated[1], w.isolated[2] = true, true, true })
		atStep(14*time.Second, since, func() { clear(w.isolated) })
	}},
}

// TestEightTimesTheLimit checks, for each fault, that the requests that run in any window stay
// within the users' requirement, and within the limit and ruleExcess without the slack.
func TestEightTimesTheLimit(t *testing.T) {
	for _, n := range fleetSizes {
		for _, l := range []routing.Limit{smallestLimit, usualLimit} {
			for _, sc := range scenarios {
				for method, newLimiter := range limiters {
					largest, excess := 0.0, 0.0
					for seed := range uint64(3) {
						w := newSimulation(n, seed, l)
						lim := newLimiter(w)
						pick := w.drawInstance
						if sc.pick != nil {
							pick = sc.pick(w)
						}
						out := w.simulate(lim, 8, 30*time.Second, pick, func(since time.Duration) {
							if sc.step != nil {
								sc.step(w, lim, since)
							}
						})
						largest, excess = max(largest, out.largestWindow), max(excess, out.excess)
					}
					t.Logf("%3d instances, rate %.0f, %s, %s: largest window %.2f of the limit, %.0f tokens over the requirement", n, l.Rate, sc.name, method, largest, excess)
					if method == "keepers" {
						assert.Check(t, excess <= 0, "%d %.0f %s: %.0f", n, l.Rate, sc.name, excess)
						assert.Check(t, largest <= 1+ruleExcess, "%d %.0f %s: %.2f", n, l.Rate, sc.name, largest)
					}
				}
			}
		}
	}
}
