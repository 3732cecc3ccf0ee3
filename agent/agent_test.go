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

// TestOneInstance checks that bundle, lists and loads reach the entry.
func TestOneInstance(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(1, "hall-a")
		f.within(2*time.Second, "entry ready and upstream load known", func() bool {
			u := nodes[0].entry.upstream("dc-1")
			_, last := nodes[0].entry.seen()
			return last.Ready && u != nil && u.Load != nil && u.Liveness == kernel.Live && u.Load.PiecesTotal == 2000
		})
		f.publish(nil)
		f.within(time.Second, "version 2 in force", versionInForce(nodes, 2))
	})
}

// TestFleetConverges checks that a version is in force everywhere soon after its
// roll, while only a few instances read the platform.
func TestFleetConverges(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(4, "hall-a", "hall-b")
		time.Sleep(20 * time.Second)
		for range 3 {
			f.publish(nil)
			took := f.within(2*time.Second, "next version in force", versionInForce(nodes, f.head.Manifest.Version))
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

// TestRelay checks that a zone that is partitioned from the platform gets bundles
// and lists from its peers.
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
		took := f.within(10*time.Second, "version 2 in force, also in the partitioned zone", versionInForce(nodes, 2))
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

// TestPlatformDownThenStale checks that nothing reverts to an older version while
// the platform is down and then stale, and that heartbeats continue.
func TestPlatformDownThenStale(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.addAll(3, "hall-a")
		f.list()
		f.publish(nil)
		old := f.platform.Put("marker", nil)
		startAll(nodes)
		f.within(8*time.Second, "version 1 in force", versionInForce(nodes, 1))
		f.publish(nil)
		f.within(2*time.Second, "version 2 in force", versionInForce(nodes, 2))
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeDown, DownBehavior: control.DownByClose}))
		time.Sleep(time.Minute)
		assert.Assert(t, versionInForce(nodes, 2)())
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeStale, StaleIndex: old}))
		time.Sleep(3 * time.Minute)
		assert.Assert(t, versionInForce(nodes, 2)())
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
		f.within(time.Minute, "version 3 in force after the outage", versionInForce(nodes, 3))
	})
}

// TestNewcomerLearnsTheFloor checks that an instance that starts while the
// platform serves an old roll does not serve a version below what its peers have
// in force.
func TestNewcomerLearnsTheFloor(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.addAll(3, "hall-a")
		f.list()
		f.publish(nil)
		old := f.platform.Put("marker", nil)
		startAll(nodes[:2])
		f.within(8*time.Second, "version 1 in force", versionInForce(nodes[:2], 1))
		f.publish(nil)
		f.within(2*time.Second, "version 2 in force", versionInForce(nodes[:2], 2))
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeStale, StaleIndex: old}))
		f.listDelay = 500 * time.Millisecond
		nodes[2].start()
		f.within(10*time.Second, "new instance ready", func() bool {
			_, last := nodes[2].entry.seen()
			assert.Assert(t, nodes[2].entry.version() != 1, "served a version below the floor")
			return last.Ready
		})
		assert.Equal(t, nodes[2].version(), uint64(2))
	})
}

// TestEntryRestarts checks that a restarted entry is sent its full state, and
// that the other instances learn of its new incarnation.
func TestEntryRestarts(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(2, "hall-a")
		time.Sleep(5 * time.Second)
		old := nodes[0].entry.instance("hall-a-1").Incarnation
		nodes[0].entry.stop()
		f.within(5*time.Second, "stopped entry known as dead", func() bool {
			in := nodes[1].entry.instance("hall-a-1")
			return in.Incarnation == old && in.Liveness == kernel.Dead
		})
		nodes[0].startEntry()
		f.within(2500*time.Millisecond, "version 1 in force on the new entry", versionInForce(nodes, 1))
		f.within(5*time.Second, "new incarnation of the entry known", func() bool {
			in := nodes[1].entry.instance("hall-a-1")
			return in.Incarnation > old && in.Liveness == kernel.Live
		})
	})
}

// TestSuspended checks that a suspension of the machine, which Go's clock does
// not count, is handled like any other pause.
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
		time.Sleep(2 * tickInterval)
		s := n.status()
		assert.Equal(t, s.Counters.Pauses, uint64(1))
		assert.Assert(t, !s.Fleet.Trusted)
		assert.Equal(t, s.Bundle.Status, ledger.StatusRechecking)
		assert.Assert(t, len(n.entry.pauses) == 1 && n.entry.pauses[0] >= 20_000, "%v", n.entry.pauses)
	})
}

// TestPaused checks that after a pause the view is not trusted until it is
// refreshed, and that the entry is notified.
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
		time.Sleep(20*time.Second + 2*tickInterval)
		s := n.status()
		assert.Equal(t, s.Counters.Pauses, uint64(1))
		assert.Assert(t, !s.Fleet.Trusted)
		assert.Equal(t, s.Bundle.Status, ledger.StatusRechecking)
		view, last := n.entry.seen()
		assert.Assert(t, !view.Trusted)
		assert.Assert(t, last.Ready, "entry continues to serve with the bundle in force")
		assert.Assert(t, len(n.entry.pauses) == 1 && n.entry.pauses[0] >= 20_000, "%v", n.entry.pauses)
		for _, other := range nodes[1:] {
			f.net.cut(n.host, other.host, false)
		}
		f.net.cut(n.host, platformHost, false)
		f.within(5*time.Second, "view trusted again", func() bool { return n.status().Fleet.Trusted })
		f.within(10*time.Second, "bundle confirmed again", func() bool { return n.status().Bundle.Status == ledger.StatusReady })
	})
}
