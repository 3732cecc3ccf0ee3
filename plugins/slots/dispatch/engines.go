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
	// knownTokens is the part of the engine's reported queue, in prompt tokens,
	// that this dispatcher's placements account for.
	knownTokens int
}

// decodeState is the predicted state of a decode engine during one scheduling
// pass.
type decodeState struct {
	u *kernel.Upstream
	// slots and pieces are the free slots and KV memory pieces. held and
	// heldPieces count the known placements and their pieces.
	slots, pieces, held, heldPieces int
	// expectedInReport is the number of known uses that the engine's load report
	// should include.
	expectedInReport int
	// plannedPieces is the KV memory, in pieces, reserved for prefills that have
	// no decode engine yet.
	plannedPieces int
}

// roles lists the engines that serve the dispatcher's model, by role, as indexes
// into the view's upstreams. It is computed again when the view or the bundle
// changes.
type roles struct {
	valid     bool
	version   uint64
	content   *config.Content
	model     *config.Model
	prefills  []int
	prefillAt map[ident.UpstreamID]int
	decodes   []int
	// usage holds the record of each decode engine's slot uses, in the order of
	// decodes.
	usage []*slotUsage
}

// slotUsage records the known uses of one decode engine's slots.
type slotUsage struct {
	grants []*grant
	// recentUses lists uses that ended recently, in the order of their ends.
	recentUses []pastUse
}

// engines returns the engines that serve the dispatcher's model, according to
// the current view and bundle.
func (md *modelDispatcher) engines() *roles {
	view, content := md.p.host.View(), md.p.host.Content()
	r := &md.roles
	if r.valid && r.version == view.Version && r.content == content {
		return r
	}
	*r = roles{
		valid:     true,
		version:   view.Version,
		content:   content,
		model:     md.p.host.Model(md.model),
		prefillAt: map[ident.UpstreamID]int{},
	}
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if !u.Serves(md.model) || !md.p.inRegion(u.Zone) {
			continue
		}
		switch u.Spec.Role {
		case config.RolePrefill:
			r.prefillAt[u.ID] = len(r.prefills)
			r.prefills = append(r.prefills, i)
		case config.RoleDecode:
			r.decodes = append(r.decodes, i)
			r.usage = append(r.usage, md.usageOf(u.ID))
		}
	}
	return r
}

// usable reports whether the engine may be given new work.
func (md *modelDispatcher) usable(u *kernel.Upstream) bool {
	now := md.now()
	return u.Liveness <= kernel.Suspect && !now.Before(u.Health.EjectedUntil) && !now.Before(u.Health.RestUntil)
}

// overdueDivisor sets the assumed remaining time of a prefill that has passed
// its expected end: the time that it was expected to take, divided by
// overdueDivisor.
const overdueDivisor = 4

// prefills lists the usable prefill engines with the time at which each will
// have finished the work given to it by this dispatcher and by others. The list
// is valid until the next call.
func (md *modelDispatcher) prefills() []prefillState {
	r := md.engines()
	now := md.now()
	list := md.prefillScratch[:0]
	upstreams := md.p.host.View().Upstreams
	for _, i := range r.prefills {
		u := &upstreams[i]
		list = append(list, prefillState{u: u, readyAt: now, linkAt: slotkit.Later(now, md.linkFreeAt[u.ID])})
	}
	for _, gr := range md.prefilling() {
		at, ok := r.prefillAt[gr.prefill]
		if !ok {
			continue
		}
		list[at].addPrefill(gr)
		list[at].addTransfer(md.transfer(list[at].u, gr.ask.Prompt))
	}
	md.prefillScratch = list
	for i := range list {
		list[i].addUnknownWork(now)
	}
	return slices.DeleteFunc(list, func(e prefillState) bool { return !md.usable(e.u) })
}

// addPrefill adds a prefill that is under way to the engine's predicted work.
func (e *prefillState) addPrefill(gr *grant) {
	if !gr.at.After(e.u.Load.At) {
		e.knownTokens += gr.ask.Prompt
	}
	end := gr.doneAt
	if !end.After(e.readyAt) {
		end = e.readyAt.Add(gr.doneAt.Sub(gr.at) / overdueDivisor)
	}
	e.readyAt = end
}

// addTransfer adds a transfer, which begins when the engine is ready and its
// link is free.
func (e *prefillState) addTransfer(takes time.Duration) {
	e.linkAt = slotkit.Later(e.linkAt, e.readyAt).Add(takes)
}

// transfer returns the time to send a prompt's KV cache over the engine's
// otherwise idle link.
func (md *modelDispatcher) transfer(u *kernel.Upstream, prompt int) time.Duration {
	return kernel.TransferTime(md.engines().model, prompt, u, u)
}

// recordTransferStart records that the transfer of a placement's KV cache begins
// now on the link of its prefill engine.
func (md *modelDispatcher) recordTransferStart(gr *grant) {
	u := md.p.host.Upstream(gr.prefill)
	if u == nil {
		return
	}
	md.linkFreeAt[u.ID] = slotkit.Later(md.linkFreeAt[u.ID], md.now()).Add(md.transfer(u, gr.ask.Prompt))
}

// addUnknownWork adds the work that the engine reported beyond this dispatcher's
// own placements, less what the engine can have computed since the report.
func (e *prefillState) addUnknownWork(now time.Time) {
	rate := e.u.Spec.PrefillTokensPerSecond
	if rate <= 0 {
		return
	}
	foreign := float64(e.u.Load.QueuedTokens-e.knownTokens) - now.Sub(e.u.Load.At).Seconds()*rate
	if foreign > 0 {
		e.readyAt = e.readyAt.Add(time.Duration(foreign / rate * float64(time.Second)))
	}
}

// prefilling lists the placements whose prefill is not done, sorted by expected
// end. The list is valid until the next call.
func (md *modelDispatcher) prefilling() []*grant {
	list := md.grantScratch[:0]
	for _, gr := range md.computing {
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
	md.grantScratch = list
	return list
}

// decodes lists the usable decode engines with their free slots and memory,
// after subtracting the known placements and those that only the load report
// shows. The list is valid until the next call.
func (md *modelDispatcher) decodes() []decodeState {
	r := md.engines()
	list := md.decodeScratch[:0]
	upstreams := md.p.host.View().Upstreams
	for n, i := range r.decodes {
		u := &upstreams[i]
		if !md.usable(u) {
			continue
		}
		d := decodeState{u: u, slots: slotkit.Slots(u), pieces: slotkit.Pieces(u)}
		d.subtractUsage(r.usage[n], md.now())
		list = append(list, d)
	}
	md.decodeScratch = list
	return list
}

// subtractUsage subtracts the known placements from the free slots and memory,
// and, if the load report is recent enough, the requests that only the report
// shows.
func (d *decodeState) subtractUsage(su *slotUsage, now time.Time) {
	for _, gr := range su.grants {
		d.subtractPlacement(gr)
	}
	for i := len(su.recentUses) - 1; i >= 0 && su.recentUses[i].to.After(d.u.Load.At); i-- {
		if !su.recentUses[i].from.After(d.u.Load.At) {
			d.expectedInReport++
		}
	}
	if now.Sub(d.u.Load.At) <= pastUseRetention {
		d.subtractUnknown()
	}
}

// subtractPlacement subtracts one known placement from the free slots and memory.
func (d *decodeState) subtractPlacement(gr *grant) {
	d.held++
	d.heldPieces += gr.ask.Pieces
	d.slots--
	d.pieces -= gr.ask.Pieces
	if !gr.decodeAt.After(d.u.Load.At) {
		d.expectedInReport++
	}
}

// subtractUnknown subtracts the requests that the engine reports beyond the known
// placements. They were placed by another dispatcher, or by holders out of their
// static shares. Their memory is estimated as an equal share of the reported
// memory per request.
func (d *decodeState) subtractUnknown() {
	running := d.u.Load.Running + d.u.Load.Waiting
	foreign := running - d.expectedInReport
	if d.u.Load.At.IsZero() || foreign <= 0 {
		return
	}
	d.slots -= foreign
	d.pieces -= d.u.Load.PiecesUsed * foreign / running
}

// pastUse is the time span of a slot use that is over. It is needed to interpret
// load reports made before the use ended.
type pastUse struct{ from, to time.Time }

// pastUseRetention is how long a past slot use is remembered. A load report
// older than this is not used to detect other dispatchers' placements, because
// it may count known uses that have since ended and been forgotten.
const pastUseRetention = 5 * time.Second

// usageOf returns the record of a decode engine's slot uses and creates it if
// necessary.
func (md *modelDispatcher) usageOf(id ident.UpstreamID) *slotUsage {
	su, ok := md.usage[id]
	if !ok {
		su = &slotUsage{}
		md.usage[id] = su
	}
	return su
}

// takeSlot records that a placement takes a slot of the decode engine from now
// on.
func (md *modelDispatcher) takeSlot(gr *grant, decode ident.UpstreamID) {
	gr.decode = decode
	gr.decodeAt = md.now()
	su := md.usageOf(decode)
	su.grants = append(su.grants, gr)
}

// freeSlot removes a placement from its decode engine's record and remembers the
// use for pastUseRetention.
func (md *modelDispatcher) freeSlot(gr *grant) {
	su := md.usageOf(gr.decode)
	if i := slices.Index(su.grants, gr); i >= 0 {
		su.grants = slices.Delete(su.grants, i, i+1)
	}
	now := md.now()
	expired := 0
	for expired < len(su.recentUses) && now.Sub(su.recentUses[expired].to) > pastUseRetention {
		expired++
	}
	su.recentUses = append(slices.Delete(su.recentUses, 0, expired), pastUse{from: gr.decodeAt, to: now})
}
