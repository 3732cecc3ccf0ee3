package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// slotSupply predicts when decode slots and KV memory will be there for the
// placements of a pass.
type slotSupply struct {
	now time.Time
	// slots are free and not yet promised; the number goes below zero as the
	// pass promises slots that will only be released.
	slots int
	// engines are the decode engines; releases is when each slot in use is
	// expected to be given back, the earliest first.
	engines  []decodeState
	releases []release
	// total is the number of slots of all engines, and typical how long one is
	// used: what is only promised now is released as well.
	total   int
	typical time.Duration
}

// release is an expected end of a slot's use.
type release struct {
	at     time.Time
	decode ident.UpstreamID
	pieces int
}

// never is a time beyond any request's deadline.
const never = 24 * time.Hour

// supply adds up what the decode engines have free, less what is promised to
// prefills under way, and what is expected to be released.
func (g *group) supply(free []decodeState) *slotSupply {
	s := &g.supplyScratch
	*s = slotSupply{now: g.now(), engines: free, releases: s.releases[:0], typical: g.hold.remaining(0)}
	for i := range free {
		s.slots += max(free[i].slots, 0)
		s.total += slotkit.Slots(free[i].u)
	}
	s.slots -= g.takeOverMargin()
	for _, gr := range g.grants {
		if gr.decode == "" {
			s.take(gr.ask.Pieces, s.engine(gr.planned))
			continue
		}
		left := g.hold.remaining(s.now.Sub(gr.decodeAt))
		s.releases = append(s.releases, release{at: s.now.Add(left), decode: gr.decode, pieces: gr.ask.Pieces})
	}
	slices.SortFunc(s.releases, func(a, b release) int { return a.at.Compare(b.at) })
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

// next is when a slot and memory for one more request are expected, and the
// engine on which the memory is expected first, nil if there is none.
func (s *slotSupply) next(pieces int) (time.Time, *decodeState) {
	engine, memoryAt := s.memory(pieces)
	return slotkit.Later(s.slotAt(), memoryAt), engine
}

// slotAt is when one more slot than are promised is expected to be free.
func (s *slotSupply) slotAt() time.Time {
	missing := 1 - s.slots
	switch {
	case missing <= 0:
		return s.now
	case missing > len(s.releases):
		return s.wave(missing-len(s.releases), s.total)
	default:
		return s.releases[missing-1].at
	}
}

// wave is when so many units beyond all known releases are expected, of which an
// engine or all engines have the given total: what is promised now is released
// after the typical time, then used and released again.
func (s *slotSupply) wave(beyond, total int) time.Time {
	if total <= 0 {
		return s.now.Add(never)
	}
	waves := 1 + (beyond-1)/total
	return s.now.Add(time.Duration(waves) * s.typical)
}

// memory is the engine that is expected to have so much memory first, among
// equals the one that keeps most, and when.
func (s *slotSupply) memory(pieces int) (*decodeState, time.Time) {
	var best *decodeState
	bestAt, bestLeft := s.now.Add(never), 0
	for i := range s.engines {
		d := &s.engines[i]
		left := d.pieces - d.planned - pieces
		at := s.now
		if left < 0 && memoryKnown(d) {
			at = s.releasedAt(d.u, -left, pieces)
		}
		if best == nil || at.Before(bestAt) || (at.Equal(bestAt) && left > bestLeft) {
			best, bestAt, bestLeft = d, at, left
		}
	}
	return best, bestAt
}

// releasedAt is when an engine is expected to have released the pieces that are
// missing for a request of the given size.
func (s *slotSupply) releasedAt(u *kernel.Upstream, missing, size int) time.Time {
	for _, r := range s.releases {
		if r.decode != u.ID {
			continue
		}
		missing -= r.pieces
		if missing <= 0 {
			return r.at
		}
	}
	if size > slotkit.Pieces(u) {
		return s.now.Add(never)
	}
	return s.wave(missing, slotkit.Pieces(u))
}

// engine finds a decode engine by ID, nil if it is not usable now.
func (s *slotSupply) engine(id ident.UpstreamID) *decodeState {
	for i := range s.engines {
		if s.engines[i].u.ID == id {
			return &s.engines[i]
		}
	}
	return nil
}

// take promises a slot, and memory on the engine.
func (s *slotSupply) take(pieces int, on *decodeState) {
	s.slots--
	if on != nil {
		on.planned += pieces
	}
}
