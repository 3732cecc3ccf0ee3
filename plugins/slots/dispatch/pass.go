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
	// latenessTolerancePercent is the error allowed in a predicted time before a
	// request is refused as too late, in percent of the time from now to the
	// predicted time.
	latenessTolerancePercent = 10
	// kvWaitPercent is the share, in percent, of a KV cache's usable time that a
	// finished prefill may be planned to wait for its decode slot.
	kvWaitPercent = 10
	// minRetryDelay and maxRetryDelay bound the retry delay given to refused
	// callers, before jitter is added.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// crossZoneCost is the assumed cost of a transfer between availability zones.
	crossZoneCost = 5 * time.Millisecond
	// longQueueLength is the number of waiting requests above which the queue is
	// planned at most once every planInterval, which is a quarter of lookahead.
	longQueueLength = 32
	planInterval    = lookahead / 4
)

// runPass runs a scheduling pass: it assigns decode slots to finished prefills
// and prefill engines to waiting requests, as far as they are available now.
func (md *modelDispatcher) runPass() {
	if len(md.waiting)+len(md.ready) > 0 {
		md.lapse()
		free := md.decodes()
		md.serveReady(free)
		if md.planDue() {
			md.placeWaiting(free)
		}
	}
	md.pollAt = md.nextPass()
}

// planDue reports whether the queue is to be planned in this pass. The cost of
// planning grows with the length of the queue, and without a limit it would be
// paid on every request and release. A long queue is therefore planned at most
// once every planInterval.
func (md *modelDispatcher) planDue() bool {
	return len(md.waiting) <= longQueueLength || md.now().Sub(md.plannedAt) >= planInterval
}

// nextPass returns when the next pass is due if no event triggers one earlier,
// zero for never.
func (md *modelDispatcher) nextPass() time.Time {
	switch {
	case len(md.waiting) > longQueueLength:
		return md.plannedAt.Add(planInterval)
	case len(md.waiting)+len(md.ready) > 0:
		return md.now().Add(pollInterval)
	case len(md.grants) > 0:
		return md.now().Add(renewInterval)
	default:
		return time.Time{}
	}
}

// serveReady assigns decode slots to finished prefills, those whose KV cache
// expires first in front. It denies those whose cache has expired.
func (md *modelDispatcher) serveReady(free []decodeState) {
	now := md.now()
	slices.SortStableFunc(md.ready, func(a, b *grant) int { return a.kvUntil.Compare(b.kvUntil) })
	for _, gr := range slices.Clone(md.ready) {
		if now.After(gr.kvUntil) {
			md.endPlacement(gr)
			md.send(gr.holder, &Deny{Reservation: gr.ask.Reservation})
			continue
		}
		if d := md.pickDecode(gr, free); d != nil {
			md.giveSlot(gr, d)
		}
	}
}

// giveSlot assigns a slot of the decode engine to a finished prefill and tells
// the holder.
func (md *modelDispatcher) giveSlot(gr *grant, d *decodeState) {
	d.slots--
	d.pieces -= gr.ask.Pieces
	d.held++
	md.takeSlot(gr, d.u.ID)
	md.recordTransferStart(gr)
	if i := slices.Index(md.ready, gr); i >= 0 {
		md.ready = slices.Delete(md.ready, i, i+1)
	}
	md.send(gr.holder, &Decode{Reservation: gr.ask.Reservation, Model: md.model, Decode: d.u.ID})
}

// pickDecode chooses the decode engine with room that is expected to be fastest.
// An engine in another zone than the prefill engine is charged crossZoneCost.
// Among equals it chooses the engine with the fewest placements: if the bundle
// does not say how a batch's size affects decode speed, a full engine looks as
// fast as an empty one. It returns nil if no engine has room.
func (md *modelDispatcher) pickDecode(gr *grant, free []decodeState) *decodeState {
	zone := ident.Zone("")
	if p := md.p.host.Upstream(gr.prefill); p != nil {
		zone = p.Zone
	}
	candidates := md.continuable(&gr.ask, free)
	avoid := enginesToExclude(gr.ask.Avoid, candidates, func(d **decodeState) ident.UpstreamID { return (*d).u.ID })
	var best *decodeState
	bestCost := 0.0
	for _, d := range candidates {
		if d.slots < 1 || !roomFor(d, gr.ask.Pieces) || slices.Contains(avoid, d.u.ID) {
			continue
		}
		cost := kernel.DecodePace(d.u, d.held+1).Seconds()
		if d.u.Zone != zone {
			cost += crossZoneCost.Seconds()
		}
		if best == nil || cost < bestCost || (cost == bestCost && d.held < best.held) {
			best, bestCost = d, cost
		}
	}
	return best
}

// continuable lists the engines of a software version at which a request's stream may go on. The
// list is valid until the next call.
func (md *modelDispatcher) continuable(a *Ask, free []decodeState) []*decodeState {
	list := md.candidateScratch[:0]
	for i := range free {
		if a.mayContinueAt(free[i].u) {
			list = append(list, &free[i])
		}
	}
	md.candidateScratch = list
	return list
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
func (md *modelDispatcher) placeWaiting(free []decodeState) {
	if len(md.waiting) == 0 {
		return
	}
	md.plannedAt = md.now()
	engines := md.prefills()
	supply := md.supply(free)
	order := md.orderScratch[:0]
	for w := range md.queue.All() {
		order = append(order, w)
	}
	md.orderScratch = order
	for _, entry := range order {
		w := md.waiting[entry.Request.ID]
		if w == nil {
			continue
		}
		md.plan(w, engines, supply, len(order) == 1)
	}
	if len(md.waiting) > longQueueLength {
		md.plannedWait = md.expectedWait()
	}
}

// plan plans one request: it places the request, refuses it, or leaves it in the
// queue. alone is set if it is the only request in the queue.
func (md *modelDispatcher) plan(w *waiting, engines []prefillState, s *slotSupply, alone bool) {
	e, work := md.pickPrefill(w, engines)
	if e == nil {
		return
	}
	now := md.now()
	computed := e.readyAt.Add(work)
	if w.ask.SoftwareVersion != nil && !md.slotInTime(s.slotAmong(md.continuable(&w.ask, s.engines)), computed) {
		// Nothing is promised to it, so that requests that other engines may take do not wait for it.
		return
	}
	slotAt, memory := s.next(w.ask.Pieces)
	transfer := md.transfer(e.u, w.ask.Prompt)
	first := slotkit.Later(slotkit.Later(computed, slotAt), e.linkAt).Add(transfer)
	idle := alone && e.readyAt.Equal(now) && slotAt.Equal(now)
	if !idle && md.tooLate(w, first) {
		md.refuse(w, first)
		return
	}
	startable := e.readyAt.Sub(now) <= lookahead
	e.readyAt = computed
	e.addTransfer(transfer)
	s.promise(w.ask.Pieces, memory)
	if startable && md.slotInTime(slotAt, computed) {
		md.place(w, e, memory, md.runnersUp(w, engines, e))
	}
}

// slotInTime reports whether a decode slot that is expected at slotAt is early enough for a prefill that is done at
// computed.
func (md *modelDispatcher) slotInTime(slotAt, computed time.Time) bool {
	return slotAt.Sub(computed) <= md.p.kvUsable*kvWaitPercent/100
}

// tooLate reports whether a predicted first output misses its target by more
// than the allowed error. A request whose caller has already received output is
// never too late, since refusing it would discard that output.
func (md *modelDispatcher) tooLate(w *waiting, first time.Time) bool {
	if w.ask.Delivered > 0 {
		return false
	}
	slack := first.Sub(md.now()) * latenessTolerancePercent / 100
	return first.Add(-slack).After(w.entry.Request.FirstOutputBy)
}

// refuse tells a holder that its request cannot meet its target. The retry delay
// is the time by which the request would be late under the current plan, between
// minRetryDelay and maxRetryDelay, plus a random jitter of up to the same length.
func (md *modelDispatcher) refuse(w *waiting, first time.Time) {
	md.dequeue(w.entry.Request.ID)
	late := min(max(first.Sub(w.entry.Request.FirstOutputBy), minRetryDelay), maxRetryDelay)
	jitter := time.Duration(md.p.host.Rand().Int64N(int64(late) + 1))
	md.send(w.holder, &Deny{
		Reservation: w.ask.Reservation,
		Infeasible:  true,
		RetryIn:     millis(late + jitter),
	})
}

// place starts a placement on a prefill engine and tells the holder.
func (md *modelDispatcher) place(w *waiting, e *prefillState, memory *decodeState, runnersUp []Alternative) {
	u := e.u
	md.dequeue(w.entry.Request.ID)
	gr := &grant{
		key:       w.ask.Reservation.Key(),
		id:        w.ask.Reservation.ID(),
		holder:    w.holder,
		ask:       w.ask,
		at:        md.now(),
		expires:   w.entry.Request.Deadline,
		prefill:   u.ID,
		doneAt:    e.readyAt,
		runnersUp: runnersUp,
	}
	if memory != nil {
		gr.planned = memory.u.ID
	}
	md.grants[gr.key] = gr
	md.computing[gr.key] = gr
	if prefix := md.p.host.Prefix(); prefix != nil {
		prefix.Placed(u, w.ask.Blocks, md.now())
	}
	md.send(w.holder, md.placedMessage(gr))
}

// runnersUp lists the engines that would have finished the request next after the
// chosen one, best first. The request's work is already included in the readyAt
// of the chosen engine only.
func (md *modelDispatcher) runnersUp(w *waiting, engines []prefillState, chosen *prefillState) []Alternative {
	list := make([]Alternative, 0, maxRunnersUp+1)
	for i := range engines {
		e := &engines[i]
		if e == chosen {
			continue
		}
		end := e.readyAt.Add(kernel.PrefillTime(e.u, md.uncached(w, e.u)))
		cost := millis(end.Sub(md.now()))
		if len(list) == maxRunnersUp && cost >= list[maxRunnersUp-1].Cost {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, cost, func(o Alternative, c Milliseconds) int { return compareAfterEqual(o.Cost, c) })
		list = slices.Insert(list, at, Alternative{Prefill: e.u.ID, Cost: cost})
		list = list[:min(len(list), maxRunnersUp)]
	}
	return list
}

// compareAfterEqual is a comparison for a binary search that ends after the
// listed costs equal to c.
func compareAfterEqual(listed, c Milliseconds) int {
	if listed <= c {
		return -1
	}
	return 1
}

// pickPrefill chooses the engine that would finish the request first and returns
// it with the time that the prefill takes there. Engines that failed the request
// are excluded as long as others remain. It returns nil if there is no engine.
func (md *modelDispatcher) pickPrefill(w *waiting, engines []prefillState) (*prefillState, time.Duration) {
	avoid := enginesToExclude(w.ask.Avoid, engines, func(e *prefillState) ident.UpstreamID { return e.u.ID })
	return md.pickEarliest(w, engines, avoid)
}

// pickEarliest is pickPrefill with a given list of engines to exclude.
func (md *modelDispatcher) pickEarliest(w *waiting, engines []prefillState, avoid []ident.UpstreamID) (*prefillState, time.Duration) {
	var best *prefillState
	var bestWork time.Duration
	var bestEnd time.Time
	for i := range engines {
		e := &engines[i]
		if slices.Contains(avoid, e.u.ID) {
			continue
		}
		work := kernel.PrefillTime(e.u, md.uncached(w, e.u))
		end := slotkit.Later(e.readyAt.Add(work), e.linkAt).Add(md.transfer(e.u, w.ask.Prompt))
		if e.u.Zone != w.ask.Zone {
			end = end.Add(crossZoneCost)
		}
		if best == nil || end.Before(bestEnd) {
			best, bestWork, bestEnd = e, work, end
		}
	}
	return best, bestWork
}

// uncached returns how many tokens of a request's prompt an engine would have to
// compute, given its cached prefixes.
func (md *modelDispatcher) uncached(w *waiting, u *kernel.Upstream) int {
	prefix, m := md.p.host.Prefix(), md.engines().model
	if prefix == nil || m == nil {
		return w.ask.Prompt
	}
	return max(w.ask.Prompt-prefix.CachedBlocks(u, w.ask.Blocks)*m.PieceTokens, 1)
}

// queueWait returns the expected wait of the last request in the queue. For a
// long queue it returns the value from when the queue was last planned.
func (md *modelDispatcher) queueWait() time.Duration {
	if len(md.waiting) > longQueueLength {
		return md.plannedWait
	}
	return md.expectedWait()
}

// expectedWait computes the expected wait of the last request in the queue. It
// assumes that all prefill engines are as fast as the first one and that no
// prefix is cached.
func (md *modelDispatcher) expectedWait() time.Duration {
	engines := md.prefills()
	if len(engines) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, w := range md.waiting {
		total += kernel.PrefillTime(engines[0].u, w.ask.Prompt)
	}
	return total / time.Duration(len(engines))
}
