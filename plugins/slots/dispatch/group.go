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
	entry  *kernel.Waiting
}

// grant is a placement that the dispatcher made or learned of from a renewal.
type grant struct {
	key     slotkit.Key
	id      ident.AttemptID
	holder  ident.InstanceID
	ask     Ask
	at      time.Time
	expires time.Time
	// prefill is the prefill engine, and doneAt the time at which its prefill is
	// expected to be done.
	prefill ident.UpstreamID
	doneAt  time.Time
	// others are the best prefill engines that were not chosen.
	others []Other
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

// group is a dispatcher's state for one model.
type group struct {
	p     *Policy
	model string
	// since is when this instance began to dispatch the model. heard is the set
	// of holders that have sent a renewal since then.
	since time.Time
	heard map[ident.InstanceID]struct{}

	queue   kernel.QueueOrder
	waiting map[ident.RequestID]*waiting
	grants  map[slotkit.Key]*grant
	// computing are the placements whose prefill is not done.
	computing map[slotkit.Key]*grant
	// ready are the placements whose prefill is done and that wait for a decode
	// slot.
	ready []*grant
	hold  holdModel
	// links maps each prefill engine to the time at which its network link will
	// be free.
	links map[ident.UpstreamID]time.Time
	// books maps each decode engine to the record of its slot uses.
	books map[ident.UpstreamID]*book
	// plannedAt is when the queue was last planned, and wait the wait that was
	// expected for its last request at that time.
	plannedAt time.Time
	wait      time.Duration
	// pollAt is when the group must next be woken, zero if it need not be.
	pollAt time.Time

	roles          roles
	prefillScratch []prefillState
	decodeScratch  []decodeState
	grantScratch   []*grant
	supplyScratch  slotSupply
	orderScratch   []*kernel.Waiting
}

// pollTime is the interval between scheduling passes while requests wait and no
// event triggers one.
const pollTime = 20 * time.Millisecond

// newGroup returns the empty state of a dispatcher that starts now.
func newGroup(p *Policy, model string) *group {
	return &group{
		p:       p,
		model:   model,
		since:   p.host.Now(),
		heard:   map[ident.InstanceID]struct{}{},
		queue:   newQueue(p),
		waiting: map[ident.RequestID]*waiting{},
		grants:  map[slotkit.Key]*grant{},
		hold:    newHoldModel(),

		links:     map[ident.UpstreamID]time.Time{},
		books:     map[ident.UpstreamID]*book{},
		computing: map[slotkit.Key]*grant{},
	}
}

func (g *group) now() time.Time { return g.p.host.Now() }

// send sends an answer to a holder. An answer to this instance itself is handled
// directly, without a message.
func (g *group) send(to ident.InstanceID, m kernel.PeerMessage) {
	if to != g.p.host.Self().Instance {
		g.p.host.Send(to, m)
		return
	}
	g.p.receiveAnswer(to, m)
}

// ask handles a placement request. It queues a new request and repeats the
// answer to one that was already answered.
func (g *group) ask(from ident.InstanceID, a Ask) {
	key := a.Reservation.Key()
	if gr, ok := g.grants[key]; ok {
		if a.KV != "" {
			// For a placement adopted from a renewal, the request for a decode
			// engine may arrive before the message that reports the prefill as
			// done, or replace it.
			g.prefillDone(gr, g.now().Add(a.KVFor.Duration()))
			g.pass()
		}
		g.repeat(gr)
		return
	}
	if a.KV != "" {
		g.askDecode(from, a)
		return
	}
	id := requestID(a)
	if _, known := g.waiting[id]; !known {
		g.enqueue(from, a, id)
		g.pass()
	}
	if _, still := g.waiting[id]; still {
		g.send(from, &Queued{Reservation: a.Reservation, Wait: millis(g.queueWait())})
	}
}

// repeat sends the answer to a placement request again, because the first answer
// may have been lost.
func (g *group) repeat(gr *grant) {
	if g.grants[gr.key] != gr {
		// The scheduling pass before this call has just denied the request.
		return
	}
	if gr.computed && gr.decode == "" {
		g.send(gr.holder, &Queued{Reservation: gr.ask.Reservation})
		return
	}
	if gr.computed {
		g.send(gr.holder, &Decode{Reservation: gr.ask.Reservation, Model: g.model, Decode: gr.decode})
		return
	}
	g.send(gr.holder, g.placedMessage(gr))
}

// placedMessage returns the message that tells the holder its prefill engine.
func (g *group) placedMessage(gr *grant) *Placed {
	return &Placed{
		Reservation: gr.ask.Reservation,
		Model:       g.model,
		Prefill:     gr.prefill,
		Decode:      gr.decode,
		Cost:        millis(max(gr.doneAt.Sub(g.now()), 0)),
		Others:      gr.others,
	}
}

// askDecode handles the request of a holder that has a finished prefill and
// needs only a decode slot.
func (g *group) askDecode(from ident.InstanceID, a Ask) {
	now := g.now()
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
	g.grants[gr.key] = gr
	g.ready = append(g.ready, gr)
	g.pass()
	if gr.decode == "" && g.grants[gr.key] == gr {
		g.send(from, &Queued{Reservation: a.Reservation})
	}
}

// computed handles the report that a prefill is done and looks for a decode slot
// for its KV cache.
func (g *group) computed(key slotkit.Key, _ ident.UpstreamID) {
	gr, ok := g.grants[key]
	if !ok {
		return
	}
	g.prefillDone(gr, g.now().Add(g.p.kvUsable))
	g.pass()
	if gr.decode == "" && g.grants[key] == gr {
		g.send(gr.holder, &Queued{Reservation: gr.ask.Reservation})
	}
}

// prefillDone marks a placement's prefill as done and, if the placement has no
// decode engine, makes it wait for a slot. It does nothing if the prefill was
// already marked as done.
func (g *group) prefillDone(gr *grant, kvUntil time.Time) {
	if gr.computed {
		return
	}
	g.markComputed(gr)
	gr.kvUntil = kvUntil
	if gr.decode == "" {
		g.ready = append(g.ready, gr)
	}
}

// markComputed marks a placement's prefill as done.
func (g *group) markComputed(gr *grant) {
	gr.computed = true
	delete(g.computing, gr.key)
}

// release ends a placement or withdraws a placement request. The outcome of the
// KV transfer of another instance's placement is passed to the kernel, which
// already knows the outcome for its own placements.
func (g *group) release(key slotkit.Key, transfer TransferEnd) {
	if gr, ok := g.grants[key]; ok {
		g.noteTransferEnd(gr, transfer)
		g.end(gr)
	}
	for id, w := range g.waiting {
		if w.ask.Reservation.Key() == key {
			g.dequeue(id)
			break
		}
	}
	g.pass()
}

// noteTransferEnd tells the kernel the outcome of a placement's KV transfer.
// When a transfer stalled, it also reports as successful the transfers of all
// placements in use for longer than movedAfter, which would have been released
// if they had stalled.
func (g *group) noteTransferEnd(gr *grant, transfer TransferEnd) {
	switch transfer {
	case TransferMoved:
		g.p.host.TransferEnded(gr.prefill, gr.decode, gr.decodeAt, false)
	case TransferStalled:
		for _, other := range g.grants {
			if other.decode != "" && other != gr && g.now().Sub(other.decodeAt) > g.p.movedAfter {
				g.p.host.TransferEnded(other.prefill, other.decode, other.decodeAt, false)
			}
		}
		g.p.host.TransferEnded(gr.prefill, gr.decode, gr.decodeAt, true)
	}
}

// undelivered ends a placement whose answer did not reach the holder. A holder
// that still runs will ask again.
func (g *group) undelivered(key slotkit.Key) {
	if gr, ok := g.grants[key]; ok && !gr.computed {
		g.end(gr)
		g.pass()
	}
}

// end removes a placement and frees its decode slot, if it has one.
func (g *group) end(gr *grant) {
	delete(g.grants, gr.key)
	delete(g.computing, gr.key)
	if i := slices.Index(g.ready, gr); i >= 0 {
		g.ready = slices.Delete(g.ready, i, i+1)
	}
	if gr.decode != "" {
		held := g.now().Sub(gr.decodeAt)
		g.hold.note(held)
		g.freeSlot(gr)
		g.queue.Served(&kernel.Request{Workspace: gr.ask.Workspace, Kind: gr.ask.Kind, Model: g.model}, held.Seconds())
	}
}

// viewChanged ends the placements and drops the queued requests of dead holders.
func (g *group) viewChanged() {
	for _, in := range g.p.host.View().Instances {
		if in.Life != kernel.Dead {
			continue
		}
		for _, gr := range g.grantsOf(in.ID) {
			g.end(gr)
		}
		for id, w := range g.waiting {
			if w.holder == in.ID {
				g.dequeue(id)
			}
		}
	}
	g.pass()
}

// nextWake returns when the group must next be woken, and false if it need not
// be.
func (g *group) nextWake() (time.Time, bool) {
	return g.pollAt, !g.pollAt.IsZero()
}

// wake expires old placements and runs a scheduling pass if the group's wake-up
// time has come.
func (g *group) wake() {
	if g.pollAt.IsZero() || g.now().Before(g.pollAt) {
		return
	}
	g.expire()
	g.pass()
}

// expire ends placements and drops queued requests whose deadline has passed.
func (g *group) expire() {
	now := g.now()
	var over []*grant
	for _, gr := range g.grants {
		if now.After(gr.expires) {
			over = append(over, gr)
		}
	}
	slices.SortFunc(over, func(a, b *grant) int {
		if a.key.Before(b.key) {
			return -1
		}
		return 1
	})
	for _, gr := range over {
		g.end(gr)
	}
	for id, w := range g.waiting {
		if now.After(w.entry.Request.Deadline) {
			g.dequeue(id)
		}
	}
}
