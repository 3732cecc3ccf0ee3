package leftover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/rendezvous"
)

func engineOf(id ident.UpstreamID, z ident.Zone) kernel.Upstream {
	return kernel.Upstream{ID: id, Zone: z, Liveness: kernel.Live, Incarnation: 1, Spec: config.Upstream{Role: config.RoleDecode}}
}

// testView returns a view of two instances and one engine in a zone and an owner
// in another zone.
func testView(owner kernel.Liveness) *kernel.View {
	elsewhere := instance("owner", 10, owner)
	elsewhere.Zone = "hall-b"
	return &kernel.View{
		Trusted:   true,
		Instances: []kernel.Instance{instance("one", 1, kernel.Live), instance("two", 1, kernel.Live), elsewhere},
		Upstreams: []kernel.Upstream{engineOf("d1", "hall-a")},
	}
}

// plannersByRank returns planners for the two instances of the view and their
// identities, in the order of their ranks: the first one releases first.
func plannersByRank(v *kernel.View) ([]*Planner, []kernel.Self) {
	var planners []*Planner
	var selves []kernel.Self
	for _, id := range rendezvous.Top("d1", []ident.InstanceID{"one", "two"}, 2) {
		self := kernel.Self{Instance: id, Incarnation: 1, Zone: "hall-a"}
		p := NewPlanner(DefaultSettings())
		p.SetView(testStart, self, v)
		planners, selves = append(planners, p), append(selves, self)
	}
	return planners, selves
}

func TestDeathIsNoticedAndLeftoverReleasedByOne(t *testing.T) {
	planners, selves := plannersByRank(testView(kernel.Live))
	orphan := attempt("owner", 10, 1)
	held := []string{orphan.String(), attempt("one", 1, 1).String(), "cmpl-foreign"}
	for i, p := range planners {
		assert.Equal(t, len(p.Held(testStart, "d1", held)), 0)
		p.SetView(testStart, selves[i], testView(kernel.Dead))
		wake, ok := p.NextWake()
		assert.Assert(t, ok && wake.Sub(testStart) <= p.settings.ActiveInterval, "%v", wake.Sub(testStart))
		assert.DeepEqual(t, p.Tick(wake), Plan{Reads: []Read{{"d1"}}})
	}
	at := testStart.Add(time.Second)
	want := []Release{{Upstream: "d1", Attempt: orphan, Reason: OwnerDead}}
	assert.DeepEqual(t, planners[0].Held(at, "d1", held), want)
	assert.Equal(t, len(planners[1].Held(at, "d1", held)), 0)
	assert.Equal(t, len(planners[1].Held(at.Add(4*time.Second), "d1", held)), 0)
	late := planners[1].Held(at.Add(5*time.Second), "d1", held)
	assert.Equal(t, len(late), 1, "the second watcher did not take over after TakeOver")
	assert.Equal(t, late[0].Held, 5*time.Second)
}

func TestReleaseIsRepeatedUntilAcknowledged(t *testing.T) {
	planners, _ := plannersByRank(testView(kernel.Dead))
	p, orphan := planners[0], attempt("owner", 10, 1)
	assert.Equal(t, len(p.Held(testStart, "d1", []string{orphan.String()})), 1)
	var given []time.Duration
	for after := time.Duration(0); after < 20*time.Second; after += 100 * time.Millisecond {
		for range p.Tick(testStart.Add(after)).Releases {
			given = append(given, after)
		}
	}
	assert.DeepEqual(t, given, []time.Duration{
		500 * time.Millisecond, 1500 * time.Millisecond, 3500 * time.Millisecond, 7500 * time.Millisecond, 15500 * time.Millisecond,
	})
	p.Released("d1", orphan)
	assert.Equal(t, len(p.Tick(testStart.Add(time.Hour)).Releases), 0)

	p.Held(testStart, "d1", []string{orphan.String()})
	p.Held(testStart, "d1", nil) // the engine no longer lists it
	assert.Equal(t, len(p.Tick(testStart.Add(time.Hour)).Releases), 0)
}

func TestUnreachableOwnerKeepsItsAttemptsUntilTheirDeadline(t *testing.T) {
	planners, _ := plannersByRank(testView(kernel.Unreachable))
	p, held := planners[0], []string{attempt("owner", 10, 1).String()}
	at := testStart.Add(28 * time.Second)
	p.Tick(at)
	assert.Equal(t, len(p.Held(at, "d1", held)), 0)
	wake, _ := p.NextWake()
	assert.Equal(t, wake, testStart.Add(32*time.Second+time.Millisecond), "no read is scheduled for the end of deadline and margin")
	assert.Equal(t, p.Held(wake, "d1", held)[0].Reason, DeadlinePassed)
}

func TestNothingIsOrderedFromAViewThatIsNotTrusted(t *testing.T) {
	planners, selves := plannersByRank(testView(kernel.Dead))
	p, held := planners[0], []string{attempt("owner", 10, 1).String()}
	p.Held(testStart, "d1", held)
	old := testView(kernel.Dead)
	old.Trusted = false
	replaced := testView(kernel.Dead)
	replaced.Instances = append(replaced.Instances[:0:0], instance(selves[0].Instance, 2, kernel.Live))
	for _, v := range []*kernel.View{old, replaced} {
		p.SetView(testStart, selves[0], v)
		assert.Equal(t, len(p.Held(testStart, "d1", held)), 0)
		assert.DeepEqual(t, p.Tick(testStart.Add(time.Hour)), Plan{})
		_, ok := p.NextWake()
		assert.Assert(t, !ok)
	}
}

func TestEngineThatRestartedOrWentIsForgotten(t *testing.T) {
	v := testView(kernel.Dead)
	planners, selves := plannersByRank(v)
	p, held := planners[0], []string{attempt("owner", 10, 1).String()}
	for _, change := range []func(u *kernel.Upstream){
		func(u *kernel.Upstream) { u.Incarnation++ },
		func(u *kernel.Upstream) { u.Liveness = kernel.Dead },
		func(u *kernel.Upstream) { u.Spec.Role = config.RoleService },
	} {
		p.SetView(testStart, selves[0], v)
		assert.Equal(t, len(p.Held(testStart, "d1", held)), 1)
		changed := testView(kernel.Dead)
		change(&changed.Upstreams[0])
		p.SetView(testStart, selves[0], changed)
		assert.Equal(t, len(p.Tick(testStart.Add(9*time.Second)).Releases), 0)
		p.SetView(testStart, selves[0], &kernel.View{Trusted: true})
	}
}

func TestWatchersOfAZone(t *testing.T) {
	far := kernel.Self{Instance: "far", Incarnation: 1, Zone: "hall-b"}
	v := testView(kernel.Live)
	for name, c := range map[string]struct {
		one, two kernel.Liveness
		want     bool
	}{
		"all instances of the zone are live": {kernel.Live, kernel.Live, false},
		"one instance is suspect":            {kernel.Unreachable, kernel.Suspect, false},
		"none is live":                       {kernel.Dead, kernel.Unreachable, true},
		"all are leaving":                    {kernel.Leaving, kernel.Leaving, true},
	} {
		t.Run(name, func(t *testing.T) {
			v.Instances = []kernel.Instance{instance("one", 1, c.one), instance("two", 1, c.two)}
			p := NewPlanner(DefaultSettings())
			p.SetView(testStart, far, v)
			assert.Equal(t, len(p.Tick(testStart.Add(time.Hour)).Reads) == 1, c.want)
		})
	}
}

func TestReadsBackOffAndComeBack(t *testing.T) {
	planners, _ := plannersByRank(testView(kernel.Live))
	p := planners[0]
	at := testStart
	for _, want := range []time.Duration{40, 60, 60} {
		p.ReadFailed(at, "d1")
		wake, _ := p.NextWake()
		assert.Equal(t, wake.Sub(at), want*time.Second)
		at = wake
		assert.Equal(t, len(p.Tick(at).Reads), 1)
	}
	p.Held(at, "d1", nil)
	wake, _ := p.NextWake()
	assert.Equal(t, wake.Sub(at), 20*time.Second)
}

// fleetView returns a view of a fleet with six zones.
func fleetView(instances, upstreams int) *kernel.View {
	v := &kernel.View{Trusted: true}
	zone := func(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%6)) }
	for i := range instances {
		v.Instances = append(v.Instances, kernel.Instance{
			ID: ident.InstanceID(fmt.Sprintf("entry-%d", i)), Zone: zone(i), Incarnation: 1, Liveness: kernel.Live,
		})
	}
	for i := range upstreams {
		v.Upstreams = append(v.Upstreams, engineOf(ident.UpstreamID(fmt.Sprintf("engine-%d", i)), zone(i)))
	}
	return v
}

// TestCost counts the reads within ten minutes without leftovers.
// docs/design/leftovers.md quotes its log.
func TestCost(t *testing.T) {
	const quiet = 10 * time.Minute
	for _, size := range [][2]int{{8, 9}, {68, 100}, {410, 600}} {
		v := fleetView(size[0], size[1])
		total, most := 0, 0
		for _, in := range v.Instances {
			p := NewPlanner(DefaultSettings())
			p.SetView(testStart, kernel.Self{Instance: in.ID, Incarnation: 1, Zone: in.Zone}, v)
			reads := 0
			for wake, ok := p.NextWake(); ok && wake.Sub(testStart) < quiet; wake, ok = p.NextWake() {
				for _, r := range p.Tick(wake).Reads {
					reads++
					p.Held(wake, r.Upstream, nil)
				}
			}
			total, most = total+reads, max(most, reads)
		}
		t.Logf("%d instances, %d engines: %.3f reads a second each on average, %.3f at the busiest",
			size[0], size[1], float64(total)/float64(size[0])/quiet.Seconds(), float64(most)/quiet.Seconds())
		perEngine := quiet.Seconds() * (1./20 + 1./60)
		assert.Assert(t, float64(total) <= perEngine*float64(size[1]))
	}
}

func BenchmarkSetView(b *testing.B) {
	for _, size := range [][2]int{{8, 9}, {68, 100}, {410, 600}} {
		b.Run(fmt.Sprintf("%d-%d", size[0], size[1]), func(b *testing.B) {
			v := fleetView(size[0], size[1])
			p := NewPlanner(DefaultSettings())
			self := kernel.Self{Instance: v.Instances[0].ID, Incarnation: 1, Zone: v.Instances[0].Zone}
			b.ReportAllocs()
			for b.Loop() {
				p.SetView(testStart, self, v)
			}
		})
	}
}
