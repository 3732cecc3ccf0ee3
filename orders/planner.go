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
	settings   Settings
	self       kernel.Self
	view       *kernel.View
	version    uint64
	specs      map[ident.UpstreamID]*config.Upstream
	drainLimit time.Duration
	freshness  freshness
	ranks      *assign.Table
	engines    map[ident.UpstreamID]*engine
	// loadOrder lists the engines of each zone in the order in which they load.
	loadOrder map[ident.Zone][]ident.UpstreamID
	// matching holds whether an engine was last seen to run this version's
	// placement.
	matching map[ident.UpstreamID]bool
}

// NewPlanner returns a planner without a bundle. It gives no orders.
func NewPlanner(s Settings) *Planner {
	p := &Planner{
		settings:  s,
		view:      &kernel.View{},
		freshness: freshness{reportTTL: s.ReportTTL},
		ranks:     assign.NewTable(1, false),
		engines:   make(map[ident.UpstreamID]*engine),
		matching:  make(map[ident.UpstreamID]bool),
	}
	p.freshness.clearReports()
	return p
}

// SetBundle replaces the bundle in force. Older versions are ignored.
func (p *Planner) SetBundle(now time.Time, version uint64, c *config.Content) {
	if version <= p.version {
		return
	}
	p.version, p.freshness.version = version, version
	p.specs = make(map[ident.UpstreamID]*config.Upstream, len(c.Upstreams))
	for i := range c.Upstreams {
		p.specs[c.Upstreams[i].ID] = &c.Upstreams[i]
	}
	p.drainLimit = longestDeadline(c) + p.settings.DrainMargin
	clear(p.matching)
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
	p.freshness.peerIDs = nil
	for i := range v.Instances {
		in := &v.Instances[i]
		if in.Zone == self.Zone && in.ID != self.Instance && in.Liveness != kernel.Dead {
			p.freshness.peerIDs = append(p.freshness.peerIDs, in.ID)
		}
	}
	p.assign(now)
}

// PeerInForce reports the bundle version that a peer had in force at the given
// time.
func (p *Planner) PeerInForce(at time.Time, id ident.InstanceID, version uint64) {
	p.freshness.addPeerReport(id, versionReport{version: version, at: at})
}

// PlatformHead reports the bundle version that the platform gave at the given
// time as the newest one rolled out here.
func (p *Planner) PlatformHead(at time.Time, version uint64) {
	p.freshness.setPlatformReport(versionReport{version: version, at: at})
}

// Paused reports that the process was paused. Reports and states from before the
// pause no longer count.
func (p *Planner) Paused(now time.Time) {
	p.freshness.clearReports()
	clear(p.matching)
	for _, g := range p.engines {
		g.readNoLaterThan(now)
	}
}

// assign adds the engines that this instance now orders and removes all others.
func (p *Planner) assign(now time.Time) {
	p.ranks.Update(p.self, p.view)
	p.loadOrder = make(map[ident.Zone][]ident.UpstreamID)
	assigned := make(map[ident.UpstreamID]*engine)
	for i := range p.view.Upstreams {
		u := &p.view.Upstreams[i]
		spec := p.specs[u.ID]
		if !orderable(u, spec) {
			continue
		}
		p.loadOrder[u.Zone] = append(p.loadOrder[u.Zone], u.ID)
		if p.ranks.Rank(u) == 0 {
			assigned[u.ID] = p.engineFor(now, u, spec)
		}
	}
	for _, ids := range p.loadOrder {
		slices.Sort(ids)
	}
	p.engines = assigned
}

// orderable reports whether the upstream is an engine that may be given orders:
// one that the bundle names and that is neither leaving nor unreachable nor dead.
func orderable(u *kernel.Upstream, spec *config.Upstream) bool {
	return spec != nil && spec.Role != config.RoleService && u.Liveness <= kernel.Suspect
}

// engineFor returns the state of an engine that this instance orders and creates
// it if needed.
func (p *Planner) engineFor(now time.Time, u *kernel.Upstream, spec *config.Upstream) *engine {
	if g := p.engines[u.ID]; g != nil {
		return g
	}
	g := &engine{id: u.ID, zone: u.Zone, desired: Desired(spec), checksFencing: spec.ChecksFencing}
	g.reset(now, p.settings.RecheckInterval)
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
	if g.step == StepInForce || g.reason == ReasonNewerFence {
		return p.settings.SteadyInterval
	}
	return p.settings.RecheckInterval
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
