package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestEndIsTold ends an entry at every phase of its agent's heartbeat exchanges.
// The agent must notify each partner before it exits, so that none has to probe
// the entry.
func TestEndIsTold(t *testing.T) {
	const phases, apart = 20, 50 * time.Millisecond
	for i := range phases {
		phase := time.Duration(i) * apart
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			inFleet(t, func(f *fleet) { checkEndIsAnnounced(f, phase) })
		})
	}
}

func checkEndIsAnnounced(f *fleet, phase time.Duration) {
	nodes := f.startFleet(3, "hall-a")
	time.Sleep(5 * time.Second)
	ending := nodes[0]
	ending.entry.set(func(r *feed.Reply) { r.Stopping = true })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ending.stopAgent()
	}()
	time.Sleep(3*time.Second + phase)
	probes := map[ident.InstanceID]uint64{}
	for _, n := range nodes[1:] {
		probes[n.id] = n.status().Counters.Probes
	}
	ending.entry.stop()
	<-stopped
	for _, n := range nodes[1:] {
		f.within(time.Second, "dead", func() bool { return n.entry.instance(ending.id).Liveness == kernel.Dead })
		assert.Equal(f.t, n.status().Counters.Probes, probes[n.id])
	}
}

// TestSlowEntryIsNotEnded stops an agent alone while its entry does not reply in
// time. When the entry replies again and is not stopping, the agent must no
// longer wait for it to end.
func TestSlowEntryIsNotEnded(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.startFleet(2, "hall-a")[0]
		time.Sleep(5 * time.Second)
		n.entry.setDelay(2 * feedTimeout)
		time.Sleep(3 * feedTimeout)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			n.stopAgent()
		}()
		time.Sleep(feedTimeout)
		n.entry.setDelay(0)
		started := time.Now()
		<-stopped
		assert.Assert(t, time.Since(started) < 10*time.Second, "stopped after %v", time.Since(started))
	})
}

// TestSlowlyTakenBundle makes an entry take longer to accept a bundle than the
// timeout of an ordinary update. The bundle must not be sent repeatedly in the
// meantime.
func TestSlowlyTakenBundle(t *testing.T) {
	inFleet(t, func(f *fleet) {
		n := f.startFleet(1, "hall-a")[0]
		n.entry.bundleDelay = 3 * feedTimeout
		sent := n.status().Counters.FeedFailures
		f.publish(nil)
		f.within(30*time.Second, "the bundle in force", func() bool { return n.entry.version() == 2 })
		time.Sleep(10 * time.Second)
		assert.Equal(t, n.status().Counters.FeedFailures, sent)
		assert.Equal(t, n.status().Entry.BundleVersion, uint64(2))
	})
}
