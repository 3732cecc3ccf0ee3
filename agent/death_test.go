package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/kernel"
)

// deathTime is how soon an engine's death, and its return, must be known in all
// zones.
const deathTime = 5 * time.Second

// TestEngineDeathIsKnownInAllZones crashes an engine whose connections then end
// without an answer: no instance gives it work any more, in whatever zone, and
// all do soon after it is back.
func TestEngineDeathIsKnownInAllZones(t *testing.T) {
	inFleet(t, func(f *fleet) {
		e := f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(2, "hall-a", "hall-b", "hall-c")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine known", all(nodes[:1], "dc-1", kernel.Live))
		time.Sleep(10 * time.Second)
		const down = 12 * time.Second
		crashed := time.Now()
		e.Crash(down)
		took := f.within(deathTime, "death known everywhere", all(nodes, "dc-1", kernel.Unreachable))
		t.Logf("death known after %v", took)
		time.Sleep(time.Until(crashed.Add(down)))
		took = f.within(deathTime, "return known everywhere", all(nodes, "dc-1", kernel.Live))
		t.Logf("return known after %v", took)
	})
}

// TestBrokenStreamsAreLookedInto gives the entry of another zone a broken
// connection to report: its agent looks by itself, and believes what it sees.
func TestBrokenStreamsAreLookedInto(t *testing.T) {
	inFleet(t, func(f *fleet) {
		e := f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(1, "hall-a", "hall-b")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine known", all(nodes[:1], "dc-1", kernel.Live))
		time.Sleep(10 * time.Second)
		broken := feed.Evidence{Kind: feed.EvidenceBroken, Upstream: "dc-1", AgeMS: 1}
		say := func(list ...feed.Evidence) { nodes[1].entry.set(func(r *feed.Reply) { r.Evidence = list }) }
		say(broken)
		time.Sleep(3 * time.Second)
		assert.Assert(t, lives(nodes, "dc-1")[1] <= kernel.Suspect, "one broken connection proves nothing")
		say()
		time.Sleep(time.Second)
		f.net.cut(nodes[0].host, nodes[1].host, true)
		e.Crash(time.Minute)
		say(broken)
		took := f.within(2*time.Second, "seen dead", all(nodes[1:], "dc-1", kernel.Unreachable))
		t.Logf("seen dead after %v", took)
	})
}
