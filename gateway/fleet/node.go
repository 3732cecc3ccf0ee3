package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/tokenbucket"
	"github.com/wardspool/wardspool/peer"
)

const (
	// beatInterval is the time between two heartbeats: a change of load is known
	// elsewhere after half of it on average.
	beatInterval = 300 * time.Millisecond
	// beatRelayed is the time between two heartbeats in a large fleet.
	beatRelayed = time.Second
	// loadAge is how old the others' loads are on average: half a heartbeat and half
	// a sum. By way of hubs it is half of each of loadHops intervals: those of two reports
	// and of the hubs' exchange.
	loadAge  = (beatInterval + sumInterval) / 2
	loadHops = 3
	// loadShare is the part of an instance's link, and mostLoadBytes how many bytes a second,
	// that the sums of loads take of it at most. A hub sends as many to each of its zone.
	loadShare     = 0.05
	mostLoadBytes = 64 << 10
	// idleReportInterval is the time between two reports of an idle instance to a hub.
	idleReportInterval = time.Second
	// sumInterval is the time between two sums of the loads that came by heartbeat.
	sumInterval = 100 * time.Millisecond
	// defaultLinkMbps stands for the rate of a link that is not told, in megabits a second.
	defaultLinkMbps = 10
	// readTimeout bounds one reading of the store, which answers in 4 ms; a slow
	// one is 100 times slower.
	readTimeout = 1500 * time.Millisecond
	// listTimeout bounds the reading of the list, which may take several pages.
	listTimeout = 3 * time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = 700 * time.Millisecond
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

// Options are what a Node works with.
type Options struct {
	Self  Member
	Seeds []string
	// Zones are those of the deployment, as far as the operators name them.
	Zones  []ident.Zone
	Source dialect.Source
	// LinkMbps is the rate of the machine's link, in megabits a second.
	LinkMbps float64
	// InForce is the time in which a change in the store has to be in force.
	InForce time.Duration
	Pool    *peer.Pool
	Server  *peer.Server
	Log     *slog.Logger
	// Load returns this instance's load, for its heartbeats.
	Load func() Load
	// Changed is called after each change of the view, LoadChanged when the sum of
	// the peers' loads was made anew; age is how old that is on average.
	Changed     func(*Snapshot)
	LoadChanged func(sum Load, age time.Duration)
	// Register is what is known of contents under which upstreams crashed.
	Register *quarantine.Register
}

// linkBytes is the rate of the machine's link in bytes a second.
func (o *Options) linkBytes() float64 {
	if o.LinkMbps <= 0 {
		return defaultLinkMbps * 1e6 / 8
	}
	return o.LinkMbps * 1e6 / 8
}

// Node keeps an instance's view up to date.
type Node struct {
	o Options

	mu     sync.Mutex
	view   *View
	roster *Roster
	hub    *Hub
	// reports are the own ones to the zone's hub.
	reports Reports
	// others is the sum of the peers' loads.
	others  Load
	reading reading
	// createdAt is when the node was created; discoveryWait starts then.
	createdAt time.Time
	// stored is the list of upstreams in the store, for an instance that reads the store;
	// relisting is set while it is read again in the background.
	stored    storedUpstreams
	relisting bool
	// reopened is when the evacuation of a zone last ended.
	reopened map[ident.Zone]time.Time
	// storeDown is when the store was first not reached, zero while it is.
	storeDown time.Time

	news     *crashNews
	trials   *quarantine.Trials
	informed informed
	tokens   *tokens

	snapshot atomic.Pointer[Snapshot]
	alive    atomic.Int64

	// fetching is set while a configuration is fetched.
	fetching atomic.Bool
	// packed is the configuration of packedVersion as peers get it.
	packing       sync.Mutex
	packed        ConfigAnswer
	packedVersion int64
	// packedList is the list of packedDigest as peers get it; sending bounds how often.
	packedList   []byte
	packedDigest uint64
	sending      tokenbucket.Bucket
	// requestArrived receives a value when a request arrives; lastRequest is when the latest one did.
	requestArrived chan struct{}
	lastRequest    atomic.Pointer[time.Time]
	// misfit means that the difference that a peer told did not fit.
	misfit atomic.Bool
}

// NewNode returns a node that knows nothing, and registers its methods.
func NewNode(o Options) *Node {
	n := &Node{o: o, reading: newReading(o.InForce), reopened: map[ident.Zone]time.Time{}, view: NewView(), hub: NewHub(), others: NewLoad(), roster: NewRoster(o.Self, o.Seeds), requestArrived: make(chan struct{}, 1)}
	n.createdAt = clock.Now()
	n.news, n.trials, n.tokens = newCrashNews(), quarantine.NewTrials(), newTokens()
	n.snapshot.Store(n.view.Snapshot())
	n.alive.Store(1)
	peer.Handle(o.Server, MethodHeartbeat, n.onHeartbeat)
	peer.Handle(o.Server, MethodView, n.onView)
	peer.Handle(o.Server, MethodConfig, n.onConfig)
	peer.Handle(o.Server, MethodLoad, n.onLoad)
	peer.Handle(o.Server, MethodCrashes, n.onCrashes)
	peer.Handle(o.Server, MethodTrial, n.onTrial)
	peer.Handle(o.Server, MethodTokens, n.onTokens)
	return n
}

// Snapshot returns what is believed now.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Alive returns how many instances are believed to live.
func (n *Node) Alive() int { return int(n.alive.Load()) }

// Current reports whether a snapshot is young enough to give orders by: two readings may
// have failed.
func (n *Node) Current(s *Snapshot) bool { return clock.Since(s.AsOf) <= 3*readInterval }

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
// chosen, has been for settled, and most of the instances that it calls answered it
// within recent.
func (n *Node) Holds(duty string, settled, recent time.Duration) bool {
	clock.Check()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	return n.roster.HeldFor(now, duty) >= settled && n.roster.Holder(now, duty, "") && n.roster.InTouch(now, recent)
}

// AssignedInZone returns the upstreams in a list that are of the given stage and whose duty falls
// to this instance: it is the one chosen in the upstream's zone, or among all instances if none of
// that zone is live. The name of an upstream's duty is prefix followed by its ID.
func (n *Node) AssignedInZone(prefix string, stage dialect.Stage, list []dialect.Upstream) []dialect.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	var assigned []dialect.Upstream
	for _, u := range list {
		if u.Stage != stage {
			continue
		}
		if n.roster.Holder(now, prefix+string(u.ID), n.roster.dutyZone(now, u.Zone)) {
			assigned = append(assigned, u)
		}
	}
	return assigned
}

// Run keeps the view up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.heartbeats(ctx) })
	running.Go(func() { n.readings(ctx) })
	running.Go(func() { n.loads(ctx) })
	running.Go(func() { n.spreadCrashes(ctx) })
	running.Go(func() { n.maintain(ctx) })
	running.Go(func() { n.flushTokens(ctx) })
	running.Wait()
}

// large reports whether loads go by way of hubs, not with heartbeats.
func (n *Node) large() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.large()
}

// heartbeats exchanges heartbeats with peers.
func (n *Node) heartbeats(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	woke := n.informed.waking()
	for ctx.Err() == nil {
		load := Load{}
		if !n.large() {
			load = n.o.Load()
		}
		n.mu.Lock()
		h := n.roster.Beat(clock.Now(), load)
		partners := n.roster.Partners(clock.Now(), random)
		wait := n.roster.Beats()
		n.mu.Unlock()
		h.Crashes, h.Informed = n.o.Register.Digest(), n.Informed()
		for _, address := range partners {
			go n.beat(ctx, address, h)
		}
		waitTurn(ctx, jitter(random, wait), woke)
	}
}

// jitter spreads a time by a tenth either way.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*random.Float64()))
}

// beat exchanges heartbeats with one peer, and once more if both know of different
// instances.
func (n *Node) beat(ctx context.Context, address string, h Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, ok := n.exchange(ctx, address, h)
	if !ok {
		return
	}
	n.mu.Lock()
	more, differs := n.roster.Reconcile(clock.Now(), answer)
	n.mu.Unlock()
	if differs {
		n.exchange(ctx, address, more)
	}
	n.noteAlive()
}

// exchange sends a heartbeat and takes in the answer. A failure needs no line of its
// own: the peer's silence is noted when it counts as dead.
func (n *Node) exchange(ctx context.Context, address string, h Heartbeat) (Heartbeat, bool) {
	answer, err := peer.Call[Heartbeat](ctx, n.o.Pool, address, MethodHeartbeat, h)
	if err != nil {
		n.o.Log.Debug("heartbeat not answered", "peer", address, "error", err)
		return answer, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	n.roster.Receive(now, answer)
	n.roster.Answered(now, answer.From.ID)
	n.compareCrashes(ctx, address, answer.Crashes, answer.Informed)
	return answer, true
}

// onHeartbeat answers a peer's heartbeat, in a small fleet with the load of now.
func (n *Node) onHeartbeat(ctx context.Context, _ peer.Identity, h Heartbeat) (Heartbeat, error) {
	load := Load{}
	if !n.large() {
		load = n.o.Load()
	}
	n.mu.Lock()
	now := clock.Now()
	n.roster.Receive(now, h)
	n.roster.Update(load)
	answer := n.roster.Answer(now, h)
	n.mu.Unlock()
	answer.Crashes, answer.Informed = n.o.Register.Digest(), n.Informed()
	n.compareCrashes(ctx, h.From.Address, h.Crashes, h.Informed)
	n.noteAlive()
	return answer, nil
}

// noteAlive logs a change of the number of live instances.
func (n *Node) noteAlive() {
	n.mu.Lock()
	now := int64(n.roster.Alive(clock.Now()))
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
