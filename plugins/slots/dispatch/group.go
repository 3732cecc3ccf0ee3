package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// waiting is an ask in the dispatcher's queue.
type waiting struct {
	ask    Ask
	holder ident.InstanceID
	entry  *kernel.Waiting
}

// grant is a placement that the dispatcher gave, or learned of from a renewal.
type grant struct {
	key     slotkit.Key
	id      ident.AttemptID
	holder  ident.InstanceID
	ask     Ask
	at      time.Time
	expires time.Time
	// prefill is the engine, doneAt when it is expected to be done with it.
	prefill ident.UpstreamID
	doneAt  time.Time
	// others are the prefill engines that were not chosen.
	others []Other
	// computed is set when the prefill is done; kvUntil is how long its result
	// can be imported.
	computed bool
	kvUntil  time.Time
	// planned is the decode engine that is expected to have memory for it.
	planned ident.UpstreamID
	// decode is the engine whose slot is taken, since decodeAt.
	decode   ident.UpstreamID
	decodeAt time.Time
}

// group is what the dispatcher of a model knows.
type group struct {
	p     *Policy
	model string
	// since is when this instance began to dispatch the model; heard are the
	// holders that renewed since then.
	since time.Time
	heard map[ident.InstanceID]struct{}

	queue   kernel.QueueOrder
	waiting map[ident.RequestID]*waiting
	grants  map[slotkit.Key]*grant
	// computing are the grants whose prefill is not done.
	computing map[slotkit.Key]*grant
	// ready are the grants whose prefill is done and that wait for a slot.
	ready []*grant
	hold  holdModel
	// links is when each prefill engine's link will be free.
	links map[ident.UpstreamID]time.Time
	// books are the decode engines' books.
	books map[ident.UpstreamID]*book
	// plannedAt is when the queue was last gone through, and wait the expected
	// wait of its last ask then.
	plannedAt time.Time
	wait      time.Duration
	// pollAt is when the queue is to be looked at again, zero if not needed.
	pollAt time.Time

	roles          roles
	prefillScratch []prefillState
	decodeScratch  []decodeState
	grantScratch   []*grant
	supplyScratch  slotSupply
	orderScratch   []*kernel.Waiting
}

// pollTime is how often a queue is looked at when nothing else happens.
const pollTime = 20 * time.Millisecond

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

// send sends an answer to a holder, which may be this instance itself.
func (g *group) send(to ident.InstanceID, m kernel.PeerMessage) {
	if to != g.p.host.Self().Instance {
		g.p.host.Send(to, m)
		return
	}
	g.p.receiveAnswer(to, m)
}

// ask queues an ask, or repeats the answer to one that was answered before.
func (g *group) ask(from ident.InstanceID, a Ask) {
	key := a.Reservation.Key()
	if gr, ok := g.grants[key]; ok {
		if a.KV != "" {
			// A placement adopted from a renewal may be asked for before, or
			// instead of, the news that its prefill is done.
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

// repeat sends the answer to an ask again: the first one may be lost.
func (g *group) repeat(gr *grant) {
	if g.grants[gr.key] != gr {
		// It has just been denied.
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

// placedMessage is the answer that gives a grant's prefill engine.
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

// askDecode takes a holder that has a finished prefill and needs a slot.
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

// computed notes that a prefill is done and finds its result a slot.
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

// prefillDone notes that a grant's prefill is done, and has it wait for a slot.
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

// markComputed notes that a grant's prefill is done.
func (g *group) markComputed(gr *grant) {
	gr.computed = true
	delete(g.computing, gr.key)
}

// release ends a placement or withdraws an ask. How the KV transfer of another
// instance's placement ended is passed to the kernel, which knows how those of
// its own did.
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

// noteTransferEnd passes on how a placement's KV transfer ended. When one stalled,
// those of placements in use for long enough went well, or they would have been
// released.
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

// undelivered takes back an answer that did not reach its holder, which will
// ask again if it lives.
func (g *group) undelivered(key slotkit.Key) {
	if gr, ok := g.grants[key]; ok && !gr.computed {
		g.end(gr)
		g.pass()
	}
}

// end forgets a placement.
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

// viewChanged ends the placements of dead holders.
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

// nextWake returns when the group has to act.
func (g *group) nextWake() (time.Time, bool) {
	return g.pollAt, !g.pollAt.IsZero()
}

// wake acts on the passing of time.
func (g *group) wake() {
	if g.pollAt.IsZero() || g.now().Before(g.pollAt) {
		return
	}
	g.expire()
	g.pass()
}

// expire ends placements whose requests are over for certain.
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
