package kernel

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// PlacementAsk asks a JointPolicy for a prefill and a decode engine.
type PlacementAsk struct {
	// Reservation is the ID of the decode attempt to come.
	Reservation ident.AttemptID
	Request     *Request
	// Delivered is how many output tokens the caller has, when resumed.
	Delivered int
	// Pieces is the KV memory needed on the decode engine.
	Pieces int
	// Avoid lists upstreams that failed this request.
	Avoid []ident.UpstreamID
	// KV is the prefill engine that holds the finished prefill, if there is
	// one; then only a decode engine is asked for. KVUntil is how long it will.
	KV      ident.UpstreamID
	KVUntil time.Time
}

// JointPolicy is a SlotPolicy that also chooses the placement: one entry
// instance places the requests of all, so that prompts queue in one place.
// While Joint is false for a model, the kernel places its requests itself and
// uses the SlotPolicy part.
type JointPolicy interface {
	SlotPolicy
	// Joint reports whether placements of the model are asked for with Place.
	Joint(model string) bool
	// Place asks for a placement. The answer is one of JointHost's calls.
	Place(ask PlacementAsk)
	// Computed reports that the reservation's prefill is done. Where the
	// placement named no decode engine, the answer is one of JointHost's calls.
	Computed(reservation ident.AttemptID)
}

// Placement is a JointPolicy's choice for a request.
type Placement struct {
	// Prefill and Decode are the engines; an empty Decode is named by
	// JointHost.DecodeGranted after the policy's Computed was called.
	Prefill, Decode ident.UpstreamID
	// Cost is the expected time until the prefill is done, in seconds.
	Cost float64
	// RunnersUp are the best prefill engines not chosen, best first.
	RunnersUp []Alternative
}

// JointHost is what the kernel offers a JointPolicy besides Host. The kernel's
// Host implements it.
type JointHost interface {
	Host
	// PlacementGranted answers Place.
	PlacementGranted(reservation ident.AttemptID, p Placement)
	// DecodeGranted names the decode engine for a finished prefill.
	DecodeGranted(reservation ident.AttemptID, decode ident.UpstreamID)
	// PlacementRefused answers Place when the request cannot meet its target.
	PlacementRefused(reservation ident.AttemptID, comeBack time.Duration)
	// TransferEnded enters a KV transfer of another instance's request, which
	// began at the given time.
	TransferEnded(prefill, decode ident.UpstreamID, began time.Time, stalled bool)
	// Prefix returns the prefix index, nil if there is none.
	Prefix() PrefixStore
}

var _ JointHost = host{}

func (h host) Prefix() PrefixStore { return h.k.prefix }

func (h host) TransferEnded(prefill, decode ident.UpstreamID, began time.Time, stalled bool) {
	h.k.noteTransfer(prefill, decode, began, stalled)
}

func (h host) PlacementGranted(id ident.AttemptID, p Placement) {
	h.k.verdict(slotVerdict{id: id, kind: verdictPlaced, placement: p})
}

func (h host) DecodeGranted(id ident.AttemptID, decode ident.UpstreamID) {
	h.k.verdict(slotVerdict{id: id, kind: verdictDecode, decode: decode})
}

func (h host) PlacementRefused(id ident.AttemptID, comeBack time.Duration) {
	h.k.verdict(slotVerdict{id: id, kind: verdictRefused, comeBack: comeBack})
}

// joint returns the policy that places the model's requests, nil if the kernel
// does so itself.
func (k *Kernel) joint(model string) JointPolicy {
	jp, ok := k.policy.slots.(JointPolicy)
	if !ok || !jp.Joint(model) {
		return nil
	}
	return jp
}

// askPlacement leaves the choice of upstreams to the joint policy.
func (k *Kernel) askPlacement(c *call, jp JointPolicy) {
	id := k.newAttemptID(c.request)
	k.dequeue(c)
	c.plan = placement{}
	c.slot = reservation{id: id, policy: jp}
	k.reserved[id] = c
	k.awaitSlot(c)
	ask := PlacementAsk{
		Reservation: id,
		Request:     c.request,
		Delivered:   c.delivered,
		Pieces:      k.pieces(c.request),
		Avoid:       c.avoid,
	}
	if c.prefill != nil {
		ask.KV = c.kv.Engine
		ask.KVUntil = c.kvAt.Add(k.kvUsable())
	}
	jp.Place(ask)
}

// placementGranted starts the prefill that the joint policy chose.
func (k *Kernel) placementGranted(v slotVerdict) {
	prefill := v.placement.Prefill
	c, ok := k.reserved[v.id]
	if !ok || c.state != callReserving || c.prefill != nil {
		return
	}
	if !k.trusted() || !k.usable(prefill) {
		c.avoid = append(c.avoid, prefill)
		k.giveSlotBack(c)
		k.enqueue(c, k.now.Add(retryPlacement))
		return
	}
	k.leaveReserving(c)
	c.plan = k.jointPlan(c, v.placement)
	k.startPrefill(c)
}

// jointPlan describes a placement that was chosen elsewhere.
func (k *Kernel) jointPlan(c *call, chosen Placement) placement {
	p := k.fleet.upstream(chosen.Prefill)
	q := k.fleet.upstream(chosen.Decode)
	if q == nil {
		// Not named yet: any decode engine's link is taken for as fast.
		q = p
	}
	return placement{
		prefill:    chosen.Prefill,
		decode:     chosen.Decode,
		dispatched: true,
		cost:       chosen.Cost,
		runnersUp:  chosen.RunnersUp,
		predicted:  k.predict(k.decide(c), p, q),
		viewAge:    k.now.Sub(p.Load.At),
	}
}

// askDecode asks for a decode engine for the prefill just done.
func (k *Kernel) askDecode(c *call, jp JointPolicy) {
	k.awaitSlot(c)
	jp.Computed(c.slot.id)
}

// decodeGranted starts the decode of a finished prefill.
func (k *Kernel) decodeGranted(v slotVerdict) {
	c, ok := k.reserved[v.id]
	if !ok || c.state != callReserving || c.prefill == nil {
		return
	}
	c.plan.decode = v.decode
	if !k.kvFresh(c) || !k.usable(v.decode) {
		c.avoid = append(c.avoid, v.decode)
		k.decodeElsewhere(c, ReasonKVGone)
		return
	}
	k.leaveReserving(c)
	k.startDecode(c)
}

// placementRefused gives up a request that cannot meet its target.
func (k *Kernel) placementRefused(v slotVerdict) {
	c, ok := k.reserved[v.id]
	if !ok || c.state != callReserving {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, v.id)
	c.slot = reservation{}
	k.refuseCall(c, lateRefusal(v.comeBack))
}
