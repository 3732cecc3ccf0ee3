package membership

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rpcOverhead is the size of a heartbeat's frame without the Heartbeat itself,
// as measured by package peer: header, envelope, method and timeout.
const rpcOverhead = 125

// frameBytes returns the size of a heartbeat's frame.
func frameBytes(hb Heartbeat) int {
	b, err := json.Marshal(hb)
	if err != nil {
		panic(err)
	}
	return len(b) + rpcOverhead
}

// settle runs the fleet until every running node is alive in the view of all
// the others and its incarnation is known there.
func (f *fleet) settle() {
	f.t.Helper()
	f.runUntil(2*time.Minute, func() bool {
		for _, n := range f.nodes {
			if n.cond == running && !f.allOthers(n, func(x Instance) bool { return x.State == Alive && x.Incarnation != 0 }) {
				return false
			}
		}
		return true
	})
}

// newDefaultFleet returns a fleet of three zones with 8 instances each, the
// size that users run.
func newDefaultFleet(t testing.TB) *fleet { return newFleet(t, Config{}, 8, 8, 8) }

func TestEveryoneIsAliveAndStaysSo(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	for range 60 {
		f.run(time.Second)
		for _, n := range f.nodes {
			assert.Assert(t, f.allOthers(n, func(x Instance) bool { return x.State == Alive }), "%s at %s", n.id, f.now.Sub(start))
		}
	}
	digest := f.nodes[0].machine.Digest()
	for _, n := range f.nodes[:8] {
		assert.Equal(t, n.machine.Digest(), digest)
	}
}

func TestLeavingSpreadsWithoutThePlatform(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	leaver := f.nodes[0]
	leaver.machine.Leave(f.now)
	took := f.runUntil(time.Second, func() bool { return f.allOthers(leaver, func(x Instance) bool { return x.Leaving }) })
	t.Logf("known by all 24 after %s", took)
	// A lagging list that every node reads later must not clear the mark.
	for _, n := range f.nodes {
		n.machine.ApplyInstanceList(f.now, f.now, 9, f.list())
	}
	f.run(time.Minute)
	assert.Assert(t, f.allOthers(leaver, func(x Instance) bool { return x.Leaving }))
}

func TestLeavingUpstreamSpreadsToOtherZones(t *testing.T) {
	f := newDefaultFleet(t)
	for _, n := range f.nodes {
		n.machine.ApplyUpstreamList(f.now, f.now, 1, []ListedUpstream{{ID: "dc-1", Zone: "hall-a", Incarnation: 5}})
	}
	f.settle()
	// One instance receives the upstream's own refusal.
	f.nodes[0].machine.UpstreamLeaving(f.now, "dc-1", 5)
	took := f.runUntil(time.Second, func() bool {
		for _, n := range f.nodes {
			if !n.machine.View(f.now).Upstreams[0].Leaving {
				return false
			}
		}
		return true
	})
	t.Logf("known by all 24 after %s", took)
	for _, n := range f.nodes {
		n.machine.ApplyUpstreamList(f.now, f.now, 2, []ListedUpstream{{ID: "dc-1", Zone: "hall-a", Incarnation: 5}})
		assert.Assert(t, n.machine.View(f.now).Upstreams[0].Leaving)
	}
}

func TestKilledInstanceIsDeadToItsZone(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	victim := f.nodes[0]
	before := f.viewOf(f.nodes[1], victim).Incarnation
	victim.cond = killed
	took := f.runUntil(30*time.Second, func() bool {
		for _, n := range f.nodes[1:8] {
			if !f.viewOf(n, victim).Ended(before) {
				return false
			}
		}
		return true
	})
	t.Logf("dead to its zone after %s", took)
	f.run(time.Minute)
	assert.Assert(t, f.allOthers(victim, func(x Instance) bool { return x.State >= Unreachable }))
	// The ID restarts with a new incarnation.
	f.boot(victim, Config{})
	f.runUntil(time.Minute, func() bool {
		return f.allOthers(victim, func(x Instance) bool { return x.State == Alive && x.Incarnation > before && x.Ended(before) })
	})
}

// TestPausedInstanceIsNeverDead keeps a process stopped for 90 s: it still owns
// its requests when it continues, so it must not be considered dead.
func TestPausedInstanceIsNeverDead(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	victim := f.nodes[0]
	inc := f.viewOf(f.nodes[1], victim).Incarnation
	f.pause(victim)
	for range 90 {
		f.run(time.Second)
		assert.Assert(t, f.allOthers(victim, func(x Instance) bool { return x.State != Dead && !x.Ended(inc) }))
	}
	assert.Equal(t, f.viewOf(f.nodes[1], victim).State, Unresponsive)
	f.resume(victim)
	assert.Assert(t, !victim.machine.Trusted(f.now))
	took := f.runUntil(2*time.Second, func() bool { return victim.machine.Trusted(f.now) })
	t.Logf("trusted again after %s", took)
	f.runUntil(time.Minute, func() bool { return f.allOthers(victim, func(x Instance) bool { return x.State == Alive }) })
}

// TestCutZoneHeals cuts one zone off. Each side must consider its own instances
// alive and those of the other side unreachable but not dead. When the network
// partition ends, both must recover without the platform.
func TestCutZoneHeals(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	a := func(n *node) bool { return n.zone == "hall-a" }
	f.lost = func(from, to *node) bool { return a(from) != a(to) }
	f.run(2 * time.Minute)
	for _, n := range f.nodes {
		for _, x := range n.machine.View(f.now).Instances {
			if a(n) == (x.Zone == "hall-a") {
				assert.Equal(t, x.State, Alive, "%s sees %s", n.id, x.ID)
			} else {
				assert.Equal(t, x.State, Unreachable, "%s sees %s", n.id, x.ID)
			}
		}
	}
	f.lost = func(_, _ *node) bool { return false }
	begin := f.now
	f.settle()
	t.Logf("healed after %s", f.now.Sub(begin))
}

// TestAsymmetricCut loses only packets from one instance to another. Both stay
// alive, since others still hear them; only the direct path is marked as
// unreachable.
func TestAsymmetricCut(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	from, to := f.nodes[0], f.nodes[1]
	f.lost = func(a, b *node) bool { return a == from && b == to }
	f.run(time.Minute)
	x := f.viewOf(from, to)
	assert.Equal(t, x.State, Alive)
	assert.Assert(t, !x.Reachable)
	assert.Equal(t, f.viewOf(to, from).State, Alive)
	for _, n := range f.nodes[2:] {
		assert.Assert(t, f.viewOf(n, from).Reachable && f.viewOf(n, to).Reachable)
	}
}

func TestTrustAfterAPause(t *testing.T) {
	// If the rest of its zone and the platform are down, a resumed instance
	// trusts its view only after the timeout. A list read after the pause
	// restores trust earlier; one read before the pause does not.
	f := newFleet(t, Config{}, 3)
	f.settle()
	n := f.nodes[0]
	f.pause(n)
	f.run(10 * time.Second)
	f.nodes[1].cond, f.nodes[2].cond = killed, killed
	f.resume(n)
	woke := f.now
	n.machine.ListsConfirmed(f.now, woke.Add(-time.Second))
	f.run(DefaultTrustTimeout - step)
	assert.Assert(t, !n.machine.Trusted(f.now))
	f.run(step)
	assert.Assert(t, n.machine.Trusted(f.now))
	n.machine.RecordPause(f.now, time.Second)
	assert.Assert(t, !n.machine.Trusted(f.now))
	n.machine.ListsConfirmed(f.now, f.now)
	assert.Assert(t, n.machine.Trusted(f.now))
}

// TestTrustNeedsAMajority lets only one of four peers answer.
func TestTrustNeedsAMajority(t *testing.T) {
	f := newFleet(t, Config{}, 5)
	f.settle()
	n := f.nodes[0]
	f.pause(n)
	f.run(10 * time.Second)
	for _, other := range f.nodes[2:] {
		other.cond = killed
	}
	f.resume(n)
	f.run(2 * time.Second)
	assert.Assert(t, !n.machine.Trusted(f.now))
}

// TestLeavingUpstreamIsLearnedAfterACut marks an upstream as leaving while its
// zone is cut off: the other zones must learn of it when the network partition
// ends, without a list.
func TestLeavingUpstreamIsLearnedAfterACut(t *testing.T) {
	f := newDefaultFleet(t)
	for _, n := range f.nodes {
		n.machine.ApplyUpstreamList(f.now, f.now, 1, []ListedUpstream{{ID: "dc-1", Zone: "hall-a", Incarnation: 5}})
	}
	f.settle()
	f.lost = func(a, b *node) bool { return a.zone != b.zone }
	f.nodes[0].machine.UpstreamLeaving(f.now, "dc-1", 5)
	f.run(time.Minute)
	last := f.nodes[len(f.nodes)-1]
	assert.Assert(t, !last.machine.View(f.now).Upstreams[0].Leaving)
	f.lost = func(_, _ *node) bool { return false }
	f.runUntil(30*time.Second, func() bool {
		for _, n := range f.nodes {
			if !n.machine.View(f.now).Upstreams[0].Leaving {
				return false
			}
		}
		return true
	})
}

// TestAnswersFromBeforeAPauseDoNotCount delivers the answers to heartbeats sent
// before a pause after it: they must not restore trust.
func TestAnswersFromBeforeAPauseDoNotCount(t *testing.T) {
	f := newFleet(t, Config{}, 3)
	f.settle()
	n := f.nodes[0]
	sent := f.now
	f.now = f.now.Add(10 * time.Second)
	n.machine.RecordPause(f.now, 10*time.Second)
	for _, other := range f.nodes[1:] {
		answer := other.machine.Heartbeat(f.now, n.id)
		assert.NilError(t, n.machine.HeartbeatAnswered(f.now, sent, other.id, answer))
	}
	assert.Assert(t, !n.machine.Trusted(f.now))
	for _, other := range f.nodes[1:] {
		answer := other.machine.Heartbeat(f.now, n.id)
		assert.NilError(t, n.machine.HeartbeatAnswered(f.now, f.now, other.id, answer))
	}
	assert.Assert(t, n.machine.Trusted(f.now))
}

// TestRefusalIsNews has an instance refuse a connection from one peer: the rest
// of the zone must probe the instance at once and consider it dead before their
// own exchanges with it would be due.
func TestRefusalIsNews(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	victim := f.nodes[0]
	inc := f.viewOf(f.nodes[1], victim).Incarnation
	victim.cond = killed
	// No node has an exchange with the victim due soon.
	for _, n := range f.nodes[1:] {
		n.machine.members[victim.id].dueAt = n.machine.last + time.Minute
	}
	f.nodes[1].machine.PeerFailed(f.now, f.now, victim.id, ProcessEntry, FailRefused)
	f.runUntil(DefaultDeadGrace+time.Second/2, func() bool {
		for _, n := range f.nodes[1:8] {
			if !f.viewOf(n, victim).Ended(inc) {
				return false
			}
		}
		return true
	})
}

// TestRefutedMissingIsTold has one instance lose contact with another that the
// rest can reach: those with later evidence of liveness must tell it.
func TestRefutedMissingIsTold(t *testing.T) {
	f := newDefaultFleet(t)
	f.settle()
	x := f.nodes[0]
	f.lost = func(a, b *node) bool { return (a == x) != (b == x) && (a == f.nodes[1] || b == f.nodes[1]) }
	f.run(2 * time.Minute)
	assert.Equal(t, f.viewOf(f.nodes[1], x).State, Alive)
	assert.Assert(t, !f.viewOf(f.nodes[1], x).Reachable)
}
