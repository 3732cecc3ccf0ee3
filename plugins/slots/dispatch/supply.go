package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// slotSupply predicts when decode slots and KV memory will be available for the
// placements of a scheduling pass.
type slotSupply struct {
	now time.Time
	// slots is the number of free slots that are not yet promised. It becomes
	// negative when the pass promises slots that are yet to be released.
	slots int
	// engines are the decode engines. releases are the expected releases of the
	// slots in use, earliest first.
	engines  []decodeState
	releases []release
	// total is the number of slots of all engines. typicalUse is the typical
	// length of a use, after which slots that are only promised now are expected
	// to be released.
	total      int
	typicalUse time.Duration
}

// release is the expected end of a slot's use.
type release struct {
	at     time.Time
	decode ident.UpstreamID
	pieces int
}

// never is a delay beyond any request's deadline.
const never = 24 * time.Hour

// supply computes the free slots and memory of the decode engines, less what is
// promised to prefills under way, and the expected releases.
func (md *modelDispatcher) supply(free []decodeState) *slotSupply {
	s := &md.supplyScratch
	*s = slotSupply{now: md.now(), engines: free, releases: s.releases[:0], typicalUse: md.holdTimes.remaining(0)}
	for i := range free {
		s.slots += max(free[i].slots, 0)
		s.total += slotkit.Slots(free[i].u)
	}
	s.slots -= md.takeOverMargin()
	for _, gr := range md.grants {
		if gr.decode == "" {
			s.promise(gr.ask.Pieces, s.engine(gr.planned))
			continue
		}
		left := md.holdTimes.remaining(s.now.Sub(gr.decodeAt))
		s.releases = append(s.releases, release{at: s.now.Add(left), decode: gr.decode, pieces: gr.ask.Pieces})
	}
	slices.SortFunc(s.releases, func(a, b release) int { return a.at.Compare(b.at) })
	return s
}

// takeOverMargin returns how many slots a new dispatcher leaves unused for
// prefills that were started by its predecessor and that it does not know yet.
// The margin ends when all holders have sent a renewal, or after one renewal
// interval.
func (md *modelDispatcher) takeOverMargin() int {
	if md.now().Sub(md.startedAt) > renewInterval {
		return 0
	}
	for _, in := range md.p.roster.Live() {
		if _, ok := md.renewedHolders[in.ID]; !ok && in.ID != md.p.host.Self().Instance {
			return marginPerPrefill * len(md.prefills())
		}
	}
	return 0
}

// marginPerPrefill is the assumed number of prefills per prefill engine that are
// under way, or done and without a decode slot.
const marginPerPrefill = 2

// next returns when a slot and memory for one more request are expected, and the
// engine on which the memory is expected first, nil if there is none.
func (s *slotSupply) next(pieces int) (time.Time, *decodeState) {
	engine, memoryAt := s.memoryAt(pieces)
	return slotkit.Later(s.slotAt(), memoryAt), engine
}

// slotAt returns when one slot more than those promised is expected to be free.
func (s *slotSupply) slotAt() time.Time {
	missing := 1 - s.slots
	switch {
	case missing <= 0:
		return s.now
	case missing > len(s.releases):
		return s.waveAt(missing-len(s.releases), s.total)
	default:
		return s.releases[missing-1].at
	}
}

// slotAmong returns when one of the given engines is expected to have a free slot.
func (s *slotSupply) slotAmong(engines []*decodeState) time.Time {
	for _, d := range engines {
		if d.slots >= 1 {
			return s.now
		}
	}
	for _, r := range s.releases {
		if slices.ContainsFunc(engines, func(d *decodeState) bool { return d.u.ID == r.decode }) {
			return r.at
		}
	}
	return s.now.Add(never)
}

// waveAt returns when the given number of units (slots, or pieces of memory)
// beyond all known releases is expected to be free. total is the number of units
// that exist. All of them are assumed to be released once per typical use
// length, so the result is a whole number of such waves from now.
func (s *slotSupply) waveAt(beyond, total int) time.Time {
	if total <= 0 {
		return s.now.Add(never)
	}
	waves := 1 + (beyond-1)/total
	return s.now.Add(time.Duration(waves) * s.typicalUse)
}

// memoryAt returns the engine that is expected to be the first to have the given
// amount of free memory, and when. Among equals it returns the engine that keeps
// most memory free.
func (s *slotSupply) memoryAt(pieces int) (*decodeState, time.Time) {
	var best *decodeState
	bestAt, bestLeft := s.now.Add(never), 0
	for i := range s.engines {
		d := &s.engines[i]
		left := d.pieces - d.plannedPieces - pieces
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

// releasedAt returns when an engine is expected to have released the missing
// pieces for a request of the given size.
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
	return s.waveAt(missing, slotkit.Pieces(u))
}

// engine returns the state of a decode engine, nil if the engine is not usable
// now.
func (s *slotSupply) engine(id ident.UpstreamID) *decodeState {
	for i := range s.engines {
		if s.engines[i].u.ID == id {
			return &s.engines[i]
		}
	}
	return nil
}

// promise promises one slot, and memory on the given engine if it is not nil.
func (s *slotSupply) promise(pieces int, on *decodeState) {
	s.slots--
	if on != nil {
		on.plannedPieces += pieces
	}
}
