package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/internal/testclock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/standin/control"
)

// TestOneInstance: bundle, lists and loads reach the entry.
func TestOneInstance(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(1, "hall-a")
		f.within(2*time.Second, "loads and readiness at the entry", func() bool {
			u := nodes[0].entry.upstream("dc-1")
			_, last := nodes[0].entry.seen()
			return last.Ready && u != nil && u.Load != nil && u.Life == kernel.Live && u.Load.PiecesTotal == 2000
		})
		f.publish(nil)
		f.within(time.Second, "version 2 in force", allAt(nodes, 2))
	})
}

// TestFleetConverges: a version is in force everywhere soon after it is rolled,
// while few instances read the platform.
func TestFleetConverges(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(4, "hall-a", "hall-b")
		time.Sleep(20 * time.Second)
		for range 3 {
			f.publish(nil)
			took := f.within(2*time.Second, "next version in force", allAt(nodes, f.head.Manifest.Version))
			t.Logf("in force everywhere after %v", took)
			time.Sleep(time.Second)
		}
		watches := 0
		for _, n := range nodes {
			watches += len(n.status().Platform.Watches)
		}
		assert.Equal(t, watches, 2*2*len(watchedKeys), "two readers of each key in each zone")
		before := f.platform.Judge().Calls
		time.Sleep(time.Minute)
		assert.Assert(t, f.platform.Judge().Calls-before <= 16*7, "a watch polls every 10 s")
	})
}

// TestRelay: a zone that is cut off from the platform gets bundles and lists from
// its peers.
func TestRelay(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(3, "hall-a", "hall-b")
		time.Sleep(10 * time.Second)
		for _, n := range nodes[3:] {
			f.net.cut(n.host, platformHost, true)
		}
		f.publish(nil)
		f.addEngine("pf-2", "hall-b", config.RolePrefill)
		f.list()
		took := f.within(10*time.Second, "version 2 in force, also where the platform is cut off", allAt(nodes, 2))
		t.Logf("in force everywhere after %v", took)
		f.within(5*time.Second, "new upstream known everywhere", func() bool {
			for _, n := range nodes {
				if n.entry.upstream("pf-2") == nil {
					return false
				}
			}
			return true
		})
	})
}

// TestPlatformDownThenStale: nothing reverts, and heartbeats go on.
func TestPlatformDownThenStale(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.addAll(3, "hall-a")
		f.list()
		f.publish(nil)
		old := f.platform.Put("marker", nil)
		startAll(nodes)
		f.within(8*time.Second, "version 1 in force", allAt(nodes, 1))
		f.publish(nil)
		f.within(2*time.Second, "version 2 in force", allAt(nodes, 2))
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeDown, DownBy: control.DownByClose}))
		time.Sleep(time.Minute)
		assert.Assert(t, allAt(nodes, 2)())
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeStale, StaleIndex: old}))
		time.Sleep(3 * time.Minute)
		assert.Assert(t, allAt(nodes, 2)())
		stale := uint64(0)
		for _, n := range nodes {
			s := n.status()
			assert.Assert(t, s.Fleet.Trusted)
			assert.Equal(t, s.Fleet.Instances[0].State, "alive")
			stale += s.Platform.Stale
		}
		assert.Assert(t, stale > 0)
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeUp}))
		f.publish(nil)
		f.within(time.Minute, "version 3 in force after the outage", allAt(nodes, 3))
	})
}

// TestNewcomerLearnsTheFloor: an instance that starts while the platform serves
// an old roll does not serve below what its peers have in force.
func TestNewcomerLearnsTheFloor(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.addAll(3, "hall-a")
		f.list()
		f.publish(nil)
		old := f.platform.Put("marker", nil)
		startAll(nodes[:2])
		f.within(8*time.Second, "version 1 in force", allAt(nodes[:2], 1))
		f.publish(nil)
		f.within(2*time.Second, "version 2 in force", allAt(nodes[:2], 2))
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeStale, StaleIndex: old}))
		f.slowLists = 500 * time.Millisecond
		nodes[2].start()
		f.within(10*time.Second, "newcomer ready", func() bool {
			_, last := nodes[2].entry.seen()
			assert.Assert(t, nodes[2].entry.version() != 1, "served below the floor")
			return last.Ready
		})
		assert.Equal(t, nodes[2].version(), uint64(2))
	})
}

// TestEntryRestarts: a new life of the entry is sent everything, and the others
// learn of it.
func TestEntryRestarts(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(2, "hall-a")
		time.Sleep(5 * time.Second)
		old := nodes[0].entry.instance("hall-a-1").Incarnation
		nodes[0].entry.stop()
		f.within(5*time.Second, "the other entry knows that it is dead", func() bool {
			in := nodes[1].entry.instance("hall-a-1")
			return in.Incarnation == old && in.Life == kernel.Dead
		})
		nodes[0].startEntry()
		f.within(2500*time.Millisecond, "version 1 in force on the new entry", allAt(nodes, 1))
		f.within(5*time.Second, "the other entry knows the new life", func() bool {
			in := nodes[1].entry.instance("hall-a-1")
			return in.Incarnation > old && in.Life == kernel.Live
		})
	})
}

// TestSuspended: a suspension of the machine, which Go's clock doesn't count, is a pause like
// any other.
func TestSuspended(t *testing.T) {
	inFleet(t, func(f *fleet) {
		c := testclock.Use(t)
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(3, "hall-a")
		time.Sleep(5 * time.Second)
		n := nodes[0]
		assert.Assert(t, n.status().Fleet.Trusted)
		for _, other := range nodes[1:] {
			f.net.cut(n.host, other.host, true)
		}
		f.net.cut(n.host, platformHost, true)
		c.Suspend(20 * time.Second)
		time.Sleep(2 * tick)
		s := n.status()
		assert.Equal(t, s.Counters.Pauses, uint64(1))
		assert.Assert(t, !s.Fleet.Trusted)
		assert.Equal(t, s.Bundle.Status, ledger.StatusRechecking)
		assert.Assert(t, len(n.entry.pauses) == 1 && n.entry.pauses[0] >= 20_000, "%v", n.entry.pauses)
	})
}

// TestPaused: after a pause the view is not trusted until it was refreshed, and
// the entry is told.
func TestPaused(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(3, "hall-a")
		time.Sleep(5 * time.Second)
		n := nodes[0]
		assert.Assert(t, n.status().Fleet.Trusted)
		for _, other := range nodes[1:] {
			f.net.cut(n.host, other.host, true)
		}
		f.net.cut(n.host, platformHost, true)
		n.agent.post(func() { time.Sleep(20 * time.Second) })
		time.Sleep(20*time.Second + 2*tick)
		s := n.status()
		assert.Equal(t, s.Counters.Pauses, uint64(1))
		assert.Assert(t, !s.Fleet.Trusted)
		assert.Equal(t, s.Bundle.Status, ledger.StatusRechecking)
		view, last := n.entry.seen()
		assert.Assert(t, !view.Trusted)
		assert.Assert(t, last.Ready, "it goes on serving by the bundle in force")
		assert.Assert(t, len(n.entry.pauses) == 1 && n.entry.pauses[0] >= 20_000, "%v", n.entry.pauses)
		for _, other := range nodes[1:] {
			f.net.cut(n.host, other.host, false)
		}
		f.net.cut(n.host, platformHost, false)
		f.within(5*time.Second, "trusted again", func() bool { return n.status().Fleet.Trusted })
		f.within(10*time.Second, "bundle confirmed again", func() bool { return n.status().Bundle.Status == ledger.StatusReady })
	})
}
