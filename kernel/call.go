package kernel

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// callState is where a request is on its way.
type callState int

const (
	// callQueued: waiting for a placement.
	callQueued callState = iota + 1
	// callReserving: a decode slot was asked for.
	callReserving
	// callPrefilling: a prefill is in flight, a decode slot is held.
	callPrefilling
	// callDecoding: a decode is in flight.
	callDecoding
	// callServing: a plain service call is in flight.
	callServing
)

// call is a request without a final answer.
type call struct {
	request *Request
	state   callState
	// waiting is set while the request is in the queue.
	waiting *Waiting
	// admitted lists the checks to be told when the request is over.
	admitted []Admission
	// touched is true once any stage, be it only a prefill, may have run; it
	// rules out the outcome "not-run".
	touched bool
	// exposed is true once a decode or a service call may have run; it rules
	// out another attempt for a request that must run at most once. A prefill
	// alone has no effect, so that it may be repeated.
	exposed bool
	// tries counts the attempts to place the request that ended in failure.
	tries int
	// reattached counts the times the present decode's stream was read on.
	reattached int
	// delivered is how many output tokens the caller has.
	delivered int
	// avoid lists upstreams that failed this request, newest last.
	avoid []ident.UpstreamID

	plan placement
	// slot is the held or awaited reservation.
	slot reservation
	// prefill and active are the attempts that hold something upstream: the
	// prefill until its KV cache was imported, active the decode or the
	// service call.
	prefill *attempt
	active  *attempt
	kv      KVHandle
	// kvAt is when the prefill finished.
	kvAt time.Time
	// need is the least time to first output, as estimated when queued.
	need time.Duration
	// lastReason is why the request last was left waiting, so that a wait is
	// logged once and not at every try.
	lastReason Reason
}

// reservation is a decode slot and the policy that holds it: the policy in
// force may be another one by now.
type reservation struct {
	id     ident.AttemptID
	policy SlotPolicy
}

// started reports whether an attempt is in flight.
func (c *call) started() bool {
	return c.state == callPrefilling || c.state == callDecoding || c.state == callServing
}

// avoids reports whether the upstream failed this request before.
func (c *call) avoids(id ident.UpstreamID) bool {
	for _, a := range c.avoid {
		if a == id {
			return true
		}
	}
	return false
}

// stage is what an attempt runs.
type stage int

const (
	stagePrefill stage = iota + 1
	stageDecode
	stageService
)

// attempt is one try of one stage on one upstream.
type attempt struct {
	id       ident.AttemptID
	call     *call
	stage    stage
	upstream ident.UpstreamID
	// incarnation is the upstream's when the attempt was sent.
	incarnation ident.Incarnation
	// tokens is the uncached prompt work, for prefills.
	tokens int
	// pieces is the KV memory reserved, for decodes.
	pieces int
	sentAt time.Time
	// abandoned is set once the driver was told that the upstream is dead.
	abandoned bool
}

// newAttemptID names the next attempt for a request.
func (k *Kernel) newAttemptID(r *Request) ident.AttemptID {
	k.sequence++
	return ident.AttemptID{
		Instance:    k.self.Instance,
		Incarnation: k.self.Incarnation,
		Sequence:    k.sequence,
		Deadline:    r.Deadline.Truncate(time.Millisecond),
	}
}

// track makes an attempt known and counts it at its upstream.
func (k *Kernel) track(a *attempt) {
	a.sentAt = k.now
	k.attempts[a.id] = a
	u := k.fleet.upstream(a.upstream)
	if u == nil {
		return
	}
	a.incarnation = u.Incarnation
	u.Own.Requests++
	u.Own.Tokens += a.tokens
	u.Own.Pieces += a.pieces
}

// untrack forgets an attempt that holds nothing more upstream, or that a
// cancel now looks after.
func (k *Kernel) untrack(a *attempt) {
	if a == nil || k.attempts[a.id] != a {
		return
	}
	delete(k.attempts, a.id)
	k.dirty = true
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameLife(u.Incarnation, a.incarnation) {
		return
	}
	u.Own.Requests--
	u.Own.Tokens -= a.tokens
	u.Own.Pieces -= a.pieces
}

// computed notes that a prefill's prompt work is done, while its KV cache is
// still held.
func (k *Kernel) computed(a *attempt) {
	u := k.fleet.upstream(a.upstream)
	if u != nil && sameLife(u.Incarnation, a.incarnation) {
		u.Own.Tokens -= a.tokens
	}
	a.tokens = 0
}

// callsInOrder lists the calls by arrival and ID, for loops whose effects must
// not depend on map order.
func (k *Kernel) callsInOrder() []*call {
	calls := make([]*call, 0, len(k.calls))
	for _, c := range k.calls {
		calls = append(calls, c)
	}
	sort.Slice(calls, func(i, j int) bool {
		a, b := calls[i].request, calls[j].request
		if !a.Arrived.Equal(b.Arrived) {
			return a.Arrived.Before(b.Arrived)
		}
		return a.ID < b.ID
	})
	return calls
}
