package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// stage is the progress of a holder's placement.
type stage int

const (
	// stageAsked means that a placement has been requested from the dispatcher.
	stageAsked stage = iota + 1
	// stagePrefill means that the prefill is running.
	stagePrefill
	// stageComputed means that the prefill is done and a decode engine has been
	// requested from the dispatcher.
	stageComputed
	// stageDecode means that the decode slot is promised or in use.
	stageDecode
)

// heldPlacement is a placement that this instance has requested and not yet
// released.
type heldPlacement struct {
	id    ident.AttemptID
	key   slotkit.Key
	model string
	stage stage
	// dispatcher is the instance that was asked. It is empty if the slot comes
	// from this instance's own static share.
	dispatcher      ident.InstanceID
	ask             Ask
	due, kvUntil    time.Time
	prefill, decode ident.UpstreamID
	// transfer is the outcome of the KV transfer, zero if not known.
	transfer TransferEnd
	// decodeAt is when the decode engine was chosen.
	decodeAt time.Time
	decoding bool
	// sentAt is when the dispatcher was last asked, and answeredAt when a
	// message from it last showed that it knows the request.
	sentAt     time.Time
	resent     bool
	answeredAt time.Time
}

// holder is the part of the policy that requests placements for this instance's
// own requests.
type holder struct {
	placements map[slotkit.Key]*heldPlacement
	// silent maps each dispatcher that did not answer to the time until which it
	// is not asked.
	silent  map[ident.InstanceID]time.Time
	renewAt time.Time
	// wait is the expected wait that a dispatcher last reported, by model.
	wait map[string]time.Duration
}

const (
	// answerTimeout is how long a dispatcher may take to answer. An unanswered
	// request is sent once more; after a second answerTimeout the dispatcher is
	// treated as unreachable.
	answerTimeout = 100 * time.Millisecond
	// silencePeriod is how long an unreachable dispatcher is not asked.
	silencePeriod = 2 * time.Second
	// renewInterval is the interval between renewals.
	renewInterval = 1 * time.Second
	// renewIntervalPending is the interval between renewals while requests are
	// queued at a dispatcher. It is shorter than renewInterval so that a
	// dispatcher's death is noticed.
	renewIntervalPending = 250 * time.Millisecond
	// maxBlocks is the maximum number of block hashes in an Ask.
	maxBlocks = 24
)

func (h *holder) init() {
	h.placements = map[slotkit.Key]*heldPlacement{}
	h.silent = map[ident.InstanceID]time.Time{}
	h.wait = map[string]time.Duration{}
}

// Joint implements kernel.JointPolicy. It returns false for a model that has no
// engines in this region; the kernel then places the model's requests in another
// region itself.
func (p *Policy) Joint(model string) bool {
	p.refresh()
	return p.dispatcherID(model) != "" && p.servesModel(model)
}

// servesModel reports whether the region has both prefill and decode engines for
// the model.
func (p *Policy) servesModel(model string) bool {
	prefill, decode := false, false
	view := p.host.View()
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if !p.inRegion(u.Zone) || !u.Serves(model) {
			continue
		}
		prefill = prefill || u.Spec.Role == config.RolePrefill
		decode = decode || u.Spec.Role == config.RoleDecode
		if prefill && decode {
			return true
		}
	}
	return false
}

// Place implements kernel.JointPolicy. It asks the model's dispatcher for a
// placement.
func (p *Policy) Place(a kernel.PlacementRequest) {
	p.refresh()
	now := p.host.Now()
	h := &heldPlacement{
		id:      a.Reservation,
		key:     slotkit.KeyOf(a.Reservation),
		model:   a.Request.Model,
		stage:   stageAsked,
		due:     a.Request.FirstOutputBy,
		kvUntil: a.KVUntil,
		prefill: a.KV,
	}
	if a.KV != "" {
		h.stage = stageComputed
	}
	r := a.Request
	h.ask = Ask{
		Reservation: slotkit.Reservation(a.Reservation),
		Model:       r.Model,
		Workspace:   r.Workspace,
		Kind:        r.Kind,
		Zone:        p.host.Self().Zone,
		Prompt:      r.PromptTokens + a.Delivered,
		Output:      r.MaxOutputTokens - a.Delivered,
		Pieces:      a.Pieces,
		Blocks:      r.Blocks[:min(len(r.Blocks), maxBlocks)],
		Priority:    r.Priority,
		Delivered:   a.Delivered,
		DeadlineIn:  millis(r.Deadline.Sub(now)),
		Avoid:       slices.Clone(a.Avoid),
		KV:          a.KV,

		SoftwareVersion: a.SoftwareVersion,
	}
	p.holder.placements[h.key] = h
	p.sendAsk(h)
}

// sendAsk sends a placement request to the model's current dispatcher, with its
// times relative to now.
func (p *Policy) sendAsk(h *heldPlacement) {
	now := p.host.Now()
	h.dispatcher = p.dispatcherID(h.model)
	h.sentAt = now
	ask := h.ask
	ask.DueIn = millis(h.due.Sub(now))
	ask.DeadlineIn = millis(h.id.Deadline.Sub(now))
	if ask.KV != "" {
		ask.KVFor = millis(h.kvUntil.Sub(now))
	}
	if h.dispatcher == p.host.Self().Instance {
		p.dispatcherFor(h.model).handleAsk(h.dispatcher, ask)
		return
	}
	p.host.Send(h.dispatcher, &ask)
}

// markResponsive records that a dispatcher has sent a message, so that it is
// asked again.
func (p *Policy) markResponsive(from ident.InstanceID) {
	delete(p.holder.silent, from)
}

// handleQueued handles the dispatcher's answer that a placement request has to
// wait.
func (p *Policy) handleQueued(m *Queued) {
	h, ok := p.holder.placements[m.Reservation.Key()]
	if !ok {
		return
	}
	h.answeredAt = p.host.Now()
	p.holder.wait[h.model] = m.Wait.Duration()
}

// handlePlaced handles the dispatcher's answer that names the prefill engine, and
// passes the placement to the kernel.
func (p *Policy) handlePlaced(m *Placed) {
	h, ok := p.holder.placements[m.Reservation.Key()]
	if !ok || h.stage != stageAsked {
		return
	}
	h.stage = stagePrefill
	h.prefill, h.decode = m.Prefill, m.Decode
	h.answeredAt = p.host.Now()
	h.decodeAt = h.answeredAt
	p.holder.wait[h.model] = 0
	p.host.PlacementGranted(h.id, m.placement())
}

// handleDecode handles the dispatcher's answer that names the decode engine, and
// passes it to the kernel.
func (p *Policy) handleDecode(key slotkit.Key, decode ident.UpstreamID) {
	h, ok := p.holder.placements[key]
	if !ok || h.stage != stageComputed {
		return
	}
	h.stage = stageDecode
	h.decode = decode
	h.answeredAt = p.host.Now()
	h.decodeAt = h.answeredAt
	p.host.DecodeGranted(h.id, decode)
}

// handleDeny handles the dispatcher's refusal. An infeasible placement request is
// refused for good; any other is denied, and the kernel may ask again after
// RetryIn.
func (p *Policy) handleDeny(m *Deny) {
	key := m.Reservation.Key()
	h, ok := p.holder.placements[key]
	if !ok || (h.stage != stageAsked && h.stage != stageComputed) {
		return
	}
	delete(p.holder.placements, key)
	if m.Infeasible && h.stage == stageAsked {
		p.holder.wait[h.model] = m.RetryIn.Duration()
		p.host.PlacementRefused(h.id, m.RetryIn.Duration())
		return
	}
	p.host.SlotDenied(h.id, p.host.Now().Add(m.RetryIn.Duration()))
}

// Computed implements kernel.JointPolicy. It records that the prefill is done
// and tells the dispatcher, which chooses a decode engine if the placement has
// none.
func (p *Policy) Computed(id ident.AttemptID) {
	h, ok := p.holder.placements[slotkit.KeyOf(id)]
	if !ok {
		return
	}
	now := p.host.Now()
	h.ask.KV = h.prefill
	h.kvUntil = now.Add(p.kvUsable)
	if h.decode != "" {
		h.stage = stageDecode
	} else {
		h.stage = stageComputed
	}
	h.sentAt, h.resent, h.answeredAt = now, false, time.Time{}
	p.sendComputed(h)
}

// sendComputed tells the placement's dispatcher that the prefill is done.
func (p *Policy) sendComputed(h *heldPlacement) {
	if h.dispatcher == p.host.Self().Instance {
		p.dispatcherFor(h.model).handleComputed(h.key, h.prefill)
		return
	}
	p.host.Send(h.dispatcher, &Computed{
		Reservation: slotkit.Reservation(h.id),
		Model:       h.model,
		KV:          h.prefill,
	})
}

// Release implements kernel.SlotPolicy.
func (p *Policy) Release(id ident.AttemptID) {
	key := slotkit.KeyOf(id)
	h, ok := p.holder.placements[key]
	if !ok {
		return
	}
	delete(p.holder.placements, key)
	p.sendRelease(h)
}

// sendRelease tells the placement's dispatcher that it no longer needs to keep
// the placement. For this instance's own dispatcher the transfer's outcome is
// left out, because its kernel already knows it.
func (p *Policy) sendRelease(h *heldPlacement) {
	switch h.dispatcher {
	case "":
	case p.host.Self().Instance:
		p.dispatcherFor(h.model).handleRelease(h.key, TransferEnd(0))
	default:
		p.host.Send(h.dispatcher, &Release{Reservation: slotkit.Reservation(h.id), Model: h.model, Transfer: h.transfer})
	}
}

// Started implements kernel.SlotPolicy. It marks the placement's slot as in use.
func (p *Policy) Started(id ident.AttemptID) {
	if h, ok := p.holder.placements[slotkit.KeyOf(id)]; ok {
		h.stage = stageDecode
		h.decoding = true
	}
}

// TransferEnded implements kernel.TransferObserver. The outcome is sent to the
// dispatcher with the release.
func (p *Policy) TransferEnded(id ident.AttemptID, stalled bool) {
	h, ok := p.holder.placements[slotkit.KeyOf(id)]
	if !ok {
		return
	}
	h.transfer = TransferDone
	if stalled {
		h.transfer = TransferStalled
	}
}
