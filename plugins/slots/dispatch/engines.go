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
	// linkAt is when its link will have sent all that it is to send.
	linkAt time.Time
	// own is the prompt work that its load report should count already, in
	// tokens.
	own int
}

// decodeState is a decode engine in one pass.
type decodeState struct {
	u *kernel.Upstream
	// slots and pieces are free; held and heldPieces are the known placements.
	slots, pieces, held, heldPieces int
	// reported is how many placements its load report should count.
	reported int
	// planned is the KV memory meant for prefills under way.
	planned int
}

// roles are the engines that serve the group's model, by role and as indexes
// into the view. They are found anew when the view or the bundle changes.
type roles struct {
	known     bool
	version   uint64
	content   *config.Content
	model     *config.Model
	prefills  []int
	prefillAt map[ident.UpstreamID]int
	decodes   []int
	// books are the decode engines' books, in the order of decodes.
	books []*book
}

// book is what is known of the use of one decode engine's slots.
type book struct {
	grants []*grant
	// ended are the uses that ended lately, in the order of their ends.
	ended []ended
}

// engines returns the group's engines under the view and bundle in force.
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

// usable reports whether the engine may get new work.
func (g *group) usable(u *kernel.Upstream) bool {
	return u.Life <= kernel.Suspect && !g.now().Before(u.Health.EjectedUntil)
}

// overdueShare is how much longer a prefill that is overdue is expected to
// take, as an inverse share of what it was expected to take.
const overdueShare = 4

// prefills lists the prefill engines and when each will be ready: when it is
// done with what this dispatcher gave it, and with what others did. The list
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

// give adds a prefill under way to the engine's work.
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

// send adds a transfer, which begins when the engine is ready and its link free.
func (e *prefillState) send(takes time.Duration) {
	e.linkAt = slotkit.Later(e.linkAt, e.readyAt).Add(takes)
}

// transfer is the time to send a prompt's KV cache over the engine's link when
// nothing else uses it.
func (g *group) transfer(u *kernel.Upstream, prompt int) time.Duration {
	return kernel.TransferTime(g.engines().model, prompt, u, u)
}

// noteTransfer counts a transfer that now begins on its engine's link.
func (g *group) noteTransfer(gr *grant) {
	u := g.p.host.Upstream(gr.prefill)
	if u == nil {
		return
	}
	g.links[u.ID] = slotkit.Later(g.links[u.ID], g.now()).Add(g.transfer(u, gr.ask.Prompt))
}

// addForeign adds the work that the engine reported beyond what is known.
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

// prefilling lists the grants whose prefill is not done, in the order in which
// they are expected to be.
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

// decodes lists the decode engines and what each has free, when the known
// placements and those of others are taken off. The list is valid until the
// next call.
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

// take takes what the book says off what is free.
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

// hold takes a known placement off what is free.
func (d *decodeState) hold(gr *grant) {
	d.held++
	d.heldPieces += gr.ask.Pieces
	d.slots--
	d.pieces -= gr.ask.Pieces
	if !gr.decodeAt.After(d.u.Load.At) {
		d.reported++
	}
}

// takeForeign takes off the requests that the engine reports and no known
// placement accounts for: those placed by another dispatcher, or by holders
// themselves.
func (d *decodeState) takeForeign() {
	running := d.u.Load.Running + d.u.Load.Waiting
	foreign := running - d.reported
	if d.u.Load.At.IsZero() || foreign <= 0 {
		return
	}
	d.slots -= foreign
	d.pieces -= d.u.Load.PiecesUsed * foreign / running
}

// ended remembers a slot's use, so that a load report from before its end can
// be understood.
type ended struct{ from, to time.Time }

// endedTime is how long the end of a slot's use is remembered. A load report
// that is older than this says nothing of others' placements: what it counts may
// be known uses that have ended since and are forgotten.
const endedTime = 5 * time.Second

// book returns the book of a decode engine.
func (g *group) book(id ident.UpstreamID) *book {
	b, ok := g.books[id]
	if !ok {
		b = &book{}
		g.books[id] = b
	}
	return b
}

// takeSlot enters a placement on a decode engine.
func (g *group) takeSlot(gr *grant, decode ident.UpstreamID) {
	gr.decode = decode
	gr.decodeAt = g.now()
	b := g.book(decode)
	b.grants = append(b.grants, gr)
}

// freeSlot takes a placement off its decode engine.
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
