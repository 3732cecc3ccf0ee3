package console

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/inquiry"
	"github.com/wardspool/wardspool/peer"
)

// statusOf returns a status with the given bundle version in force, as modified
// by change, which may be nil.
func statusOf(version uint64, change func(*wire.Status)) wire.Status {
	s := wire.Status{
		Instance: "a-1", Zone: "hall-a",
		Bundle: wire.BundleStatus{Version: version, Status: ledger.StatusReady, RollSequence: 4, RollStage: "all"},
		Entry:  wire.EntryStatus{Incarnation: 1, Answers: true, BundleVersion: version},
		Fleet: wire.FleetStatus{
			Trusted: true,
			Instances: []wire.InstanceStatus{
				{ID: "a-2", State: "alive"}, {ID: "a-3", State: "dead"}, {ID: "a-4", State: "alive", Leaving: true},
			},
			Upstreams: []wire.UpstreamStatus{{ID: "pf-1", State: "alive", Listed: true}, {ID: "dc-1", State: "unreachable", Listed: true}},
		},
		Platform: wire.PlatformStatus{LastResponseAgeMS: 2500, Watches: []string{"instances"}},
		Process:  wire.ProcessStatus{UptimeMS: 10_000, CPUMS: 50, RSSBytes: 20 << 20},
		Traffic:  wire.TrafficStatus{Peers: wire.Traffic{Sent: 10_000, Received: 10_000}},
	}
	if change != nil {
		change(&s)
	}
	return s
}

func TestWrite(t *testing.T) {
	f := &Fleet{
		Agents: []wire.Status{
			statusOf(7, nil),
			statusOf(0, func(s *wire.Status) {
				s.Instance, s.Entry, s.Fleet = "a-9", wire.EntryStatus{}, wire.FleetStatus{}
				s.Platform.LastResponseAgeMS = -1
				s.Alarms = []wire.AlarmStatus{{Type: ledger.AlarmNoRoll, Text: "nothing-rolled; step: publish"}}
			}),
		},
		Unreachable: []inquiry.Unreachable{{Address: "127.0.0.1:1", Error: "refused"}},
	}
	var b bytes.Buffer
	assert.NilError(t, f.Write(&b))
	for _, want := range []string{
		"version none in force on 1  version 7 in force on 1",
		"1/3 instances 1/2 upstreams", "4 all", "2s ago, 1 watches", "0.50%", "20.0 MB", "2.00 KB/s",
		"a-1 sees: a-3 (dead), a-4 (leaving, alive), dc-1 (unreachable)",
		"not trusted", "never", "ALARM on a-9: nothing-rolled; step: publish", "not reached: 127.0.0.1:1: refused",
	} {
		assert.Check(t, strings.Contains(b.String(), want), "%q is not in\n%s", want, b.String())
	}
}

func TestEntryText(t *testing.T) {
	for want, e := range map[string]wire.EntryStatus{
		"none":     {},
		"silent":   {Incarnation: 1},
		"stopping": {Incarnation: 1, Answers: true, Stopping: true},
		"7":        {Incarnation: 1, Answers: true, BundleVersion: 7},
	} {
		assert.Equal(t, entryText(&e), want)
	}
	assert.Equal(t, viewText(&wire.FleetStatus{Trusted: true, Superseded: true}), "superseded")
	assert.Equal(t, viewText(&wire.FleetStatus{Trusted: true, Leaving: true}), "leaving")
}

func TestLook(t *testing.T) {
	all := func(peer.Identity) bool { return true }
	srv := peer.NewServer(peer.Config{Self: peer.Identity{Instance: "a-1", Incarnation: 1, Zone: "hall-a"}, Allow: all})
	peer.Handle(srv, wire.MethodStatus, func(context.Context, peer.Identity, wire.Empty) (wire.Status, error) {
		return statusOf(3, nil), nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	pool := peer.NewPool(peer.Config{Self: peer.Identity{Instance: "ops-1", Incarnation: 1, Zone: "operators"}, Allow: all})
	f := QueryFleet(t.Context(), pool, []string{l.Addr().String(), closed.Addr().String()})
	pool.Close()
	assert.NilError(t, srv.Shutdown(t.Context()))
	assert.NilError(t, <-done)
	assert.Equal(t, len(f.Agents), 1)
	assert.Equal(t, f.Agents[0].Bundle.Version, uint64(3))
	assert.Equal(t, len(f.Unreachable), 1)
	assert.DeepEqual(t, f.Versions(), []VersionCount{{Version: 3, Agents: 1}})
}
