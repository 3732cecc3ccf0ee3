package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/settings"
)

// sizes are the fleet sizes of today, of the users' plans and one between.
var sizes = []struct{ instances, upstreams int }{{8, 12}, {68, 100}, {410, 600}}

// benchAgent returns an agent with lists and load reports of the given sizes, in
// six zones. Its loop does not run.
func benchAgent(b testing.TB, instances, upstreams int) *Agent {
	text := fmt.Sprintf(`
instance: i-000
zone: zone-0
entry: {feed: "127.0.0.1:1"}
peers: {listen: "127.0.0.1:0"}
platform: {urls: ["http://127.0.0.1:1"]}
approvers: {epoch: 1, quorum: 1, keys: [{name: ada, key: %s}]}
`, approvers().Keys[0].Key)
	s, err := settings.Parse[Settings]("agent.yaml", []byte(text))
	assert.NilError(b, err)
	a, err := New(s, Options{Log: slog.New(slog.DiscardHandler), Seed: 1})
	assert.NilError(b, err)
	var l configservice.Instances
	for i := range instances {
		l.Instances = append(l.Instances, configservice.Instance{
			ID: ident.InstanceID(fmt.Sprintf("i-%03d", i)), Zone: zoneOf(i), Region: "region-1", State: configservice.StateLive,
			PeerAddress: "10.100.200.1:9100", AgentAddress: "10.100.200.1:9101", CallerAddress: "10.100.200.1:8080",
		})
	}
	doc, err := json.Marshal(l)
	assert.NilError(b, err)
	assert.Assert(b, a.applyInstances(a.now, 1, doc))
	var u configservice.Upstreams
	for i := range upstreams {
		u.Upstreams = append(u.Upstreams, configservice.Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("runner-%03d", i)), Zone: zoneOf(i), Address: "10.100.100.1:8000",
			Role: config.RoleDecode, Models: []string{"model-1"}, State: configservice.StateLive, Incarnation: 1796223493000,
		})
	}
	doc, err = json.Marshal(u)
	assert.NilError(b, err)
	assert.Assert(b, a.applyUpstreams(a.now, 1, doc))
	for i := range upstreams {
		a.machine.UpstreamReport(a.now, a.now, ident.UpstreamID(fmt.Sprintf("runner-%03d", i)),
			membership.Report{Incarnation: 1796223493000, Sequence: 1, Running: 12, Slots: 20, PiecesUsed: 100})
	}
	a.directory.lists.instances.index, a.directory.lists.upstreams.index = 1, 1
	a.feed.reply.Incarnation = 1796223493000
	return a
}

// zoneOf returns the zone of the i-th process, which distributes processes over
// six zones.
func zoneOf(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%6)) }

// BenchmarkView measures a refresh of the view, which happens up to five times a
// second.
func BenchmarkView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			b.ReportAllocs()
			for b.Loop() {
				a.refreshView()
			}
		})
	}
}

// BenchmarkFeed measures composing a view for the entry and encoding it as JSON,
// which happens as often as the view gap allows.
func BenchmarkFeed(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.refreshView()
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				doc, err := json.Marshal(a.feedView())
				assert.NilError(b, err)
				bytes = len(doc)
			}
			b.ReportMetric(float64(bytes), "json-bytes")
		})
	}
}

// changedStride is the stride between upstreams with a new load report since the
// last view: one in six, as if one of six zones had changed.
const changedStride = 6

// BenchmarkFeedChanges measures composing the changes for an entry that holds the
// last view.
func BenchmarkFeedChanges(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.refreshView()
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				a.feed.sent = a.feedView()
				a.feed.sent.Number, a.feed.reply.View = 1, 1
				for i := 0; i < len(a.feed.sent.Upstreams); i += changedStride {
					a.feed.sent.Upstreams[i].LoadAgeMS += time.Second.Milliseconds()
				}
				a.feed.agesAt = a.now
				doc, err := json.Marshal(a.nextView())
				assert.NilError(b, err)
				bytes = len(doc)
			}
			b.ReportMetric(float64(bytes), "json-bytes")
		})
	}
}

// BenchmarkFeedTaken measures the entry's handling of a full view: decoding it
// and converting it to the kernel's form.
func BenchmarkFeedTaken(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.refreshView()
			doc, err := json.Marshal(feed.Update{View: a.feedView()})
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				var u feed.Update
				if err := json.Unmarshal(doc, &u); err != nil {
					b.Fatal(err)
				}
				peering.KernelView(u.View, a.now)
			}
		})
	}
}

// BenchmarkFeedChangesTaken measures the entry's handling of a view that has only
// changes.
func BenchmarkFeedChangesTaken(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.refreshView()
			var views peering.ViewCache
			full := a.feedView()
			full.Number = 1
			views.Apply(full, a.now)
			next := *full
			next.Base, next.Instances, next.Upstreams = 1, nil, nil
			for i := 0; i < len(full.Upstreams); i += changedStride {
				next.Upstreams = append(next.Upstreams, full.Upstreams[i])
			}
			doc, err := json.Marshal(feed.Update{View: &next})
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				var u feed.Update
				if err := json.Unmarshal(doc, &u); err != nil {
					b.Fatal(err)
				}
				if _, _, ok := views.Apply(u.View, a.now); !ok {
					b.Fatal("view not accepted")
				}
			}
		})
	}
}

// BenchmarkSecond measures work that is done every second even if nothing
// changes.
func BenchmarkSecond(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.callCtx, a.endCalls = cancelledContext()
			a.refreshView()
			b.ReportAllocs()
			for b.Loop() {
				a.now = a.now.Add(time.Millisecond)
				a.electReaders()
				a.machine.Due(a.now)
			}
		})
	}
}

// BenchmarkRoster measures updating the ledger's list of sources for the floor.
func BenchmarkRoster(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.callCtx, a.endCalls = cancelledContext()
			a.refreshView()
			b.ReportAllocs()
			for b.Loop() {
				a.updateSourceSet()
			}
		})
	}
}

// BenchmarkAssign measures assigning the upstreams to read, which happens every 5
// s and when the view changes.
func BenchmarkAssign(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			a.refreshView()
			b.ReportAllocs()
			for b.Loop() {
				a.assignLoads()
			}
		})
	}
}

// BenchmarkHeartbeat measures composing a heartbeat and applying the reply.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d-%d", size.instances, size.upstreams), func(b *testing.B) {
			a := benchAgent(b, size.instances, size.upstreams)
			const other = ident.InstanceID("i-006")
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				a.now = a.now.Add(time.Second)
				hb := a.composeHeartbeat(other)
				doc, err := json.Marshal(hb)
				assert.NilError(b, err)
				bytes = len(doc)
				if err := json.Unmarshal(doc, &hb); err != nil {
					b.Fatal(err)
				}
				if err := a.machine.HeartbeatAnswered(a.now, a.now, other, hb.Heartbeat); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "json-bytes")
		})
	}
}

// cancelledContext returns a context that is already cancelled, so that no calls
// are made.
func cancelledContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx, cancel
}
