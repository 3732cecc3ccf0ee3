package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// waiting is a placement request in the dispatcher's queue.
type waiting struct {
	ask    Ask
	holder ident.InstanceID
	entry  *kernel.QueuedRequest
}

// grant is a placement that the dispatcher made or learned of from a renewal.
type grant struct {
	key    slotkit.Key
	id     ident.AttemptID
	holder ident.InstanceID
	ask    Ask
	// at is when the placement was made or learned of. expires is its request's
	// deadline, after which the placement is ended.
	at      time.Time
	expires time.Time
	// prefill is the prefill engine, and doneAt the time at which its prefill is
	// expected to be done.
	prefill ident.UpstreamID
	doneAt  time.Time
	// runnersUp are the best prefill engines that were not chosen.
	runnersUp []Alternative
	// computed is set when the prefill is done. kvUntil is then the time until
	// which its KV cache can be imported.
	computed bool
	kvUntil  time.Time
	// planned is the decode engine that is expected to have memory for the
	// placement.
	planned ident.UpstreamID
	// decode is the decode engine on which the placement takes a slot, and
	// decodeAt the time since which it does.
	decode   ident.UpstreamID
	decodeAt time.Time
}

// modelDispatcher is the state that an instance keeps as the dispatcher of one
// model.
type modelDispatcher struct {
	p     *Policy
	model string
	// startedAt is when this instance began to dispatch the model.
	// renewedHolders is the set of holders that have sent a renewal since then.
	startedAt      time.Time
	renewedHolders map[ident.InstanceID]struct{}

	queue   kernel.QueueOrder
	waiting map[ident.RequestID]*waiting
	grants  map[slotkit.Key]*grant
	// computing are the placements whose prefill is not done.
	computing map[slotkit.Key]*grant
	// ready are the placements whose prefill is done and that wait for a decode
	// slot.
	ready     []*grant
	holdTimes holdTimeModel
	// linkFreeAt maps each prefill engine to the time at which its network link
	// will be free.
	linkFreeAt map[ident.UpstreamID]time.Time
	// usage maps each decode engine to the record of its slot uses.
	usage map[ident.UpstreamID]*slotUsage
	// plannedAt is when the queue was last planned, and plannedWait the wait
	// that was expected for its last request at that time.
	plannedAt   time.Time
	plannedWait time.Duration
	// pollAt is when the dispatcher must next be woken, zero if it need not be.
	pollAt time.Time

	roles          roles
	prefillScratch []prefillState
	decodeScratch  []decodeState
	grantScratch   []*grant
	supplyScratch  slotSupply
	orderScratch   []*kernel.QueuedRequest

	candidateScratch []*decodeState
}

// pollInterval is the interval between scheduling passes while requests wait and
// no event triggers one.
const pollInterval = 20 * time.Millisecond

// newModelDispatcher returns the empty state of a dispatcher that starts now.
func newModelDispatcher(p *Policy, model string) *modelDispatcher {
	return &modelDispatcher{
		p:              p,
		model:          model,
		startedAt:      p.host.Now(),
		renewedHolders: map[ident.InstanceID]struct{}{},
		queue:          newQueue(p),
		waiting:        map[ident.RequestID]*waiting{},
		grants:         map[slotkit.Key]*grant{},
		holdTimes:      newHoldTimeModel(),

		linkFreeAt: map[ident.UpstreamID]time.Time{},
		usage:      map[ident.UpstreamID]*slotUsage{},
		computing:  map[slotkit.Key]*grant{},
	}
}

func (md *modelDispatcher) now() time.Time { return md.p.host.Now() }

// send sends an answer to a holder. An answer to this instance itself is handled
// directly, without a message.
func (md *modelDispatcher) send(to ident.InstanceID, m kernel.PeerMessage) {
	if to != md.p.host.Self().Instance {
		md.p.host.Send(to, m)
		return
	}
	md.p.receiveAnswer(to, m)
}

// handleAsk handles a placement request. It queues a new request and repeats the
// answer to one that was already answered.
func (md *modelDispatcher) handleAsk(from ident.InstanceID, a Ask) {
	key := a.Reservation.Key()
	if gr, ok := md.grants[key]; ok {
		if a.KV != "" {
			// For a placement adopted from a renewal, the request for a decode
			// engine may arrive before the message that reports the prefill as
			// done, or replace it.
			md.prefillDone(gr, md.now().Add(a.KVFor.Duration()))
			md.runPass()
		}
		md.repeatAnswer(gr)
		return
	}
	if a.KV != "" {
		md.askDecode(from, a)
		return
	}
	id := requestID(a)
	if _, known := md.waiting[id]; !known {
		md.enqueue(from, a, id)
		md.runPass()
	}
	if _, still := md.waiting[id]; still {
		md.send(from, &Queued{Reservation: a.Reservation, Wait: millis(md.queueWait())})
	}
}

// repeatAnswer sends the answer to a placement request again, because the first
// answer may have been lost.
func (md *modelDispatcher) repeatAnswer(gr *grant) {
	if md.grants[gr.key] != gr {
		// The scheduling pass before this call has just denied the request.
		return
	}
	if gr.computed && gr.decode == "" {
		md.send(gr.holder, &Queued{Reservation: gr.ask.Reservation})
		return
	}
	if gr.computed {
		md.send(gr.holder, &Decode{Reservation: gr.ask.Reservation, Model: md.model, Decode: gr.decode})
		return
	}
	md.send(gr.holder, md.placedMessage(gr))
}

// placedMessage returns the message that tells the holder its prefill engine.
func (md *modelDispatcher) placedMessage(gr *grant) *Placed {
	return &Placed{
		Reservation: gr.ask.Reservation,
		Model:       md.model,
		Prefill:     gr.prefill,
		Decode:      gr.decode,
		Cost:        millis(max(gr.doneAt.Sub(md.now()), 0)),
		RunnersUp:   gr.runnersUp,
	}
}

// askDecode handles the request of a holder that has a finished prefill and
// needs only a decode slot.
func (md *modelDispatcher) askDecode(from ident.InstanceID, a Ask) {
	now := md.now()
	gr := &grant{
		key:      a.Reservation.Key(),
		id:       a.Reservation.ID(),
		holder:   from,
		ask:      a,
		at:       now,
		expires:  a.Reservation.ID().Deadline,
		prefill:  a.KV,
		computed: true,
		kvUntil:  now.Add(a.KVFor.Duration()),
	}
	md.grants[gr.key] = gr
	md.ready = append(md.ready, gr)
	md.runPass()
	if gr.decode == "" && md.grants[gr.key] == gr {
		md.send(from, &Queued{Reservation: a.Reservation})
	}
}

// handleComputed handles the report that a prefill is done and looks for a
// decode slot for its KV cache.
func (md *modelDispatcher) handleComputed(key slotkit.Key, _ ident.UpstreamID) {
	gr, ok := md.grants[key]
	if !ok {
		return
	}
	md.prefillDone(gr, md.now().Add(md.p.kvUsable))
	md.runPass()
	if gr.decode == "" && md.grants[key] == gr {
		md.send(gr.holder, &Queued{Reservation: gr.ask.Reservation})
	}
}

// prefillDone marks a placement's prefill as done and, if the placement has no
// decode engine, makes it wait for a slot. It does nothing if the prefill was
// already marked as done.
func (md *modelDispatcher) prefillDone(gr *grant, kvUntil time.Time) {
	if gr.computed {
		return
	}
	md.markComputed(gr)
	gr.kvUntil = kvUntil
	if gr.decode == "" {
		md.ready = append(md.ready, gr)
	}
}

// markComputed marks a placement's prefill as done.
func (md *modelDispatcher) markComputed(gr *grant) {
	gr.computed = true
	delete(md.computing, gr.key)
}

// handleRelease ends a placement or withdraws a placement request. The outcome
// of the KV transfer of another instance's placement is passed to the kernel,
// which already knows the outcome for its own placements.
func (md *modelDispatcher) handleRelease(key slotkit.Key, transfer TransferEnd) {
	if gr, ok := md.grants[key]; ok {
		md.reportTransferEnd(gr, transfer)
		md.endPlacement(gr)
	}
	for id, w := range md.waiting {
		if w.ask.Reservation.Key() == key {
			md.dequeue(id)
			break
		}
	}
	md.runPass()
}

// reportTransferEnd tells the kernel the outcome of a placement's KV transfer.
// When a transfer stalled, it also reports as successful the transfers of all
// placements in use for longer than transferDoneAfter, which would have been
// released if they had stalled.
func (md *modelDispatcher) reportTransferEnd(gr *grant, transfer TransferEnd) {
	switch transfer {
	case TransferDone:
		md.p.host.TransferEnded(gr.prefill, gr.decode, gr.decodeAt, false)
	case TransferStalled:
		for _, other := range md.grants {
			if other.decode != "" && other != gr && md.now().Sub(other.decodeAt) > md.p.transferDoneAfter {
				md.p.host.TransferEnded(other.prefill, other.decode, other.decodeAt, false)
			}
		}
		md.p.host.TransferEnded(gr.prefill, gr.decode, gr.decodeAt, true)
	}
}

// handleUndelivered ends a placement whose answer did not reach the holder. A
// holder that still runs will ask again.
func (md *modelDispatcher) handleUndelivered(key slotkit.Key) {
	if gr, ok := md.grants[key]; ok && !gr.computed {
		md.endPlacement(gr)
		md.runPass()
	}
}

// endPlacement removes a placement and frees its decode slot, if it has one.
func (md *modelDispatcher) endPlacement(gr *grant) {
	delete(md.grants, gr.key)
	delete(md.computing, gr.key)
	if i := slices.Index(md.ready, gr); i >= 0 {
		md.ready = slices.Delete(md.ready, i, i+1)
	}
	if gr.decode != "" {
		held := md.now().Sub(gr.decodeAt)
		md.holdTimes.add(held)
		md.freeSlot(gr)
		md.queue.Served(&kernel.Request{Workspace: gr.ask.Workspace, Kind: gr.ask.Kind, Model: md.model}, held.Seconds())
	}
}

// viewChanged ends the placements and drops the queued requests of dead holders.
func (md *modelDispatcher) viewChanged() {
	for _, in := range md.p.host.View().Instances {
		if in.Liveness != kernel.Dead {
			continue
		}
		for _, gr := range md.grantsOf(in.ID) {
			md.endPlacement(gr)
		}
		for id, w := range md.waiting {
			if w.holder == in.ID {
				md.dequeue(id)
			}
		}
	}
	md.runPass()
}

// nextWake returns when the dispatcher must next be woken, and false if it need
// not be.
func (md *modelDispatcher) nextWake() (time.Time, bool) {
	return md.pollAt, !md.pollAt.IsZero()
}

// wake expires old placements and runs a scheduling pass if the dispatcher's
// wake-up time has come.
func (md *modelDispatcher) wake() {
	if md.pollAt.IsZero() || md.now().Before(md.pollAt) {
		return
	}
	md.expire()
	md.runPass()
}

// expire ends placements and drops queued requests whose deadline has passed.
func (md *modelDispatcher) expire() {
	now := md.now()
	var expired []*grant
	for _, gr := range md.grants {
		if now.After(gr.expires) {
			expired = append(expired, gr)
		}
	}
	slices.SortFunc(expired, func(a, b *grant) int {
		if a.key.Before(b.key) {
			return -1
		}
		return 1
	})
	for _, gr := range expired {
		md.endPlacement(gr)
	}
	for id, w := range md.waiting {
		if now.After(w.entry.Request.Deadline) {
			md.dequeue(id)
		}
	}
}
