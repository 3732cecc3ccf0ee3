package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/assign"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Planner decides which engines one instance reads and which orders it gives. It
// is not safe for concurrent use.
type Planner struct {
	settings Settings
	self     kernel.Self
	view     *kernel.View
	version  uint64
	specs    map[ident.UpstreamID]*config.Upstream
	drain    time.Duration
	currency currency
	ranks    *assign.Table
	engines  map[ident.UpstreamID]*engine
	// turns lists the engines of each zone in the order in which they load.
	turns map[ident.Zone][]ident.UpstreamID
	// settled holds whether an engine was last seen to run this version's
	// placement.
	settled map[ident.UpstreamID]bool
}

// NewPlanner returns a planner without a bundle. It gives no orders.
func NewPlanner(s Settings) *Planner {
	p := &Planner{
		settings: s,
		view:     &kernel.View{},
		currency: currency{within: s.Confirm},
		ranks:    assign.NewTable(1, false),
		engines:  make(map[ident.UpstreamID]*engine),
		settled:  make(map[ident.UpstreamID]bool),
	}
	p.currency.forget()
	return p
}

// SetBundle replaces the bundle in force. Older versions are ignored.
func (p *Planner) SetBundle(now time.Time, version uint64, c *config.Content) {
	if version <= p.version {
		return
	}
	p.version, p.currency.version = version, version
	p.specs = make(map[ident.UpstreamID]*config.Upstream, len(c.Upstreams))
	for i := range c.Upstreams {
		p.specs[c.Upstreams[i].ID] = &c.Upstreams[i]
	}
	p.drain = longestDeadline(c) + p.settings.DrainMargin
	clear(p.settled)
	clear(p.engines)
	p.assign(now)
}

// longestDeadline returns the longest default deadline of any kind of request.
func longestDeadline(c *config.Content) time.Duration {
	longest := api.DefaultDeadline
	for i := range c.Kinds {
		longest = max(longest, c.Kinds[i].Deadline)
	}
	return longest
}

// SetView replaces the view.
func (p *Planner) SetView(now time.Time, self kernel.Self, v *kernel.View) {
	p.self, p.view = self, v
	p.currency.others = nil
	for i := range v.Instances {
		in := &v.Instances[i]
		if in.Zone == self.Zone && in.ID != self.Instance && in.Liveness != kernel.Dead {
			p.currency.others = append(p.currency.others, in.ID)
		}
	}
	p.assign(now)
}

// PeerInForce reports the bundle version that a peer had in force at the given
// time.
func (p *Planner) PeerInForce(at time.Time, id ident.InstanceID, version uint64) {
	p.currency.peer(id, claim{version: version, at: at})
}

// PlatformHead reports the bundle version that the platform gave at the given
// time as the newest one rolled out here.
func (p *Planner) PlatformHead(at time.Time, version uint64) {
	p.currency.fromPlatform(claim{version: version, at: at})
}

// Paused reports that the process was paused. Reports and states from before the
// pause no longer count.
func (p *Planner) Paused(now time.Time) {
	p.currency.forget()
	clear(p.settled)
	for _, g := range p.engines {
		g.readBy(now)
	}
}

// assign adds the engines that this instance now orders and removes all others.
func (p *Planner) assign(now time.Time) {
	p.ranks.Update(p.self, p.view)
	p.turns = make(map[ident.Zone][]ident.UpstreamID)
	mine := make(map[ident.UpstreamID]*engine)
	for i := range p.view.Upstreams {
		u := &p.view.Upstreams[i]
		spec := p.specs[u.ID]
		if !orderable(u, spec) {
			continue
		}
		p.turns[u.Zone] = append(p.turns[u.Zone], u.ID)
		if p.ranks.Rank(u) == 0 {
			mine[u.ID] = p.take(now, u, spec)
		}
	}
	for _, ids := range p.turns {
		slices.Sort(ids)
	}
	p.engines = mine
}

// orderable reports whether the upstream is an engine that may be given orders:
// one that the bundle names and that is neither leaving nor unreachable nor dead.
func orderable(u *kernel.Upstream, spec *config.Upstream) bool {
	return spec != nil && spec.Role != config.RoleService && u.Liveness <= kernel.Suspect
}

// take returns the state of an engine that this instance orders and creates it if
// needed.
func (p *Planner) take(now time.Time, u *kernel.Upstream, spec *config.Upstream) *engine {
	if g := p.engines[u.ID]; g != nil {
		return g
	}
	g := &engine{id: u.ID, zone: u.Zone, want: Desired(spec), checks: spec.ChecksFencing}
	g.reset(now, p.settings.Recheck)
	return g
}

// Tick returns the engines whose state is to be read now. Each state is passed to
// Observe; failures need not be reported. Tick is to be called at the time that
// NextWake returns.
func (p *Planner) Tick(now time.Time) []ident.UpstreamID {
	var reads []ident.UpstreamID
	for _, g := range p.engines {
		if now.Before(g.nextRead) {
			continue
		}
		g.nextRead = now.Add(p.interval(g))
		reads = append(reads, g.id)
		if g.waitsFor != "" {
			reads = append(reads, g.waitsFor)
		}
	}
	slices.SortFunc(reads, cmp.Compare[ident.UpstreamID])
	return slices.Compact(reads)
}

// interval returns the time between reads of the engine.
func (p *Planner) interval(g *engine) time.Duration {
	if g.step == StepInForce || g.reason == ReasonOldBundle {
		return p.settings.Steady
	}
	return p.settings.Recheck
}

// NextWake returns the time at which Tick has work to do, or false if there is no
// engine to read.
func (p *Planner) NextWake() (time.Time, bool) {
	var first time.Time
	for _, g := range p.engines {
		if first.IsZero() || g.nextRead.Before(first) {
			first = g.nextRead
		}
	}
	return first, len(p.engines) > 0
}
