package agent

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/standin/control"
)

// TestFedIncarnation checks that the entry does not mistake an upstream whose
// incarnation becomes known for a new process.
func TestFedIncarnation(t *testing.T) {
	a := &Agent{feed: feedState{incarnations: map[ident.UpstreamID]*reportedIncarnation{}}}
	incarnationFor := func(id ident.UpstreamID, inc ident.Incarnation) ident.Incarnation {
		return a.entryIncarnation(&membership.Upstream{ID: id, Incarnation: inc})
	}
	assert.Equal(t, incarnationFor("unnumbered", 0), ident.Incarnation(0))
	assert.Equal(t, incarnationFor("unnumbered", 5), ident.Incarnation(0), "the same process")
	assert.Equal(t, incarnationFor("unnumbered", 5), ident.Incarnation(0))
	assert.Equal(t, incarnationFor("unnumbered", 6), ident.Incarnation(6), "another process")
	assert.Equal(t, incarnationFor("numbered", 5), ident.Incarnation(5))
	assert.Equal(t, incarnationFor("numbered", 6), ident.Incarnation(6))
}

// TestSupersededOrdersNothing checks that an instance does not trust its view if a
// peer knows a higher incarnation of it.
func TestSupersededOrdersNothing(t *testing.T) {
	a := &Agent{view: &membership.View{Trusted: true}}
	assert.Assert(t, a.kernelView().Trusted)
	a.view = &membership.View{Trusted: true, Superseded: true}
	assert.Assert(t, !a.kernelView().Trusted)
}

// TestAnsweredPeersStayOnTheRoster checks that what a peer had in force remains
// part of a starting instance's floor if the peer fails before the instance is
// ready.
func TestAnsweredPeersStayOnTheRoster(t *testing.T) {
	a := benchAgent(t, 3, 0)
	report := ledger.FloorReport{From: peerSource("i-009"), Ready: true}
	a.reportRoll(report, nil)
	got := a.addFloorReporters([]ledger.Source{platformSource})
	assert.DeepEqual(t, got, []ledger.Source{platformSource, report.From})
}

// TestUnlistedUpstream checks that an upstream that the platform no longer lists
// gets no new work until it is listed again.
func TestUnlistedUpstream(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(2, "hall-a")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine live", upstreamIs(nodes, "dc-1", kernel.Live))
		listed := f.upstreams
		f.upstreams = nil
		f.list()
		f.within(3*time.Second, "no new work for the unlisted upstream", upstreamIs(nodes, "dc-1", kernel.Unreachable))
		f.upstreams = listed
		f.list()
		f.within(3*time.Second, "upstream gets work again", upstreamIs(nodes, "dc-1", kernel.Live))
	})
}

// TestReplacedInstancesAreForgotten checks that the state of removed instances is
// dropped. Instance IDs change over months, so keeping it would leak memory.
func TestReplacedInstancesAreForgotten(t *testing.T) {
	inFleet(t, func(f *fleet) {
		nodes := f.addAll(3, "hall-a")
		f.list()
		startAll(nodes)
		time.Sleep(5 * time.Second)
		partnerCount := func() int {
			n, err := callLoop(context.Background(), nodes[0].agent, func() int { return len(nodes[0].agent.partners) })
			assert.NilError(t, err)
			return n
		}
		assert.Equal(t, partnerCount(), 2)
		nodes[2].stop()
		f.listed = f.listed[:2]
		f.list()
		time.Sleep(5 * time.Second)
		assert.Equal(t, partnerCount(), 1)
	})
}

// TestFallback checks that other instances read the platform themselves if the
// zone's readers have had no response from it for a long time.
func TestFallback(t *testing.T) {
	inFleet(t, func(f *fleet) {
		nodes := f.startFleet(8, "hall-a")
		time.Sleep(5 * time.Second)
		others := 0
		for _, n := range nodes {
			if len(n.status().Platform.Watches) > 0 {
				f.net.cut(n.host, platformHost, true)
			} else {
				others++
			}
		}
		assert.Assert(t, others > 0)
		f.publish(nil)
		took := f.within(2*time.Minute, "version 2 in force", versionInForce(nodes, 2))
		t.Logf("in force everywhere after %v", took)
		assert.Assert(t, took > 20*time.Second, "other instances read the platform while the readers have news of it")
	})
}

// TestPlatformCallsWhileDown checks that an outage does not cause a storm of
// reads.
func TestPlatformCallsWhileDown(t *testing.T) {
	inFleet(t, func(f *fleet) {
		nodes := f.startFleet(6, "hall-a")
		time.Sleep(20 * time.Second)
		assert.NilError(t, f.platform.SetMode(control.PlatformMode{Mode: control.ModeDown}))
		time.Sleep(time.Minute)
		before := f.calls(nodes)
		time.Sleep(5 * time.Minute)
		perSecond := float64(f.calls(nodes)-before) / 300
		t.Logf("%.2f calls a second by 6 instances", perSecond)
		// 8 watches, each at most every 7.5 s; in addition, each instance runs
		// one watch for 12 s in every 30 s, with pauses that double from 0.1 s.
		assert.Assert(t, perSecond < 8/7.5+6*7/30.0, "%f calls a second", perSecond)
	})
}

// calls returns the sum of the nodes' calls to the platform.
func (f *fleet) calls(nodes []*node) uint64 {
	total := uint64(0)
	for _, n := range nodes {
		total += n.status().Platform.Calls
	}
	return total
}

// TestGarbledLists checks that the previous list stays in use if a list is
// malformed.
func TestGarbledLists(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.addEngine("dc-1", "hall-a", config.RoleDecode)
		nodes := f.addAll(2, "hall-a")
		f.list()
		startAll(nodes)
		f.within(5*time.Second, "engine live", upstreamIs(nodes, "dc-1", kernel.Live))
		f.platform.Put(configservice.KeyUpstreams, []byte(`{"upstreams":[`))
		f.platform.Put(configservice.KeyInstances, []byte(`[]`))
		time.Sleep(10 * time.Second)
		assert.Assert(t, upstreamIs(nodes, "dc-1", kernel.Live)())
		assert.Equal(t, nodes[0].status().Fleet.Instances[0].State, "alive")
		f.list()
		f.upstreams = append(f.upstreams, configservice.Upstream{ID: "dc-9", Zone: "hall-b", Address: "10.9.9.9:1", Role: config.RoleDecode, State: configservice.StateLive})
		f.list()
		f.within(3*time.Second, "valid list applied", func() bool { return nodes[1].entry.upstream("dc-9") != nil })
	})
}
