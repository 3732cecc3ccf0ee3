package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
)

// makeHolderUnreachable starts a decode for a holder, freezes the holder, and
// marks it as unreachable in the dispatcher's view. Each engine then reports the
// given number of running requests, and another node's request triggers a
// scheduling pass.
func makeHolderUnreachable(t *testing.T, running int) (b *testBed, lost, other *node) {
	t.Helper()
	b = settledTestBed(1, 3, 2, 200)
	lost = b.holderNode()
	d := b.dispatcherNode()
	id := lost.place(2 * time.Second)
	b.run(250 * time.Millisecond)
	lost.policy.Computed(id)
	b.run(10 * time.Millisecond)
	assert.Equal(t, lost.last(id).kind, "decode")
	lost.policy.Started(id)
	lost.frozen = true
	b.run(2 * time.Second)
	d.setView(2, nil)
	for i := range d.view.Instances {
		if d.view.Instances[i].ID == lost.self.Instance {
			d.view.Instances[i].Liveness = kernel.Unreachable
		}
	}
	for i := range d.view.Upstreams {
		u := &d.view.Upstreams[i]
		u.Load = kernel.Load{At: b.now, Running: running, Slots: 2, PiecesTotal: 200}
	}
	for _, n := range b.nodes {
		if n != lost {
			other = n
		}
	}
	other.place(time.Minute)
	b.run(50 * time.Millisecond)
	return b, lost, other
}

// placementsOf returns the number of placements that the dispatcher has recorded
// for a node.
func (b *testBed) placementsOf(n *node) int {
	return len(b.dispatcherNode().policy.dispatchers[testModel].grantsOf(n.self.Instance))
}

// TestEndedPlacementsOfACutOffHolderLapse checks that a placement ends without a
// release, which cannot arrive from an unreachable holder, when the engine's
// load report shows that its request has ended.
func TestEndedPlacementsOfACutOffHolderLapse(t *testing.T) {
	b, lost, _ := makeHolderUnreachable(t, 0)
	assert.Equal(t, b.placementsOf(lost), 0)
}

// TestRunningPlacementsOfACutOffHolderStay checks that the placement of an
// unreachable holder is kept while the engine reports that the request runs.
// Otherwise its slot would be promised twice.
func TestRunningPlacementsOfACutOffHolderStay(t *testing.T) {
	b, lost, _ := makeHolderUnreachable(t, 1)
	assert.Equal(t, b.placementsOf(lost), 1)
}

// TestPlacementsOfLiveHoldersDoNotLapse checks that a load report does not end
// placements of live holders, which send their releases themselves, since the
// report may be wrong.
func TestPlacementsOfLiveHoldersDoNotLapse(t *testing.T) {
	b, lost, _ := makeHolderUnreachable(t, 1)
	d := b.dispatcherNode()
	d.setView(3, nil)
	for i := range d.view.Upstreams {
		d.view.Upstreams[i].Load = kernel.Load{At: b.now, Running: 0, Slots: 2, PiecesTotal: 200}
	}
	d.policy.dispatchers[testModel].lapse()
	assert.Equal(t, b.placementsOf(lost), 1)
}

// TestUnfinishedPlacementsOfACutOffHolderLapse checks that the placement of an
// unreachable holder that has no decode engine ends when its prefill should be
// done. The holder cannot be told a decode engine, so no slot needs to be kept.
func TestUnfinishedPlacementsOfACutOffHolderLapse(t *testing.T) {
	b := settledTestBed(1, 3, 2, 200)
	lost, d := b.holderNode(), b.dispatcherNode()
	lost.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	assert.Equal(t, b.placementsOf(lost), 1)
	lost.frozen = true
	d.setView(2, nil)
	for i := range d.view.Instances {
		if d.view.Instances[i].ID == lost.self.Instance {
			d.view.Instances[i].Liveness = kernel.Unreachable
		}
	}
	d.policy.refresh()
	d.policy.dispatchers[testModel].lapse()
	assert.Equal(t, b.placementsOf(lost), 1, "placement ended while its prefill runs")
	b.run(time.Second)
	d.policy.dispatchers[testModel].lapse()
	assert.Equal(t, b.placementsOf(lost), 0)
}
