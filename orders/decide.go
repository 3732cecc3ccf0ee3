package orders

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Observe processes an engine's state and returns the resulting decision. Orders
// are given only here, so that each is based on a state that was just read.
func (p *Planner) Observe(now time.Time, id ident.UpstreamID, o Observation) Decision {
	spec := p.specs[id]
	if spec == nil {
		return Decision{}
	}
	matches := o.Loading == nil && o.Placement.Equal(Desired(spec))
	p.settled[id] = matches
	if g := p.engines[id]; g != nil {
		return p.decide(now, g, &o, matches)
	}
	return Decision{}
}

// decide returns the decision for an engine that this instance orders.
func (p *Planner) decide(now time.Time, g *engine, o *Observation, matches bool) Decision {
	p.currency.heard(o.Highest)
	if o.Highest > Fence(p.version) {
		return p.oldBundle(now, g, o, StepHeld)
	}
	if matches && g.checks && o.Highest < Fence(p.version) {
		return p.fence(now, g, o)
	}
	if matches {
		return p.matches(now, g, o)
	}
	if g.since.IsZero() {
		g.since = now
	}
	if reason := p.holdReason(now, g, o); reason != "" {
		g.readBy(now.Add(p.settings.Recheck))
		return Decision{Record: p.note(now, g, o, StepHeld, reason)}
	}
	return p.order(now, g, o)
}

// oldBundle handles an engine that has received an order of a newer bundle
// version.
func (p *Planner) oldBundle(now time.Time, g *engine, o *Observation, s Step) Decision {
	return Decision{
		Hint:   &FloorHint{Upstream: g.id, Version: o.Highest},
		Record: p.note(now, g, o, s, ReasonOldBundle),
	}
}

// fence repeats the placement that the engine already runs, to raise the fencing
// number that it stores. A starting instance reads these numbers from the engines
// of its zone to learn which bundle versions have been in force. The order causes
// no load, so it does not wait for its turn.
func (p *Planner) fence(now time.Time, g *engine, o *Observation) Decision {
	g.since, g.waitsFor = time.Time{}, ""
	d := p.order(now, g, o)
	g.inForce, g.incarnation = true, o.Incarnation
	d.Record.Reason = ReasonFence
	return d
}

// matches handles an engine that runs the desired placement.
func (p *Planner) matches(now time.Time, g *engine, o *Observation) Decision {
	g.since, g.waitsFor = time.Time{}, ""
	g.inForce, g.incarnation = true, o.Incarnation
	g.pause = p.settings.Recheck
	d := Decision{Record: p.note(now, g, o, StepInForce, ReasonMatches)}
	g.nextRead = now.Add(p.settings.Steady)
	return d
}

// holdReason returns the reason to hold an order back, or "" if it may be given
// now.
func (p *Planner) holdReason(now time.Time, g *engine, o *Observation) Reason {
	g.waitsFor = ""
	if o.Loading != nil && o.Loading.Equal(g.want) {
		return ReasonLoading
	}
	if o.Placement.Role != g.want.Role && o.Running > 0 && now.Sub(g.since) < p.drain {
		return ReasonDraining
	}
	if before := p.before(g); before != "" && !p.settled[before] && now.Sub(g.since) < p.settings.TurnLimit {
		g.waitsFor = before
		return ReasonTurn
	}
	if g.checks {
		return "" // the engine itself refuses stale orders
	}
	if !p.view.Trusted {
		return ReasonView
	}
	if _, ok := p.currency.confirmed(now); !ok {
		return ReasonUnconfirmed
	}
	return ""
}

// before returns the engine that must finish loading before this one may start,
// or "" if there is none. Each engine waits for the one that is Loads places
// ahead of it, so that at most Loads engines of a zone load at once.
func (p *Planner) before(g *engine) ident.UpstreamID {
	turns := p.turns[g.zone]
	place, _ := slices.BinarySearch(turns, g.id)
	if place < p.settings.Loads {
		return ""
	}
	return turns[place-p.settings.Loads]
}

// order gives an order. The engine is read again after g.pause and the order is
// repeated if it had no effect; the pause doubles each time, up to Steady.
func (p *Planner) order(now time.Time, g *engine, o *Observation) Decision {
	reason := ReasonBundle
	switch {
	case g.inForce && o.Incarnation != g.incarnation:
		reason = ReasonRestarted
	case g.inForce:
		reason = ReasonCorrected
	}
	order := &Order{Upstream: g.id, Fence: Fence(p.version), Placement: g.want}
	if !g.checks {
		order.NotAfter, _ = p.currency.confirmed(now)
	}
	g.nextRead = now.Add(g.pause)
	g.pause = min(2*g.pause, p.settings.Steady)
	g.step = "" // every order is recorded, also a repeated one
	return Decision{Order: order, Record: p.note(now, g, o, StepOrdered, reason)}
}

// Refused reports that an engine refused an order because it has seen the fencing
// number highest.
func (p *Planner) Refused(now time.Time, id ident.UpstreamID, highest uint64) Decision {
	g := p.engines[id]
	p.currency.heard(highest)
	if g == nil || highest <= Fence(p.version) {
		return Decision{}
	}
	g.nextRead = now.Add(p.settings.Steady)
	return p.oldBundle(now, g, &Observation{Highest: highest}, StepRefused)
}

// note returns the record of a decision, or nil if step and reason are the same
// as in the last record.
func (p *Planner) note(now time.Time, g *engine, o *Observation, s Step, r Reason) *Record {
	if g.step == s && g.reason == r {
		return nil
	}
	g.step, g.reason = s, r
	rec := &Record{
		Time: now, Upstream: g.id, Step: s, Reason: r, Bundle: p.version,
		Want: g.want, Seen: o.Placement, Highest: o.Highest, Running: o.Running,
	}
	if !g.since.IsZero() {
		rec.Waited = now.Sub(g.since)
	}
	return rec
}
