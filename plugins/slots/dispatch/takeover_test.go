package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// TestPrefillOutlivesItsDispatcher kills the dispatcher while a prefill runs.
// When the prefill is done, its holder must get a decode slot from the new
// dispatcher, whether or not the holder is the new dispatcher itself and whether
// or not a renewal has told it of the placement.
func TestPrefillOutlivesItsDispatcher(t *testing.T) {
	for name, until := range map[string]time.Duration{
		"before a renewal": 10 * time.Millisecond,
		"after a renewal":  3 * renewInterval,
	} {
		for i := range 2 {
			t.Run(name, func(t *testing.T) {
				b := settledTestBed(1, 3, 20, 200)
				d := b.dispatcherNode()
				h := b.liveNodesExcept(d)[i]
				id := h.place(10 * time.Second)
				b.run(10 * time.Millisecond)
				assert.Equal(t, h.last(id).kind, "placed")
				d.dead = true
				for _, n := range b.nodes {
					n.setView(2, map[ident.InstanceID]bool{d.self.Instance: true})
					n.policy.refresh()
				}
				b.run(until)
				h.policy.Computed(id)
				b.run(300 * time.Millisecond)
				assert.Equal(t, h.last(id).kind, "decode", "holder %s got no decode engine", h.self.Instance)
			})
		}
	}
}

// liveNodesExcept returns the nodes that are not dead, without the given one.
func (b *testBed) liveNodesExcept(out *node) []*node {
	var list []*node
	for _, n := range b.nodes {
		if n != out && !n.dead {
			list = append(list, n)
		}
	}
	return list
}

// killDispatcher kills the dispatcher and gives all nodes a view in which it is
// dead.
func (b *testBed) killDispatcher() {
	d := b.dispatcherNode()
	d.dead = true
	for _, n := range b.nodes {
		n.setView(2, map[ident.InstanceID]bool{d.self.Instance: true})
		n.policy.refresh()
	}
}

// TestLostDecodeIsRepeatedAfterARenewal loses the message that names the decode
// engine. The holder's renewal then lists the placement without a decode engine.
// The dispatcher must keep its choice and repeat the message.
func TestLostDecodeIsRepeatedAfterARenewal(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	id := h.place(2 * time.Second)
	b.run(200 * time.Millisecond)
	h.policy.Computed(id)
	b.loss = 1
	b.run(2 * time.Millisecond)
	b.loss = 0
	h.policy.renewAll(d.self.Instance, testModel)
	b.run(2 * answerTimeout)
	assert.Equal(t, h.last(id).kind, "decode")
}

// TestNewDispatcherKnowsHowLongSlotsAreUsed has an engine report a request of
// which the new dispatcher learns later by a renewal. The dispatcher must count
// it as one request, not two.
func TestNewDispatcherKnowsHowLongSlotsAreUsed(t *testing.T) {
	b := settledTestBed(1, 3, 2, 200)
	h := b.holderNode()
	id := h.place(2 * time.Second)
	b.run(250 * time.Millisecond)
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	h.policy.Started(id)
	b.run(2 * time.Second)
	b.killDispatcher()
	d := b.dispatcherNode()
	used := d.Upstream(h.last(id).decode)
	used.Load = kernel.Load{At: b.now.Add(-time.Second), Running: 1, Slots: 2, PiecesUsed: 4, PiecesTotal: 200}
	b.run(50 * time.Millisecond)
	for _, e := range d.policy.dispatchers[testModel].decodes() {
		want := 2
		if e.u == used {
			want = 1
		}
		assert.Equal(t, e.slots, want, e.u.ID)
	}
}

// TestInstanceThatReachesNobodyDispatchesByItself cuts off a holder from all
// others while its view still shows them as live. The holder must become its own
// dispatcher, and use the common one again after the cut is healed.
func TestInstanceThatReachesNobodyDispatchesByItself(t *testing.T) {
	b := settledTestBed(1, 4, 20, 200)
	h := b.holderNode()
	for _, n := range b.nodes {
		b.cut[[2]ident.InstanceID{h.self.Instance, n.self.Instance}] = true
		b.cut[[2]ident.InstanceID{n.self.Instance, h.self.Instance}] = true
	}
	id := h.place(2 * time.Second)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "placed")
	assert.Equal(t, h.policy.dispatcherID(testModel), h.self.Instance)
	b.cut = map[[2]ident.InstanceID]bool{}
	b.run(2 * silencePeriod)
	assert.Equal(t, h.policy.dispatcherID(testModel), b.nodes[1].policy.dispatcherID(testModel), "holder did not return to the common dispatcher")
}

// TestPlacementsFollowTheDispatcher checks that a holder which moves a placement
// to a new dispatcher releases it at the old one. Otherwise the old dispatcher
// would keep a slot for it.
func TestPlacementsFollowTheDispatcher(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	id := h.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	h.policy.markUnreachable(d.self.Instance)
	b.run(10 * time.Millisecond)
	assert.Equal(t, len(d.policy.dispatchers[testModel].grants), 0)
	for _, n := range b.nodes {
		if n.self.Instance == h.policy.dispatcherID(testModel) {
			assert.Equal(t, len(n.policy.dispatchers[testModel].grants), 1)
		}
	}
	b.run(250 * time.Millisecond)
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "decode")
}

// TestLeavingInstanceAloneUsesItsShare checks an instance that is leaving and
// reaches no other instance. There is no dispatcher, so the kernel places
// requests itself, and Reserve must grant no more slots than the instance's
// static share.
func TestLeavingInstanceAloneUsesItsShare(t *testing.T) {
	const slots = 4
	b := settledTestBed(1, 3, slots, 200)
	h := b.holderNode()
	h.setView(2, map[ident.InstanceID]bool{"e1": true, "e2": true, "e3": true})
	for i := range h.view.Instances {
		if h.view.Instances[i].ID == h.self.Instance {
			h.view.Instances[i].Liveness = kernel.Leaving
		}
	}
	assert.Assert(t, !h.policy.Joint(testModel), "model has a dispatcher")
	got := 0
	for range 2 * slots {
		h.seq++
		id := ident.AttemptID{Instance: h.self.Instance, Incarnation: 1, Sequence: h.seq, Deadline: b.now.Add(20 * time.Second)}
		if h.policy.Reserve(kernel.SlotRequest{Reservation: id, Upstream: "d1", Pieces: 4}).Result == kernel.SlotReserved {
			got++
		}
	}
	assert.Equal(t, got, slots, "without other live instances, the share is the whole engine")
}
