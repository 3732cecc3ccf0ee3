package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

const (
	// lookahead is how long before a prefill engine becomes idle it is given its
	// next prompt. It covers the time that the messages in between take.
	lookahead = 20 * time.Millisecond
	// lateSlack is the error allowed in a predicted time before a request is
	// refused as too late, in percent of the time from now to the predicted
	// time.
	lateSlack = 10
	// kvWaitPercent is the share, in percent, of a KV cache's usable time that a
	// finished prefill may be planned to wait for its decode slot.
	kvWaitPercent = 10
	// minComeBack and maxComeBack bound the retry delay given to refused
	// callers, before jitter is added.
	minComeBack = 300 * time.Millisecond
	maxComeBack = 30 * time.Second
	// crossZone is the assumed cost of a transfer between availability zones.
	crossZone = 5 * time.Millisecond
	// longQueue is the number of waiting requests above which the queue is
	// planned at most once every planGap, which is a quarter of lookahead.
	longQueue = 32
	planGap   = lookahead / 4
)

// pass runs a scheduling pass: it assigns decode slots to finished prefills and
// prefill engines to waiting requests, as far as they are available now.
func (g *group) pass() {
	if len(g.waiting)+len(g.ready) > 0 {
		g.lapse()
		free := g.decodes()
		g.serveReady(free)
		if g.planDue() {
			g.placeWaiting(free)
		}
	}
	g.pollAt = g.nextPass()
}

// planDue reports whether the queue is to be planned in this pass. The cost of
// planning grows with the length of the queue, and without a limit it would be
// paid on every request and release. A long queue is therefore planned at most
// once every planGap.
func (g *group) planDue() bool {
	return len(g.waiting) <= longQueue || g.now().Sub(g.plannedAt) >= planGap
}

// nextPass returns when the next pass is due if no event triggers one earlier,
// zero for never.
func (g *group) nextPass() time.Time {
	switch {
	case len(g.waiting) > longQueue:
		return g.plannedAt.Add(planGap)
	case len(g.waiting)+len(g.ready) > 0:
		return g.now().Add(pollTime)
	case len(g.grants) > 0:
		return g.now().Add(renewTime)
	default:
		return time.Time{}
	}
}

// serveReady assigns decode slots to finished prefills, those whose KV cache
// expires first in front. It denies those whose cache has expired.
func (g *group) serveReady(free []decodeState) {
	now := g.now()
	slices.SortStableFunc(g.ready, func(a, b *grant) int { return a.kvUntil.Compare(b.kvUntil) })
	for _, gr := range slices.Clone(g.ready) {
		if now.After(gr.kvUntil) {
			g.end(gr)
			g.send(gr.holder, &Deny{Reservation: gr.ask.Reservation})
			continue
		}
		if d := g.pickDecode(gr, free); d != nil {
			g.giveSlot(gr, d)
		}
	}
}

// giveSlot assigns a slot of the decode engine to a finished prefill and tells
// the holder.
func (g *group) giveSlot(gr *grant, d *decodeState) {
	d.slots--
	d.pieces -= gr.ask.Pieces
	d.held++
	g.takeSlot(gr, d.u.ID)
	g.noteTransfer(gr)
	if i := slices.Index(g.ready, gr); i >= 0 {
		g.ready = slices.Delete(g.ready, i, i+1)
	}
	g.send(gr.holder, &Decode{Reservation: gr.ask.Reservation, Model: g.model, Decode: d.u.ID})
}

// pickDecode chooses the decode engine with room that is expected to be fastest.
// An engine in another zone than the prefill engine is charged crossZone. Among
// equals it chooses the engine with the fewest placements: if the bundle does
// not say how a batch's size affects decode speed, a full engine looks as fast
// as an empty one. It returns nil if no engine has room.
func (g *group) pickDecode(gr *grant, free []decodeState) *decodeState {
	zone := ident.Zone("")
	if p := g.p.host.Upstream(gr.prefill); p != nil {
		zone = p.Zone
	}
	avoid := leftOut(gr.ask.Avoid, free, func(d *decodeState) ident.UpstreamID { return d.u.ID })
	var best *decodeState
	bestCost := 0.0
	for i := range free {
		d := &free[i]
		if d.slots < 1 || !roomFor(d, gr.ask.Pieces) || slices.Contains(avoid, d.u.ID) {
			continue
		}
		cost := kernel.DecodePace(d.u, d.held+1).Seconds()
		if d.u.Zone != zone {
			cost += crossZone.Seconds()
		}
		if best == nil || cost < bestCost || (cost == bestCost && d.held < best.held) {
			best, bestCost = d, cost
		}
	}
	return best
}

// roomFor reports whether an engine has KV memory for the given number of
// pieces. It returns true if the engine's memory is not known.
func roomFor(d *decodeState, pieces int) bool {
	return !memoryKnown(d) || d.pieces >= pieces
}

// memoryKnown reports whether the engine's amount of KV memory is known.
func memoryKnown(d *decodeState) bool {
	return d.u.Spec.Pieces > 0 || d.u.Load.PiecesTotal > 0
}

// placeWaiting plans the queue in order. Each request is assigned, for planning,
// to the prefill engine that would finish it first. It is actually placed if
// that engine is about to become idle and a decode slot is expected in time for
// the result. A request that according to this plan cannot meet its target is
// refused at once, except if it is the only one waiting and nothing delays it:
// it is then late, but serving it delays no other request.
func (g *group) placeWaiting(free []decodeState) {
	if len(g.waiting) == 0 {
		return
	}
	g.plannedAt = g.now()
	engines := g.prefills()
	supply := g.supply(free)
	order := g.orderScratch[:0]
	for w := range g.queue.All() {
		order = append(order, w)
	}
	g.orderScratch = order
	for _, entry := range order {
		w := g.waiting[entry.Request.ID]
		if w == nil {
			continue
		}
		g.plan(w, engines, supply, len(order) == 1)
	}
	if len(g.waiting) > longQueue {
		g.wait = g.expectedWait()
	}
}

// plan plans one request: it places the request, refuses it, or leaves it in the
// queue. alone is set if it is the only request in the queue.
func (g *group) plan(w *waiting, engines []prefillState, s *slotSupply, alone bool) {
	e, work := g.pickPrefill(w, engines)
	if e == nil {
		return
	}
	now := g.now()
	computed := e.readyAt.Add(work)
	slotAt, memory := s.next(w.ask.Pieces)
	transfer := g.transfer(e.u, w.ask.Prompt)
	first := slotkit.Later(slotkit.Later(computed, slotAt), e.linkAt).Add(transfer)
	idle := alone && e.readyAt.Equal(now) && slotAt.Equal(now)
	if !idle && g.tooLate(w, first) {
		g.refuse(w, first)
		return
	}
	startable := e.readyAt.Sub(now) <= lookahead
	slotInTime := slotAt.Sub(computed) <= g.p.kvUsable*kvWaitPercent/100
	e.readyAt = computed
	e.send(transfer)
	s.take(w.ask.Pieces, memory)
	if startable && slotInTime {
		g.place(w, e, memory, g.others(w, engines, e))
	}
}

// tooLate reports whether a predicted first output misses its target by more
// than the allowed error. A request whose caller has already received output is
// never too late, since refusing it would discard that output.
func (g *group) tooLate(w *waiting, first time.Time) bool {
	if w.ask.Delivered > 0 {
		return false
	}
	slack := first.Sub(g.now()) * lateSlack / 100
	return first.Add(-slack).After(w.entry.Request.FirstOutputBy)
}

// refuse tells a holder that its request cannot meet its target. The retry delay
// is the time by which the request would be late under the current plan, between
// minComeBack and maxComeBack, plus a random jitter of up to the same length.
func (g *group) refuse(w *waiting, first time.Time) {
	g.dequeue(w.entry.Request.ID)
	late := min(max(first.Sub(w.entry.Request.FirstOutputBy), minComeBack), maxComeBack)
	jitter := time.Duration(g.p.host.Rand().Int64N(int64(late) + 1))
	g.send(w.holder, &Deny{
		Reservation: w.ask.Reservation,
		Infeasible:  true,
		RetryIn:     millis(late + jitter),
	})
}

// place starts a placement on a prefill engine and tells the holder.
func (g *group) place(w *waiting, e *prefillState, memory *decodeState, others []Other) {
	u := e.u
	g.dequeue(w.entry.Request.ID)
	gr := &grant{
		key:     w.ask.Reservation.Key(),
		id:      w.ask.Reservation.ID(),
		holder:  w.holder,
		ask:     w.ask,
		at:      g.now(),
		expires: w.entry.Request.Deadline,
		prefill: u.ID,
		doneAt:  e.readyAt,
		others:  others,
	}
	if memory != nil {
		gr.planned = memory.u.ID
	}
	g.grants[gr.key] = gr
	g.computing[gr.key] = gr
	if prefix := g.p.host.Prefix(); prefix != nil {
		prefix.Placed(u, w.ask.Blocks, g.now())
	}
	g.send(w.holder, g.placedMessage(gr))
}

// others lists the engines that would have finished the request next after the
// chosen one, best first. The request's work is already included in the readyAt
// of the chosen engine only.
func (g *group) others(w *waiting, engines []prefillState, chosen *prefillState) []Other {
	list := make([]Other, 0, maxOthers+1)
	for i := range engines {
		e := &engines[i]
		if e == chosen {
			continue
		}
		end := e.readyAt.Add(kernel.PrefillTime(e.u, g.uncached(w, e.u)))
		cost := millis(end.Sub(g.now()))
		if len(list) == maxOthers && cost >= list[maxOthers-1].Cost {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, cost, func(o Other, c Milliseconds) int { return behindEqual(o.Cost, c) })
		list = slices.Insert(list, at, Other{Prefill: e.u.ID, Cost: cost})
		list = list[:min(len(list), maxOthers)]
	}
	return list
}

// behindEqual is a comparison for a binary search that ends after the listed
// costs equal to c.
func behindEqual(listed, c Milliseconds) int {
	if listed <= c {
		return -1
	}
	return 1
}

// pickPrefill chooses the engine that would finish the request first and returns
// it with the time that the prefill takes there. Engines that failed the request
// are excluded as long as others remain. It returns nil if there is no engine.
func (g *group) pickPrefill(w *waiting, engines []prefillState) (*prefillState, time.Duration) {
	avoid := leftOut(w.ask.Avoid, engines, func(e *prefillState) ident.UpstreamID { return e.u.ID })
	return g.soonest(w, engines, avoid)
}

// soonest is pickPrefill with a given list of engines to exclude.
func (g *group) soonest(w *waiting, engines []prefillState, avoid []ident.UpstreamID) (*prefillState, time.Duration) {
	var best *prefillState
	var bestWork time.Duration
	var bestEnd time.Time
	for i := range engines {
		e := &engines[i]
		if slices.Contains(avoid, e.u.ID) {
			continue
		}
		work := kernel.PrefillTime(e.u, g.uncached(w, e.u))
		end := slotkit.Later(e.readyAt.Add(work), e.linkAt).Add(g.transfer(e.u, w.ask.Prompt))
		if e.u.Zone != w.ask.Zone {
			end = end.Add(crossZone)
		}
		if best == nil || end.Before(bestEnd) {
			best, bestWork, bestEnd = e, work, end
		}
	}
	return best, bestWork
}

// uncached returns how many tokens of a request's prompt an engine would have to
// compute, given its cached prefixes.
func (g *group) uncached(w *waiting, u *kernel.Upstream) int {
	prefix, m := g.p.host.Prefix(), g.engines().model
	if prefix == nil || m == nil {
		return w.ask.Prompt
	}
	return max(w.ask.Prompt-prefix.CachedBlocks(u, w.ask.Blocks)*m.PieceTokens, 1)
}

// queueWait returns the expected wait of the last request in the queue. For a
// long queue it returns the value from when the queue was last planned.
func (g *group) queueWait() time.Duration {
	if len(g.waiting) > longQueue {
		return g.wait
	}
	return g.expectedWait()
}

// expectedWait computes the expected wait of the last request in the queue. It
// assumes that all prefill engines are as fast as the first one and that no
// prefix is cached.
func (g *group) expectedWait() time.Duration {
	engines := g.prefills()
	if len(engines) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, w := range g.waiting {
		total += kernel.PrefillTime(engines[0].u, w.ask.Prompt)
	}
	return total / time.Duration(len(engines))
}
