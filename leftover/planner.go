package leftover

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/assign"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Read is a request to read an engine's list of held attempts. The outcome is
// reported to Planner.Held or Planner.ReadFailed.
type Read struct{ Upstream ident.UpstreamID }

// Release is an order to an engine to release an attempt. An acknowledgement is
// reported to Planner.Released; failures need not be reported.
type Release struct {
	Upstream ident.UpstreamID
	Attempt  ident.AttemptID
	Reason   Reason
	// Held is the time since this instance first saw the leftover.
	Held time.Duration
}

// Plan is the set of reads and releases to carry out now.
type Plan struct {
	Reads    []Read
	Releases []Release
}

// Planner decides which engines one instance reads and which attempts it
// releases. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	evidence Evidence
	engines  map[ident.UpstreamID]*engine
	ranks    *assign.Table
	// incarnations holds the last known running incarnation of each instance. It
	// is compared with each new view to detect instances that ended.
	incarnations map[ident.InstanceID]ident.Incarnation
	activeUntil  time.Time
}

// NewPlanner returns a planner without a view.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings:     s,
		evidence:     Evidence{Margin: s.Margin, View: &kernel.View{}},
		engines:      make(map[ident.UpstreamID]*engine),
		ranks:        assign.NewTable(s.Watchers, true),
		incarnations: make(map[ident.InstanceID]ident.Incarnation),
	}
}

// SetInFlight replaces the snapshot of the own entry's attempts in flight; nil
// means that it is not known.
func (p *Planner) SetInFlight(f *InFlight) { p.evidence.InFlight = f }

// SetView replaces the view. self carries the incarnation of the own entry.
func (p *Planner) SetView(now time.Time, self kernel.Self, v *kernel.View) {
	p.evidence.Self, p.evidence.View = self, v
	p.assign(now)
	if p.detectEndedIncarnations() {
		p.shortenIntervals(now)
	}
}

// shortenIntervals shortens the interval of all reads for the duration
// ActiveDuration.
func (p *Planner) shortenIntervals(now time.Time) {
	p.activeUntil = now.Add(p.settings.ActiveDuration)
	for _, g := range p.engines {
		g.interval = p.settings.ActiveInterval
		g.readNoLaterThan(now.Add(readOffset(g.id, p.settings.ActiveInterval)))
	}
}

// detectEndedIncarnations reports whether an incarnation of an instance has ended
// since the last view.
func (p *Planner) detectEndedIncarnations() bool {
	ended := false
	incarnations := make(map[ident.InstanceID]ident.Incarnation, len(p.incarnations))
	for _, in := range p.evidence.View.Instances {
		last, known := p.incarnations[in.ID]
		if known && (in.Liveness == kernel.Dead || last < in.Incarnation) {
			ended = true
		}
		if in.Liveness != kernel.Dead {
			incarnations[in.ID] = in.Incarnation
		}
	}
	p.incarnations = incarnations
	return ended
}

// assign adds the engines that this instance now watches and removes all others.
func (p *Planner) assign(now time.Time) {
	p.ranks.Update(p.evidence.Self, p.evidence.View)
	seen := make(map[ident.UpstreamID]struct{})
	for i := range p.evidence.View.Upstreams {
		u := &p.evidence.View.Upstreams[i]
		if !watchable(u) {
			continue
		}
		if rank := p.ranks.Rank(u); rank != assign.NoRank {
			seen[u.ID] = struct{}{}
			p.watch(now, u, rank)
		}
	}
	for id := range p.engines {
		if _, watched := seen[id]; !watched {
			delete(p.engines, id)
		}
	}
}

// watch adds an engine or updates its rank.
func (p *Planner) watch(now time.Time, u *kernel.Upstream, rank int) {
	g := p.engines[u.ID]
	if g == nil || g.incarnation != u.Incarnation {
		// A restarted engine no longer holds any earlier attempt.
		interval := p.idleInterval(rank)
		g = &engine{
			id:          u.ID,
			incarnation: u.Incarnation,
			nextRead:    now.Add(readOffset(u.ID, interval)),
			interval:    interval,
			leftovers:   make(map[string]*leftover),
		}
		p.engines[u.ID] = g
	}
	g.rank = rank
}

// idleInterval returns the interval between reads while no leftovers are
// expected.
func (p *Planner) idleInterval(rank int) time.Duration {
	if rank == 0 {
		return p.settings.IdleInterval
	}
	return p.settings.BackupIdleInterval
}

// readOffset returns an offset within the interval that is derived from the
// engine's ID, so that reads of different engines don't coincide.
func readOffset(id ident.UpstreamID, interval time.Duration) time.Duration {
	const steps = 1 << 10
	return time.Duration(xxhash.Sum64String(string(id))%steps) * interval / steps
}

// Tick returns the reads and repeated releases that are due. It returns none
// while the view is not trusted or after another process has replaced this one.
// It is to be called at the time that NextWake returns.
func (p *Planner) Tick(now time.Time) Plan {
	var plan Plan
	if !p.evidence.usable() {
		return plan
	}
	for _, g := range p.sorted() {
		if !now.Before(g.nextRead) {
			g.nextRead = now.Add(g.interval)
			plan.Reads = append(plan.Reads, Read{Upstream: g.id})
		}
		plan.Releases = append(plan.Releases, p.repeatedReleases(now, g)...)
	}
	return plan
}

// sorted returns the engines in order of their IDs, to make plans deterministic.
func (p *Planner) sorted() []*engine {
	out := make([]*engine, 0, len(p.engines))
	for _, g := range p.engines {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	return out
}

// NextWake returns the time at which Tick has work to do, or false if there is
// none before the next view.
func (p *Planner) NextWake() (time.Time, bool) {
	var first time.Time
	if !p.evidence.usable() {
		return first, false
	}
	for _, g := range p.engines {
		if at := g.nextWake(); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}
