package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// startWorld returns a world in which all n nodes run and have finished their
// warm-up.
func startWorld(n int, zones ...ident.Zone) *world {
	w := newWorld(n, zones...)
	for _, x := range w.nodes {
		x.alive = true
	}
	for _, x := range w.nodes {
		x.start()
	}
	w.advance(warmUp, true)
	return w
}

// assertWithinLimits checks that the limits are not exceeded.
func (w *world) assertWithinLimits(t *testing.T) {
	t.Helper()
	sum := w.totalUsage()
	assert.Assert(t, sum.Slots <= limitSlots, "%d slots in use or usable", sum.Slots)
	assert.Assert(t, sum.Rate <= limitRate+negligibleRate, "%.3f requests per second usable", sum.Rate)
}

func TestPartsAddUp(t *testing.T) {
	for n := 1; n <= 7; n++ {
		sum := startWorld(n).totalUsage()
		assert.Equal(t, sum.Slots, limitSlots)
		assert.Assert(t, sum.Rate > limitRate-negligibleRate && sum.Rate < limitRate+negligibleRate)
	}
}

func TestSlotsPartsOverZones(t *testing.T) {
	zones := []string{"a", "b", "c"}
	extra := map[string]int{}
	for i := range 300 {
		name := ident.Workspace(fmt.Sprint("w", i))
		sum := 0
		for _, z := range zones {
			p := apportion(20, name, z, zones)
			sum += p
			extra[z] += p - 6
		}
		assert.Equal(t, sum, 20)
	}
	for _, z := range zones {
		assert.Assert(t, extra[z] > 150 && extra[z] < 250, "zone %s received the extra slot %d times", z, extra[z])
	}
}

func TestAdmit(t *testing.T) {
	configs := []config.Workspace{
		{Name: "free"},
		{Name: "rated", RatePerSecond: 10, Burst: 3},
		{Name: "narrow", Concurrency: 2},
	}
	w := startWorld(1)
	c := w.nodes[0].check
	c.Configure(&config.Content{Workspaces: configs})
	w.nodes[0].host.Time = w.now.Add(time.Minute)
	offer := func(name ident.Workspace, n int) (admitted int, last *kernel.Refusal) {
		for range n {
			r := plugintest.Request("r")
			r.Workspace = name
			if last = c.Admit(r); last == nil {
				admitted++
			}
		}
		return admitted, last
	}
	admitted, _ := offer("free", 100)
	assert.Equal(t, admitted, 100)
	admitted, _ = offer("not in the bundle", 1)
	assert.Equal(t, admitted, 1)

	admitted, _ = offer("rated", 1)
	assert.Equal(t, admitted, 1, "a new bucket has one token")
	w.nodes[0].host.Time = w.nodes[0].host.Time.Add(time.Minute)
	admitted, refusal := offer("rated", 10)
	assert.Equal(t, admitted, 3)
	assert.Equal(t, refusal.Reason, kernel.ReasonWorkspaceRate)
	assert.Equal(t, refusal.Problem, api.ProblemLimit)
	assert.Assert(t, refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= time.Second)

	admitted, refusal = offer("narrow", 10)
	assert.Equal(t, admitted, 2)
	assert.Equal(t, refusal.Reason, kernel.ReasonWorkspaceActive)
	r := plugintest.Request("r")
	r.Workspace = "narrow"
	c.Finished(r, api.Complete)
	admitted, _ = offer("narrow", 10)
	assert.Equal(t, admitted, 1)

	// A bundle without the limit takes effect at once.
	c.Configure(&config.Content{})
	admitted, _ = offer("narrow", 10)
	assert.Equal(t, admitted, 10)
	c.Finished(r, api.Complete)
}

// TestMessagesAreBounded checks that the asks for 1000 workspaces are combined
// into few messages, and that no message has more than maxAsks.
func TestMessagesAreBounded(t *testing.T) {
	var many config.Content
	for i := range 1000 {
		many.Workspaces = append(many.Workspaces, config.Workspace{
			Name: ident.Workspace(fmt.Sprint("w", i)), RatePerSecond: 2, Burst: 1,
		})
	}
	w := startWorld(3)
	n := w.nodes[0]
	n.check.Configure(&many)
	for i := range many.Workspaces {
		for range 3 {
			r := plugintest.Request("r")
			r.Workspace = many.Workspaces[i].Name
			n.check.Admit(r)
		}
	}
	n.host.Time = w.now.Add(askInterval)
	n.check.Wake()
	asks := 0
	for _, m := range n.host.Outbox {
		d := m.Message.(*Demand)
		assert.Assert(t, len(d.Asks) <= maxAsks)
		asks += len(d.Asks)
	}
	assert.Equal(t, asks, 2000, "not every workspace asks both peers")
	assert.Equal(t, len(n.host.Outbox), 10)
}

// TestIgnoresStrangers checks that messages from instances outside the zone, and
// messages with invalid contents, have no effect.
func TestIgnoresStrangers(t *testing.T) {
	w := startWorld(2, "hall-b")
	n := w.nodes[0]
	ask := Ask{Workspace: workspace, Want: Amount{Rate: 1, Slots: 1}}
	n.check.Receive("of-hall-b", &Demand{Number: 1, Asks: []Ask{ask}})
	n.check.Receive("nobody", &Demand{Number: 1, Asks: []Ask{ask}})
	ask.Want.Rate = -5
	n.check.Receive(w.nodes[1].id, &Demand{Number: 1, Asks: []Ask{ask}})
	n.check.Receive(w.nodes[1].id, &Demand{Number: 2, Asks: []Ask{{Workspace: "unknown"}}})
	n.check.Receive(w.nodes[1].id, &Reply{Incarnation: n.host.SelfInfo.Incarnation, Number: 9,
		Grants: []Grant{{Workspace: workspace, Amount: Amount{Rate: 100}}}})
	s := n.state()
	assert.Equal(t, n.check.usableAmount(s, w.now), n.check.base(s))
}

func BenchmarkAdmit(b *testing.B) {
	w := startWorld(8)
	n := w.nodes[0]
	r := plugintest.Request("r")
	r.Workspace = workspace
	b.ReportAllocs()
	for b.Loop() {
		if n.check.Admit(r) == nil {
			n.check.Finished(r, api.Complete)
		}
	}
}
