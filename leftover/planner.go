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

// Read asks for an engine's list of held attempts. Report it to Planner.Held or
// Planner.ReadFailed.
type Read struct{ Upstream ident.UpstreamID }

// Release asks an engine to release an attempt. Report an acknowledgement to
// Planner.Released; failures need no report.
type Release struct {
	Upstream ident.UpstreamID
	Attempt  ident.AttemptID
	Reason   Reason
	// Held is the time since this instance first saw the leftover.
	Held time.Duration
}

// Plan is what to do now.
type Plan struct {
	Reads    []Read
	Releases []Release
}

// Planner decides for one instance which engines to read and what to release.
// It must be used from one goroutine at a time.
type Planner struct {
	settings Settings
	evidence Evidence
	engines  map[ident.UpstreamID]*engine
	ranks    *assign.Table
	// lives are the incarnations not known to have ended, to notice deaths.
	lives      map[ident.InstanceID]ident.Incarnation
	alertUntil time.Time
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s,
		evidence: Evidence{Margin: s.Margin, View: &kernel.View{}},
		engines:  make(map[ident.UpstreamID]*engine),
		ranks:    assign.NewTable(s.Watchers, true),
		lives:    make(map[ident.InstanceID]ident.Incarnation),
	}
}

// SetInFlight replaces what the own entry has in flight; nil if not known.
func (p *Planner) SetInFlight(f *InFlight) { p.evidence.InFlight = f }

// SetView replaces the view. self has the incarnation of the own entry.
func (p *Planner) SetView(now time.Time, self kernel.Self, v *kernel.View) {
	p.evidence.Self, p.evidence.View = self, v
	p.assign(now)
	if p.noticeDeaths() {
		p.alert(now)
	}
}

// alert has all engines read soon and often for a while.
func (p *Planner) alert(now time.Time) {
	p.alertUntil = now.Add(p.settings.AlertFor)
	for _, g := range p.engines {
		g.interval = p.settings.Alert
		g.readBy(now.Add(spread(g.id, p.settings.Alert)))
	}
}

// noticeDeaths reports whether an instance's life ended since the last view.
func (p *Planner) noticeDeaths() bool {
	ended := false
	lives := make(map[ident.InstanceID]ident.Incarnation, len(p.lives))
	for _, in := range p.evidence.View.Instances {
		last, known := p.lives[in.ID]
		if known && (in.Liveness == kernel.Dead || last < in.Incarnation) {
			ended = true
		}
		if in.Liveness != kernel.Dead {
			lives[in.ID] = in.Incarnation
		}
	}
	p.lives = lives
	return ended
}

// assign takes on the engines that this instance watches now and drops others.
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
		if _, still := seen[id]; !still {
			delete(p.engines, id)
		}
	}
}

// watch takes on an engine or updates it.
func (p *Planner) watch(now time.Time, u *kernel.Upstream, rank int) {
	g := p.engines[u.ID]
	if g == nil || g.incarnation != u.Incarnation {
		// An engine that restarted holds nothing of what it held before.
		interval := p.quiet(rank)
		g = &engine{
			id:          u.ID,
			incarnation: u.Incarnation,
			nextRead:    now.Add(spread(u.ID, interval)),
			interval:    interval,
			finds:       make(map[string]*find),
		}
		p.engines[u.ID] = g
	}
	g.rank = rank
}

// quiet returns the time between reads while nothing is to be found.
func (p *Planner) quiet(rank int) time.Duration {
	if rank == 0 {
		return p.settings.Quiet
	}
	return p.settings.QuietBackup
}

// spread returns a time within the interval that differs from engine to engine,
// so that reads don't come in bursts.
func spread(id ident.UpstreamID, interval time.Duration) time.Duration {
	const steps = 1 << 10
	return time.Duration(xxhash.Sum64String(string(id))%steps) * interval / steps
}

// Tick returns the reads and repeated releases that are due. There are none
// while the view is not trusted or another process has replaced this one. Call
// it when NextWake says.
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
		plan.Releases = append(plan.Releases, p.retries(now, g)...)
	}
	return plan
}

// sorted returns the engines by ID, to make the order of a plan certain.
func (p *Planner) sorted() []*engine {
	out := make([]*engine, 0, len(p.engines))
	for _, g := range p.engines {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	return out
}

// NextWake returns when Tick has something to do, false if it has nothing to do
// before the next view.
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
