package dispatch

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// stage is where a holder's placement stands.
type stage int

const (
	// stageAsked: the dispatcher was asked for a placement.
	stageAsked stage = iota + 1
	// stagePrefill: the prefill runs.
	stagePrefill
	// stageComputed: the dispatcher was asked for a decode engine.
	stageComputed
	// stageDecode: the decode slot is promised or in use.
	stageDecode
)

// holding is one placement that this instance asked for and has not released.
type holding struct {
	id    ident.AttemptID
	key   slotkit.Key
	model string
	stage stage
	// dispatcher is who was asked; empty when the placement is this instance's
	// own, within its static share.
	dispatcher      ident.InstanceID
	ask             Ask
	due, kvUntil    time.Time
	prefill, decode ident.UpstreamID
	// transfer is how the KV transfer ended.
	transfer TransferEnd
	// decodeAt is when the decode engine was named.
	decodeAt time.Time
	decoding bool
	// sentAt is when the dispatcher was last asked and answeredAt when it last
	// showed that it knows of the ask.
	sentAt     time.Time
	resent     bool
	answeredAt time.Time
}

// holder is the part of the policy that asks.
type holder struct {
	holdings map[slotkit.Key]*holding
	// silent lists dispatchers that did not answer and until when they are not
	// asked.
	silent  map[ident.InstanceID]time.Time
	renewAt time.Time
	// wait is the last expected wait that a dispatcher told, by model.
	wait map[string]time.Duration
}

const (
	// answerTime is how long a dispatcher may take to answer an ask. An ask is
	// sent again once, then the dispatcher is taken for unreachable.
	answerTime = 100 * time.Millisecond
	// silenceTime is how long an unreachable dispatcher is not asked.
	silenceTime = 2 * time.Second
	// renewTime is the time between renewals.
	renewTime = 1 * time.Second
	// renewTimePending is the time between renewals while asks are queued, by
	// which a dispatcher's death is noticed.
	renewTimePending = 250 * time.Millisecond
	// maxBlocks bounds the block hashes in an ask.
	maxBlocks = 24
)

func (h *holder) init() {
	h.holdings = map[slotkit.Key]*holding{}
	h.silent = map[ident.InstanceID]time.Time{}
	h.wait = map[string]time.Duration{}
}

// Joint implements kernel.JointPolicy. Where this region has no engines of the
// model, the kernel places its requests itself, in another region.
func (p *Policy) Joint(model string) bool {
	p.refresh()
	return p.dispatcher(model) != "" && p.served(model)
}

// served reports whether the region has engines of both roles for the model.
func (p *Policy) served(model string) bool {
	prefill, decode := false, false
	view := p.host.View()
	for i := range view.Upstreams {
		u := &view.Upstreams[i]
		if !p.near(u.Zone) || !u.Serves(model) {
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

// Place implements kernel.JointPolicy.
func (p *Policy) Place(a kernel.PlacementAsk) {
	p.refresh()
	now := p.host.Now()
	h := &holding{
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
	}
	p.holder.holdings[h.key] = h
	p.sendAsk(h)
}

// sendAsk sends a holding's ask to the model's present dispatcher.
func (p *Policy) sendAsk(h *holding) {
	now := p.host.Now()
	h.dispatcher = p.dispatcher(h.model)
	h.sentAt = now
	ask := h.ask
	ask.DueIn = millis(h.due.Sub(now))
	ask.DeadlineIn = millis(h.id.Deadline.Sub(now))
	if ask.KV != "" {
		ask.KVFor = millis(h.kvUntil.Sub(now))
	}
	if h.dispatcher == p.host.Self().Instance {
		p.groupOf(h.model).ask(h.dispatcher, ask)
		return
	}
	p.host.Send(h.dispatcher, &ask)
}

// heard notes a sign of life of a dispatcher.
func (p *Policy) heard(from ident.InstanceID) {
	delete(p.holder.silent, from)
}

func (p *Policy) queued(m *Queued) {
	h, ok := p.holder.holdings[m.Reservation.Key()]
	if !ok {
		return
	}
	h.answeredAt = p.host.Now()
	p.holder.wait[h.model] = m.Wait.Duration()
}

// placed takes a placement from the dispatcher.
func (p *Policy) placed(m *Placed) {
	h, ok := p.holder.holdings[m.Reservation.Key()]
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

// decodeNamed takes a decode engine from the dispatcher.
func (p *Policy) decodeNamed(key slotkit.Key, decode ident.UpstreamID) {
	h, ok := p.holder.holdings[key]
	if !ok || h.stage != stageComputed {
		return
	}
	h.stage = stageDecode
	h.decode = decode
	h.answeredAt = p.host.Now()
	h.decodeAt = h.answeredAt
	p.host.DecodeGranted(h.id, decode)
}

// denied takes a refusal from the dispatcher.
func (p *Policy) denied(m *Deny) {
	key := m.Reservation.Key()
	h, ok := p.holder.holdings[key]
	if !ok || (h.stage != stageAsked && h.stage != stageComputed) {
		return
	}
	delete(p.holder.holdings, key)
	if m.Infeasible && h.stage == stageAsked {
		p.holder.wait[h.model] = m.RetryIn.Duration()
		p.host.PlacementRefused(h.id, m.RetryIn.Duration())
		return
	}
	p.host.SlotDenied(h.id, p.host.Now().Add(m.RetryIn.Duration()))
}

// Computed implements kernel.JointPolicy.
func (p *Policy) Computed(id ident.AttemptID) {
	h, ok := p.holder.holdings[slotkit.KeyOf(id)]
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
	p.tellComputed(h)
}

func (p *Policy) tellComputed(h *holding) {
	if h.dispatcher == p.host.Self().Instance {
		p.groupOf(h.model).computed(h.key, h.prefill)
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
	h, ok := p.holder.holdings[key]
	if !ok {
		return
	}
	delete(p.holder.holdings, key)
	p.tellReleased(h)
}

// tellReleased tells the holding's dispatcher that it is over there.
func (p *Policy) tellReleased(h *holding) {
	switch h.dispatcher {
	case "":
	case p.host.Self().Instance:
		p.groupOf(h.model).release(h.key, TransferEnd(0))
	default:
		p.host.Send(h.dispatcher, &Release{Reservation: slotkit.Reservation(h.id), Model: h.model, Transfer: h.transfer})
	}
}

// Started implements kernel.SlotPolicy.
func (p *Policy) Started(id ident.AttemptID) {
	if h, ok := p.holder.holdings[slotkit.KeyOf(id)]; ok {
		h.stage = stageDecode
		h.decoding = true
	}
}

// TransferEnded implements kernel.TransferObserver. The dispatcher learns of it
// by the release.
func (p *Policy) TransferEnded(id ident.AttemptID, stalled bool) {
	h, ok := p.holder.holdings[slotkit.KeyOf(id)]
	if !ok {
		return
	}
	h.transfer = TransferMoved
	if stalled {
		h.transfer = TransferStalled
	}
}
