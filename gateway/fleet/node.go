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
	// Changed is called after each change of the view or of the peers' loads.
	Changed func(*Snapshot, []Member)
}

// Node keeps an instance's view up to date.
type Node struct {
	o Options

	mu     sync.Mutex
	view   *View
	roster *Roster
	// storeDown is when the store was first not reached, zero while it is.
	storeDown time.Time

	snapshot atomic.Pointer[Snapshot]
	alive    atomic.Int64
}

// NewNode returns a node that knows nothing, and registers its methods.
func NewNode(o Options) *Node {
	n := &Node{o: o, view: NewView(), roster: NewRoster(time.Now(), o.Self, o.Seeds)}
	n.snapshot.Store(n.view.Snapshot())
	n.alive.Store(1)
	peer.Handle(o.Server, MethodHeartbeat, n.onHeartbeat)
	peer.Handle(o.Server, MethodView, n.onView)
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
		n.mu.Unlock()
		for _, address := range partners {
			go n.beat(ctx, address, h)
		}
		pause.For(ctx, jitter(random, beatInterval))
	}
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
	n.publish()
}

// onHeartbeat answers a peer's heartbeat.
func (n *Node) onHeartbeat(_ context.Context, _ peer.Identity, h Heartbeat) (Heartbeat, error) {
	n.mu.Lock()
	now := time.Now()
	n.roster.Receive(now, h)
	answer := n.roster.Heartbeat(now)
	n.mu.Unlock()
	n.publish()
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
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		readers, self := n.roster.Readers(now)
		other := n.roster.AnyPeer(now, random)
		n.mu.Unlock()
		s := n.Snapshot()
		old := !s.Ready() || now.Sub(s.AsOf) > staleAfter
		var parallel sync.WaitGroup
		if self || old || len(readers) == 0 {
			parallel.Go(func() { n.readStore(ctx) })
		}
		for _, r := range readers {
			parallel.Go(func() { n.ask(ctx, r) })
		}
		if old && other != "" {
			parallel.Go(func() { n.ask(ctx, other) })
		}
		parallel.Wait()
		wait := readInterval
		if !n.Snapshot().Ready() {
			wait = beatInterval / 3
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
	n.takeList(started, revision, list, "store")
	c, _, err := n.o.Source.Config(ctx)
	if err != nil {
		n.storeFailed(err)
		return
	}
	n.takeConfig(c, "store")
	n.storeAnswered()
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
		n.takeList(started, a.Revision, a.Upstreams, address)
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
func (n *Node) takeList(started time.Time, revision int64, list []dialect.Upstream, from string) {
	n.mu.Lock()
	changes, taken := n.view.List(time.Now(), started, revision, list)
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

// publish makes the state of view and roster known.
func (n *Node) publish() {
	n.mu.Lock()
	now := time.Now()
	s := n.view.Snapshot()
	before := n.alive.Load()
	alive := int64(n.roster.Alive(now))
	members := n.roster.Members(now)
	n.snapshot.Store(s)
	n.alive.Store(alive)
	n.mu.Unlock()
	if before != alive {
		n.o.Log.Info("live instances", "before", before, "now", alive)
	}
	n.o.Changed(s, members)
}

// Members returns the heartbeats of the live peers.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Members(time.Now())
}
