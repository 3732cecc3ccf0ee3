package kernel

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// callState is the processing state of a request.
type callState int

const (
	// callQueued is the state of a call that waits for a placement.
	callQueued callState = iota + 1
	// callReserving is the state of a call that has requested a decode slot, or
	// a placement, and waits for the slot policy's answer.
	callReserving
	// callPrefilling is the state of a call whose prefill is in flight and that
	// holds a decode slot.
	callPrefilling
	// callDecoding is the state of a call whose decode is in flight.
	callDecoding
	// callServing is the state of a call that is in flight at a plain service.
	callServing
)

// call is the state of a request that has no final answer yet.
type call struct {
	request *Request
	run
	// kept is a silent run that goes on beside its replacement, which is then
	// the call's current run.
	kept *run
	// waiting is set while the request is in the queue.
	waiting *QueuedRequest
	// admitted lists the admission checks that admitted the request. Their
	// Finished method is called when the request ends.
	admitted []Admission
	// mayHaveRun is true once any stage, even only a prefill, may have run. The
	// outcome can then no longer be "not-run".
	mayHaveRun bool
	// mayHaveEffects is true once a decode or a service call may have run. A
	// request that must run at most once then gets no further attempt. A
	// prefill alone has no visible effect and may be repeated.
	mayHaveEffects bool
	// failedAttempts counts how often the request was to be queued again after
	// a failure.
	failedAttempts int
	// delivered is the number of output tokens that the caller has received.
	delivered int
	// origin is the attempt that wrote the stream's first token, nil before it.
	origin *attempt
	// released lists the decode attempts that were ended before the stream had begun. One of
	// them may have written the first token meanwhile.
	released []*attempt
	// avoid lists the upstreams on which this request failed, newest last.
	avoid []ident.UpstreamID
	// minFirstOutput is the minimum time to first output, estimated when the
	// call was queued.
	minFirstOutput time.Duration
	// lastReason is the reason last logged for leaving the request in the queue.
	// It prevents a log record for every scheduling pass.
	lastReason Reason
}

// run is one execution of a call: a prefill and a decode, or a service call.
type run struct {
	state callState
	plan  placement
	// slot is the decode slot reservation, granted or still requested.
	slot reservation
	// prefill and active are the attempts that hold resources on an upstream:
	// prefill until the decode engine has imported its KV cache, active while
	// the decode or the service call runs.
	prefill *attempt
	active  *attempt
	kv      KVHandle
	// kvReadyAt is the time at which the prefill finished.
	kvReadyAt time.Time
	// reattachCount counts the reconnects to the stream of the decode.
	reattachCount int
}

// reservation is a decode slot, granted or still requested, and the policy that
// it belongs to, which may differ from the policy now in force.
type reservation struct {
	id     ident.AttemptID
	policy SlotPolicy
}

// started reports whether an attempt is in flight.
func (r *run) started() bool {
	return r.state == callPrefilling || r.state == callDecoding || r.state == callServing
}

// includes reports whether an attempt belongs to the run.
func (r *run) includes(a *attempt) bool { return r != nil && (r.prefill == a || r.active == a) }

// runOf returns the run that an attempt of the call belongs to.
func (c *call) runOf(a *attempt) *run {
	if c.kept.includes(a) {
		return c.kept
	}
	return &c.run
}

// avoids reports whether this request failed on the upstream before.
func (c *call) avoids(id ident.UpstreamID) bool {
	for _, a := range c.avoid {
		if a == id {
			return true
		}
	}
	return false
}

// stage is the kind of work that an attempt does.
type stage int

const (
	stagePrefill stage = iota + 1
	stageDecode
	stageService
)

// attempt is one execution of one stage on one upstream.
type attempt struct {
	id       ident.AttemptID
	call     *call
	stage    stage
	upstream ident.UpstreamID
	// incarnation is the upstream's incarnation when the attempt was sent, 0 if
	// it was not known.
	incarnation ident.Incarnation
	// softwareVersion is the version that the upstream runs, "" if it is not known.
	softwareVersion string
	// tokens is the number of prompt tokens that a prefill must compute, 0 for
	// other stages.
	tokens int
	// pieces is the KV memory that a decode reserves, in pieces; 0 for other
	// stages.
	pieces int
	sentAt time.Time
	// stalled is set while the attempt is reported to make no progress, silentSince is the time of the
	// first such report.
	stalled     bool
	silentSince time.Time
	// abandoned is set once AbandonAttempt has been emitted for the attempt.
	abandoned bool
}

// newAttemptID returns a new, unique ID for an attempt of the request.
func (k *Kernel) newAttemptID(r *Request) ident.AttemptID {
	k.sequence++
	return ident.AttemptID{
		Instance:    k.self.Instance,
		Incarnation: k.self.Incarnation,
		Sequence:    k.sequence,
		Deadline:    r.Deadline.Truncate(time.Millisecond),
	}
}

// track registers an attempt that is being sent and adds it to its upstream's
// load.
func (k *Kernel) track(a *attempt) {
	a.sentAt = k.now
	k.attempts[a.id] = a
	u := k.fleet.upstream(a.upstream)
	if u == nil {
		return
	}
	a.incarnation = u.Incarnation
	a.softwareVersion = u.SoftwareVersion
	u.LocalLoad.Requests++
	u.LocalLoad.Tokens += a.tokens
	u.LocalLoad.Pieces += a.pieces
}

// untrack removes an attempt that holds no more resources on its upstream, or
// whose cancellation is now tracked in k.cancels. It does nothing for nil and
// for attempts that are not tracked.
func (k *Kernel) untrack(a *attempt) {
	if a == nil || k.attempts[a.id] != a {
		return
	}
	delete(k.attempts, a.id)
	k.dirty = true
	u := k.fleet.upstream(a.upstream)
	if u == nil || !sameIncarnation(u.Incarnation, a.incarnation) {
		return
	}
	u.LocalLoad.Requests--
	u.LocalLoad.Tokens -= a.tokens
	u.LocalLoad.Pieces -= a.pieces
}

// prefillComputed removes a finished prefill's prompt tokens from its
// upstream's load. The attempt stays tracked, because the upstream still holds
// its KV cache.
func (k *Kernel) prefillComputed(a *attempt) {
	u := k.fleet.upstream(a.upstream)
	if u != nil && sameIncarnation(u.Incarnation, a.incarnation) {
		u.LocalLoad.Tokens -= a.tokens
	}
	a.tokens = 0
}

// callsInOrder returns the calls sorted by arrival time and ID, for loops whose
// effects must not depend on the iteration order of the map.
func (k *Kernel) callsInOrder() []*call {
	calls := make([]*call, 0, len(k.calls))
	for _, c := range k.calls {
		calls = append(calls, c)
	}
	sortCalls(calls)
	return calls
}

// sortCalls sorts calls by arrival time and ID.
func sortCalls(calls []*call) {
	sort.Slice(calls, func(i, j int) bool {
		a, b := calls[i].request, calls[j].request
		if !a.Arrived.Equal(b.Arrived) {
			return a.Arrived.Before(b.Arrived)
		}
		return a.ID < b.ID
	})
}
