package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/kernel"
)

// loseHolder has a holder's decode begin, cuts the holder off from everyone and
// has the dispatcher know. The engines then report so many requests each.
func loseHolder(t *testing.T, running int) (b *bed, lost, other *node) {
	t.Helper()
	b = settled(1, 3, 2, 200)
	lost = b.holderNode()
	d := b.dispatcherNode()
	id := lost.place(2 * time.Second)
	b.run(250 * time.Millisecond)
	lost.policy.Computed(id)
	b.run(10 * time.Millisecond)
	assert.Equal(t, lost.last(id).what, "decode")
	lost.policy.Started(id)
	lost.frozen = true
	b.run(2 * time.Second)
	d.setView(2, nil)
	for i := range d.view.Instances {
		if d.view.Instances[i].ID == lost.self.Instance {
			d.view.Instances[i].Life = kernel.Unreachable
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

// heldOf counts the placements that the dispatcher has for a node.
func (b *bed) heldOf(n *node) int {
	return len(b.dispatcherNode().policy.groups[testModel].grantsOf(n.self.Instance))
}

// TestEndedPlacementsOfACutOffHolderLapse: its release cannot come, but the engine
// says that the request is over.
func TestEndedPlacementsOfACutOffHolderLapse(t *testing.T) {
	b, lost, _ := loseHolder(t, 0)
	assert.Equal(t, b.heldOf(lost), 0)
}

// TestRunningPlacementsOfACutOffHolderStay: the engine says that the request runs.
func TestRunningPlacementsOfACutOffHolderStay(t *testing.T) {
	b, lost, _ := loseHolder(t, 1)
	assert.Equal(t, b.heldOf(lost), 1)
}

// TestPlacementsOfLiveHoldersDoNotLapse: a live holder tells of its releases, and
// a report may be wrong.
func TestPlacementsOfLiveHoldersDoNotLapse(t *testing.T) {
	b, lost, _ := loseHolder(t, 1)
	d := b.dispatcherNode()
	d.setView(3, nil)
	for i := range d.view.Upstreams {
		d.view.Upstreams[i].Load = kernel.Load{At: b.now, Running: 0, Slots: 2, PiecesTotal: 200}
	}
	d.policy.groups[testModel].lapse()
	assert.Equal(t, b.heldOf(lost), 1)
}

// TestUnfinishedPlacementsOfACutOffHolderLapse: it cannot be named a slot, so that
// none must be kept for it.
func TestUnfinishedPlacementsOfACutOffHolderLapse(t *testing.T) {
	b := settled(1, 3, 2, 200)
	lost, d := b.holderNode(), b.dispatcherNode()
	lost.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	assert.Equal(t, b.heldOf(lost), 1)
	lost.frozen = true
	d.setView(2, nil)
	for i := range d.view.Instances {
		if d.view.Instances[i].ID == lost.self.Instance {
			d.view.Instances[i].Life = kernel.Unreachable
		}
	}
	d.policy.refresh()
	d.policy.groups[testModel].lapse()
	assert.Equal(t, b.heldOf(lost), 1, "its prefill still runs")
	b.run(time.Second)
	d.policy.groups[testModel].lapse()
	assert.Equal(t, b.heldOf(lost), 0)
}
