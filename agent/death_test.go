package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/kernel"
)

// detectionLimit limits the time until an engine's death, or its return, is known
// in all zones.
const detectionLimit = 5 * time.Second

// TestEngineDeathIsKnownInAllZones crashes an engine, whose connections then end
// without a response. No instance in any zone may send it work after that, and
// all must do so soon after it is back.
func TestEngineDeathIsKnownInAllZones(t *testing.T) {
	inFleet(t, func(f *fleet) {
		e := f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(2, "hall-a", "hall-b", "hall-c")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine known", upstreamIs(nodes[:1], "dc-1", kernel.Live))
		time.Sleep(10 * time.Second)
		const down = 12 * time.Second
		crashed := time.Now()
		e.Crash(down)
		took := f.within(detectionLimit, "death known everywhere", upstreamIs(nodes, "dc-1", kernel.Unreachable))
		t.Logf("death known after %v", took)
		time.Sleep(time.Until(crashed.Add(down)))
		took = f.within(detectionLimit, "return known everywhere", upstreamIs(nodes, "dc-1", kernel.Live))
		t.Logf("return known after %v", took)
	})
}

// TestBrokenStreamsAreLookedInto makes the entry of another zone report a broken
// connection. Its agent must check the engine itself and rely on that result.
func TestBrokenStreamsAreLookedInto(t *testing.T) {
	inFleet(t, func(f *fleet) {
		e := f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(1, "hall-a", "hall-b")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine known", upstreamIs(nodes[:1], "dc-1", kernel.Live))
		time.Sleep(10 * time.Second)
		broken := feed.Evidence{Kind: feed.EvidenceBroken, Upstream: "dc-1", AgeMS: 1}
		setEvidence := func(list ...feed.Evidence) { nodes[1].entry.set(func(r *feed.Reply) { r.Evidence = list }) }
		setEvidence(broken)
		time.Sleep(3 * time.Second)
		assert.Assert(t, livenessAt(nodes, "dc-1")[1] <= kernel.Suspect, "one broken connection is no proof of a failure")
		setEvidence()
		time.Sleep(time.Second)
		f.net.cut(nodes[0].host, nodes[1].host, true)
		e.Crash(time.Minute)
		setEvidence(broken)
		took := f.within(2*time.Second, "engine known as unreachable", upstreamIs(nodes[1:], "dc-1", kernel.Unreachable))
		t.Logf("known as unreachable after %v", took)
	})
}
