package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// settled lets a new dispatcher's take-over end.
func settled(seed uint64, instances, slots, pieces int) *bed {
	b := newBed(seed, instances, slots, pieces)
	h := b.holderNode()
	h.policy.Release(h.place(time.Minute))
	b.run(2 * time.Second)
	return b
}

func TestPlacedThenDecodeNamedAfterPrefill(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h := b.holderNode()
	id := h.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	assert.Equal(t, h.last(id).what, "placed")
	assert.Equal(t, h.last(id).decode, ident.UpstreamID(""))
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	assert.Equal(t, h.last(id).what, "decode")
}

func TestPrefillEnginesAreFedOnePromptAhead(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h := b.holderNode()
	var ids []ident.AttemptID
	for range 6 {
		ids = append(ids, h.place(5*time.Second))
	}
	b.run(10 * time.Millisecond)
	placed := 0
	for _, id := range ids {
		if h.last(id).what == "placed" {
			placed++
		}
	}
	assert.Equal(t, placed, 2, "one prompt for each of two idle engines")
}

func TestNoPrefillWithoutASlot(t *testing.T) {
	b := settled(1, 2, 1, 200)
	h := b.holderNode()
	first, second := h.place(time.Second), h.place(time.Second)
	b.run(250 * time.Millisecond)
	h.policy.Computed(first)
	h.policy.Computed(second)
	b.run(10 * time.Millisecond)
	h.policy.Started(first)
	h.policy.Started(second)
	third := h.place(time.Second)
	b.run(20 * time.Millisecond)
	assert.Equal(t, h.last(third).what, "refused", "both slots are taken for longer than the target allows")
}

func TestLateAskIsRefusedAtOnce(t *testing.T) {
	b := settled(1, 2, 20, 200)
	h := b.holderNode()
	for range 12 {
		h.place(10 * time.Second)
	}
	id := h.place(300 * time.Millisecond)
	// The queue is in deadline order, so this ask comes first, but both engines
	// are busy for 200 ms and it needs 200 ms itself.
	b.run(5 * time.Millisecond)
	assert.Equal(t, h.last(id).what, "refused")
}

func TestReleaseWithdrawsAnAskInTheQueue(t *testing.T) {
	b := settled(1, 2, 20, 200)
	h := b.holderNode()
	var ids []ident.AttemptID
	for range 5 {
		ids = append(ids, h.place(10*time.Second))
	}
	b.run(5 * time.Millisecond)
	for _, id := range ids {
		h.policy.Release(id)
	}
	b.run(5 * time.Millisecond)
	g := b.dispatcherNode().policy.groups[testModel]
	assert.Equal(t, len(g.waiting)+len(g.grants)+len(g.ready), 0)
}

func TestSilentDispatcherIsReplacedByTheNext(t *testing.T) {
	for name, fail := range map[string]func(*bed, *node){
		"killed": func(_ *bed, d *node) { d.dead = true },
		"frozen": func(_ *bed, d *node) { d.frozen = true },
		"cut": func(b *bed, d *node) {
			for _, n := range b.nodes {
				b.cut[[2]ident.InstanceID{n.self.Instance, d.self.Instance}] = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := settled(1, 3, 20, 200)
			h, d := b.holderNode(), b.dispatcherNode()
			fail(b, d)
			id := h.place(2 * time.Second)
			b.run(3 * answerTime)
			assert.Equal(t, h.last(id).what, "placed", "by the next")
			next := h.policy.dispatcher(testModel)
			assert.Assert(t, next != d.self.Instance && next != "")
			for _, n := range b.nodes {
				if n != d {
					// Its own asks find the same next one.
					n.place(2 * time.Second)
				}
			}
			b.run(3 * answerTime)
			for _, n := range b.nodes {
				if n != d {
					assert.Equal(t, n.policy.dispatcher(testModel), next, "all agree on the next")
				}
			}
		})
	}
}

func TestQueuedAskMovesToTheNewDispatcher(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	var ids []ident.AttemptID
	for range 6 {
		ids = append(ids, h.place(10*time.Second))
	}
	b.run(10 * time.Millisecond)
	d.dead = true
	for _, n := range b.nodes {
		n.setView(2, map[ident.InstanceID]bool{d.self.Instance: true})
		n.policy.refresh()
	}
	b.run(5 * time.Second)
	for _, id := range ids {
		assert.Assert(t, h.last(id).what != "", "reservation %s was never answered", id)
	}
}

func TestDeadHoldersPlacementsEnd(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	id := h.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	h.dead = true
	for _, n := range b.nodes {
		n.setView(2, map[ident.InstanceID]bool{h.self.Instance: true})
		n.policy.refresh()
	}
	assert.Equal(t, len(d.policy.groups[testModel].grants), 0)
}

func TestFrozenHoldersPlacementLastsToItsDeadline(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	id := h.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	h.frozen = true
	b.run(15 * time.Second)
	assert.Equal(t, len(d.policy.groups[testModel].grants), 1, "its caller may still wait")
	b.run(10 * time.Second)
	assert.Equal(t, len(d.policy.groups[testModel].grants), 0)
}

func TestLostReleaseIsHealedByRenewal(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	kept := h.place(2 * time.Second)
	lost := h.place(2 * time.Second)
	b.run(250 * time.Millisecond)
	h.policy.Computed(kept)
	h.policy.Computed(lost)
	b.run(2 * time.Second)
	b.loss = 1
	h.policy.Release(lost)
	b.loss = 0
	b.run(3 * renewTime)
	assert.Equal(t, len(d.policy.groups[testModel].grants), 1)
}

func TestSlotComesLate(t *testing.T) {
	b := settled(1, 2, 1, 200)
	h := b.holderNode()
	for range 2 {
		id := h.place(time.Second)
		b.run(250 * time.Millisecond)
		h.policy.Computed(id)
		b.run(10 * time.Millisecond)
		h.policy.Started(id)
	}
	patient := h.place(18 * time.Second)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(patient).what, "", "its result would be evicted before a slot falls free")
}

func TestLostAskIsRepeated(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h := b.holderNode()
	b.loss = 1
	id := h.place(2 * time.Second)
	b.loss = 0
	b.run(answerTime + 10*time.Millisecond)
	assert.Equal(t, h.last(id).what, "placed")
}

func TestOldLoadReportDoesNotHoldSlots(t *testing.T) {
	b := settled(1, 2, 2, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	reported := b.now
	for i := range d.view.Upstreams {
		if d.view.Upstreams[i].Spec.Role == config.RoleDecode {
			d.view.Upstreams[i].Load = kernel.Load{At: reported, Running: 2, Slots: 2, PiecesUsed: 8, PiecesTotal: 200}
		}
	}
	early := h.place(2 * time.Second)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(early).what, "refused", "a fresh report of full engines is believed")
	b.run(endedTime + time.Second)
	id := h.place(2 * time.Second)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(id).what, "placed", "an old one is not")
}

func TestBurstOnIdleEnginesWaitsItsTurn(t *testing.T) {
	b := settled(1, 2, 2, 200)
	h := b.holderNode()
	var ids []ident.AttemptID
	for range 12 {
		ids = append(ids, h.place(time.Minute))
	}
	b.run(50 * time.Millisecond)
	for _, id := range ids {
		assert.Assert(t, h.last(id).what != "refused", "three waves of slots fit into the target")
	}
}

func TestComeBackIsBounded(t *testing.T) {
	b := settled(1, 2, 2, 2)
	h := b.holderNode()
	id := h.place(time.Second)
	b.run(50 * time.Millisecond)
	assert.Equal(t, h.last(id).what, "refused", "no engine has memory for it at any time")
	assert.Assert(t, h.comeBack[id] <= 2*maxComeBack, "%v", h.comeBack[id])
}

// TestEqualEnginesShareDecodes places decodes on engines whose pace does not
// depend on their load, as far as the bundle says: they get equal shares.
func TestEqualEnginesShareDecodes(t *testing.T) {
	b := settled(1, 3, 20, 200)
	h := b.holderNode()
	got := map[ident.UpstreamID]int{}
	for range 8 {
		got[h.last(h.decoding(t)).decode]++
	}
	assert.Equal(t, got["d1"], 4, "%v", got)
	assert.Equal(t, got["d2"], 4, "%v", got)
}
