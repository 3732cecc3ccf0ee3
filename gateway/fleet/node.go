package fleet

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/origin"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/tokenbucket"
	"github.com/wardspool/wardspool/peer"
)

const (
	// heartbeatInterval is the time between two heartbeats in a small fleet. A change of load
	// reaches the peers after half of it on average.
	heartbeatInterval = 300 * time.Millisecond
	// largeHeartbeatInterval is the time between two heartbeats in a large fleet; see
	// Roster.isLarge.
	largeHeartbeatInterval = time.Second
	// loadAge is the average age of the peers' loads in a small fleet: half a heartbeat interval
	// plus half a sum interval. In a large fleet, loads pass through hubs, and their average age
	// is half an interval for each of loadHops steps: the report to the hub, the exchange between
	// hubs, and the report by which the other instance fetches the sum.
	loadAge  = (heartbeatInterval + sumInterval) / 2
	loadHops = 3
	// loadLinkShare is the largest share of an instance's link that the sums of loads sent to it
	// may take, and maxLoadBytesPerSecond the largest number of bytes per second. A hub sends
	// that much to each instance of its zone.
	loadLinkShare         = 0.05
	maxLoadBytesPerSecond = 64 << 10
	// idleReportInterval is the time between two load reports of an idle instance to its hub.
	idleReportInterval = time.Second
	// sumInterval is the time between two computations of the sum of the peers' loads.
	sumInterval = 100 * time.Millisecond
	// defaultLinkMbps is the assumed rate of the machine's link, in megabits per second, if the
	// settings do not give it.
	defaultLinkMbps = 10
	// readTimeout bounds one read of the store other than a full list. The store answers in 4 ms;
	// a slow one is 100 times slower.
	readTimeout = 1500 * time.Millisecond
	// listTimeout bounds the read of the full list of upstreams, which may take several pages.
	listTimeout = 3 * time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = 700 * time.Millisecond
)

// Methods of the peer protocol.
const (
	// MethodHeartbeat exchanges heartbeats.
	MethodHeartbeat = "gateway.heartbeat"
	// MethodLoad reports a load to a hub. The answer holds the sum of the loads known to the hub.
	MethodLoad = "gateway.load"
	// MethodView asks a peer for the configuration version and the list of upstreams that it
	// knows.
	MethodView = "gateway.view"
)

// Options configures a Node.
type Options struct {
	// Self describes this instance. Seeds holds the addresses of instances to call until peers
	// are known.
	Self  Member
	Seeds []string
	// Zones lists the zones of the deployment that are named in the settings.
	Zones  []ident.Zone
	Source dialect.Source
	// LinkMbps is the rate of the machine's link in megabits per second, 0 if unknown.
	LinkMbps float64
	// ChangeDeadline is the time within which a change in the store must be in force.
	ChangeDeadline time.Duration
	// Pool makes calls to peers, Server receives theirs.
	Pool   *peer.Pool
	Server *peer.Server
	Log    *slog.Logger
	// Load returns this instance's load, for its heartbeats and reports.
	Load func() Load
	// Changed is called after each change of the view. LoadChanged is called whenever the sum of
	// the peers' loads has been recomputed; age is the average age of that sum.
	Changed     func(*Snapshot)
	LoadChanged func(sum Load, age time.Duration)
	// Count increments the event counter with the given name; nil counts nothing.
	Count func(name string)
	// Engines reads what engines show of streams whose origin no instance remembers.
	Engines origin.EngineReader
	// Register holds the crash records of the request contents that upstreams crashed on.
	Register *quarantine.Register
}

// linkBytes returns the rate of the machine's link in bytes per second.
func (o *Options) linkBytes() float64 {
	if o.LinkMbps <= 0 {
		return defaultLinkMbps * 1e6 / 8
	}
	return o.LinkMbps * 1e6 / 8
}

// Node keeps an instance's view of the deployment up to date. It reads the store or asks peers,
// exchanges heartbeats and loads, and spreads crash records.
type Node struct {
	opts Options

	mu     sync.Mutex
	view   *View
	roster *Roster
	hub    *Hub
	// reports holds this instance's latest load reports to the hub of its zone.
	reports ReportHistory
	// peerLoad is the sum of the peers' loads.
	peerLoad     Load
	readSchedule readSchedule
	// createdAt is when the node was created. discoveryWait and joinTime are counted from it.
	createdAt time.Time
	// stored is the store's list of upstreams, if this instance reads the store. relisting is set
	// while a full list is read again in the background.
	stored    storedUpstreams
	relisting bool
	// reopened holds, for each zone, the time at which its last evacuation ended.
	reopened map[ident.Zone]time.Time
	// storeDown is the time of the first failed read of the store since the last successful one,
	// zero if the last one succeeded.
	storeDown time.Time

	crashSpreader *crashSpreader
	trials        *quarantine.Trials
	informed      informed
	tokens        *tokens
	rates         *rates

	// origins remembers the software versions that began streams. originAdded receives a value when this
	// instance has begun one.
	origins     *origin.Register
	originAdded chan struct{}
	finder      *origin.Finder
	// historySince is the value of view.listedSince for which the store's history is known, historyAbsent
	// that for which the store keeps none. historyLock guards reading the history, historyAbsent, and
	// historyFailed, the time of the last failure, while it holds a value.
	historySince  time.Time
	historyAbsent time.Time
	historyLock   chan struct{}
	historyFailed time.Time

	snapshot atomic.Pointer[Snapshot]
	alive    atomic.Int64

	// fetching is set while a configuration is fetched.
	fetching atomic.Bool
	// packMu guards packedConfig, the encoded configuration of version packedConfigVersion that
	// is sent to peers, and the fields of the packed list.
	packMu              sync.Mutex
	packedConfig        ConfigAnswer
	packedConfigVersion int64
	// packedList is the encoded list of upstreams with digest packedListDigest that is sent to
	// peers. listSendLimit limits the rate at which it is sent.
	packedList       []byte
	packedVersions   []byte
	packedListDigest uint64
	listSendLimit    tokenbucket.Bucket
	// requestArrived receives a value when a request arrives. lastRequest is the time of the
	// latest arrival.
	requestArrived chan struct{}
	lastRequest    atomic.Pointer[time.Time]
	// needWholeList is set when a peer's difference could not be applied to this instance's list.
	// The next view request then asks for the whole list.
	needWholeList atomic.Bool
}

// NewNode returns a node with an empty view and registers its methods with the peer server.
func NewNode(o Options) *Node {
	n := &Node{opts: o, readSchedule: newReadSchedule(o.ChangeDeadline), reopened: map[ident.Zone]time.Time{}, view: NewView(), hub: NewHub(), peerLoad: NewLoad(), roster: NewRoster(o.Self, o.Seeds), requestArrived: make(chan struct{}, 1)}
	n.createdAt = clock.Now()
	n.origins, n.originAdded = origin.NewRegister(), make(chan struct{}, 1)
	n.finder, n.historyLock = origin.NewFinder(o.Engines), make(chan struct{}, 1)
	n.crashSpreader, n.trials, n.tokens, n.rates = newCrashSpreader(), quarantine.NewTrials(), newTokens(), newRates()
	n.snapshot.Store(n.view.Snapshot())
	n.alive.Store(1)
	peer.Handle(o.Server, MethodHeartbeat, n.onHeartbeat)
	peer.Handle(o.Server, MethodView, n.onView)
	peer.Handle(o.Server, MethodConfig, n.onConfig)
	peer.Handle(o.Server, MethodLoad, n.onLoad)
	peer.Handle(o.Server, MethodCrashes, n.onCrashes)
	peer.Handle(o.Server, MethodTrial, n.onTrial)
	peer.Handle(o.Server, MethodTokens, n.onTokens)
	peer.Handle(o.Server, MethodRate, n.onRate)
	peer.Handle(o.Server, MethodShareOrigins, n.onShareOrigins)
	peer.Handle(o.Server, MethodFindOrigin, n.onFindOrigin)
	return n
}

// count increments an event counter.
func (n *Node) count(name string) {
	if n.opts.Count != nil {
		n.opts.Count(name)
	}
}

// Snapshot returns the latest published snapshot of the view.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Alive returns the number of instances that count as alive, including this one.
func (n *Node) Alive() int { return int(n.alive.Load()) }

// Sharers returns the number of instances among which what all of them may spend together is divided, including
// this one and those that it can't know; see Roster.Share.
func (n *Node) Sharers() int {
	share := n.share()
	if share <= 0 {
		return unknownInstances
	}
	return int(math.Ceil(float64(n.Alive()) / share))
}

// Peers returns the other instances that are alive and not stopping.
func (n *Node) Peers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(n.roster.Members(clock.Now()), func(m Member) bool { return m.Leaving })
}

// IsFresh reports whether a snapshot is recent enough to base orders to engines on. It allows for
// two failed reads in a row.
func (n *Node) IsFresh(s *Snapshot) bool { return clock.Since(s.AsOf) <= 3*readInterval }

// Leave marks this instance as stopping in its further heartbeats.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Leave()
}

// SetSeeds replaces the seed addresses after the settings were reloaded.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.SetSeeds(seeds)
}

// Holds reports whether this instance may perform a duty for the whole fleet: it has been the
// chosen holder for at least settled, and most of the instances that it calls have answered
// within recent.
func (n *Node) Holds(duty string, settled, recent time.Duration) bool {
	clock.Check()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	return n.roster.HeldFor(now, duty) >= settled && n.roster.IsHolder(now, duty, "") && n.roster.HasQuorum(now, recent)
}

// Joined reports whether this instance has joined the fleet since its start; see Roster.Joined.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Joined()
}

// LacksSeeds reports whether this instance has not joined the fleet although it has had the time for it.
func (n *Node) LacksSeeds() bool { return !n.Joined() && clock.Since(n.createdAt) >= joinTime }

// AssignedInZone returns the upstreams of a list that have the given stage and whose duty is
// assigned to this instance. A duty is assigned within the upstream's zone, or among all
// instances if none of that zone is alive. The name of an upstream's duty is prefix followed by
// its ID.
func (n *Node) AssignedInZone(prefix string, stage dialect.Stage, list []dialect.Upstream) []dialect.Upstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	var assigned []dialect.Upstream
	for _, u := range list {
		if u.Stage != stage {
			continue
		}
		if n.roster.IsHolder(now, prefix+string(u.ID), n.roster.dutyZone(now, u.Zone)) {
			assigned = append(assigned, u)
		}
	}
	return assigned
}

// Run keeps the view up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.heartbeats(ctx) })
	running.Go(func() { n.maintainView(ctx) })
	running.Go(func() { n.loads(ctx) })
	running.Go(func() { n.spreadCrashes(ctx) })
	running.Go(func() { n.maintain(ctx) })
	running.Go(func() { n.flushTokens(ctx) })
	running.Wait()
}

// isLarge reports whether the fleet is large. In a large fleet, loads are exchanged through hubs
// rather than in heartbeats.
func (n *Node) isLarge() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.isLarge()
}

// heartbeats exchanges heartbeats with peers until ctx ends.
func (n *Node) heartbeats(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wake := n.informed.subscribeWake()
	for ctx.Err() == nil {
		load := Load{}
		if !n.isLarge() {
			load = n.opts.Load()
		}
		n.mu.Lock()
		h := n.roster.NextHeartbeat(clock.Now(), load)
		partners := n.roster.Partners(clock.Now(), random)
		wait := n.roster.HeartbeatInterval()
		n.mu.Unlock()
		h.Crashes, h.Informed = n.opts.Register.Digest(), n.Informed()
		for _, address := range partners {
			go n.heartbeatWith(ctx, address, h)
		}
		n.callSeeds(ctx, h)
		waitOrWake(ctx, jitter(random, wait), wake)
	}
}

// jitter varies a duration at random by up to 10% in either direction.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*random.Float64()))
}

// heartbeatWith exchanges heartbeats with one peer. If the answer shows that the two know different
// instances, a second exchange reconciles them. It reports whether the peer answered.
func (n *Node) heartbeatWith(ctx context.Context, address string, h Heartbeat) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, ok := n.exchange(ctx, address, h)
	if !ok {
		return false
	}
	n.mu.Lock()
	more, differs := n.roster.Reconcile(clock.Now(), answer)
	n.mu.Unlock()
	if differs {
		n.exchange(ctx, address, more)
	}
	n.logAliveChange()
	return true
}

// exchange sends a heartbeat to a peer and processes the answer. It returns false if the call
// failed. Failures are logged at debug level only, since a silent peer is logged when it no
// longer counts as alive.
func (n *Node) exchange(ctx context.Context, address string, h Heartbeat) (Heartbeat, bool) {
	answer, err := peer.Call[Heartbeat](ctx, n.opts.Pool, address, MethodHeartbeat, h)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	n.roster.recordSeedCall(now, address, err)
	if err != nil {
		n.opts.Log.Debug("heartbeat not answered", "peer", address, "error", err)
		return answer, false
	}
	n.roster.Receive(now, answer)
	n.roster.RecordAnswer(now, answer.From.ID)
	n.compareCrashDigest(ctx, address, answer.Crashes, answer.Informed)
	return answer, true
}

// onHeartbeat answers a peer's heartbeat. In a small fleet, the answer contains this instance's
// current load.
func (n *Node) onHeartbeat(ctx context.Context, _ peer.Identity, h Heartbeat) (Heartbeat, error) {
	load := Load{}
	if !n.isLarge() {
		load = n.opts.Load()
	}
	n.mu.Lock()
	now := clock.Now()
	n.roster.Receive(now, h)
	n.roster.SetLoad(load)
	answer := n.roster.Answer(now, h)
	n.mu.Unlock()
	answer.Crashes, answer.Informed = n.opts.Register.Digest(), n.Informed()
	n.compareCrashDigest(ctx, h.From.Address, h.Crashes, h.Informed)
	n.logAliveChange()
	return answer, nil
}

// logAliveChange logs a change in the number of live instances.
func (n *Node) logAliveChange() {
	n.mu.Lock()
	now := int64(n.roster.Alive(clock.Now()))
	n.mu.Unlock()
	if before := n.alive.Swap(now); before != now {
		n.opts.Log.Info("live instances", "before", before, "now", now)
	}
}

// publish makes the current view available through Snapshot and calls the Changed callback.
func (n *Node) publish() {
	n.mu.Lock()
	s := n.view.Snapshot()
	n.snapshot.Store(s)
	n.mu.Unlock()
	n.opts.Changed(s)
}
