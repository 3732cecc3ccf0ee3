package leftover

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestMain fixes the seed of the property tests, so that every run is the same.
// Command line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "150",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	fleetSize     = 3
	callerTimeout = 30 * time.Second
	maxSkew       = 900 * time.Millisecond
)

// process is a simulated entry instance with its agent.
type process struct {
	self     kernel.Self
	planner  *Planner
	skew     time.Duration
	up       bool
	paused   bool
	sequence uint64
	inFlight []uint64
}

// fleet simulates a zone with one engine. Views may be stale, but never report a
// running instance as dead.
type fleet struct {
	t         *rapid.T
	now       time.Time
	processes []*process
	held      map[ident.AttemptID]bool
	views     []*kernel.View
	faultFree bool
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: testStart, held: map[ident.AttemptID]bool{}}
	for i := range fleetSize {
		f.processes = append(f.processes, &process{
			self: kernel.Self{Instance: ident.InstanceID(fmt.Sprintf("n%d", i)), Incarnation: 1, Zone: "hall-a"},
			skew: time.Duration(rapid.IntRange(-int(maxSkew), int(maxSkew)).Draw(t, "skew")),
			up:   true, planner: NewPlanner(DefaultSettings()),
		})
	}
	f.recordView()
	return f
}

func (f *fleet) draw(n int) int { return rapid.IntRange(0, n-1).Draw(f.t, "n") }

func (f *fleet) running() *process {
	p := f.processes[f.draw(fleetSize)]
	if !p.up || p.paused {
		f.t.Skip("the instance is down or paused")
	}
	return p
}

// recordView appends a view of the current state.
func (f *fleet) recordView() {
	v := &kernel.View{Trusted: true, Upstreams: []kernel.Upstream{engineOf("d1", "hall-a")}}
	for _, p := range f.processes {
		liveness := kernel.Live
		switch {
		case !p.up:
			liveness = kernel.Dead
		case p.paused:
			liveness = kernel.Unreachable
		}
		v.Instances = append(v.Instances, kernel.Instance{
			ID: p.self.Instance, Zone: "hall-a", Incarnation: p.self.Incarnation, Liveness: liveness,
		})
	}
	f.views = append(f.views, v)
}

func (f *fleet) start() {
	p := f.running()
	p.sequence++
	p.inFlight = append(p.inFlight, p.sequence)
	// Attempt IDs have whole milliseconds.
	deadline := time.UnixMilli(f.now.Add(p.skew + callerTimeout).UnixMilli())
	f.held[ident.AttemptID{
		Instance: p.self.Instance, Incarnation: p.self.Incarnation, Sequence: p.sequence, Deadline: deadline,
	}] = true
}

// endOldest ends the oldest attempt of an instance. The engine keeps holding it,
// as if the cancellation had been lost.
func (f *fleet) endOldest() {
	p := f.running()
	if len(p.inFlight) > 0 {
		p.inFlight = p.inFlight[1:]
	}
}

func (f *fleet) kill() {
	p := f.processes[f.draw(fleetSize)]
	p.up, p.paused, p.inFlight = false, false, nil
}

func (f *fleet) restart() {
	p := f.processes[f.draw(fleetSize)]
	if !p.up {
		p.up, p.sequence, p.planner = true, 0, NewPlanner(DefaultSettings())
		p.self.Incarnation++
	}
}

func (f *fleet) pause() { f.running().paused = true }

func (f *fleet) resume() { f.processes[f.draw(fleetSize)].paused = false }

// poll makes an agent update its view, read the engine and order releases.
func (f *fleet) poll() { f.stepAgent(f.running()) }

func (f *fleet) stepAgent(p *process) {
	now := f.now.Add(p.skew)
	view := f.views[len(f.views)-1]
	if !f.faultFree {
		view = f.views[max(0, len(f.views)-1-f.draw(3))]
	}
	p.planner.SetView(now, p.self, view)
	p.planner.SetInFlight(&InFlight{Incarnation: p.self.Incarnation, Newest: p.sequence, Sequences: slices.Clone(p.inFlight)})
	plan := p.planner.Tick(now)
	f.release(p, plan.Releases)
	if len(plan.Reads) > 0 {
		var ids []string
		for a := range f.held {
			ids = append(ids, a.String())
		}
		f.release(p, p.planner.Held(now, "d1", ids))
	}
}

// release executes release orders; some are lost unless the fleet is fault-free.
func (f *fleet) release(p *process, rs []Release) {
	for _, r := range rs {
		if f.callerWaiting(r.Attempt) {
			f.t.Fatalf("%s released %s (%s) while its caller waits", p.self.Instance, r.Attempt, r.Reason)
		}
		if f.faultFree || f.draw(3) > 0 {
			delete(f.held, r.Attempt)
			p.planner.Released(r.Upstream, r.Attempt)
		}
	}
}

// callerWaiting reports whether a caller may still be waiting for the attempt.
func (f *fleet) callerWaiting(a ident.AttemptID) bool {
	for _, p := range f.processes {
		if p.self.Instance == a.Instance {
			inFlight := p.up && p.self.Incarnation == a.Incarnation && slices.Contains(p.inFlight, a.Sequence)
			return inFlight && f.now.Add(p.skew).Before(a.Deadline)
		}
	}
	return false
}

func (f *fleet) wait() { f.now = f.now.Add(time.Duration(f.draw(5000)) * time.Millisecond) }

// settle ends all calls and lets the running instances work without faults.
func (f *fleet) settle() {
	f.faultFree = true
	for _, p := range f.processes {
		p.inFlight = nil
	}
	f.recordView()
	for end := f.now.Add(callerTimeout + time.Minute); f.now.Before(end); f.now = f.now.Add(250 * time.Millisecond) {
		for _, p := range f.processes {
			if p.up && !p.paused {
				f.stepAgent(p)
			}
		}
	}
}

func TestFleetReleasesAllAndRobsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		steps := map[string]func(*rapid.T){}
		add := func(name string, weight int, do func()) {
			for k := range weight {
				steps[fmt.Sprint(name, k)] = func(t *rapid.T) { f.t = t; do() }
			}
		}
		add("start", 6, f.start)
		add("end", 2, f.endOldest)
		add("poll", 12, f.poll)
		add("wait", 6, f.wait)
		add("look", 4, f.recordView)
		add("kill", 1, f.kill)
		add("restart", 1, f.restart)
		add("freeze", 1, f.pause)
		add("thaw", 1, f.resume)
		t.Repeat(steps)
		f.t = t
		f.processes[0].up, f.processes[0].paused = true, false
		f.settle()
		assert.Equal(t, len(f.held), 0, "still held: %v", f.held)
	})
}
