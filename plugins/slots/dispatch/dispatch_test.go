package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// settledTestBed returns a testBed in which the dispatcher's take-over margin has
// expired.
func settledTestBed(seed uint64, instances, slots, pieces int) *testBed {
	b := newTestBed(seed, instances, slots, pieces)
	h := b.holderNode()
	h.policy.Release(h.place(time.Minute))
	b.run(2 * time.Second)
	return b
}

func TestPlacedThenDecodeNamedAfterPrefill(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h := b.holderNode()
	id := h.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "placed")
	assert.Equal(t, h.last(id).decode, ident.UpstreamID(""))
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "decode")
}

func TestPrefillEnginesAreFedOnePromptAhead(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h := b.holderNode()
	var ids []ident.AttemptID
	for range 6 {
		ids = append(ids, h.place(5*time.Second))
	}
	b.run(10 * time.Millisecond)
	placed := 0
	for _, id := range ids {
		if h.last(id).kind == "placed" {
			placed++
		}
	}
	assert.Equal(t, placed, 2, "one prompt for each of two idle engines")
}

// TestNoPrefillWithoutASlot checks that no prefill is started while all decode
// slots are in use for longer than the request's target allows. Its result would
// be evicted unused.
func TestNoPrefillWithoutASlot(t *testing.T) {
	b := settledTestBed(1, 2, 1, 200)
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
	assert.Equal(t, h.last(third).kind, "refused", "both slots are in use for longer than the target allows")
}

// TestLateAskIsRefusedAtOnce checks that a request which cannot meet its target
// is refused immediately rather than after waiting in the queue.
func TestLateAskIsRefusedAtOnce(t *testing.T) {
	b := settledTestBed(1, 2, 20, 200)
	h := b.holderNode()
	for range 12 {
		h.place(10 * time.Second)
	}
	id := h.place(300 * time.Millisecond)
	// The queue is in deadline order, so this request comes first. Both engines
	// are busy for 200 ms and its prefill takes 200 ms, so that it would be late.
	b.run(5 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "refused")
}

func TestReleaseWithdrawsAnAskInTheQueue(t *testing.T) {
	b := settledTestBed(1, 2, 20, 200)
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
	md := b.dispatcherNode().policy.dispatchers[testModel]
	assert.Equal(t, len(md.waiting)+len(md.grants)+len(md.ready), 0)
}

// TestSilentDispatcherIsReplacedByTheNext checks that when a dispatcher does not
// answer, all nodes change to the same next one.
func TestSilentDispatcherIsReplacedByTheNext(t *testing.T) {
	for name, fail := range map[string]func(*testBed, *node){
		"killed": func(_ *testBed, d *node) { d.dead = true },
		"frozen": func(_ *testBed, d *node) { d.frozen = true },
		"cut": func(b *testBed, d *node) {
			for _, n := range b.nodes {
				b.cut[[2]ident.InstanceID{n.self.Instance, d.self.Instance}] = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := settledTestBed(1, 3, 20, 200)
			h, d := b.holderNode(), b.dispatcherNode()
			fail(b, d)
			id := h.place(2 * time.Second)
			b.run(3 * answerTimeout)
			assert.Equal(t, h.last(id).kind, "placed", "no placement from the next dispatcher")
			next := h.policy.dispatcherID(testModel)
			assert.Assert(t, next != d.self.Instance && next != "")
			for _, n := range b.nodes {
				if n != d {
					// The node's own requests must lead to the same dispatcher.
					n.place(2 * time.Second)
				}
			}
			b.run(3 * answerTimeout)
			for _, n := range b.nodes {
				if n != d {
					assert.Equal(t, n.policy.dispatcherID(testModel), next, "nodes use different dispatchers")
				}
			}
		})
	}
}

// TestQueuedAskMovesToTheNewDispatcher checks that requests queued at a
// dispatcher that dies are answered by the next one.
func TestQueuedAskMovesToTheNewDispatcher(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
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
		assert.Assert(t, h.last(id).kind != "", "reservation %s was never answered", id)
	}
}

// TestDeadHoldersPlacementsEnd checks that placements end as soon as their
// holder is dead in the dispatcher's view.
func TestDeadHoldersPlacementsEnd(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
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
	assert.Equal(t, len(d.policy.dispatchers[testModel].grants), 0)
}

// TestFrozenHoldersPlacementLastsToItsDeadline checks that the placement of a
// holder that does not run is kept until the deadline of its request and ends
// then, since the release never arrives.
func TestFrozenHoldersPlacementLastsToItsDeadline(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	id := h.place(2 * time.Second)
	b.run(10 * time.Millisecond)
	h.policy.Computed(id)
	b.run(10 * time.Millisecond)
	h.frozen = true
	b.run(15 * time.Second)
	assert.Equal(t, len(d.policy.dispatchers[testModel].grants), 1, "placement ended before its deadline, while the caller may still wait")
	b.run(10 * time.Second)
	assert.Equal(t, len(d.policy.dispatchers[testModel].grants), 0)
}

// TestLostReleaseIsHealedByRenewal checks that a placement whose release was
// lost ends after the holder's next renewals, which no longer list it.
func TestLostReleaseIsHealedByRenewal(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
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
	b.run(3 * renewInterval)
	assert.Equal(t, len(d.policy.dispatchers[testModel].grants), 1)
}

// TestSlotComesLate checks that a request with a distant target stays in the
// queue, neither placed nor refused, while no decode slot is expected before the
// KV cache of its prefill would be evicted.
func TestSlotComesLate(t *testing.T) {
	b := settledTestBed(1, 2, 1, 200)
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
	assert.Equal(t, h.last(patient).kind, "", "prefill started whose KV cache would be evicted before a slot is free")
}

func TestLostAskIsRepeated(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h := b.holderNode()
	b.loss = 1
	id := h.place(2 * time.Second)
	b.loss = 0
	b.run(answerTimeout + 10*time.Millisecond)
	assert.Equal(t, h.last(id).kind, "placed")
}

// TestOldLoadReportDoesNotHoldSlots checks that a load report older than
// pastUseRetention is not used to subtract slots. Otherwise an engine whose
// reports stop would look full forever.
func TestOldLoadReportDoesNotHoldSlots(t *testing.T) {
	b := settledTestBed(1, 2, 2, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	reported := b.now
	for i := range d.view.Upstreams {
		if d.view.Upstreams[i].Spec.Role == config.RoleDecode {
			d.view.Upstreams[i].Load = kernel.Load{At: reported, Running: 2, Slots: 2, PiecesUsed: 8, PiecesTotal: 200}
		}
	}
	early := h.place(2 * time.Second)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(early).kind, "refused", "a recent report of full engines must be used")
	b.run(pastUseRetention + time.Second)
	id := h.place(2 * time.Second)
	b.run(100 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "placed", "an old report must not be used")
}

// TestBurstOnIdleEnginesWaitsItsTurn checks that requests are not refused when
// they exceed the free slots but their target allows waiting until slots are
// released.
func TestBurstOnIdleEnginesWaitsItsTurn(t *testing.T) {
	b := settledTestBed(1, 2, 2, 200)
	h := b.holderNode()
	var ids []ident.AttemptID
	for range 12 {
		ids = append(ids, h.place(time.Minute))
	}
	b.run(50 * time.Millisecond)
	for _, id := range ids {
		assert.Assert(t, h.last(id).kind != "refused", "refused although its target allows waiting for slots")
	}
}

// TestComeBackIsBounded checks the upper limit of the retry delay for a request
// that no engine can ever serve.
func TestComeBackIsBounded(t *testing.T) {
	b := settledTestBed(1, 2, 2, 2)
	h := b.holderNode()
	id := h.place(time.Second)
	b.run(50 * time.Millisecond)
	assert.Equal(t, h.last(id).kind, "refused", "no engine has enough memory for it")
	assert.Assert(t, h.retryDelays[id] <= 2*maxRetryDelay, "%v", h.retryDelays[id])
}

// TestEqualEnginesShareDecodes places decodes on engines for which the bundle
// does not say how their speed depends on load. Each engine must get an equal
// share of the decodes rather than the first engine all of them.
func TestEqualEnginesShareDecodes(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h := b.holderNode()
	got := map[ident.UpstreamID]int{}
	for range 8 {
		got[h.last(h.startDecode(t)).decode]++
	}
	assert.Equal(t, got["d1"], 4, "%v", got)
	assert.Equal(t, got["d2"], 4, "%v", got)
}
