package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// prefillState is the predicted state of a prefill engine during one scheduling
// pass.
type prefillState struct {
	u *kernel.Upstream
	// readyAt is when the engine will have finished the prompts that it was
	// given and those that this pass has planned for it so far.
	readyAt time.Time
	// linkAt is when the engine's network link will have finished all planned
	// transfers.
	linkAt time.Time
	// own is the part of the engine's reported queue, in prompt tokens, that
	// this dispatcher's placements account for.
	own int
}

// decodeState is the predicted state of a decode engine during one scheduling
// pass.
type decodeState struct {
	u *kernel.Upstream
	// slots and pieces are the free slots and KV memory pieces. held and
	// heldPieces count the known placements and their pieces.
	slots, pieces, held, heldPieces int
	// reported is the number of known uses that the engine's load report should
	// include.
	reported int
	// planned is the KV memory, in pieces, reserved for prefills that have no
	// decode engine yet.
	planned int
}

// roles lists the engines that serve the group's model, by role, as indexes into
// the view's upstreams. It is computed again when the view or the bundle
// changes.
type roles struct {
	known     bool
	version   uint64
	content   *config.Content
	model     *config.Model
	prefills  []int
	prefillAt map[ident.UpstreamID]int
	decodes   []int
	// books holds one book per decode engine, in the order of decodes.
	books []*book
}

// book records the known uses of one decode engine's slots.
type book struct {
	grants []*grant
	// ended lists uses that ended recently, in the order of their ends.
	ended []ended
}

// engines returns the engines that serve the group's model, according to the
// current view and bundle.
func (g *group) engines() *roles {
	view, content := g.p.host.View(), g.p.host.Content()
	r := &g.roles
	if r.known && r.version == view.Version && r.content == content {
		return r
	}
	*r = roles{
		known:     true,
		version:   view.Version,
		content:   content,
		model:     g.p.host.Model(g.model),
		prefillAt: map[ident.UpstreamID]int{},
	}
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if !u.Serves(g.model) || !g.p.near(u.Zone) {
			continue
		}
		switch u.Spec.Role {
		case config.RolePrefill:
			r.prefillAt[u.ID] = len(r.prefills)
			r.prefills = append(r.prefills, i)
		case config.RoleDecode:
			r.decodes = append(r.decodes, i)
			r.books = append(r.books, g.book(u.ID))
		}
	}
	return r
}

// usable reports whether the engine may be given new work.
func (g *group) usable(u *kernel.Upstream) bool {
	return u.Life <= kernel.Suspect && !g.now().Before(u.Health.EjectedUntil)
}

// overdueShare sets the assumed remaining time of a prefill that has passed its
// expected end: a quarter of the time it was expected to take.
const overdueShare = 4

// prefills lists the usable prefill engines with the time at which each will
// have finished the work given to it by this dispatcher and by others. The list
// is valid until the next call.
func (g *group) prefills() []prefillState {
	r := g.engines()
	now := g.now()
	list := g.prefillScratch[:0]
	upstreams := g.p.host.View().Upstreams
	for _, i := range r.prefills {
		u := &upstreams[i]
		list = append(list, prefillState{u: u, readyAt: now, linkAt: slotkit.Later(now, g.links[u.ID])})
	}
	for _, gr := range g.prefilling() {
		at, ok := r.prefillAt[gr.prefill]
		if !ok {
			continue
		}
		list[at].give(gr)
		list[at].send(g.transfer(list[at].u, gr.ask.Prompt))
	}
	g.prefillScratch = list
	for i := range list {
		list[i].addForeign(now)
	}
	return slices.DeleteFunc(list, func(e prefillState) bool { return !g.usable(e.u) })
}

// give adds a prefill that is under way to the engine's predicted work.
func (e *prefillState) give(gr *grant) {
	if !gr.at.After(e.u.Load.At) {
		e.own += gr.ask.Prompt
	}
	end := gr.doneAt
	if !end.After(e.readyAt) {
		end = e.readyAt.Add(gr.doneAt.Sub(gr.at) / overdueShare)
	}
	e.readyAt = end
}

// send adds a transfer, which begins when the engine is ready and its link is
// free.
func (e *prefillState) send(takes time.Duration) {
	e.linkAt = slotkit.Later(e.linkAt, e.readyAt).Add(takes)
}

// transfer returns the time to send a prompt's KV cache over the engine's
// otherwise idle link.
func (g *group) transfer(u *kernel.Upstream, prompt int) time.Duration {
	return kernel.TransferTime(g.engines().model, prompt, u, u)
}

// noteTransfer records that the transfer of a placement's KV cache begins now on
// the link of its prefill engine.
func (g *group) noteTransfer(gr *grant) {
	u := g.p.host.Upstream(gr.prefill)
	if u == nil {
		return
	}
	g.links[u.ID] = slotkit.Later(g.links[u.ID], g.now()).Add(g.transfer(u, gr.ask.Prompt))
}

// addForeign adds the work that the engine reported beyond this dispatcher's own
// placements, less what the engine can have computed since the report.
func (e *prefillState) addForeign(now time.Time) {
	rate := e.u.Spec.PrefillTokensPerSecond
	if rate <= 0 {
		return
	}
	foreign := float64(e.u.Load.QueuedTokens-e.own) - now.Sub(e.u.Load.At).Seconds()*rate
	if foreign > 0 {
		e.readyAt = e.readyAt.Add(time.Duration(foreign / rate * float64(time.Second)))
	}
}

// prefilling lists the placements whose prefill is not done, sorted by expected
// end. The list is valid until the next call.
func (g *group) prefilling() []*grant {
	list := g.grantScratch[:0]
	for _, gr := range g.computing {
		list = append(list, gr)
	}
	slices.SortFunc(list, func(a, b *grant) int {
		if c := a.doneAt.Compare(b.doneAt); c != 0 {
			return c
		}
		if a.key.Before(b.key) {
			return -1
		}
		return 1
	})
	g.grantScratch = list
	return list
}

// decodes lists the usable decode engines with their free slots and memory,
// after subtracting the known placements and those that only the load report
// shows. The list is valid until the next call.
func (g *group) decodes() []decodeState {
	r := g.engines()
	list := g.decodeScratch[:0]
	upstreams := g.p.host.View().Upstreams
	for n, i := range r.decodes {
		u := &upstreams[i]
		if !g.usable(u) {
			continue
		}
		d := decodeState{u: u, slots: slotkit.Slots(u), pieces: slotkit.Pieces(u)}
		d.take(r.books[n], g.now())
		list = append(list, d)
	}
	g.decodeScratch = list
	return list
}

// take subtracts the known placements from the free slots and memory, and, if
// the load report is recent enough, the requests that only the report shows.
func (d *decodeState) take(b *book, now time.Time) {
	for _, gr := range b.grants {
		d.hold(gr)
	}
	for i := len(b.ended) - 1; i >= 0 && b.ended[i].to.After(d.u.Load.At); i-- {
		if !b.ended[i].from.After(d.u.Load.At) {
			d.reported++
		}
	}
	if now.Sub(d.u.Load.At) <= endedTime {
		d.takeForeign()
	}
}

// hold subtracts one known placement from the free slots and memory.
func (d *decodeState) hold(gr *grant) {
	d.held++
	d.heldPieces += gr.ask.Pieces
	d.slots--
	d.pieces -= gr.ask.Pieces
	if !gr.decodeAt.After(d.u.Load.At) {
		d.reported++
	}
}

// takeForeign subtracts the requests that the engine reports beyond the known
// placements. They were placed by another dispatcher, or by holders out of their
// static shares. Their memory is estimated as an equal share of the reported
// memory per request.
func (d *decodeState) takeForeign() {
	running := d.u.Load.Running + d.u.Load.Waiting
	foreign := running - d.reported
	if d.u.Load.At.IsZero() || foreign <= 0 {
		return
	}
	d.slots -= foreign
	d.pieces -= d.u.Load.PiecesUsed * foreign / running
}

// ended is the time span of a slot use that is over. It is needed to interpret
// load reports made before the use ended.
type ended struct{ from, to time.Time }

// endedTime is how long an ended slot use is remembered. A load report older
// than this is not used to detect other dispatchers' placements, because it may
// count known uses that have since ended and been forgotten.
const endedTime = 5 * time.Second

// book returns the record of a decode engine's slot uses and creates it if
// necessary.
func (g *group) book(id ident.UpstreamID) *book {
	b, ok := g.books[id]
	if !ok {
		b = &book{}
		g.books[id] = b
	}
	return b
}

// takeSlot records that a placement takes a slot of the decode engine from now
// on.
func (g *group) takeSlot(gr *grant, decode ident.UpstreamID) {
	gr.decode = decode
	gr.decodeAt = g.now()
	b := g.book(decode)
	b.grants = append(b.grants, gr)
}

// freeSlot removes a placement from its decode engine's record and remembers the
// use for endedTime.
func (g *group) freeSlot(gr *grant) {
	b := g.book(gr.decode)
	if i := slices.Index(b.grants, gr); i >= 0 {
		b.grants = slices.Delete(b.grants, i, i+1)
	}
	now := g.now()
	over := 0
	for over < len(b.ended) && now.Sub(b.ended[over].to) > endedTime {
		over++
	}
	b.ended = append(slices.Delete(b.ended, 0, over), ended{from: gr.decodeAt, to: now})
}
