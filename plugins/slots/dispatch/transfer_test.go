package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

// startDecode requests a placement, completes its prefill and starts its decode.
func (n *node) startDecode(t *testing.T) ident.AttemptID {
	t.Helper()
	id := n.place(5 * time.Second)
	n.testBed.run(20 * time.Millisecond)
	n.policy.Computed(id)
	n.testBed.run(20 * time.Millisecond)
	assert.Equal(t, n.last(id).kind, "decode")
	n.policy.Started(id)
	return id
}

// TestDispatcherHearsOfStalledTransfers has the KV transfer of a holder's
// placement stall. The dispatcher's kernel must be told of the stall, and that
// the transfer of a placement in use for a long time succeeded. A recent
// placement is reported only when it is released.
func TestDispatcherHearsOfStalledTransfers(t *testing.T) {
	b := settledTestBed(1, 3, 20, 200)
	h, d := b.holderNode(), b.dispatcherNode()
	good := h.startDecode(t)
	b.run(2 * defaultTransferStall)
	fresh, stalled := h.startDecode(t), h.startDecode(t)
	h.policy.TransferEnded(stalled, true)
	h.policy.Release(stalled)
	b.run(10 * time.Millisecond)
	assert.Equal(t, len(d.transfers), 2)
	assert.Equal(t, d.transfers[0], transfer{prefill: h.placedAnswer(good).prefill, decode: h.last(good).decode})
	assert.Equal(t, d.transfers[1], transfer{prefill: h.placedAnswer(stalled).prefill, decode: h.last(stalled).decode, stalled: true})
	h.policy.TransferEnded(fresh, false)
	h.policy.Release(fresh)
	b.run(10 * time.Millisecond)
	assert.Equal(t, d.transfers[2], transfer{prefill: h.placedAnswer(fresh).prefill, decode: h.last(fresh).decode})
	assert.Equal(t, len(h.transfers), 0, "outcome reported to the holder's kernel, which knows it already")
}

// placedAnswer returns the answer that named the reservation's prefill engine.
func (n *node) placedAnswer(id ident.AttemptID) answer {
	for _, a := range n.answers[id] {
		if a.kind == "placed" {
			return a
		}
	}
	return answer{}
}
