package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// nextWake returns when the holder must next be woken, and false if it need not
// be.
func (h *holder) nextWake() (time.Time, bool) {
	if len(h.placements) == 0 {
		return time.Time{}, false
	}
	at := h.renewAt
	for _, x := range h.placements {
		if x.awaitsAnswer() {
			at = slotkit.Earlier(at, x.sentAt.Add(answerTimeout))
		}
	}
	return at, true
}

// awaitsAnswer reports whether the dispatcher has not yet answered the last
// message that needs an answer.
func (h *heldPlacement) awaitsAnswer() bool {
	return (h.stage == stageAsked || h.stage == stageComputed) && h.answeredAt.Before(h.sentAt)
}

// wakeHolder sends unanswered requests again, treats dispatchers that do not
// answer the second time as unreachable, and sends renewals when they are due.
func (p *Policy) wakeHolder() {
	now := p.host.Now()
	for _, h := range p.sortedPlacements() {
		if p.holder.placements[h.key] != h || !h.awaitsAnswer() || now.Before(h.sentAt.Add(answerTimeout)) {
			continue
		}
		if h.resent {
			p.markUnreachable(h.dispatcher)
			continue
		}
		h.resent = true
		p.sendAsk(h)
	}
	if !now.Before(p.holder.renewAt) {
		p.renew(now)
	}
}

// renew sends each dispatcher the count and digest of the placements that this
// instance has.
func (p *Policy) renew(now time.Time) {
	p.holder.renewAt = now.Add(renewInterval)
	for _, h := range p.sortedPlacements() {
		if h.stage != stageAsked && h.stage != stageComputed {
			continue
		}
		p.holder.renewAt = now.Add(renewIntervalPending)
		if !h.awaitsAnswer() && h.dispatcher != p.host.Self().Instance {
			// A request in a dispatcher's queue is sent again with each renewal.
			// The answer shows that the dispatcher is alive and still knows the
			// request.
			h.resent = false
			p.sendAsk(h)
		}
	}
	for _, model := range p.heldModels() {
		p.renewModel(p.dispatcherID(model), model, false)
	}
}

// heldModels returns the models of this instance's placements, sorted.
func (p *Policy) heldModels() []string {
	models := map[string]bool{}
	for _, h := range p.holder.placements {
		models[h.model] = true
	}
	return slices.Sorted(maps.Keys(models))
}

// renewAll sends a dispatcher the full list of the placements that this instance
// has of a model.
func (p *Policy) renewAll(d ident.InstanceID, model string) { p.renewModel(d, model, true) }

// renewModel sends a dispatcher a renewal for one model, with the full list of
// placements if full is set.
func (p *Policy) renewModel(d ident.InstanceID, model string, full bool) {
	if d == "" {
		return
	}
	m := &Renew{Incarnation: p.host.Self().Incarnation, Model: model, Full: full}
	for _, h := range p.sortedPlacements() {
		if h.model != model || h.stage == stageAsked {
			continue
		}
		m.Count++
		m.Digest ^= digest(h.key, h.decode)
		if full {
			m.Held = append(m.Held, Held{
				Reservation: slotkit.Reservation(h.id),
				Prefill:     h.prefill,
				Decode:      h.decode,
				Pieces:      h.ask.Pieces,
				Used:        h.used(p.host.Now()),
				Decoding:    h.decoding,
			})
		}
	}
	if d == p.host.Self().Instance {
		p.dispatcherFor(model).handleRenew(d, *m)
		return
	}
	p.host.Send(d, m)
}

// used returns how long the decode engine's slot has been taken, 0 if there is
// none.
func (h *heldPlacement) used(now time.Time) Milliseconds {
	if h.decode == "" {
		return 0
	}
	return millis(now.Sub(h.decodeAt))
}

// digest returns a hash of one placement. The digest of several placements is
// the exclusive or of their hashes.
func digest(k slotkit.Key, decode ident.UpstreamID) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, k.Instance...)
	b = append(b, byte(k.Incarnation), byte(k.Incarnation>>8), byte(k.Incarnation>>16), byte(k.Incarnation>>24))
	b = append(b, byte(k.Sequence), byte(k.Sequence>>8), byte(k.Sequence>>16), byte(k.Sequence>>24))
	b = append(b, decode...)
	return xxhash.Sum64(b)
}

// handleRenew handles a holder's renewal. If a renewal without a list does not
// match the known placements, it asks for the full list.
func (md *modelDispatcher) handleRenew(from ident.InstanceID, m Renew) {
	md.renewedHolders[from] = struct{}{}
	if !m.Full {
		if md.matches(from, m) {
			return
		}
		md.send(from, &Resync{Model: md.model})
		return
	}
	listed := make(map[slotkit.Key]bool, len(m.Held))
	for _, held := range m.Held {
		listed[held.Reservation.Key()] = true
		md.adopt(from, held)
	}
	for _, gr := range md.grantsOf(from) {
		// A recent placement may be missing from the list because its message is
		// still on the way to the holder.
		settled := md.now().Sub(gr.at) > renewInterval
		if !listed[gr.key] && (settled || gr.key.Incarnation != m.Incarnation) {
			md.endPlacement(gr)
		}
	}
	md.runPass()
}

// matches reports whether a renewal's count and digest match the placements that
// this dispatcher knows.
func (md *modelDispatcher) matches(from ident.InstanceID, m Renew) bool {
	count, sum := 0, uint64(0)
	for _, gr := range md.grantsOf(from) {
		count++
		sum ^= digest(gr.key, gr.decode)
	}
	return count == m.Count && sum == m.Digest
}

// adopt records a placement that a holder reports. If the holder reports no
// decode engine but this dispatcher has chosen one, the dispatcher's choice
// stays: the message that names the engine is still on the way, or was lost and
// the holder will ask again.
func (md *modelDispatcher) adopt(from ident.InstanceID, held Held) {
	key := held.Reservation.Key()
	gr, ok := md.grants[key]
	if !ok {
		gr = &grant{
			key:     key,
			id:      held.Reservation.ID(),
			holder:  from,
			at:      md.now(),
			ask:     Ask{Reservation: held.Reservation, Model: md.model, Pieces: held.Pieces},
			expires: held.Reservation.ID().Deadline,
		}
		md.grants[key] = gr
	}
	if held.Decode != "" && gr.decode != held.Decode {
		md.adoptSlot(gr, held)
	}
	if gr.prefill == "" {
		// The prefill may still be running. The holder reports when it is done.
		gr.prefill = held.Prefill
	}
	if held.Decoding {
		md.markComputed(gr)
	}
}

// adoptSlot records the decode slot that a holder reports.
func (md *modelDispatcher) adoptSlot(gr *grant, held Held) {
	if gr.decode != "" {
		md.freeSlot(gr)
	}
	if i := slices.Index(md.ready, gr); i >= 0 {
		md.ready = slices.Delete(md.ready, i, i+1)
	}
	md.takeSlot(gr, held.Decode)
	// The start of the use is set back so that load reports made since then are
	// expected to include it, and so that the hold time is measured correctly.
	gr.decodeAt = md.now().Add(-held.Used.Duration())
}

// grantsOf lists the placements of one holder in a reproducible order.
func (md *modelDispatcher) grantsOf(from ident.InstanceID) []*grant {
	var list []*grant
	for _, gr := range md.grants {
		if gr.holder == from {
			list = append(list, gr)
		}
	}
	slices.SortFunc(list, func(a, b *grant) int {
		if a.key.Before(b.key) {
			return -1
		}
		return 1
	})
	return list
}
