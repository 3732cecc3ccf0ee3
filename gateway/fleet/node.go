package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

const (
	// beatInterval is the time between two heartbeats: a change of load is known
	// elsewhere after half of it on average.
	beatInterval = 300 * time.Millisecond
	// readInterval is the time between two readings of the store, and between two
	// questions to the instance that reads for the zone. Together they stay under
	// 1.1 s, where 2 s are allowed from a change in the store to its effect.
	readInterval = 500 * time.Millisecond
	// beatRelayed is the time between two heartbeats in a large fleet, whose
	// messages name all instances.
	beatRelayed = time.Second
	// loadAge is how old the others' loads are on average: half a heartbeat and half
	// a sum. By way of hubs it is half of two reports and of the hubs' exchange.
	loadAge      = (beatInterval + sumInterval) / 2
	loadAgeByHub = 3 * beatInterval / 2
	// sumInterval is the time between two sums of the loads that came by heartbeat.
	sumInterval = 100 * time.Millisecond
	// startInterval is the time between two readings while no configuration is
	// known.
	startInterval = 200 * time.Millisecond
	// fallbackInterval is the time between two readings of the store by an instance
	// that should not need to: all of them at once would exceed the store's rate.
	fallbackInterval = 900 * time.Millisecond
	// readTimeout bounds one reading of the store, which answers in 4 ms; a slow
	// one is 100 times slower.
	readTimeout = 1500 * time.Millisecond
	// peerTimeout bounds one call to a peer.
	peerTimeout = 700 * time.Millisecond
	// staleAfter is the age of the view at which an instance stops relying on its
	// zone's reader, and reads the store itself and asks peers of other zones.
	staleAfter = 1200 * time.Millisecond
)

// Methods of the peer protocol.
const (
	// MethodHeartbeat exchanges heartbeats.
	MethodHeartbeat = "gateway.heartbeat"
	// MethodLoad tells a hub a load, and brings back what it knows of the others'.
	MethodLoad = "gateway.load"
	// MethodView asks a peer for what it knows of the store.
	MethodView = "gateway.view"
)

// ViewRequest says what the asking instance has.
type ViewRequest struct {
	Version  int64 `json:"version"`
	Revision int64 `json:"revision"`
}

// ViewAnswer is what the asked instance knows. Config and Upstreams are sent only
// if they are newer.
type ViewAnswer struct {
	Config    *routing.Config    `json:"config,omitempty"`
	Listed    bool               `json:"listed,omitempty"`
	Revision  int64              `json:"revision"`
	AgeMS     int64              `json:"age"`
	Upstreams []dialect.Upstream `json:"upstreams,omitempty"`
}

// Options are what a Node works with.
type Options struct {
	Self   Member
	Seeds  []string
	Source dialect.Source
	Pool   *peer.Pool
	Server *peer.Server
	Log    *slog.Logger
	// Load returns this instance's load, for its heartbeats.
	Load func() Load
	// Changed is called after each change of the view, LoadChanged when the sum of
	// the peers' loads was made anew; age is how old that is on average.
	Changed     func(*Snapshot)
	LoadChanged func(sum Load, age time.Duration)
}

// Node keeps an instance's view up to date.
type Node struct {
	o Options

	mu     sync.Mutex
	view   *View
	roster *Roster
	hub    *Hub
	// others is the sum of the peers' loads.
	others Load
	// storeDown is when the store was first not reached, zero while it is.
	storeDown time.Time

	snapshot atomic.Pointer[Snapshot]
	alive    atomic.Int64
}

// NewNode returns a node that knows nothing, and registers its methods.
func NewNode(o Options) *Node {
	n := &Node{o: o, view: NewView(), hub: NewHub(), others: NewLoad(), roster: NewRoster(time.Now(), o.Self, o.Seeds)}
	n.snapshot.Store(n.view.Snapshot())
	n.alive.Store(1)
	peer.Handle(o.Server, MethodHeartbeat, n.onHeartbeat)
	peer.Handle(o.Server, MethodView, n.onView)
	peer.Handle(o.Server, MethodLoad, n.onLoad)
	return n
}

// Snapshot returns what is believed now.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Alive returns how many instances are believed to live.
func (n *Node) Alive() int { return int(n.alive.Load()) }

// Leave tells peers that this instance is stopping.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Leave()
}

// SetSeeds takes in reloaded settings.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.SetSeeds(seeds)
}

// Holds reports whether this instance may act for all on a duty: it is the one
// chosen, the live instances have been the same for settled, and most of them
// answered it within recent. Zero times are not asked for.
func (n *Node) Holds(duty string, settled, recent time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.roster.Holder(now, duty) || n.roster.Steady(now) < settled {
		return false
	}
	return recent == 0 || n.roster.InTouch(now, recent)
}

// Run keeps the view up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.heartbeats(ctx) })
	running.Go(func() { n.readings(ctx) })
	running.Go(func() { n.loads(ctx) })
	running.Wait()
}

// heartbeats exchanges heartbeats with peers.
func (n *Node) heartbeats(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		load := n.o.Load()
		n.mu.Lock()
		h := n.roster.Beat(time.Now(), load)
		partners := n.roster.Partners(random)
		wait := n.roster.Beats()
		n.mu.Unlock()
		for _, address := range partners {
			go n.beat(ctx, address, h)
		}
		pause.For(ctx, jitter(random, wait))
	}
}

// loads adds up the peers' loads: from their heartbeats in a small fleet, by way of
// the zone's hub in a large one.
func (n *Node) loads(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wait := sumInterval
	for pause.For(ctx, jitter(random, wait)) {
		n.mu.Lock()
		large := n.roster.large()
		n.mu.Unlock()
		if large {
			wait = beatInterval
			n.reportLoad(ctx)
			continue
		}
		wait = sumInterval
		n.mu.Lock()
		sum := NewLoad()
		for _, m := range n.roster.Members(time.Now()) {
			sum.Add(m.Load)
		}
		n.mu.Unlock()
		n.setOthers(sum)
	}
}

// setOthers keeps the sum of the peers' loads.
func (n *Node) setOthers(sum Load) {
	n.mu.Lock()
	n.others = sum
	age := loadAge
	if n.roster.large() {
		age = loadAgeByHub
	}
	n.mu.Unlock()
	n.o.LoadChanged(sum, age)
}

// Others returns the sum of the peers' loads.
func (n *Node) Others() Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.others
}

// reportLoad tells the zone's hub this instance's load. A hub tells those of other
// zones its zone's.
func (n *Node) reportLoad(ctx context.Context) {
	own := LoadReport{From: n.o.Self.ID, Zone: n.o.Self.Zone, Load: n.o.Load()}
	n.mu.Lock()
	now := time.Now()
	address, self := n.roster.Hub(now, n.o.Self.Zone)
	n.mu.Unlock()
	if !self {
		if sum, ok := n.tellLoad(ctx, address, own); ok {
			n.setOthers(sum)
		}
		return
	}
	n.mu.Lock()
	n.hub.Take(now, own)
	whole := LoadReport{From: own.From, Zone: own.Zone, Whole: true, Load: n.hub.Zone(now, "")}
	hubs := n.otherHubs(now)
	sum := n.hub.Total(now, own.From)
	n.mu.Unlock()
	for _, h := range hubs {
		go n.tellLoad(ctx, h, whole)
	}
	n.setOthers(sum)
}

// otherHubs returns the addresses of the other zones' hubs. The caller holds mu.
func (n *Node) otherHubs(now time.Time) []string {
	var hubs []string
	for _, zone := range n.roster.OtherZones(now) {
		if address, _ := n.roster.Hub(now, zone); address != "" {
			hubs = append(hubs, address)
		}
	}
	return hubs
}

// tellLoad tells a hub a load. Its silence shows as a load that grows old.
func (n *Node) tellLoad(ctx context.Context, address string, r LoadReport) (Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sum, err := peer.Call[Load](ctx, n.o.Pool, address, MethodLoad, r)
	if err != nil {
		n.o.Log.Debug("load not taken", "peer", address, "error", err)
		return Load{}, false
	}
	return sum, true
}

// onLoad takes in a load at a hub.
func (n *Node) onLoad(_ context.Context, _ peer.Identity, r LoadReport) (Load, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.hub.Take(now, r)
	if r.Whole {
		return NewLoad(), nil
	}
	return n.hub.Total(now, r.From), nil
}

// jitter spreads a time by a tenth either way.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*random.Float64()))
}

// beat exchanges heartbeats with one peer. A failure needs no line of its own:
// the peer's silence is noted when it counts as dead.
func (n *Node) beat(ctx context.Context, address string, h Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := peer.Call[Heartbeat](ctx, n.o.Pool, address, MethodHeartbeat, h)
	if err != nil {
		n.o.Log.Debug("heartbeat not answered", "peer", address, "error", err)
		return
	}
	n.mu.Lock()
	now := time.Now()
	n.roster.Receive(now, answer)
	n.roster.Answered(now, answer.From.ID)
	n.mu.Unlock()
	n.noteAlive()
}

// onHeartbeat answers a peer's heartbeat.
func (n *Node) onHeartbeat(_ context.Context, _ peer.Identity, h Heartbeat) (Heartbeat, error) {
	n.mu.Lock()
	now := time.Now()
	n.roster.Receive(now, h)
	answer := n.roster.Heartbeat(now)
	n.mu.Unlock()
	n.noteAlive()
	return answer, nil
}

// onView tells a peer what is newer here.
func (n *Node) onView(_ context.Context, _ peer.Identity, q ViewRequest) (ViewAnswer, error) {
	s := n.Snapshot()
	answer := ViewAnswer{Listed: s.Listed, Revision: s.Revision, AgeMS: time.Since(s.AsOf).Milliseconds()}
	if s.Table != nil && s.Table.Config().Version > q.Version {
		answer.Config = s.Table.Config()
	}
	if s.Listed && s.Revision > q.Revision {
		answer.Upstreams = s.All()
	}
	return answer, nil
}

// readings keeps the view up to date: from the store if this instance reads for
// its zone, from the zone's reader otherwise, from both and any peer when the
// view grows old.
func (n *Node) readings(ctx context.Context) {
	lastRead := time.Time{}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		hub, self := n.roster.Hub(now, n.o.Self.Zone)
		other := n.roster.AnyPeer(now, random)
		n.mu.Unlock()
		s := n.Snapshot()
		old := !s.Ready() || now.Sub(s.AsOf) > staleAfter
		var parallel sync.WaitGroup
		if self || old && now.Sub(lastRead) > fallbackInterval {
			lastRead = now
			parallel.Go(func() { n.readStore(ctx) })
		}
		if !self && hub != "" {
			parallel.Go(func() { n.ask(ctx, hub) })
		}
		if old && other != "" {
			parallel.Go(func() { n.ask(ctx, other) })
		}
		parallel.Wait()
		wait := readInterval
		if !n.Snapshot().Ready() {
			wait = startInterval
		}
		pause.For(ctx, jitter(random, wait))
	}
}

// readStore reads the store once.
func (n *Node) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	list, revision, err := n.o.Source.Upstreams(ctx)
	if err != nil {
		n.storeFailed(err)
		return
	}
	n.takeList(started, revision, list, n.readOrigin(), "store")
	c, _, err := n.o.Source.Config(ctx)
	if err != nil {
		n.storeFailed(err)
		return
	}
	n.takeConfig(c, "store")
	n.storeAnswered()
}

// readOrigin says whether a list that was just read is the first after failures.
func (n *Node) readOrigin() Origin {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeDown.IsZero() {
		return FromStore
	}
	return FromStoreAgain
}

// storeFailed logs the loss of the store, once.
func (n *Node) storeFailed(err error) {
	n.mu.Lock()
	first := n.storeDown.IsZero()
	if first {
		n.storeDown = time.Now()
	}
	n.mu.Unlock()
	if first {
		n.o.Log.Warn("dependency lost", "dependency", "store", "error", err, "view_age_ms", time.Since(n.Snapshot().AsOf).Milliseconds())
	}
}

// storeAnswered logs that the store is back.
func (n *Node) storeAnswered() {
	n.mu.Lock()
	since := n.storeDown
	n.storeDown = time.Time{}
	n.mu.Unlock()
	if !since.IsZero() {
		n.o.Log.Info("dependency regained", "dependency", "store", "after_ms", time.Since(since).Milliseconds())
	}
}

// ask asks a peer for what it knows of the store.
func (n *Node) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s := n.Snapshot()
	q := ViewRequest{Revision: s.Revision}
	if s.Table != nil {
		q.Version = s.Table.Config().Version
	}
	asked := time.Now()
	a, err := peer.Call[ViewAnswer](ctx, n.o.Pool, address, MethodView, q)
	if err != nil {
		n.o.Log.Debug("view not answered", "peer", address, "error", err)
		return
	}
	if a.Config != nil {
		n.takeConfig(a.Config, address)
	}
	if !a.Listed {
		return
	}
	// The answer is no older than its age before the question.
	started := asked.Add(-time.Duration(a.AgeMS) * time.Millisecond)
	if a.Upstreams == nil && a.Revision == s.Revision {
		a.Upstreams = s.All()
	}
	if a.Upstreams != nil {
		n.takeList(started, a.Revision, a.Upstreams, FromPeer, address)
	}
}

// takeConfig puts a configuration in force if it is newer.
func (n *Node) takeConfig(c *routing.Config, from string) {
	n.mu.Lock()
	before := n.view.Version()
	taken := n.view.Configure(c)
	n.mu.Unlock()
	if taken {
		n.o.Log.Info("configuration in force", "version", c.Version, "before", before, "from", from, "routes", len(c.Routes))
		n.publish()
	}
}

// takeList takes in a list of upstreams.
func (n *Node) takeList(started time.Time, revision int64, list []dialect.Upstream, origin Origin, from string) {
	n.mu.Lock()
	changes, taken := n.view.List(time.Now(), started, revision, list, origin)
	n.mu.Unlock()
	for _, c := range changes {
		n.o.Log.Info("upstream "+string(c.What), "upstream", c.Upstream.ID, "service", c.Upstream.Service,
			"address", c.Upstream.Address, "stage", c.Upstream.Stage, "from", from, "revision", revision,
			"age_ms", time.Since(started).Milliseconds())
	}
	if taken {
		n.publish()
	}
}

// noteAlive logs a change of the number of live instances.
func (n *Node) noteAlive() {
	n.mu.Lock()
	now := int64(n.roster.Alive(time.Now()))
	n.mu.Unlock()
	if before := n.alive.Swap(now); before != now {
		n.o.Log.Info("live instances", "before", before, "now", now)
	}
}

// publish makes the state of the view known.
func (n *Node) publish() {
	n.mu.Lock()
	s := n.view.Snapshot()
	n.snapshot.Store(s)
	n.mu.Unlock()
	n.o.Changed(s)
}
