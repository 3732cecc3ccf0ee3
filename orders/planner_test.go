package orders

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestMain fixes the seed of the property tests, so that every run is the same.
// Command line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "60",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func checkFencing(int) bool  { return true }
func ignoreFencing(int) bool { return false }
func mixed(i int) bool       { return i%2 == 0 }
func (z *zone) adoptAll(v uint64) {
	for _, a := range z.agents {
		z.adopt(a, v)
	}
}

// adoptOnOthers puts a bundle version in force at all agents but one, and gives
// them a view in which that one is unreachable.
func (z *zone) adoptOnOthers(a *agent, version uint64) {
	without := *z.view
	without.Instances = slices.Clone(z.view.Instances)
	for i, b := range z.agents {
		if b == a {
			without.Instances[i].Liveness = kernel.Unreachable
		}
	}
	for _, b := range z.agents {
		if b != a {
			b.planner.SetView(z.now, b.self, &without)
			z.adopt(b, version)
		}
	}
}

func checkPlacements(t assert.TestingT, z *zone, version uint64) {
	for id, e := range z.engines {
		assert.Assert(t, e.state.Loading == nil && e.state.Placement.Equal(modelOf(version)), "%s: %+v", id, e.state)
	}
}

func TestBundleIsCarriedOutAFewAtATime(t *testing.T) {
	z := newZone(3, 10, mixed)
	z.adoptAll(1)
	z.run(2 * time.Minute)
	checkPlacements(t, z, 1)
	assert.Equal(t, z.maxLoading, DefaultSettings().MaxLoads)
	for id, e := range z.engines {
		assert.Equal(t, e.loads, 1, string(id))
	}
	assert.Equal(t, z.count(StepOrdered, ReasonBundle), 10)
	assert.Equal(t, z.count(StepInForce, ReasonMatches), 10)
	before := len(z.records)
	z.run(10 * time.Minute)
	assert.Equal(t, len(z.records), before, "records were written although nothing changed")
}

func TestOldBundleIsRefusedByTheFence(t *testing.T) {
	z := newZone(2, 1, checkFencing)
	a := z.firstEngineAgent()
	z.adopt(a, 1)
	z.engines["d0"].state.Highest = 2
	z.engines["d0"].state.Placement = modelOf(2)
	z.run(time.Minute)
	assert.Equal(t, z.count(StepHeld, ReasonNewerFence), 1)
	assert.Assert(t, z.hints > 0)
	assert.Equal(t, z.engines["d0"].loads, 0)
	// The engine received the newer order between the read and this order.
	d := a.planner.Refused(z.now, "d0", 3)
	assert.DeepEqual(t, *d.Hint, NewerVersionHint{Upstream: "d0", Version: 3})
	assert.Equal(t, d.Record.Step, StepRefused)
	z.adopt(a, 3)
	z.run(time.Minute)
	checkPlacements(t, z, 3)
}

func TestOldBundleIsNotOrderedWhereFencesAreIgnored(t *testing.T) {
	z := newZone(3, 1, ignoreFencing)
	a := z.firstEngineAgent()
	z.adoptAll(1)
	for _, b := range z.agents {
		if b != a {
			z.adopt(b, 2)
		}
	}
	z.run(time.Minute)
	checkPlacements(t, z, 0)
	assert.Equal(t, z.count(StepHeld, ReasonUnconfirmed), 1)
	z.adopt(a, 2)
	z.run(time.Minute)
	checkPlacements(t, z, 2)
}

// TestPausedInstanceWakes guards against a stale order that takes effect. A pause
// delays the order; it is sent after a newer bundle was loaded. An engine that
// checks fencing numbers refuses it, one that ignores them is corrected.
func TestPausedInstanceWakes(t *testing.T) {
	for name, checksFencing := range map[string]func(int) bool{"checking": checkFencing, "ignoring": ignoreFencing} {
		t.Run(name, func(t *testing.T) {
			z := newZone(3, 1, checksFencing)
			z.adoptAll(1)
			z.run(time.Second)
			a, order := z.firstEngineAgent(), Order{Upstream: "d0", Fence: 1, Placement: modelOf(1)}
			a.paused, a.delayedOrder = true, &order
			z.adoptOnOthers(a, 2)
			z.run(time.Minute)
			checkPlacements(t, z, 2)
			z.resume(a)
			z.run(2 * time.Minute)
			checkPlacements(t, z, 2)
			if checksFencing(0) {
				assert.Assert(t, z.hints > 0)
			} else {
				assert.Equal(t, z.count(StepOrdered, ReasonCorrected), 1)
			}
		})
	}
}

func TestInstanceThatIsCutOffLeavesTheOthersAlone(t *testing.T) {
	z := newZone(3, 1, ignoreFencing)
	z.adoptAll(1)
	z.run(time.Minute)
	a := z.firstEngineAgent()
	a.cut = true
	z.adoptOnOthers(a, 2)
	z.run(time.Minute)
	checkPlacements(t, z, 2)
	assert.Equal(t, z.engines["d0"].loads, 2)
	assert.Equal(t, z.count(StepHeld, ReasonUnconfirmed), 1)
	a.cut = false
	z.adopt(a, 2)
	z.run(time.Minute)
	checkPlacements(t, z, 2)
	assert.Equal(t, z.engines["d0"].loads, 2)
}

func TestObserve(t *testing.T) {
	old := modelOf(0)
	for name, c := range map[string]struct {
		seen  Observation
		order bool
	}{
		"another model": {Observation{Placement: old}, true},
		"desired placement, this version's fence": {Observation{Placement: modelOf(1), Highest: 1}, false},
		"desired placement, no fence":             {Observation{Placement: modelOf(1)}, true},
		"desired placement, loading an older one": {Observation{Placement: modelOf(1), Loading: &old}, true},
		"desired placement, newer fence":          {Observation{Placement: modelOf(1), Highest: 2}, false},
		"another model, newer fence":              {Observation{Placement: old, Highest: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZone(1, 2, mixed)
			z.adoptAll(1)
			p := z.agents[0].planner
			p.PlatformHead(z.now, 1)
			assert.Equal(t, p.Observe(z.now, "d0", c.seen).Order != nil, c.order)
			// A newer version reported by one engine also stops orders to engines
			// that store no fencing number.
			other := p.Observe(z.now, "d1", Observation{Placement: old})
			assert.Equal(t, other.Order != nil, c.seen.Highest <= 1)
		})
	}
}

func TestOrdersExpireWhereFencesAreIgnored(t *testing.T) {
	z := newZone(2, 1, ignoreFencing)
	z.adoptAll(1)
	a := z.firstEngineAgent()
	z.exchangeVersions(a)
	d := a.planner.Observe(z.now.Add(3*time.Second), "d0", z.engines["d0"].state)
	assert.Equal(t, d.Order.NotAfter, z.now.Add(5*time.Second))
	d = a.planner.Observe(z.now.Add(5*time.Second), "d0", z.engines["d0"].state)
	assert.Assert(t, d.Order == nil)
	z.exchangeVersions(a)
	a.planner.Paused(z.now)
	d = a.planner.Observe(z.now, "d0", z.engines["d0"].state)
	assert.Assert(t, d.Order == nil, "confirmations from before a pause still count")
}

func TestConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		liveness []kernel.Liveness
		versions []uint64
		platform uint64
		want     bool
	}{
		"all peers report it":                     {[]kernel.Liveness{kernel.Live, kernel.Live}, []uint64{7, 7}, 0, true},
		"most instances have it":                  {[]kernel.Liveness{kernel.Live, kernel.Live}, []uint64{7, 0}, 0, true},
		"half of the instances have it":           {[]kernel.Liveness{kernel.Live, kernel.Live, kernel.Live}, []uint64{7, 0, 0}, 0, false},
		"one peer reports a newer version":        {[]kernel.Liveness{kernel.Live, kernel.Live}, []uint64{7, 8}, 0, false},
		"the only peer is unreachable":            {[]kernel.Liveness{kernel.Unreachable}, []uint64{0}, 7, false},
		"the only peer is dead":                   {[]kernel.Liveness{kernel.Dead}, []uint64{0}, 7, true},
		"alone":                                   {nil, nil, 7, true},
		"alone, platform is behind":               {nil, nil, 6, false},
		"alone, platform reports a newer version": {nil, nil, 8, false},
		"alone, no report from the platform":      {nil, nil, 0, false},
		"only the platform reports it":            {[]kernel.Liveness{kernel.Live, kernel.Live}, []uint64{0, 0}, 7, false},
		"platform reports a newer version":        {[]kernel.Liveness{kernel.Live}, []uint64{7}, 8, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(DefaultSettings())
			v := &kernel.View{Instances: []kernel.Instance{{ID: "far", Zone: "hall-b", Liveness: kernel.Live}}}
			for i, l := range c.liveness {
				id := ident.InstanceID(fmt.Sprint("n", i))
				v.Instances = append(v.Instances, kernel.Instance{ID: id, Zone: "hall-a", Liveness: l})
				p.PeerInForce(testStart, id, c.versions[i])
			}
			p.SetView(testStart, kernel.Self{Instance: "self", Zone: "hall-a"}, v)
			p.SetBundle(testStart, 7, &config.Content{})
			p.PlatformHead(testStart, c.platform)
			_, ok := p.freshness.confirmedUntil(testStart.Add(4 * time.Second))
			assert.Equal(t, ok, c.want)
			_, ok = p.freshness.confirmedUntil(testStart.Add(5 * time.Second))
			assert.Assert(t, !ok, "reports still count after they expired")
		})
	}
}

func TestViewMustBeTrustedWhereFencesAreIgnored(t *testing.T) {
	z := newZone(2, 2, mixed)
	z.view.Trusted = false
	z.adoptAll(1)
	z.run(time.Minute)
	assert.DeepEqual(t, z.engines["d0"].state.Placement, modelOf(1))
	assert.DeepEqual(t, z.engines["d1"].state.Placement, modelOf(0))
	assert.Equal(t, z.count(StepHeld, ReasonViewUntrusted), 1)
}

func TestRoleChangeWaitsForWorkThatRuns(t *testing.T) {
	z := newZone(1, 1, checkFencing)
	e := z.engines["d0"]
	e.state.Placement.Role, e.state.Running = config.RolePrefill, 3
	z.adoptAll(1)
	z.run(20 * time.Second)
	assert.Equal(t, e.loads, 0)
	assert.Equal(t, z.count(StepHeld, ReasonDraining), 1)
	e.state.Running = 0
	z.run(5 * time.Second)
	assert.Equal(t, e.loads, 1)
	// Requests from instances with an older bundle may never end, so the wait is
	// limited.
	z.run(time.Minute)
	e.state.Placement.Role, e.state.Running = config.RolePrefill, 3
	z.run(50 * time.Second)
	assert.Equal(t, e.loads, 1)
	z.run(30 * time.Second)
	assert.Equal(t, e.loads, 2)
}

func TestEngineThatRestartedIsOrderedAgain(t *testing.T) {
	z := newZone(1, 1, checkFencing)
	z.adoptAll(1)
	z.run(time.Minute)
	e := z.engines["d0"]
	e.state = Observation{Incarnation: 2, Placement: modelOf(0)}
	z.run(time.Minute)
	checkPlacements(t, z, 1)
	assert.Equal(t, z.count(StepOrdered, ReasonRestarted), 1)
}

func TestEngineThatDoesNotLoadHoldsOthersUpForALimitedTime(t *testing.T) {
	z := newZone(1, 3, checkFencing)
	z.engines["d0"].loadedAt = testStart.Add(1000 * time.Hour)
	z.engines["d0"].state.Loading = &Placement{}
	stuck := modelOf(1)
	z.engines["d0"].state.Loading = &stuck
	z.adoptAll(1)
	z.run(time.Minute)
	assert.DeepEqual(t, z.engines["d2"].state.Placement, modelOf(0))
	assert.Equal(t, z.count(StepHeld, ReasonNotItsTurn), 1)
	z.run(5 * time.Minute)
	assert.DeepEqual(t, z.engines["d2"].state.Placement, modelOf(1))
}

func TestOrdersAreRepeatedEverMoreRarely(t *testing.T) {
	z := newZone(1, 1, checkFencing)
	z.adoptAll(1)
	p := z.agents[0].planner
	var given []time.Duration
	for after := time.Duration(0); after < 2*time.Minute; after += time.Second {
		now := z.now.Add(after)
		for _, id := range p.Tick(now) {
			if d := p.Observe(now, id, z.engines[id].state); d.Order != nil { // the order is lost
				given = append(given, after/time.Second)
			}
		}
	}
	assert.DeepEqual(t, given, []time.Duration{0, 2, 6, 14, 30, 60, 90})
}

func TestWhatIsNotOrdered(t *testing.T) {
	z := newZone(1, 4, checkFencing)
	z.view.Upstreams[0].Liveness = kernel.Leaving
	z.view.Upstreams[1].Liveness = kernel.Unreachable
	z.view.Upstreams[2].Zone = "hall-b" // the zone has no instance
	z.adoptAll(1)
	z.agents[0].planner.SetView(z.now, z.agents[0].self, z.view)
	assert.DeepEqual(t, z.agents[0].planner.Tick(z.now), []ident.UpstreamID{"d3"})
	p := z.agents[0].planner
	service := bundleOf(2, 4, checkFencing)
	service.Upstreams[3].Role = config.RoleService
	p.SetBundle(z.now, 2, service)
	assert.Equal(t, len(p.Tick(z.now)), 0)
	p.SetBundle(z.now, 1, bundleOf(1, 4, checkFencing))
	assert.Equal(t, len(p.Tick(z.now)), 0, "an older bundle version was taken")
}

// TestAnyInstanceGivesTheSameOrder checks that the order depends on neither the
// instance nor the order in which the bundle lists models.
func TestAnyInstanceGivesTheSameOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c"}))
		spec := config.Upstream{
			ID: "d0", Role: config.RoleDecode, ChecksFencing: true,
			Models: names.Draw(t, "models"), Adapters: names.Draw(t, "adapters"),
		}
		permuted := spec
		permuted.Models = rapid.Permutation(spec.Models).Draw(t, "order")
		var given []Order
		for i, s := range []config.Upstream{spec, permuted} {
			z := newZone(1, 1, checkFencing)
			z.agents[0].self.Instance = ident.InstanceID(fmt.Sprint("x", i))
			p := z.agents[0].planner
			p.SetView(z.now, z.agents[0].self, &kernel.View{Upstreams: z.view.Upstreams})
			p.SetBundle(z.now, 5, &config.Content{Upstreams: []config.Upstream{s}})
			given = append(given, *p.Observe(z.now, "d0", Observation{}).Order)
		}
		assert.DeepEqual(t, given[0], given[1])
		assert.Equal(t, given[0].Fence, uint64(5))
	})
}

// TestZone runs random sequences in which instances have different bundles, are
// paused and are partitioned from their peers. A checking engine must never load
// an older placement; at the end all engines must run the newest bundle's
// placement.
func TestZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(3, 4, mixed)
		newest := uint64(1)
		z.adoptAll(1)
		some := func() *agent { return z.agents[rapid.IntRange(0, 2).Draw(t, "agent")] }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { newest++; z.adopt(some(), newest) },
			"adopt": func(*rapid.T) {
				if a := some(); !a.paused {
					z.adopt(a, newest)
				}
			},
			"pause": func(*rapid.T) {
				a, id := some(), engineID(rapid.IntRange(0, 3).Draw(t, "engine"))
				if !a.paused && a.planner.engines[id] != nil {
					a.delayedOrder = &Order{Upstream: id, Fence: a.version, Placement: modelOf(a.version)}
				}
				a.paused = true
			},
			"wake": func(*rapid.T) { z.resume(some()) },
			"cut":  func(*rapid.T) { a := some(); a.cut = !a.cut },
			"run":  func(*rapid.T) { z.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for id, e := range z.engines {
					if l := e.state.Loading; e.checksFencing && l != nil {
						assert.Assert(t, l.Equal(modelOf(e.state.Highest)), "%s loads an older placement", id)
					}
				}
			},
		})
		for _, a := range z.agents {
			a.cut = false
			z.resume(a)
			z.adopt(a, newest)
		}
		z.run(6 * time.Minute)
		checkPlacements(t, z, newest)
	})
}
