package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/front"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes bound callers' connections.
	// They lie above what configurations set, of 3 s, 15 s and 16 KiB.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// announceTime is how long a stopping instance still accepts connections: the
	// balancer asks once a second and believes the second refusal.
	announceTime = 3 * time.Second
	// stopReserve is what is left of the grace period when the last requests are
	// broken off; exitReserve is what is left when nothing is waited for any more.
	stopReserve = 400 * time.Millisecond
	exitReserve = 100 * time.Millisecond
	// tellTime is how long requests without a part of an answer have to be told so.
	tellTime = 100 * time.Millisecond
	// bufferMemoryShare is the fraction of the process's memory available to buffered
	// request bodies and answers.
	bufferMemoryShare = 0.25
	// peersTime bounds the wait for calls of peers.
	peersTime = 100 * time.Millisecond
)

// Service is the gateway's process.
type Service struct {
	settings *Settings
	log      *slog.Logger
	dialect  dialect.Dialect
	node     *fleet.Node
	books    *schedule.Books
	budget   *schedule.Budget
	register *quarantine.Register
	memory   *memory.Budget
	carrier  *carry.Carrier
	front    *front.Front
	metrics  *counters
	pool     *peer.Pool
	peers    *peer.Server
	// ends is when the instance ends, nil until its stop begins.
	ends atomic.Pointer[time.Time]

	callers, ready, control, scrape net.Listener
}

// New returns the service. It opens nothing yet.
func New(s *Settings, d dialect.Dialect, source dialect.Source, log *slog.Logger) *Service {
	return newService(s, d, source, log, nil)
}

// newService is New with the dialer for connections to peers; nil for the network's.
func newService(s *Settings, d dialect.Dialect, source dialect.Source, log *slog.Logger, dialer peer.Dialer) *Service {
	log = log.With("instance", s.Instance)
	g := &Service{settings: s, log: log, dialect: d, metrics: newCounters(), register: quarantine.NewRegister()}
	g.books = schedule.NewBooks(s.Zone, rand.Uint64())
	g.memory = memory.NewBudget(int64(bufferMemoryShare * float64(s.MemoryMB<<20)))
	incarnation := ident.NewIncarnation(time.Now())
	config := peer.Config{
		Self: peer.Identity{Instance: s.Instance, Incarnation: incarnation, Zone: s.Zone},
		// The store lists no instances: whoever reaches the address is believed.
		Allow:  func(peer.Identity) bool { return true },
		Limits: peerLimits, Dialer: dialer,
		Log: log,
	}
	g.pool = peer.NewPool(config)
	g.peers = peer.NewServer(config)
	g.node = fleet.NewNode(fleet.Options{
		Self:  fleet.Member{ID: s.Instance, Zone: s.Zone, Address: s.Listen.Peers, Incarnation: incarnation},
		Seeds: s.Seeds,
		Zones: s.Zones, LinkMbps: s.LinkMbps,
		Source: source, InForce: s.Store.inForce(), Pool: g.pool, Server: g.peers, Log: log,
		Load: g.load, Changed: g.changed, LoadChanged: g.loadChanged, Register: g.register,
	})
	g.budget = schedule.NewBudget(clock.Now(), s.Retries.budget(), g.node.Alive)
	g.carrier = carry.New(carry.Options{
		Dialect: d, Books: g.books, Budget: g.budget, Zone: s.Zone, RegionOf: s.regionOf, View: g.node.Snapshot, Log: log, Count: g.metrics.count,
		Ends:     g.endsAt,
		Register: g.register, Trials: g.node, Spread: g.node.SpreadCrashes, AwaitInformed: g.node.AwaitInformed,
	})
	g.front = front.New(front.Options{
		Dialect: d, Carrier: g.carrier, Budget: g.budget, Limits: g.node, View: g.node.Snapshot,
		ConfigAge: g.node.ConfigAge, InForce: s.Store.inForce(), Refresh: g.node.Refresh, RequestArrived: g.node.RequestArrived, Memory: g.memory,
		Log: log, Count: g.metrics.count, Observe: g.metrics.observe, Limited: g.metrics.limited,
	})
	return g
}

// peerLimits keep connections between instances responsive: one that fell silent is given up
// within a second. An instance that was away is called again with the next heartbeat but one:
// it waits half a second for the word of its peers before it sends anything.
var peerLimits = peer.Limits{
	Dial: 500 * time.Millisecond, Hello: 700 * time.Millisecond, Call: time.Second, Write: time.Second,
	BackoffMin: 100 * time.Millisecond, BackoffMax: 300 * time.Millisecond, Frame: 4 << 20,
}

// load is this instance's part of its heartbeats.
func (g *Service) load() fleet.Load {
	l := fleet.Load{InFlight: map[ident.UpstreamID]fleet.InFlight{}, Demand: map[string]fleet.Demand{}}
	now := clock.Now()
	for id, f := range g.books.Own(now) {
		said := fleet.InFlight{Requests: f.Requests, Tokens: f.Tokens, Unexplained: f.Unexplained, Pace: f.Pace}
		if f.Memory != (schedule.Forecast{}) {
			said.Memory = f.Memory[:]
		}
		l.InFlight[id] = said
	}
	l.Spent = g.budget.Spent(now)
	away := g.books.Away(now)
	l.Switching = away.Switching
	l.Refusing = map[ident.UpstreamID]int64{}
	for id, left := range away.Refusing {
		l.Refusing[id] = left.Milliseconds()
	}
	for _, name := range g.books.DemandServices() {
		n := g.books.Demand(now, name)
		l.Demand[name] = fleet.Demand{PrefillRate: n.Prefill, MemoryRate: n.Memory, StreamRate: n.Streams, RequestRate: n.Requests, Paces: n.Paces}
	}
	return l
}

// changed updates the limits for cold upstreams after a change of the view, and ends attempts at
// upstreams that have restarted.
func (g *Service) changed(s *fleet.Snapshot) {
	g.limitCold()
	if g.carrier.HasPendingAttempts() {
		g.carrier.Listed(s.All())
	}
}

// forgetGone removes the books of upstreams that are not in the snapshot.
func (g *Service) forgetGone(s *fleet.Snapshot) {
	listed := map[ident.UpstreamID]bool{}
	for _, list := range s.Upstreams {
		for _, u := range list {
			listed[u.ID] = true
		}
	}
	g.books.Keep(listed)
}

// limitCold updates the limits on this instance's request rates to cold upstreams.
func (g *Service) limitCold() {
	g.books.SetCold(g.node.ColdQuotas(clock.Now()))
}

// loadChanged takes the sum of the peers' loads into the books.
func (g *Service) loadChanged(l fleet.Load, age time.Duration) {
	peers := map[ident.UpstreamID]*schedule.InFlight{}
	for id, f := range l.InFlight {
		in := &schedule.InFlight{Requests: f.Requests, Tokens: f.Tokens, Unexplained: f.Unexplained, Pace: f.Pace}
		in.Memory.Add(f.Memory)
		peers[id] = in
	}
	away := schedule.Away{Refusing: map[ident.UpstreamID]time.Duration{}, Switching: l.Switching}
	for id, left := range l.Refusing {
		away.Refusing[id] = time.Duration(left) * time.Millisecond
	}
	paces := map[string]schedule.Paces{}
	for service, d := range l.Demand {
		paces[service] = d.Paces
	}
	now := clock.Now()
	for service, d := range l.Demand {
		g.books.SetOffered(service, d.RequestRate)
	}
	g.books.SetPaces(paces)
	g.books.SetFleet(g.node.Alive(), age)
	g.books.SetPeers(now, peers)
	g.books.SetAway(now, away)
	g.budget.SetOthers(now, l.Spent)
}

// ListenError reports an address that can't be opened.
type ListenError struct {
	What, Address string
	Err           error
}

// Error implements error.
func (e *ListenError) Error() string { return e.What + " on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the network's error.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen implements process.Service.
func (g *Service) Listen() error {
	for _, l := range []struct {
		what, address string
		into          *net.Listener
	}{
		{"callers", g.settings.Listen.Callers, &g.callers},
		{"ready", g.settings.Listen.Ready, &g.ready},
		{"peers", g.settings.Listen.Peers, &g.control},
		{"metrics", g.settings.Listen.Metrics, &g.scrape},
	} {
		if l.address == "" {
			continue
		}
		var err error
		if *l.into, err = net.Listen("tcp", l.address); err != nil {
			return &ListenError{What: l.what, Address: l.address, Err: err}
		}
	}
	return nil
}

// Serve implements process.Service. When ctx ends it stops gracefully: not ready
// first, then no new connections, and out when the last request is answered or
// the grace period nearly over.
func (g *Service) Serve(ctx context.Context) error {
	g.log.Info("started", "zone", g.settings.Zone, "callers", g.settings.Listen.Callers, "seeds", g.settings.Seeds)
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { g.watch(background) })
	running.Go(func() { g.servePeers() })
	ready := &http.Server{Handler: g.readyRoutes(), ReadHeaderTimeout: headerTimeout}
	running.Go(func() { g.serve(ready, g.ready, "ready") })
	scrape := &http.Server{Handler: g.metrics.routes(g.register, g.node.Limits), ReadHeaderTimeout: headerTimeout}
	if g.scrape != nil {
		running.Go(func() { g.serve(scrape, g.scrape, "metrics") })
	}
	serving, end := context.WithCancelCause(context.Background())
	defer end(nil)
	callers := &http.Server{
		BaseContext: func(net.Listener) context.Context { return serving },
		Handler:     g.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	running.Go(func() { g.serve(callers, g.callers, "callers") })
	<-ctx.Done()
	exit, done := g.shutdown(callers, end)
	defer done()
	stop()
	g.closeServer(ready)
	g.closeServer(scrape)
	g.closePeers()
	running.Wait()
	g.carrier.Close(exit)
	g.dialect.Close()
	g.metrics.close()
	g.log.Info("stopped")
	return nil
}

// watch keeps the view up to date and looks after the engines until ctx ends.
func (g *Service) watch(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { g.node.Run(ctx) })
	running.Go(func() { g.giveOrders(ctx) })
	running.Go(func() { g.gatherReports(ctx) })
	running.Go(func() { g.migrate(ctx) })
	running.Wait()
}

// endsAt returns when the instance ends the requests that are left, once its stop has begun.
func (g *Service) endsAt() (time.Time, bool) {
	if at := g.ends.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// shutdown stops taking requests and waits for those in progress. At the end of the grace time
// it ends what is left by end: requests without a part of an answer are told what became of
// them, the others are broken off. The returned context ends when nothing may be waited for any
// more: a process that is killed at work leaves more behind than one that exits.
func (g *Service) shutdown(callers *http.Server, end context.CancelCauseFunc) (exit context.Context, done context.CancelFunc) {
	began := clock.Now()
	grace := time.Duration(g.settings.Stop.GraceSeconds * float64(time.Second))
	last := began.Add(grace - stopReserve)
	g.log.Info("stopping", "active", g.front.Active(), "grace_ms", grace.Milliseconds())
	g.ends.Store(&last)
	g.front.CloseConnections()
	g.node.Leave()
	pause.For(context.Background(), min(announceTime, grace/2))
	if err := shutdownWithin(callers, clock.Until(last)); err != nil {
		g.log.Warn("requests broken off by the stop", "active", g.front.Active(), "error", err)
		end(&carry.StoppedError{})
		if err := shutdownWithin(callers, tellTime); err != nil {
			g.log.Debug("requests not told of the stop", "error", err)
		}
		g.closeServer(callers)
	}
	return context.WithTimeout(context.Background(), clock.Until(began.Add(grace-exitReserve)))
}

// shutdownWithin has a server take no more connections and waits for its requests.
func shutdownWithin(s *http.Server, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return s.Shutdown(ctx)
}

// stopping reports whether the stop has begun. It is one state with the closing of callers'
// connections: whoever is told that this instance is not ready finds that an answer ends
// its connection.
func (g *Service) stopping() bool { return g.front.Closing() }

// serve runs an HTTP server until it is closed.
func (g *Service) serve(s *http.Server, l net.Listener, what string) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("server ended", "server", what, "error", err)
	}
}

// closeServer closes a server at once.
func (g *Service) closeServer(s *http.Server) {
	if err := s.Close(); err != nil {
		g.log.Debug("close", "error", err)
	}
}

// servePeers answers peers until closed.
func (g *Service) servePeers() {
	if err := g.peers.Serve(g.control); err != nil && !g.stopping() {
		g.log.Error("server ended", "server", "peers", "error", oops.Wrap(err))
	}
}

// closePeers ends the connections between instances.
func (g *Service) closePeers() {
	g.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), peersTime)
	defer cancel()
	if err := g.peers.Shutdown(ctx); err != nil {
		g.log.Debug("peers not waited for", "error", err)
	}
}

// readyRoutes answers the balancer, on any path: deployments name it themselves.
func (g *Service) readyRoutes() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if g.stopping() || !g.node.Snapshot().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// Reload takes in changed settings: the addresses of seeds.
func (g *Service) Reload(s *Settings) {
	g.node.SetSeeds(s.Seeds)
	g.log.Info("settings reloaded", "seeds", s.Seeds)
}
