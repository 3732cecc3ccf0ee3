package dispatch

import "time"

// slotSupply predicts when decode slots and KV memory will be there for the
// placements of a pass.
type slotSupply struct {
	now time.Time
	// slots and pieces are free and not yet promised; they go below zero as
	// the pass promises what will only be released.
	slots, pieces int
	// limited is false when the engines' memory is not known.
	limited bool
	// slotTime and pieceTime are the expected times between releases.
	slotTime, pieceTime time.Duration
}

// releaseCaution lengthens the expected time between releases, in percent:
// being late wastes a prefill, being early only delays one.
const releaseCaution = 125

// never is a time beyond any request's deadline.
const never = 24 * time.Hour

// supply adds up what the decode engines have free, less what is promised to
// prefills under way.
func (g *group) supply(free []decodeState) *slotSupply {
	s := &slotSupply{now: g.now(), slotTime: never, pieceTime: never}
	held, heldPieces := 0, 0
	for i := range free {
		d := &free[i]
		s.slots += max(d.slots, 0)
		s.pieces += max(d.pieces, 0)
		s.limited = s.limited || d.u.Spec.Pieces > 0 || d.u.Load.PiecesTotal > 0
		held += d.held
	}
	for _, gr := range g.grants {
		if gr.decode == "" {
			s.take(gr.ask.Pieces)
		} else {
			heldPieces += gr.ask.Pieces
		}
	}
	hold := g.hold.mean * releaseCaution / 100
	if held > 0 {
		s.slotTime = hold / time.Duration(held)
	}
	if heldPieces > 0 {
		s.pieceTime = hold / time.Duration(heldPieces)
	}
	s.slots -= g.takeOverMargin()
	return s
}

// takeOverMargin is how many slots a new dispatcher leaves unused, for the
// prefills under way that it does not know of, until it has heard from all
// holders or a renewal interval has passed.
func (g *group) takeOverMargin() int {
	if g.now().Sub(g.since) > renewTime {
		return 0
	}
	for _, in := range g.p.roster.Live() {
		if _, ok := g.heard[in.ID]; !ok && in.ID != g.p.host.Self().Instance {
			return marginPerPrefill * len(g.prefills())
		}
	}
	return 0
}

// marginPerPrefill is how many prefills may be under way or done, without a
// slot yet, for each prefill engine.
const marginPerPrefill = 2

// next is when a slot and memory for one more request are expected.
func (s *slotSupply) next(pieces int) time.Time {
	wait := time.Duration(0)
	if missing := 1 - s.slots; missing > 0 {
		wait = time.Duration(missing) * s.slotTime
	}
	if missing := pieces - s.pieces; s.limited && missing > 0 {
		wait = max(wait, time.Duration(missing)*s.pieceTime)
	}
	return s.now.Add(min(wait, never))
}

// take promises a slot and memory.
func (s *slotSupply) take(pieces int) {
	s.slots--
	s.pieces -= pieces
}
