package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// shareRetryDelay is the delay after which a request that found no slot in the
// static share should try again.
const shareRetryDelay = 50 * time.Millisecond

// Reserve implements kernel.SlotPolicy. It is used while no dispatcher can be
// reached. The slot is taken from this instance's static share of the engine.
func (p *Policy) Reserve(a kernel.SlotRequest) kernel.SlotAnswer {
	p.refresh()
	u := p.host.Upstream(a.Upstream)
	if !slotkit.Usable(u) || !p.shareFree(u, a.Pieces) {
		return kernel.SlotAnswer{Result: kernel.SlotUnavailable, RetryAt: p.host.Now().Add(shareRetryDelay)}
	}
	h := &heldPlacement{
		id:     a.Reservation,
		key:    slotkit.KeyOf(a.Reservation),
		model:  modelOf(u),
		stage:  stageDecode,
		decode: a.Upstream,

		decodeAt: p.host.Now(),
	}
	h.ask.Pieces = a.Pieces
	p.holder.placements[h.key] = h
	return kernel.SlotAnswer{Result: kernel.SlotReserved}
}

// modelOf returns the model under which a placement on u is renewed: the first
// that u serves, empty if it lists none.
func modelOf(u *kernel.Upstream) string {
	if len(u.Spec.Models) == 0 {
		return ""
	}
	return u.Spec.Models[0]
}

// shareFree reports whether this instance's static share of u has a free slot
// and enough memory.
func (p *Policy) shareFree(u *kernel.Upstream, pieces int) bool {
	slots, used := 0, 0
	for _, h := range p.holder.placements {
		if h.decode == u.ID {
			slots++
			used += h.ask.Pieces
		}
	}
	self := p.host.Self().Instance
	if slots >= p.roster.Share(self, u.ID, slotkit.Slots(u)) {
		return false
	}
	total := slotkit.Pieces(u)
	if total == 0 {
		return true
	}
	// A large prompt may need more memory than the share has, so an otherwise
	// unused share always admits one request.
	return slots == 0 || used+pieces <= total/max(len(p.roster.Live()), 1)
}

// Refused implements kernel.SlotPolicy. It does nothing: the dispatcher learns
// of the refusal from the next request for the placement, which lists the engine
// in Avoid.
func (p *Policy) Refused(ident.UpstreamID) {}

// Availability implements kernel.SlotPolicy. It reports the wait that the
// dispatcher last gave for the model or, if that is zero, the slots that the
// load report shows as free, at least one.
func (p *Policy) Availability(u *kernel.Upstream) kernel.Availability {
	if p.host == nil {
		return kernel.Availability{}
	}
	wait := p.holder.wait[modelOf(u)]
	if wait > 0 {
		return kernel.Availability{NextFree: wait}
	}
	return kernel.Availability{Free: max(slotkit.Slots(u)-u.Load.Running, 1)}
}

// markUnreachable marks a dispatcher as silent for silencePeriod. Placement
// requests that it has not answered are sent to the next dispatcher, which also
// receives the renewals from now on. If there is no other dispatcher, the
// requests are denied, so that the kernel places them itself.
func (p *Policy) markUnreachable(d ident.InstanceID) {
	if p.isSilent(d) {
		return
	}
	now := p.host.Now()
	p.holder.silent[d] = now.Add(silencePeriod)
	p.movePlacements()
	for _, h := range p.sortedPlacements() {
		if h.dispatcher != d || (h.stage != stageAsked && h.stage != stageComputed) {
			continue
		}
		delete(p.holder.placements, h.key)
		p.host.SlotDenied(h.id, now)
	}
}

// movePlacements is called when dispatchers may have changed. Unanswered
// requests are sent again to the new dispatcher; placements already received are
// released at the old one and renewed at the new one.
func (p *Policy) movePlacements() {
	moved := map[string]bool{}
	for _, h := range p.sortedPlacements() {
		d := p.dispatcherID(h.model)
		if d == h.dispatcher || d == "" {
			continue
		}
		moved[h.model] = true
		switch h.stage {
		case stageAsked, stageComputed:
			h.resent = false
			p.sendAsk(h)
		default:
			p.sendRelease(h)
			h.dispatcher = d
		}
	}
	for _, model := range slices.Sorted(maps.Keys(moved)) {
		p.renewAll(p.dispatcherID(model), model)
	}
}

// sortedPlacements lists this instance's placements in a reproducible order.
func (p *Policy) sortedPlacements() []*heldPlacement {
	list := make([]*heldPlacement, 0, len(p.holder.placements))
	for _, h := range p.holder.placements {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *heldPlacement) int {
		if a.key.Before(b.key) {
			return -1
		}
		return 1
	})
	return list
}
