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
	p.matching[id] = matches
	if g := p.engines[id]; g != nil {
		return p.decide(now, g, &o, matches)
	}
	return Decision{}
}

// decide returns the decision for an engine that this instance orders.
func (p *Planner) decide(now time.Time, g *engine, o *Observation, matches bool) Decision {
	p.freshness.observeVersion(o.Highest)
	if o.Highest > Fence(p.version) {
		return p.handleNewerFence(now, g, o, StepHeld)
	}
	if matches && g.checksFencing && o.Highest < Fence(p.version) {
		return p.orderFence(now, g, o)
	}
	if matches {
		return p.handleMatch(now, g, o)
	}
	if g.differsSince.IsZero() {
		g.differsSince = now
	}
	if reason := p.holdReason(now, g, o); reason != "" {
		g.readNoLaterThan(now.Add(p.settings.RecheckInterval))
		return Decision{Record: p.record(now, g, o, StepHeld, reason)}
	}
	return p.order(now, g, o)
}

// handleNewerFence handles an engine that has received an order of a newer bundle
// version.
func (p *Planner) handleNewerFence(now time.Time, g *engine, o *Observation, s Step) Decision {
	return Decision{
		Hint:   &NewerVersionHint{Upstream: g.id, Version: o.Highest},
		Record: p.record(now, g, o, s, ReasonNewerFence),
	}
}

// orderFence repeats the placement that the engine already runs, to raise the
// fencing number that it stores. A starting instance reads these numbers from the
// engines of its zone to learn which bundle versions have been in force. The
// order causes no load, so it does not wait for its turn.
func (p *Planner) orderFence(now time.Time, g *engine, o *Observation) Decision {
	g.differsSince, g.waitsFor = time.Time{}, ""
	d := p.order(now, g, o)
	g.inForce, g.incarnation = true, o.Incarnation
	d.Record.Reason = ReasonFence
	return d
}

// handleMatch handles an engine that runs the desired placement.
func (p *Planner) handleMatch(now time.Time, g *engine, o *Observation) Decision {
	g.differsSince, g.waitsFor = time.Time{}, ""
	g.inForce, g.incarnation = true, o.Incarnation
	g.rereadDelay = p.settings.RecheckInterval
	d := Decision{Record: p.record(now, g, o, StepInForce, ReasonMatches)}
	g.nextRead = now.Add(p.settings.SteadyInterval)
	return d
}

// holdReason returns the reason to hold an order back, or "" if it may be given
// now.
func (p *Planner) holdReason(now time.Time, g *engine, o *Observation) Reason {
	g.waitsFor = ""
	if o.Loading != nil && o.Loading.Equal(g.desired) {
		return ReasonLoading
	}
	if o.Placement.Role != g.desired.Role && o.Running > 0 && now.Sub(g.differsSince) < p.drainLimit {
		return ReasonDraining
	}
	if ahead := p.predecessor(g); ahead != "" && !p.matching[ahead] && now.Sub(g.differsSince) < p.settings.TurnLimit {
		g.waitsFor = ahead
		return ReasonNotItsTurn
	}
	if g.checksFencing {
		return "" // the engine itself refuses stale orders
	}
	if !p.view.Trusted {
		return ReasonViewUntrusted
	}
	if _, ok := p.freshness.confirmedUntil(now); !ok {
		return ReasonUnconfirmed
	}
	return ""
}

// predecessor returns the engine that must finish loading before this one may
// start, or "" if there is none. Each engine waits for the one that is MaxLoads
// places ahead of it, so that at most MaxLoads engines of a zone load at once.
func (p *Planner) predecessor(g *engine) ident.UpstreamID {
	loadOrder := p.loadOrder[g.zone]
	index, _ := slices.BinarySearch(loadOrder, g.id)
	if index < p.settings.MaxLoads {
		return ""
	}
	return loadOrder[index-p.settings.MaxLoads]
}

// order gives an order. The engine is read again after rereadDelay and the order
// is repeated if it had no effect; the delay doubles each time, up to
// SteadyInterval.
func (p *Planner) order(now time.Time, g *engine, o *Observation) Decision {
	reason := ReasonBundle
	switch {
	case g.inForce && o.Incarnation != g.incarnation:
		reason = ReasonRestarted
	case g.inForce:
		reason = ReasonCorrected
	}
	order := &Order{Upstream: g.id, Fence: Fence(p.version), Placement: g.desired}
	if !g.checksFencing {
		order.NotAfter, _ = p.freshness.confirmedUntil(now)
	}
	g.nextRead = now.Add(g.rereadDelay)
	g.rereadDelay = min(2*g.rereadDelay, p.settings.SteadyInterval)
	g.step = "" // every order is recorded, also a repeated one
	return Decision{Order: order, Record: p.record(now, g, o, StepOrdered, reason)}
}

// Refused reports that an engine refused an order because it has seen the fencing
// number highest.
func (p *Planner) Refused(now time.Time, id ident.UpstreamID, highest uint64) Decision {
	g := p.engines[id]
	p.freshness.observeVersion(highest)
	if g == nil || highest <= Fence(p.version) {
		return Decision{}
	}
	g.nextRead = now.Add(p.settings.SteadyInterval)
	return p.handleNewerFence(now, g, &Observation{Highest: highest}, StepRefused)
}

// record returns the record of a decision, or nil if step and reason are the same
// as in the last record.
func (p *Planner) record(now time.Time, g *engine, o *Observation, s Step, r Reason) *Record {
	if g.step == s && g.reason == r {
		return nil
	}
	g.step, g.reason = s, r
	rec := &Record{
		Time: now, Upstream: g.id, Step: s, Reason: r, Bundle: p.version,
		Want: g.desired, Seen: o.Placement, Highest: o.Highest, Running: o.Running,
	}
	if !g.differsSince.IsZero() {
		rec.Waited = now.Sub(g.differsSince)
	}
	return rec
}
