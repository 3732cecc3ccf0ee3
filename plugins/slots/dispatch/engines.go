package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// prefillState is a prefill engine in one pass over the queue.
type prefillState struct {
	u *kernel.Upstream
	// readyAt is when the engine will have done all it was given, and, as the
	// pass goes on, what the queue will give it.
	readyAt time.Time
}

// decodeState is a decode engine in one pass.
type decodeState struct {
	u *kernel.Upstream
	// slots and pieces are free; held and heldPieces are the known placements.
	slots, pieces, held, heldPieces int
	// planned is the KV memory meant for prefills under way.
	planned int
}

// usable reports whether the engine may get new work in the role.
func (g *group) usable(u *kernel.Upstream, role config.Role) bool {
	return u.Life <= kernel.Suspect && u.Spec.Role == role && u.Serves(g.model) &&
		!g.now().Before(u.Health.EjectedUntil)
}

// prefills lists the prefill engines and when each will be ready.
func (g *group) prefills() []prefillState {
	work := g.outstanding()
	view := g.p.host.View()
	var list []prefillState
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if g.usable(u, config.RolePrefill) {
			list = append(list, prefillState{u: u, readyAt: g.readyAt(u, work[u.ID])})
		}
	}
	return list
}

// outstanding lists the prefills that are not done, by engine and in the order
// in which they were given.
func (g *group) outstanding() map[ident.UpstreamID][]*grant {
	work := map[ident.UpstreamID][]*grant{}
	for _, gr := range g.grants {
		if !gr.computed {
			work[gr.prefill] = append(work[gr.prefill], gr)
		}
	}
	for _, list := range work {
		slices.SortFunc(list, func(a, b *grant) int {
			if c := a.doneAt.Compare(b.doneAt); c != 0 {
				return c
			}
			if a.key.Before(b.key) {
				return -1
			}
			return 1
		})
	}
	return work
}

// overdueShare is how much longer a prefill that is overdue is expected to
// take, as an inverse share of what it was expected to take.
const overdueShare = 4

// readyAt is when an engine will be done with the given work and with what
// others gave it.
func (g *group) readyAt(u *kernel.Upstream, work []*grant) time.Time {
	at := g.now()
	own := 0
	for _, gr := range work {
		if !gr.at.After(u.Load.At) {
			own += gr.ask.Prompt
		}
		end := gr.doneAt
		if !end.After(at) {
			end = at.Add(gr.doneAt.Sub(gr.at) / overdueShare)
		}
		at = end
	}
	foreign := float64(u.Load.QueuedTokens-own) - g.now().Sub(u.Load.At).Seconds()*u.Spec.PrefillTokensPerSecond
	if foreign > 0 && u.Spec.PrefillTokensPerSecond > 0 {
		at = at.Add(time.Duration(foreign / u.Spec.PrefillTokensPerSecond * float64(time.Second)))
	}
	return at
}

// decodes lists the decode engines and what each has free.
func (g *group) decodes() []decodeState {
	used := map[ident.UpstreamID]*decodeState{}
	for _, gr := range g.grants {
		if gr.decode == "" {
			continue
		}
		s, ok := used[gr.decode]
		if !ok {
			s = &decodeState{}
			used[gr.decode] = s
		}
		s.held++
		s.heldPieces += gr.ask.Pieces
	}
	view := g.p.host.View()
	var list []decodeState
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if g.usable(u, config.RoleDecode) {
			list = append(list, g.free(u, used[u.ID]))
		}
	}
	return list
}

// free is what a decode engine has left when the known placements and those of
// others are taken off.
func (g *group) free(u *kernel.Upstream, used *decodeState) decodeState {
	s := decodeState{u: u, slots: slotkit.Slots(u), pieces: slotkit.Pieces(u)}
	foreign := g.foreign(u)
	s.slots -= foreign
	if running := u.Load.Running + u.Load.Waiting; foreign > 0 && running > 0 {
		s.pieces -= u.Load.PiecesUsed * foreign / running
	}
	if used != nil {
		s.held, s.heldPieces = used.held, used.heldPieces
		s.slots -= used.held
		s.pieces -= used.heldPieces
	}
	return s
}

// ended remembers a slot's use, so that a load report from before its end can
// be understood.
type ended struct {
	decode   ident.UpstreamID
	from, to time.Time
}

// maxEnded bounds what is remembered; it covers the lag of load reports.
const maxEnded = 512

func (g *group) noteEnded(gr *grant) {
	g.ended = append(g.ended, ended{decode: gr.decode, from: gr.decodeAt, to: g.now()})
	if extra := len(g.ended) - maxEnded; extra > 0 {
		g.ended = slices.Delete(g.ended, 0, extra)
	}
}

// foreign is how many requests an engine reports that no known placement
// accounts for: those placed by another dispatcher, or by holders themselves.
func (g *group) foreign(u *kernel.Upstream) int {
	at := u.Load.At
	if at.IsZero() {
		return 0
	}
	known := 0
	for _, gr := range g.grants {
		if gr.decode == u.ID && !gr.decodeAt.After(at) {
			known++
		}
	}
	for _, e := range g.ended {
		if e.decode == u.ID && !e.from.After(at) && e.to.After(at) {
			known++
		}
	}
	return max(u.Load.Running+u.Load.Waiting-known, 0)
}
