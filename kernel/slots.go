package kernel

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// reserve asks the slot policy for a slot on the plan's decode engine and, if
// one is held or promised, makes the plan the call's own.
func (k *Kernel) reserve(c *call, plan placement) SlotAnswer {
	id := k.newAttemptID(c.request)
	answer := k.policy.slots.Reserve(SlotAsk{
		Reservation:   id,
		Upstream:      plan.decode,
		Workspace:     c.request.Workspace,
		Pieces:        k.pieces(c.request),
		Lead:          plan.predicted,
		OutputTokens:  c.request.MaxOutputTokens - c.delivered,
		FirstOutputBy: c.request.FirstOutputBy,
	})
	if answer.Verdict == SlotNone {
		return answer
	}
	c.plan = plan
	c.slot = reservation{id: id, policy: k.policy.slots}
	k.reserved[id] = c
	return answer
}

func (k *Kernel) pieces(r *Request) int {
	m := k.catalog.models[r.Model]
	if m == nil {
		return 0
	}
	return r.Pieces(m.PieceTokens)
}

// awaitSlot leaves a call to wait for the slot policy's answer.
func (k *Kernel) awaitSlot(c *call) {
	c.state = callReserving
	k.placer.reserving++
	k.noteWaiting(c, ReasonSlotPending)
	if c.prefill != nil {
		k.timers.addKV(c.kvAt.Add(k.kvUsable()), c.slot.id)
	}
}

// kvDue gives up a reservation that is still awaited when the prefill result it
// is for can no longer be imported, whatever the slot policy does about it.
func (k *Kernel) kvDue(reservation ident.AttemptID) {
	c, ok := k.reserved[reservation]
	if !ok || c.state != callReserving || c.prefill == nil || k.kvFresh(c) {
		return
	}
	k.decodeElsewhere(c, ReasonKVGone)
}

// leaveReserving ends the state callReserving.
func (k *Kernel) leaveReserving(c *call) {
	if c.state == callReserving {
		k.placer.reserving--
		c.state = callQueued
	}
}

// giveSlotBack releases the call's reservation, held or awaited.
func (k *Kernel) giveSlotBack(c *call) {
	if c.slot.policy == nil {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, c.slot.id)
	c.slot.policy.Release(c.slot.id)
	c.slot = reservation{}
	k.dirty = true
}

// slotGranted goes on with a call whose reservation was pending.
func (k *Kernel) slotGranted(id ident.AttemptID) {
	c, ok := k.reserved[id]
	if !ok || c.state != callReserving {
		return
	}
	k.leaveReserving(c)
	if c.prefill != nil && k.kvFresh(c) {
		k.startDecode(c)
		return
	}
	k.dropKV(c)
	if !k.choosePrefill(c) {
		k.giveSlotBack(c)
		k.enqueue(c, k.now.Add(retryPlacement))
		return
	}
	k.startPrefill(c)
}

// slotDenied puts a call back in the queue.
func (k *Kernel) slotDenied(id ident.AttemptID, retryAt time.Time) {
	c, ok := k.reserved[id]
	if !ok || c.state != callReserving {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, id)
	c.slot = reservation{}
	if c.prefill != nil {
		k.decodeElsewhere(c, ReasonNoSlot)
		return
	}
	k.enqueue(c, retryAt)
}
