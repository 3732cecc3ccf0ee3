package membership

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start is the time at which the tests begin, on every clock.
var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// step is the simulated time between two calls of Due.
const step = 50 * time.Millisecond

// condition is the run state of a node.
type condition int

const (
	running condition = iota
	killed
	paused
)

// node is one instance of a fleet.
type node struct {
	id      ident.InstanceID
	zone    ident.Zone
	machine *Machine
	cond    condition
	// frames and bytes count the traffic that the node sent and received.
	frames, bytes int
	pausedAt      time.Time
}

// fleet runs machines against each other in virtual time, with exchanges that
// take no time.
type fleet struct {
	t     testing.TB
	now   time.Time
	nodes []*node
	byID  map[ident.InstanceID]*node
	// lost reports whether packets from one node to another are lost.
	lost func(from, to *node) bool
	step time.Duration
}

// newFleet starts zones of the given sizes, with every instance listed.
func newFleet(t testing.TB, cfg Config, sizes ...int) *fleet {
	f := &fleet{t: t, now: start, byID: map[ident.InstanceID]*node{}, step: step, lost: func(_, _ *node) bool { return false }}
	for z, size := range sizes {
		for i := range size {
			n := &node{id: ident.InstanceID(fmt.Sprintf("entry-%c%d", 'a'+z, i)), zone: ident.Zone(fmt.Sprintf("hall-%c", 'a'+z))}
			f.nodes = append(f.nodes, n)
			f.byID[n.id] = n
		}
	}
	for _, n := range f.nodes {
		f.boot(n, cfg)
	}
	return f
}

// boot starts a node's machine with a new incarnation.
func (f *fleet) boot(n *node, cfg Config) {
	n.cond = running
	n.machine = New(Self{Instance: n.id, Zone: n.zone}, cfg, f.now)
	n.machine.SetSelf(f.now, SelfState{Incarnation: ident.NewIncarnation(f.now)})
	n.machine.ApplyInstanceList(f.now, f.now, 1, f.list())
}

// list returns the platform's list of all nodes.
func (f *fleet) list() []ListedInstance {
	var out []ListedInstance
	for _, n := range f.nodes {
		out = append(out, ListedInstance{ID: n.id, Zone: n.zone, Address: string(n.id)})
	}
	return out
}

// run advances the virtual time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.step)
		for _, n := range f.nodes {
			if n.cond == running {
				f.runDue(n)
			}
		}
	}
}

// runUntil advances the virtual time until done returns true, and returns how
// much time passed; the test fails after limit.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	begin := f.now
	for !done() {
		if f.now.Sub(begin) > limit {
			f.t.Fatalf("condition not met after %s", limit)
		}
		f.run(f.step)
	}
	return f.now.Sub(begin)
}

// runDue performs the actions that are due at a node.
func (f *fleet) runDue(n *node) {
	for _, d := range n.machine.Due(f.now) {
		to := f.byID[d.To]
		if d.Kind == DueProbe {
			f.probe(n, to)
			continue
		}
		f.exchange(n, to)
	}
}

// probe connects to a node's entry.
func (f *fleet) probe(n, to *node) {
	switch {
	case f.lost(n, to) || f.lost(to, n):
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessEntry, FailTimeout)
	case to.cond == killed:
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessEntry, FailRefused)
	case to.cond == paused:
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessEntry, FailNoResponse)
	default:
		n.machine.PeerAnswered(f.now, f.now, to.id)
	}
}

// exchange delivers a heartbeat and the answer to it.
func (f *fleet) exchange(n, to *node) {
	hb := n.machine.Heartbeat(f.now, to.id)
	f.count(n, hb)
	if f.lost(n, to) {
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessAgent, FailTimeout)
		return
	}
	switch to.cond {
	case killed:
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessAgent, FailRefused)
		return
	case paused:
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessAgent, FailNoResponse)
		return
	}
	f.count(to, hb)
	answer, err := to.machine.Receive(f.now, n.id, hb)
	assert.NilError(f.t, err)
	f.count(to, answer)
	if f.lost(to, n) {
		n.machine.PeerFailed(f.now, f.now, to.id, ProcessAgent, FailTimeout)
		return
	}
	f.count(n, answer)
	assert.NilError(f.t, n.machine.HeartbeatAnswered(f.now, f.now, to.id, answer))
}

// count records a frame that a node sent or received.
func (f *fleet) count(n *node, hb Heartbeat) {
	n.frames++
	n.bytes += frameBytes(hb)
}

// pause stops a node; resume continues it.
func (f *fleet) pause(n *node) { n.cond, n.pausedAt = paused, f.now }

func (f *fleet) resume(n *node) {
	n.cond = running
	n.machine.RecordPause(f.now, f.now.Sub(n.pausedAt))
}

// viewOf returns one node's view of another.
func (f *fleet) viewOf(n, other *node) Instance {
	for _, x := range n.machine.View(f.now).Instances {
		if x.ID == other.id {
			return x
		}
	}
	f.t.Fatalf("%s has no view of %s", n.id, other.id)
	return Instance{}
}

// allOthers reports whether want holds for the view of a node in every other
// running node.
func (f *fleet) allOthers(of *node, want func(Instance) bool) bool {
	for _, n := range f.nodes {
		if n != of && n.cond == running && !want(f.viewOf(n, of)) {
			return false
		}
	}
	return true
}
