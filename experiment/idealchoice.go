package experiment

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// bestPrefill returns the idle prefill engine that would compute the prompt
// fastest, with the time it needs. If none is idle, it returns nil and the least
// time that any live engine would need.
func (i *idealScheduler) bestPrefill(a *attempt) (*prefillEngine, time.Duration) {
	var best *prefillEngine
	least := time.Duration(-1)
	bestTook := time.Duration(0)
	for _, id := range i.w.upstreamOrder {
		e, ok := i.w.backends[id].(*prefillEngine)
		if !ok || !e.alive || e.stalled {
			continue
		}
		took := e.params.PrefillDuration(e.params.Uncached(a.promptTokens(), e.cache.Match(a.blocks())))
		if least < 0 || took < least {
			least = took
		}
		idle := e.current == nil && len(e.queue) == 0
		if idle && (best == nil || took < bestTook) {
			best, bestTook = e, took
		}
	}
	if best == nil {
		return nil, max(least, 0)
	}
	return best, bestTook
}

// freeDecode returns the decode engine that will have the most free slots after
// a time, or nil if none will have room.
func (i *idealScheduler) freeDecode(a *attempt, after time.Duration) *decodeEngine {
	var best *decodeEngine
	most := 0
	for _, id := range i.w.upstreamOrder {
		d, ok := i.w.backends[id].(*decodeEngine)
		if !ok || !d.alive {
			continue
		}
		if room := i.roomAfter(d, a, after); room > most {
			best, most = d, room
		}
	}
	return best
}

// roomAfter returns the number of slots that an engine will have free after a
// time, or 0 if it will lack the memory.
func (i *idealScheduler) roomAfter(d *decodeEngine, a *attempt, after time.Duration) int {
	slots, pieces := d.params.Slots, d.params.Pieces
	step := d.params.StepTime(len(d.held))
	for _, h := range d.held {
		left := time.Duration(h.sub.logical.arrival.OutputTokens-h.generated+1) * step
		if left > after {
			slots--
			pieces -= h.reservedPieces(d.params)
		}
	}
	for _, p := range i.planned[d.spec.ID] {
		slots--
		pieces -= p.reservedPieces(d.params)
	}
	if pieces < a.reservedPieces(d.params) {
		return 0
	}
	return max(slots, 0)
}

// fits reports whether a decode engine has room now.
func (i *idealScheduler) fits(d *decodeEngine, a *attempt) bool {
	return d.alive && len(d.held) < d.params.Slots &&
		d.piecesUsed+a.reservedPieces(d.params) <= d.params.Pieces
}

// otherDecode returns a decode engine with room to replace a dead one, or the
// dead one if there is none.
func (i *idealScheduler) otherDecode(a *attempt, dead ident.UpstreamID) ident.UpstreamID {
	for _, id := range i.w.upstreamOrder {
		if d, ok := i.w.backends[id].(*decodeEngine); ok && i.fits(d, a) {
			return id
		}
	}
	return dead
}
