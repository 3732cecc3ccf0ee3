package orders

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Observe takes in an engine's state and returns what follows from it. Orders
// are given here only, so that each rests on what was just read.
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

// decide decides on an engine that this instance orders.
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

// oldBundle deals with an engine that has had an order of a newer bundle.
func (p *Planner) oldBundle(now time.Time, g *engine, o *Observation, s Step) Decision {
	return Decision{
		Hint:   &FloorHint{Upstream: g.id, Version: o.Highest},
		Record: p.note(now, g, o, s, ReasonOldBundle),
	}
}

// fence orders what the engine runs already, for the fencing number: engines that
// check it are the zone's memory of the versions that were in force, which a
// starting instance asks. Nothing is loaded for it, so it waits for no turn.
func (p *Planner) fence(now time.Time, g *engine, o *Observation) Decision {
	g.since, g.waitsFor = time.Time{}, ""
	d := p.order(now, g, o)
	g.inForce, g.incarnation = true, o.Incarnation
	d.Record.Reason = ReasonFence
	return d
}

// matches deals with an engine that runs what is wanted.
func (p *Planner) matches(now time.Time, g *engine, o *Observation) Decision {
	g.since, g.waitsFor = time.Time{}, ""
	g.inForce, g.incarnation = true, o.Incarnation
	g.pause = p.settings.Recheck
	d := Decision{Record: p.note(now, g, o, StepInForce, ReasonMatches)}
	g.nextRead = now.Add(p.settings.Steady)
	return d
}

// holdReason returns why no order is to be given now, empty if one is.
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
		return "" // the engine itself refuses what is old
	}
	if !p.view.Trusted {
		return ReasonView
	}
	if _, ok := p.currency.confirmed(now); !ok {
		return ReasonUnconfirmed
	}
	return ""
}

// before returns the engine that must have loaded before this one may, empty if
// there is none. Each engine waits for the one Loads places before it, so that
// no more than Loads of a zone load at once.
func (p *Planner) before(g *engine) ident.UpstreamID {
	turns := p.turns[g.zone]
	place, _ := slices.BinarySearch(turns, g.id)
	if place < p.settings.Loads {
		return ""
	}
	return turns[place-p.settings.Loads]
}

// order gives an order. It is read back after a while and, if need be, given
// again, ever more rarely.
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
	g.step = "" // an order is recorded each time
	return Decision{Order: order, Record: p.note(now, g, o, StepOrdered, reason)}
}

// Refused reports that an engine refused an order because it has had one with
// the fence highest.
func (p *Planner) Refused(now time.Time, id ident.UpstreamID, highest uint64) Decision {
	g := p.engines[id]
	p.currency.heard(highest)
	if g == nil || highest <= Fence(p.version) {
		return Decision{}
	}
	g.nextRead = now.Add(p.settings.Steady)
	return p.oldBundle(now, g, &Observation{Highest: highest}, StepRefused)
}

// note returns the record of a decision, nil if it is the same as the last.
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
