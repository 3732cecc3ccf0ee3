package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/membership"
)

// feedSimulation simulates an agent and its entry, with a network between them
// that loses updates and replies.
type feedSimulation struct {
	*rapid.T
	agent       *Agent
	views       *peering.ViewCache
	incarnation ident.Incarnation
	upstreams   []configservice.Upstream
	index       uint64
	last        *kernel.View
}

// list passes the agent a new version of the list of upstreams.
func (r *feedSimulation) list() {
	r.index++
	doc, err := json.Marshal(configservice.Upstreams{Upstreams: r.upstreams})
	assert.NilError(r, err)
	assert.Assert(r, r.agent.applyUpstreams(r.agent.now, r.index, doc))
}

// applyRandomChange changes the simulated fleet at random.
func (r *feedSimulation) applyRandomChange() {
	a := r.agent
	u := &r.upstreams[rapid.IntRange(0, len(r.upstreams)-1).Draw(r.T, "upstream")]
	switch rapid.IntRange(0, 5).Draw(r.T, "what") {
	case 0, 1:
		report := membership.Report{Incarnation: 7, Sequence: uint32(a.now.Unix()), Running: rapid.IntRange(0, 3).Draw(r.T, "running"), Slots: 20}
		a.machine.UpstreamReport(a.now, a.now, u.ID, report)
	case 2:
		a.machine.UpstreamLeaving(a.now, u.ID, 0)
	case 3:
		u.Address = fmt.Sprintf("10.1.1.%d:1", rapid.IntRange(1, 250).Draw(r.T, "address"))
		r.list()
	case 4:
		r.upstreams = append(r.upstreams, configservice.Upstream{ID: ident.UpstreamID(fmt.Sprintf("new-%03d", r.index)), Zone: "zone-1", Address: "10.1.2.3:1", State: configservice.StateLive})
		r.list()
	case 5:
		r.incarnation++
		r.views = &peering.ViewCache{}
	}
}

// feed sends one update. The update or its reply may be lost.
func (r *feedSimulation) feed() {
	a := r.agent
	a.refreshView()
	a.feed.urgent = true
	u := a.composeUpdate()
	delivery := rapid.IntRange(0, 5).Draw(r.T, "fate")
	if delivery > 0 {
		if view, _, ok := r.views.Apply(u.View, a.now); ok {
			r.last = view
		}
	}
	if delivery <= 1 {
		a.feedFailed(u, &lostError{})
		return
	}
	a.feedAnswered(a.now, u, feed.Reply{Incarnation: r.incarnation, View: r.views.Number()})
}

type lostError struct{}

func (*lostError) Error() string { return "lost" }

// TestChangesMakeTheWhole checks that after any sequence of changes and lost
// messages, three delivered updates bring the entry to the state that full views
// would have given it: one to detect a new entry, one full view and one with
// changes.
func TestChangesMakeTheWhole(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		r := &feedSimulation{T: t, agent: benchAgent(outer, 5, 0), views: &peering.ViewCache{}, incarnation: 1, index: 10}
		for i := range 5 {
			r.upstreams = append(r.upstreams, configservice.Upstream{ID: ident.UpstreamID(fmt.Sprintf("runner-%d", i)), Zone: "zone-0", Address: "10.1.1.1:1", State: configservice.StateLive})
		}
		r.list()
		partial := 0
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			r.agent.now = r.agent.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			r.applyRandomChange()
			r.feed()
		}
		for range 3 {
			r.agent.now = r.agent.now.Add(time.Second)
			r.agent.refreshView()
			r.agent.feed.urgent = true
			u := r.agent.composeUpdate()
			if u.View.Base != 0 {
				partial++
			}
			if view, _, ok := r.views.Apply(u.View, r.agent.now); ok {
				r.last = view
			}
			r.agent.feedAnswered(r.agent.now, u, feed.Reply{Incarnation: r.incarnation, View: r.views.Number()})
		}
		assert.Assert(t, partial > 0, "no update had changes only")
		full := peering.KernelView(r.agent.feedView(), r.agent.now)
		approximately := cmp.Comparer(func(x, y time.Time) bool { return x.Sub(y).Abs() <= 2*ageRounding*time.Millisecond })
		assert.DeepEqual(t, r.last, full, approximately)
	})
}

// TestBundleChangesMakeTheWhole checks that after any sequence of versions, lost
// updates, lost replies and new entries, an entry that replies holds the content
// in force, and the next version is sent as changes.
func TestBundleChangesMakeTheWhole(outer *testing.T) {
	a := benchAgent(outer, 1, 0)
	a.refreshView()
	rapid.Check(outer, func(t *rapid.T) {
		a.feed.bundle, a.feed.sentBundle, a.feed.base, a.feed.reply = nil, nil, nil, feed.Reply{}
		entry, version := &peering.ContentCache{}, uint64(0)
		send := func(delivery int) feed.Update {
			version++
			c := &config.Content{Workspaces: make([]config.Workspace, rapid.IntRange(1, 4).Draw(t, "workspaces"))}
			c.Workspaces[0].Burst = rapid.IntRange(0, 3).Draw(t, "burst")
			a.now = a.now.Add(bundleRetry)
			a.feed.bundle, a.feed.bundleSent = &feed.Bundle{Version: version, Digest: fmt.Sprint(version), Content: c}, false
			u := a.composeUpdate()
			if delivery > 0 {
				if got := entry.Apply(u.Bundle); got != nil {
					assert.DeepEqual(t, got, c)
				}
			}
			if delivery <= 1 {
				a.feedFailed(u, &lostError{})
				return u
			}
			a.feedAnswered(a.now, u, feed.Reply{Incarnation: 1, Base: entry.Digest(), BundleVersion: version})
			return u
		}
		for range rapid.IntRange(1, 8).Draw(t, "versions") {
			if rapid.IntRange(0, 5).Draw(t, "new entry") == 0 {
				entry = &peering.ContentCache{}
			}
			send(rapid.IntRange(0, 3).Draw(t, "fate"))
		}
		send(2)
		send(2)
		assert.Assert(t, send(2).Bundle.Changes != nil)
		assert.Equal(t, entry.Digest(), a.feed.bundle.Digest)
	})
}

// TestOldEntriesGetWholeViews checks that an entry whose replies name no view, as
// older releases do, gets only full views.
func TestOldEntriesGetWholeViews(t *testing.T) {
	a := benchAgent(t, 5, 5)
	for range 3 {
		a.now = a.now.Add(time.Second)
		a.refreshView()
		a.feed.urgent = true
		u := a.composeUpdate()
		assert.Equal(t, u.View.Base, uint64(0))
		assert.Equal(t, len(u.View.Upstreams), 5)
		a.feed.bundle, a.feed.bundleSent = &feed.Bundle{Version: u.View.Number, Digest: fmt.Sprint(u.View.Number), Content: &config.Content{}}, false
		a.now = a.now.Add(time.Second)
		u = a.composeUpdate()
		assert.Assert(t, u.Bundle.Content != nil && u.Bundle.Changes == nil)
		a.feedAnswered(a.now, u, feed.Reply{Incarnation: 1})
	}
}

// TestSameUpstream checks that each field of an upstream and of its load counts
// as a change, and the load's age only beyond its growth with time.
func TestSameUpstream(t *testing.T) {
	load := kernel.Load{Running: 3, PiecesTotal: 100}
	before := feed.Upstream{ID: "dc-1", Address: "10.0.0.1:1", Load: &load, LoadAgeMS: 500}
	for name, tc := range map[string]struct {
		change func(*feed.Upstream)
		same   bool
	}{
		"older":       {func(u *feed.Upstream) { u.LoadAgeMS += 1000 }, true},
		"rounded":     {func(u *feed.Upstream) { u.LoadAgeMS += 1001 }, true},
		"fresher":     {func(u *feed.Upstream) { u.LoadAgeMS += 400 }, false},
		"other load":  {func(u *feed.Upstream) { u.LoadAgeMS += 1000; u.Load = &kernel.Load{Running: 3, PiecesTotal: 90} }, false},
		"no load":     {func(u *feed.Upstream) { u.LoadAgeMS += 1000; u.Load = nil }, false},
		"other place": {func(u *feed.Upstream) { u.LoadAgeMS += 1000; u.Address = "10.0.0.2:1" }, false},
		"new version": {func(u *feed.Upstream) { u.LoadAgeMS += 1000; u.SoftwareVersion = "v2" }, false},
		"leaving":     {func(u *feed.Upstream) { u.LoadAgeMS += 1000; u.Liveness = kernel.Leaving }, false},
	} {
		after := before
		tc.change(&after)
		assert.Equal(t, sameUpstream(&before, &after, time.Second), tc.same, name)
	}
}
