package agent

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/engines"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/standin/control"
)

// testHost is the host from which the test itself makes calls.
const testHost = "10.0.9.9"

// address returns the address of an upstream.
func (f *fleet) address(id ident.UpstreamID) string {
	for _, u := range f.upstreams {
		if u.ID == id {
			return u.Address
		}
	}
	f.t.Fatalf("no upstream %s", id)
	return ""
}

// engineClient returns a client for the test's own calls to engines.
func (f *fleet) engineClient() *engines.Client {
	c := engines.New(hostDialer{f.net, testHost}, time.Second)
	f.closers = append(f.closers, c.Close)
	return c
}

// do sends a request to an upstream and returns the status.
func (f *fleet) do(method string, id ident.UpstreamID, path, attempt, body string) int {
	client := &http.Client{Transport: &http.Transport{DialContext: hostDialer{f.net, testHost}.DialContext, DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+f.address(id)+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("X-Request-Id", attempt)
	resp, err := client.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// livenessAt returns the liveness of an upstream according to each node's entry.
func livenessAt(nodes []*node, id ident.UpstreamID) []kernel.Liveness {
	var out []kernel.Liveness
	for _, n := range nodes {
		if u := n.entry.upstream(id); u != nil {
			out = append(out, u.Liveness)
		}
	}
	return out
}

// upstreamIs returns a condition that holds if every node's entry has the given
// liveness for an upstream.
func upstreamIs(nodes []*node, id ident.UpstreamID, want kernel.Liveness) func() bool {
	return func() bool {
		list := livenessAt(nodes, id)
		for _, liveness := range list {
			if liveness != want {
				return false
			}
		}
		return len(list) == len(nodes)
	}
}

// TestUpstreamLeavesWhilePlatformIsDown checks that an engine's own report that
// it is draining reaches all instances, also those of the other zone, and is not
// reverted.
func TestUpstreamLeavesWhilePlatformIsDown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(3, "hall-a", "hall-b")
		time.Sleep(5 * time.Second)
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeDown}))
		f.do(http.MethodPut, "dc-1", control.PathFaults, "", `{"draining":true}`)
		took := f.within(4*time.Second, "leaving everywhere", upstreamIs(nodes, "dc-1", kernel.Leaving))
		t.Logf("leaving everywhere after %v", took)
		f.do(http.MethodPut, "dc-1", control.PathFaults, "", `{}`)
		time.Sleep(10 * time.Second)
		assert.Assert(t, upstreamIs(nodes, "dc-1", kernel.Leaving)(), "%v", livenessAt(nodes, "dc-1"))
	})
}

// TestEvidenceOfDraining checks that an entry's evidence is applied to the
// incarnation that it was about, and not to the next one.
func TestEvidenceOfDraining(t *testing.T) {
	inFleet(t, func(f *fleet) {
		e := f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(2, "hall-a")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine live", upstreamIs(nodes, "dc-1", kernel.Live))
		time.Sleep(5 * time.Second)
		drained := feed.Evidence{Kind: feed.EvidenceDraining, Upstream: "dc-1", AgeMS: 12_000}
		before := nodes[0].status().Fleet.Upstreams[0].Incarnation
		e.Crash(time.Second)
		f.within(10*time.Second, "new incarnation known", func() bool {
			return nodes[0].status().Fleet.Upstreams[0].Incarnation > before && upstreamIs(nodes, "dc-1", kernel.Live)()
		})
		nodes[0].entry.set(func(r *feed.Reply) { r.Evidence = []feed.Evidence{drained} })
		time.Sleep(3 * time.Second)
		assert.Assert(t, upstreamIs(nodes, "dc-1", kernel.Live)(), "evidence about the previous incarnation was applied: %v", livenessAt(nodes, "dc-1"))
		drained.AgeMS = 10
		nodes[0].entry.set(func(r *feed.Reply) { r.Evidence = []feed.Evidence{drained} })
		f.within(3*time.Second, "leaving everywhere", upstreamIs(nodes, "dc-1", kernel.Leaving))
	})
}

// TestDeadUpstreamComesBack checks that an upstream that refused connections gets
// no work and is detected again when it is back, including a service, which
// reports no load.
func TestDeadUpstreamComesBack(t *testing.T) {
	inFleet(t, func(f *fleet) {
		nodes := f.addAll(3, "hall-a")
		f.upstreams = append(f.upstreams, configservice.Upstream{ID: "desk-1", Zone: "hall-a", Address: "10.0.1.9:8000",
			Role: config.RoleService, Service: "desk", State: configservice.StateLive})
		f.list()
		startAll(nodes)
		// An entry sends requests only to upstreams of its view, so it has no evidence of others.
		f.within(5*time.Second, "service in all views", func() bool {
			return !slices.ContainsFunc(nodes, func(n *node) bool { return n.entry.upstream("desk-1") == nil })
		})
		for _, n := range nodes {
			n.entry.set(func(r *feed.Reply) {
				r.Evidence = []feed.Evidence{{Kind: feed.EvidenceRefused, Upstream: "desk-1"}}
			})
		}
		f.within(5*time.Second, "service dead", upstreamIs(nodes, "desk-1", kernel.Dead))
		time.Sleep(time.Minute)
		assert.Assert(t, upstreamIs(nodes, "desk-1", kernel.Dead)())
		f.serve("10.0.1.9:8000", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
		// Instances that do not poll its load consider it suspect again after
		// 10 s, and suspects get work.
		f.within(retryMax+5*time.Second, "service gets work", func() bool {
			for _, liveness := range livenessAt(nodes, "desk-1") {
				if liveness > kernel.Suspect {
					return false
				}
			}
			return true
		})
	})
}

// TestLeftovers checks that attempts that a dead instance left on an engine are
// released.
func TestLeftovers(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(3, "hall-a")
		time.Sleep(5 * time.Second)
		owner := nodes[0].status().Entry.Incarnation
		id := ident.AttemptID{Instance: nodes[0].id, Incarnation: owner, Sequence: 1, Deadline: time.Now().Add(time.Hour)}
		status := f.do(http.MethodPost, "dc-1", "/v1/completions", id.String(),
			fmt.Sprintf(`{"model":"reader","prompt":"a b c","max_tokens":%d,"stream":true}`, 4000))
		assert.Equal(t, status, http.StatusOK)
		bench := f.engineClient()
		held := func() int {
			list, err := bench.HeldAttempts(context.Background(), f.address("dc-1"))
			assert.NilError(t, err)
			return len(list)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, held(), 1, "attempt of a live owner released")
		nodes[0].stop()
		took := f.within(12*time.Second, "leftover released", func() bool { return held() == 0 })
		t.Logf("released after %v", took)
		released := uint64(0)
		for _, n := range nodes[1:] {
			released += n.status().Counters.Released
		}
		assert.Equal(t, released, uint64(1))
	})
}

// TestOrders checks that one instance orders engines to run what the bundle
// declares and corrects deviations, for engines that check fencing numbers and
// for those that do not.
func TestOrders(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(3, "hall-a")
		bench := f.engineClient()
		f.within(5*time.Second, "the engine that checks fencing numbers has seen version 1", func() bool {
			s, err := bench.ReadOrders(context.Background(), f.address("pf-1"))
			assert.NilError(t, err)
			return s.Highest == 1 && s.Loading == nil
		})
		f.publish(func(c *config.Content) {
			for i := range c.Upstreams {
				c.Upstreams[i].Version = "2"
			}
		})
		runs := func(id ident.UpstreamID, version string) func() bool {
			return func() bool {
				s, err := bench.ReadOrders(context.Background(), f.address(id))
				assert.NilError(t, err)
				return s.Version == version && s.Loading == nil
			}
		}
		f.within(20*time.Second, "prefill engine runs version 2", runs("pf-1", "2"))
		f.within(20*time.Second, "decode engine runs version 2", runs("dc-1", "2"))
		orders := uint64(0)
		for _, n := range nodes {
			orders += n.status().Counters.Orders
		}
		assert.Equal(t, orders, uint64(3), "one for the fence of version 1, two for version 2")
		_, err := bench.SendOrder(context.Background(), f.address("dc-1"), engines.Order{Fence: 1, Placement: engines.Placement{
			Role: config.RoleDecode, Models: []string{"reader"}, Version: "old",
		}})
		assert.NilError(t, err)
		f.within(time.Minute, "placement of the decode engine corrected", runs("dc-1", "2"))
	})
}

// TestNoOrdersWhileRechecking checks that after a pause no orders are given until
// the bundle is confirmed to be the newest.
func TestNoOrdersWhileRechecking(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("pf-1", "hall-a", config.RolePrefill)
		nodes := f.startFleet(1, "hall-a")
		time.Sleep(5 * time.Second)
		n := nodes[0]
		f.net.cut(n.host, platformHost, true)
		n.agent.post(func() { time.Sleep(10 * time.Second) })
		time.Sleep(11 * time.Second)
		assert.Equal(t, n.status().Bundle.Status, ledger.StatusRechecking)
		bench := f.engineClient()
		_, err := bench.SendOrder(context.Background(), f.address("pf-1"), engines.Order{Fence: 1, Placement: engines.Placement{
			Role: config.RolePrefill, Models: []string{"reader"}, Version: "other",
		}})
		assert.NilError(t, err)
		orders := n.status().Counters.Orders
		time.Sleep(3 * time.Second)
		assert.Equal(t, n.status().Bundle.Status, ledger.StatusRechecking)
		assert.Equal(t, n.status().Counters.Orders, orders)
		f.net.cut(n.host, platformHost, false)
		f.within(time.Minute, "placement corrected once the bundle is confirmed", func() bool {
			s, err := bench.ReadOrders(context.Background(), f.address("pf-1"))
			assert.NilError(t, err)
			return s.Version == "1"
		})
	})
}

// TestStop checks that a stopping instance announces that it is leaving, and that
// it has ended once its entry has finished; only then does its agent exit.
func TestStop(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.startFleet(3, "hall-a")
		time.Sleep(5 * time.Second)
		first := nodes[0].entry
		first.set(func(r *feed.Reply) { r.Stopping = true })
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			nodes[0].stopAgent()
		}()
		is := func(liveness kernel.Liveness) func() bool {
			return func() bool {
				return nodes[1].entry.instance("hall-a-1").Liveness == liveness && nodes[2].entry.instance("hall-a-1").Liveness == liveness
			}
		}
		f.within(3*time.Second, "leaving", is(kernel.Leaving))
		time.Sleep(30 * time.Second)
		assert.Assert(t, is(kernel.Leaving)())
		select {
		case <-stopped:
			t.Fatal("agent exited before its entry ended")
		default:
		}
		probes := nodes[1].status().Counters.Probes + nodes[2].status().Counters.Probes
		first.stop()
		f.within(3*time.Second, "dead", is(kernel.Dead))
		<-stopped
		assert.Equal(t, nodes[1].status().Counters.Probes+nodes[2].status().Counters.Probes, probes,
			"peers probed the entry although its agent announced its end")
	})
}
