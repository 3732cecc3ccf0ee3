package orders

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

var testStart = time.UnixMilli(1764684000000)

// loadDuration is the time that a fake engine takes to load a placement.
const loadDuration = 10 * time.Second

// fakeEngine simulates an engine that checks fencing numbers or ignores them.
type fakeEngine struct {
	state         Observation
	checksFencing bool
	loadedAt      time.Time
	loads         int
}

// execute executes an order. If the order is refused, it returns the engine's
// higher fencing number, otherwise 0.
func (e *fakeEngine) execute(now time.Time, o Order) (refused uint64) {
	if e.checksFencing && o.Fence < e.state.Highest {
		return e.state.Highest
	}
	if e.checksFencing {
		e.state.Highest = max(e.state.Highest, o.Fence)
	}
	target := e.state.Placement
	if e.state.Loading != nil {
		target = *e.state.Loading
	}
	if !target.Equal(o.Placement) {
		e.state.Loading, e.loadedAt = &o.Placement, now.Add(loadDuration)
		e.loads++
	}
	return 0
}

// finishLoad completes a load whose time has passed.
func (e *fakeEngine) finishLoad(now time.Time) {
	if e.state.Loading != nil && !now.Before(e.loadedAt) {
		e.state.Placement, e.state.Loading = *e.state.Loading, nil
	}
}

// agent is an instance's planner with the bundle version in force there.
type agent struct {
	self    kernel.Self
	planner *Planner
	version uint64
	paused  bool
	cut     bool
	// delayedOrder is an order that was about to be sent when the agent was paused.
	delayedOrder *Order
}

// zone simulates the agents and engines of an availability zone.
type zone struct {
	now     time.Time
	view    *kernel.View
	agents  []*agent
	engines map[ident.UpstreamID]*fakeEngine
	records []Record
	hints   int
	// maxLoading is the highest number of engines that loaded at the same time.
	maxLoading int
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprintf("d%d", i)) }

// bundleOf returns a bundle that declares the model of the version on all
// engines. checksFencing says which of them check fencing numbers.
func bundleOf(version uint64, engines int, checksFencing func(i int) bool) *config.Content {
	c := &config.Content{}
	for i := range engines {
		c.Upstreams = append(c.Upstreams, config.Upstream{
			ID: engineID(i), Role: config.RoleDecode, Models: []string{fmt.Sprint("model-", version)}, Version: "1",
			ChecksFencing: checksFencing(i),
		})
	}
	return c
}

func newZone(agents, engines int, checksFencing func(i int) bool) *zone {
	z := &zone{now: testStart, view: &kernel.View{Trusted: true}, engines: map[ident.UpstreamID]*fakeEngine{}}
	for i := range engines {
		e := &fakeEngine{checksFencing: checksFencing(i), state: Observation{Incarnation: 1, Placement: modelOf(0)}}
		z.engines[engineID(i)] = e
		z.view.Upstreams = append(z.view.Upstreams, kernel.Upstream{ID: engineID(i), Zone: "hall-a", Liveness: kernel.Live})
	}
	for i := range agents {
		id := ident.InstanceID(fmt.Sprintf("n%d", i))
		z.view.Instances = append(z.view.Instances, kernel.Instance{ID: id, Zone: "hall-a", Liveness: kernel.Live})
		z.agents = append(z.agents, &agent{
			self: kernel.Self{Instance: id, Zone: "hall-a"}, planner: NewPlanner(DefaultSettings()),
		})
	}
	for _, a := range z.agents {
		a.planner.SetView(z.now, a.self, z.view)
	}
	return z
}

func modelOf(version uint64) Placement {
	return NewPlacement(config.RoleDecode, []string{fmt.Sprint("model-", version)}, nil, "1")
}

// adopt puts a bundle version in force at an agent, unless it has a newer one.
func (z *zone) adopt(a *agent, version uint64) {
	a.version = max(a.version, version)
	checksFencing := func(i int) bool { return z.engines[engineID(i)].checksFencing }
	a.planner.SetBundle(z.now, a.version, bundleOf(a.version, len(z.engines), checksFencing))
}

// run advances the time, with an exchange of versions and a planning step every
// second.
func (z *zone) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(time.Second) {
		loading := 0
		for _, e := range z.engines {
			e.finishLoad(z.now)
			if e.state.Loading != nil {
				loading++
			}
		}
		z.maxLoading = max(z.maxLoading, loading)
		for _, a := range z.agents {
			z.exchangeVersions(a)
			z.act(a)
		}
	}
}

// exchangeVersions reports to an agent the versions that its reachable peers have
// in force.
func (z *zone) exchangeVersions(a *agent) {
	for _, b := range z.agents {
		if a != b && !a.paused && !b.paused && !a.cut && !b.cut {
			a.planner.PeerInForce(z.now, b.self.Instance, b.version)
		}
	}
}

// act executes an agent's plan.
func (z *zone) act(a *agent) {
	if a.paused {
		return
	}
	for _, id := range a.planner.Tick(z.now) {
		d := a.planner.Observe(z.now, id, z.engines[id].state)
		z.record(d)
		if d.Order != nil {
			z.send(a, *d.Order)
		}
	}
}

func (z *zone) record(d Decision) {
	if d.Record != nil {
		z.records = append(z.records, *d.Record)
	}
	if d.Hint != nil {
		z.hints++
	}
}

func (z *zone) send(a *agent, o Order) {
	if refused := z.engines[o.Upstream].execute(z.now, o); refused > 0 {
		z.record(a.planner.Refused(z.now, o.Upstream, refused))
	}
}

// resume ends an agent's pause and sends the order that was delayed by it.
func (z *zone) resume(a *agent) {
	a.paused = false
	if a.delayedOrder != nil {
		z.send(a, *a.delayedOrder)
		a.delayedOrder = nil
	}
	a.planner.Paused(z.now)
}

// count returns the number of records with the step and reason.
func (z *zone) count(s Step, r Reason) int {
	n := 0
	for _, rec := range z.records {
		if rec.Step == s && rec.Reason == r {
			n++
		}
	}
	return n
}

// firstEngineAgent returns the agent that orders the zone's first engine.
func (z *zone) firstEngineAgent() *agent {
	for _, a := range z.agents {
		if a.planner.ranks.Rank(&z.view.Upstreams[0]) == 0 {
			return a
		}
	}
	panic("no agent has rank 0 for the engine")
}
