package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// newEngineFleet returns a fleet of three zones with one engine in the first.
// Only that zone has a report from the engine; the others know just its
// incarnation.
func newEngineFleet(t *testing.T, perZone int) *fleet {
	f := newFleet(t, Config{}, perZone, perZone, perZone)
	for _, n := range f.nodes {
		n.machine.ApplyUpstreamList(f.now, f.now, 1, []ListedUpstream{{ID: "dc-1", Zone: "hall-a", Incarnation: 5}})
	}
	f.settle()
	f.report(f.nodes[0], 5, 1)
	f.run(5 * time.Second)
	return f
}

// report delivers a load report of the engine to a node.
func (f *fleet) report(n *node, inc ident.Incarnation, seq uint32) {
	n.machine.UpstreamAnswered(f.now, f.now, "dc-1")
	n.machine.UpstreamReport(f.now, f.now, "dc-1", Report{Incarnation: inc, Sequence: seq})
}

// allNodes reports whether the engine's state satisfies want on all nodes.
func (f *fleet) allNodes(want func(State) bool) bool {
	for _, n := range f.nodes {
		if !want(n.machine.View(f.now).Upstreams[0].State) {
			return false
		}
	}
	return true
}

func usable(s State) bool   { return s <= Suspect }
func unusable(s State) bool { return s >= Unreachable }

// TestEngineDeathIsKnownInAllZones stops an engine: connections are refused if
// its machine still runs, and time out if the machine is gone as well. Every
// zone must learn of both, and of the engine's return.
func TestEngineDeathIsKnownInAllZones(t *testing.T) {
	for _, perZone := range []int{1, 8} {
		for _, kind := range []FailKind{FailRefused, FailTimeout} {
			stopAndRestart(t, newEngineFleet(t, perZone), kind)
		}
	}
}

func stopAndRestart(t *testing.T, f *fleet, kind FailKind) {
	t.Helper()
	f.nodes[0].machine.UpstreamFailed(f.now, f.now, "dc-1", kind)
	took := f.runUntil(time.Second, func() bool { return f.allNodes(unusable) })
	t.Logf("kind %d: known by all after %s", kind, took)
	f.run(20 * time.Second)
	assert.Assert(t, f.allNodes(unusable))
	f.report(f.nodes[0], 6, 1)
	took = f.runUntil(time.Second, func() bool { return f.allNodes(usable) })
	t.Logf("kind %d: return known by all after %s", kind, took)
}

// TestInstanceThatIsRefusedEverywhereReportsNothing guards against an instance that lost its network
// path by refused connections and makes the fleet avoid all engines. A refusal counts once another
// engine has answered since.
func TestInstanceThatIsRefusedEverywhereReportsNothing(t *testing.T) {
	f := newEngineFleet(t, 8)
	for _, n := range f.nodes {
		n.machine.ApplyUpstreamList(f.now, f.now, 2, []ListedUpstream{
			{ID: "dc-1", Zone: "hall-a", Incarnation: 5}, {ID: "dc-2", Zone: "hall-a", Incarnation: 5}})
	}
	f.run(time.Second)
	for range 3 {
		f.nodes[0].machine.UpstreamFailed(f.now, f.now, "dc-1", FailRefused)
		f.nodes[0].machine.UpstreamFailed(f.now, f.now, "dc-2", FailRefused)
		f.run(time.Second)
	}
	for _, n := range f.nodes[1:] {
		assert.Assert(t, usable(n.machine.View(f.now).Upstreams[0].State), n.id)
	}
	f.nodes[0].machine.UpstreamFailed(f.now, f.now, "dc-1", FailRefused)
	f.run(100 * time.Millisecond)
	f.nodes[0].machine.UpstreamAnswered(f.now, f.now, "dc-2")
	f.runUntil(time.Second, func() bool { return f.allNodes(unusable) })
}

// TestAnsweringEngineIsNotMissing has an engine answer one instance of its zone
// and not another. The engine's newer reports show that the other instance is
// at fault, so the rest of the fleet keeps using the engine.
func TestAnsweringEngineIsNotMissing(t *testing.T) {
	f := newEngineFleet(t, 8)
	f.report(f.nodes[1], 5, 2)
	f.run(DefaultUpstreamGrace - step)
	f.nodes[0].machine.UpstreamFailed(f.now, f.now, "dc-1", FailTimeout)
	f.run(5 * time.Second)
	for _, n := range f.nodes[1:] {
		assert.Assert(t, usable(n.machine.View(f.now).Upstreams[0].State), n.id)
	}
	// With no report for longer than the grace period it reports the engine
	// missing; the next report corrects that.
	f.nodes[0].machine.UpstreamFailed(f.now, f.now, "dc-1", FailTimeout)
	f.run(time.Second)
	f.report(f.nodes[1], 5, 3)
	f.runUntil(time.Second, func() bool { return f.allNodes(usable) })
}

// TestMissingIsForItsOwnZoneToSay has an instance fail to reach an engine of
// another zone: it must not report the engine missing to the other instances.
func TestMissingIsForItsOwnZoneToSay(t *testing.T) {
	f := newEngineFleet(t, 8)
	f.nodes[8].machine.UpstreamFailed(f.now, f.now, "dc-1", FailTimeout)
	assert.Assert(t, !f.nodes[8].machine.upstreams["dc-1"].markedAbsent(), "the engine is marked missing by an instance of another zone")
	for range 100 {
		f.run(step)
		for _, n := range f.nodes {
			assert.Equal(t, unusable(n.machine.View(f.now).Upstreams[0].State), n == f.nodes[8], n.id)
		}
	}
}

// TestWhoKnowsOfALaterReportSaysSo has a peer report an engine missing since a
// report that is older than the one this instance has: this instance must send
// the newer report.
func TestWhoKnowsOfALaterReportSaysSo(t *testing.T) {
	m := newMachineWithPeer()
	m.UpstreamReport(timeAt(0), timeAt(0), "dc-1", Report{Incarnation: 5, Sequence: 7})
	missed := UpstreamDigest{Key: uint64(keyOf("dc-1")), Incarnation: 5, Sequence: 6, Missing: true}
	receiveFromOther(t, m, time.Second, Heartbeat{Upstreams: missed.Append(nil)})
	assert.Equal(t, upstreamView(m, time.Second).State, Alive)
	assert.Assert(t, m.upstreams["dc-1"].urgentSends > 0)
}

// TestContradictedMissingIsNotSaidAtOnceAgain guards against a flood of reports
// from the only instance that cannot reach an engine: without a backoff it would
// report the engine missing to the whole fleet again and again.
func TestContradictedMissingIsNotSaidAtOnceAgain(t *testing.T) {
	m := newMachineWithPeer()
	said := 0
	for d := time.Duration(0); d < 3*time.Minute; d += 4 * time.Second {
		m.UpstreamReport(timeAt(d), timeAt(d), "dc-1", Report{Incarnation: 5, Sequence: uint32(d / time.Second)})
		m.UpstreamFailed(timeAt(d+2*time.Second), timeAt(d+2*time.Second), "dc-1", FailTimeout)
		if m.upstreams["dc-1"].markedAbsent() {
			said++
		}
	}
	assert.Equal(t, said, 7)
}
