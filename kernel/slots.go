package kernel

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// reserve requests a slot on the plan's decode engine from the slot policy. If
// the slot is granted or the answer is pending, it sets the call's plan and
// reservation.
func (k *Kernel) reserve(c *call, plan placement) SlotAnswer {
	id := k.newAttemptID(c.request)
	answer := k.policy.slots.Reserve(SlotRequest{
		Reservation:   id,
		Upstream:      plan.decode,
		Workspace:     c.request.Workspace,
		Pieces:        k.pieces(c.request),
		Lead:          plan.predicted,
		OutputTokens:  c.request.MaxOutputTokens - c.delivered,
		FirstOutputBy: c.request.FirstOutputBy,
	})
	if answer.Result == SlotUnavailable {
		return answer
	}
	c.plan = plan
	c.slot = reservation{id: id, policy: k.policy.slots}
	k.reserved[id] = c
	return answer
}

// pieces returns the KV memory that the request needs, in pieces of its model, 0
// if the model is not in the bundle.
func (k *Kernel) pieces(r *Request) int {
	m := k.catalog.models[r.Model]
	if m == nil {
		return 0
	}
	return r.Pieces(m.PieceTokens)
}

// awaitSlot puts a call into the state in which it waits for the slot policy's
// answer. If the call has finished its prefill, the wait is limited by the
// lifetime of the KV cache.
func (k *Kernel) awaitSlot(c *call) {
	c.state = callReserving
	k.placer.reserving++
	k.logWaiting(c, ReasonSlotPending)
	if c.prefill != nil {
		k.timers.addKV(c.kvReadyAt.Add(k.kvUsable()), c.slot.id)
	}
}

// reservingCall returns the call that waits for the slot policy's answer to the
// given reservation, nil if there is none.
func (k *Kernel) reservingCall(id ident.AttemptID) *call {
	c := k.reserved[id]
	if c == nil || c.state != callReserving || c.slot.id != id {
		return nil
	}
	return c
}

// kvExpired ends the wait for a slot when the call's KV cache can no longer be
// imported. It does not depend on an answer from the slot policy.
func (k *Kernel) kvExpired(reservation ident.AttemptID) {
	c := k.reservingCall(reservation)
	if c == nil || c.prefill == nil || k.kvFresh(c) {
		return
	}
	k.retryDecode(c, ReasonKVEvicted)
}

// leaveReserving returns a call in state callReserving to callQueued.
func (k *Kernel) leaveReserving(c *call) {
	if c.state == callReserving {
		k.placer.reserving--
		c.state = callQueued
	}
}

// releaseSlot releases the call's reservation, whether granted or pending.
func (k *Kernel) releaseSlot(c *call) {
	if c.slot.policy == nil {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, c.slot.id)
	c.slot.policy.Release(c.slot.id)
	c.slot = reservation{}
	k.dirty = true
}

// slotGranted continues a call whose pending reservation was granted: with the
// decode if its prefill has finished, otherwise with the prefill.
func (k *Kernel) slotGranted(id ident.AttemptID) {
	c := k.reservingCall(id)
	if c == nil {
		return
	}
	k.leaveReserving(c)
	if c.prefill != nil && k.kvFresh(c) {
		k.startDecode(c)
		return
	}
	k.dropKV(c)
	if !k.choosePrefill(c) {
		k.releaseSlot(c)
		k.enqueue(c, k.now.Add(retryPlacement))
		return
	}
	k.startPrefill(c)
}

// slotDenied queues a call again whose pending reservation was denied, or looks
// for another decode engine if its prefill has finished.
func (k *Kernel) slotDenied(id ident.AttemptID, retryAt time.Time) {
	c := k.reservingCall(id)
	if c == nil {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, id)
	c.slot = reservation{}
	if c.prefill != nil {
		k.retryDecode(c, ReasonNoSlot)
		return
	}
	k.enqueue(c, retryAt)
}
