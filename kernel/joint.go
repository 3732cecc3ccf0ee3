package kernel

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// PlacementRequest asks a JointPolicy for a prefill and a decode engine.
type PlacementRequest struct {
	// Reservation is the ID that the decode attempt will have.
	Reservation ident.AttemptID
	Request     *Request
	// Delivered is the number of output tokens that the caller has already
	// received; it is above 0 when a lost decode is resumed.
	Delivered int
	// Pieces is the KV memory needed on the decode engine, in pieces.
	Pieces int
	// Avoid lists the upstreams on which this request failed before.
	Avoid []ident.UpstreamID
	// SoftwareVersion is the only version of the decode engine at which the stream
	// may go on, nil if it has not begun.
	SoftwareVersion *string
	// KV is the prefill engine that holds the KV cache of the finished prefill.
	// If it is set, only a decode engine is requested, and KVUntil is the time
	// until which the cache can be imported.
	KV      ident.UpstreamID
	KVUntil time.Time
}

// JointPolicy is a SlotPolicy that also chooses the placement: one entry
// instance places the requests of all instances, so that prompts wait in a
// single queue. While Joint returns false for a model, the kernel places the
// model's requests itself and uses only the methods of SlotPolicy.
type JointPolicy interface {
	SlotPolicy
	// Joint reports whether the kernel must request placements of the model
	// with Place.
	Joint(model string) bool
	// Place requests a placement. The policy answers by calling a method of
	// JointHost.
	Place(request PlacementRequest)
	// Computed reports that the reservation's prefill is done. If the placement
	// named no decode engine, the policy answers by calling a method of
	// JointHost.
	Computed(reservation ident.AttemptID)
}

// Placement is a JointPolicy's choice for a request.
type Placement struct {
	// Prefill and Decode are the engines. If Decode is empty, the policy names
	// the decode engine with JointHost.DecodeGranted after its Computed method
	// was called.
	Prefill, Decode ident.UpstreamID
	// Cost is the expected time until the prefill is done, in seconds.
	Cost float64
	// RunnersUp are the best of the prefill engines that were not chosen, best
	// first.
	RunnersUp []Alternative
}

// JointHost extends Host by the methods that a JointPolicy needs. The Host that
// the kernel passes to Attach implements it.
type JointHost interface {
	Host
	// PlacementGranted answers Place.
	PlacementGranted(reservation ident.AttemptID, p Placement)
	// DecodeGranted names the decode engine for a finished prefill.
	DecodeGranted(reservation ident.AttemptID, decode ident.UpstreamID)
	// PlacementRefused answers Place when the request cannot meet its
	// first-output target. retryAfter is the hint for the caller.
	PlacementRefused(reservation ident.AttemptID, retryAfter time.Duration)
	// TransferEnded reports the end of a KV transfer for a request of another
	// instance. began is the time at which the transfer began.
	TransferEnded(prefill, decode ident.UpstreamID, began time.Time, stalled bool)
	// Prefix returns the prefix index, nil if there is none.
	Prefix() PrefixStore
}

var _ JointHost = host{}

func (h host) Prefix() PrefixStore { return h.k.prefix }

func (h host) TransferEnded(prefill, decode ident.UpstreamID, began time.Time, stalled bool) {
	h.k.recordTransfer(prefill, decode, began, stalled)
}

func (h host) PlacementGranted(id ident.AttemptID, p Placement) {
	h.k.queueReply(policyReply{id: id, kind: replyPlacementGranted, placement: p})
}

func (h host) DecodeGranted(id ident.AttemptID, decode ident.UpstreamID) {
	h.k.queueReply(policyReply{id: id, kind: replyDecodeGranted, decode: decode})
}

func (h host) PlacementRefused(id ident.AttemptID, retryAfter time.Duration) {
	h.k.queueReply(policyReply{id: id, kind: replyPlacementRefused, retryAfter: retryAfter})
}

// jointPolicy returns the policy that places the model's requests, nil if the
// kernel places them itself.
func (k *Kernel) jointPolicy(model string) JointPolicy {
	jp, ok := k.policy.slots.(JointPolicy)
	if !ok || !jp.Joint(model) {
		return nil
	}
	return jp
}

// requestPlacement requests a placement for the call from the joint policy.
func (k *Kernel) requestPlacement(c *call, jp JointPolicy) {
	id := k.newAttemptID(c.request)
	k.dequeue(c)
	c.plan = placement{}
	c.slot = reservation{id: id, policy: jp}
	k.reserved[id] = c
	k.awaitSlot(c)
	ask := PlacementRequest{
		Reservation: id,
		Request:     c.request,
		Delivered:   c.delivered,
		Pieces:      k.pieces(c.request),
		Avoid:       c.avoid,

		SoftwareVersion: c.softwareVersion(),
	}
	if c.prefill != nil {
		ask.KV = c.kv.Engine
		ask.KVUntil = c.kvReadyAt.Add(k.kvUsable())
	}
	jp.Place(ask)
}

// placementGranted starts the prefill on the engine that the joint policy chose.
// If that engine cannot be used, the call is queued again.
func (k *Kernel) placementGranted(reply policyReply) {
	prefill := reply.placement.Prefill
	c := k.reservingCall(reply.id)
	if c == nil || c.prefill != nil {
		return
	}
	if !k.trusted() || !k.usable(prefill) {
		c.avoid = append(c.avoid, prefill)
		k.releaseSlot(c)
		k.enqueue(c, k.now.Add(retryPlacement))
		return
	}
	k.leaveReserving(c)
	c.plan = k.jointPlan(c, reply.placement)
	k.startPrefill(c)
}

// jointPlan returns the plan for a placement that the joint policy chose.
func (k *Kernel) jointPlan(c *call, chosen Placement) placement {
	p := k.fleet.upstream(chosen.Prefill)
	q := k.fleet.upstream(chosen.Decode)
	if q == nil {
		// The decode engine is not chosen yet. The prediction assumes that its
		// rates are those of the prefill engine.
		q = p
	}
	return placement{
		prefill:    chosen.Prefill,
		decode:     chosen.Decode,
		dispatched: true,
		cost:       chosen.Cost,
		runnersUp:  chosen.RunnersUp,
		predicted:  k.predict(k.newDecision(c), p, q),
		viewAge:    k.now.Sub(p.Load.At),
	}
}

// requestDecode requests a decode engine from the joint policy for a prefill that
// has just finished.
func (k *Kernel) requestDecode(c *call, jp JointPolicy) {
	k.awaitSlot(c)
	jp.Computed(c.slot.id)
}

// decodeGranted starts the decode of a finished prefill on the engine that the
// joint policy chose, or looks for another one if that cannot be used.
func (k *Kernel) decodeGranted(reply policyReply) {
	c := k.reservingCall(reply.id)
	if c == nil || c.prefill == nil {
		return
	}
	c.plan.decode = reply.decode
	if !k.kvFresh(c) || !k.usable(reply.decode) {
		c.avoid = append(c.avoid, reply.decode)
		k.retryDecode(c, ReasonKVEvicted)
		return
	}
	k.leaveReserving(c)
	k.startDecode(c)
}

// placementRefused refuses a request that, according to the joint policy, cannot
// meet its first-output target.
func (k *Kernel) placementRefused(reply policyReply) {
	c := k.reservingCall(reply.id)
	if c == nil {
		return
	}
	k.leaveReserving(c)
	delete(k.reserved, reply.id)
	c.slot = reservation{}
	k.refuseCall(c, lateRefusal(reply.retryAfter))
}
