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
	"golang.org/x/sync/errgroup"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/front"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/reach"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes bound callers' connections. They are higher
	// than the limits in the configurations, which are 3 s, 15 s and 16 KiB.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// lameDuckTime is how long a stopping instance still accepts connections. The load balancer
	// checks readiness once a second and stops sending connections after the second failed check.
	lameDuckTime = 3 * time.Second
	// stopReserve is what is left of the grace period when the remaining requests are ended.
	// exitReserve is what is left of it when the instance stops waiting for anything.
	stopReserve = 400 * time.Millisecond
	exitReserve = 100 * time.Millisecond
	// finalAnswerTime is the time for answering the requests that the stop ended before any part of
	// an answer was sent.
	finalAnswerTime = 100 * time.Millisecond
	// bufferMemoryShare is the fraction of the process's memory available to buffered
	// request bodies and answers.
	bufferMemoryShare = 0.25
	// peerShutdownTimeout bounds the wait for running calls of peers when the instance stops.
	peerShutdownTimeout = 100 * time.Millisecond
)

// Service is one instance of the gateway. It implements process.Service.
type Service struct {
	settings  *Settings
	log       *slog.Logger
	dialect   dialect.Dialect
	node      *fleet.Node
	scheduler *schedule.Scheduler
	budget    *schedule.Budget
	register  *quarantine.Register
	memory    *memory.Budget
	forwarder *carry.Forwarder
	admission *admission.Controller
	reach     *reach.Monitor
	relay     *relay.Client
	front     *front.Front
	metrics   *counters
	pool      *peer.Pool
	peers     *peer.Server
	// stopDeadline is when a stopping instance ends the remaining requests; nil until the stop
	// begins.
	stopDeadline atomic.Pointer[time.Time]

	// The listeners for callers, readiness checks, peers, relayed requests and metrics; relayListener
	// and metricsListener are nil if no relayed requests or no metrics are served.
	callerListener, readyListener, peerListener, relayListener, metricsListener net.Listener
}

// New returns a service. It opens no listeners and no connections; Listen and Serve do.
func New(s *Settings, d dialect.Dialect, source dialect.Source, log *slog.Logger) *Service {
	return newService(s, d, source, log, nil)
}

// newService is like New but takes a dialer for connections to peers. If it is nil, the network is
// used.
func newService(s *Settings, d dialect.Dialect, source dialect.Source, log *slog.Logger, dialer peer.Dialer) *Service {
	log = log.With("instance", s.Instance)
	g := &Service{settings: s, log: log, dialect: d, metrics: newCounters(), register: quarantine.NewRegister()}
	g.scheduler = schedule.NewScheduler(s.Zone, rand.Uint64())
	g.admission = admission.New(rand.Uint64())
	g.memory = memory.NewBudget(int64(bufferMemoryShare * float64(s.MemoryMB<<20)))
	incarnation := ident.NewIncarnation(time.Now())
	config := peer.Config{
		Self: peer.Identity{Instance: s.Instance, Incarnation: incarnation, Zone: s.Zone},
		// The store does not list the instances, so every peer that connects is accepted.
		Allow:  func(peer.Identity) bool { return true },
		Limits: peerLimits, Dialer: dialer,
		Log: log,
	}
	g.pool = peer.NewPool(config)
	config.Limits.Connections = s.peerConnections()
	g.peers = peer.NewServer(config)
	g.node = fleet.NewNode(fleet.Options{
		Self:  fleet.Member{ID: s.Instance, Zone: s.Zone, Address: s.Listen.Peers, Incarnation: incarnation},
		Seeds: s.Seeds,
		Zones: s.Zones, LinkMbps: s.LinkMbps,
		Source: source, Engines: d, ChangeDeadline: s.Store.maxChangeDelay(), Pool: g.pool, Server: g.peers, Log: log,
		Load: g.load, Changed: g.viewChanged, LoadChanged: g.loadChanged, Register: g.register, Count: g.metrics.count,
	})
	g.reach = reach.NewMonitor(reach.Options{
		Upstreams: g.listed,
		Check:     d.CheckReachable,
		Confirmed: func(service string) { g.scheduler.ConfirmRefusals(clock.Now(), service) },
		Restored:  func(service string) { g.scheduler.ReadmitAll(clock.Now(), service) },
		Log:       log, Count: g.metrics.count,
	})
	g.budget = schedule.NewBudget(clock.Now(), s.Retries.budget(), g.node.Sharers)
	g.relay = g.newRelayClient(dialer)
	peer.Handle(g.peers, relay.MethodOffer, g.onRelayOffer)
	g.forwarder = carry.New(carry.Options{
		Dialect: d, Scheduler: g.scheduler, Budget: g.budget, Zone: s.Zone, RegionOf: s.regionOf, View: g.node.Snapshot, Log: log, Count: g.metrics.count,
		StopDeadline: g.requestDeadline,
		Register:     g.register, Trials: g.node, NotifyPeers: g.node.SpreadCrashes, AwaitInformed: g.node.AwaitInformed,
		PathWorks:  g.reach.Confirm,
		Relay:      relaying{g.relay, g.reach},
		RateLimits: g.node, Origins: g.node, Admission: g.admission, ObserveStay: g.metrics.observeStay,
	})
	d.OnNotice(g.observeNotice)
	d.OnDial(g.reach.RecordDial)
	g.front = front.New(front.Options{
		Dialect: d, Forwarder: g.forwarder, Budget: g.budget, Limits: g.node, View: g.node.Snapshot,
		ConfigAge: g.node.ConfigAge, MaxConfigAge: s.Store.maxChangeDelay(), Refresh: g.node.RequestRead, RequestArrived: g.node.RequestArrived, Memory: g.memory,
		Log: log, Count: g.metrics.count, ObserveRequest: g.metrics.observeRequest, CountLimitUnits: g.metrics.countLimitUnits,
	})
	return g
}

// peerLimits keep connections between instances responsive: a connection that has fallen silent
// is given up within a second. The back-off is short enough for an instance that was unavailable to
// be called again by the second heartbeat, because it waits only half a second for the state of its
// peers before it sends anything to upstreams.
var peerLimits = peer.Limits{
	Dial: 500 * time.Millisecond, Hello: 700 * time.Millisecond, Call: time.Second, Write: time.Second,
	BackoffMin: 100 * time.Millisecond, BackoffMax: 300 * time.Millisecond, Frame: 4 << 20,
}

// load returns the load that this instance reports to its peers.
func (g *Service) load() fleet.Load {
	l := fleet.Load{Complete: true, InFlight: map[ident.UpstreamID]fleet.InFlight{}, Demand: map[string]fleet.Demand{}}
	now := clock.Now()
	for id, f := range g.scheduler.OwnLoad(now) {
		reported := fleet.InFlight{Requests: f.Requests, Tokens: f.Tokens, UnaccountedMemory: f.UnaccountedMemory, ThroughputBucket: f.ThroughputBucket}
		if f.Memory != (schedule.Forecast{}) {
			reported.Memory = f.Memory[:]
		}
		l.InFlight[id] = reported
	}
	l.Retries = g.budget.Spent(now)
	unavailable := g.scheduler.OwnUnavailable(now)
	l.Switching = unavailable.PendingStages
	l.Unavailable = map[ident.UpstreamID]int64{}
	for id, remaining := range unavailable.Rejecting {
		l.Unavailable[id] = remaining.Milliseconds()
	}
	l.Limits = map[ident.UpstreamID]fleet.RateLimit{}
	for id, r := range g.scheduler.OwnLimits(now) {
		l.Limits[id] = fleet.RateLimit{Incarnation: r.Incarnation, Rate: r.Rate, Ended: r.Ended, AgeMS: r.Age.Milliseconds()}
	}
	l.Leaving = g.node.OwnAnnouncements(now)
	l.Queues = g.admission.Report(now)
	l.Paces = map[ident.UpstreamID]fleet.Pace{}
	for id, t := range g.scheduler.OwnTokenTimes(now) {
		l.Paces[id] = fleet.Pace{Bucket: t.Bucket, Incarnation: t.Incarnation}
	}
	for _, name := range g.scheduler.DemandServices() {
		n := g.scheduler.Demand(now, name)
		l.Demand[name] = fleet.Demand{PrefillRate: n.Prefill, MemoryRate: n.Memory, StreamRate: n.Streams, RequestRate: n.Requests, Throughputs: n.Throughputs}
	}
	return l
}

// viewChanged is called after each change of the view. It updates the request rate limits for cold
// upstreams and ends attempts at upstreams that have restarted.
func (g *Service) viewChanged(s *fleet.Snapshot) {
	g.updateColdQuotas()
	g.admission.SetInstances(g.node.Alive())
	if g.forwarder.HasPendingAttempts() {
		g.forwarder.ObserveUpstreams(s.All())
	}
}

// forgetUnlisted removes the state of upstreams that are not in the snapshot.
func (g *Service) forgetUnlisted(s *fleet.Snapshot) {
	listed := map[ident.UpstreamID]bool{}
	for _, list := range s.Upstreams {
		for _, u := range list {
			listed[u.ID] = true
		}
	}
	g.scheduler.RemoveUnlisted(listed)
}

// updateColdQuotas updates this instance's request rate limits for cold upstreams.
func (g *Service) updateColdQuotas() {
	g.scheduler.SetCold(g.node.ColdQuotas(clock.Now()))
}

// loadChanged records the sum of the peers' loads. age is how old they are on average.
func (g *Service) loadChanged(l fleet.Load, age time.Duration) {
	peers := map[ident.UpstreamID]*schedule.InFlight{}
	for id, f := range l.InFlight {
		in := &schedule.InFlight{Requests: f.Requests, Tokens: f.Tokens, UnaccountedMemory: f.UnaccountedMemory, ThroughputBucket: f.ThroughputBucket}
		in.Memory.Add(f.Memory)
		peers[id] = in
	}
	unavailable := schedule.UnavailableEngines{Rejecting: map[ident.UpstreamID]time.Duration{}, PendingStages: l.Switching}
	for id, remaining := range l.Unavailable {
		unavailable.Rejecting[id] = time.Duration(remaining) * time.Millisecond
	}
	throughputs := map[string]schedule.ThroughputHistogram{}
	for service, d := range l.Demand {
		throughputs[service] = d.Throughputs
	}
	now := clock.Now()
	rates := map[string]float64{}
	for service, d := range l.Demand {
		g.scheduler.SetOfferedRate(service, d.RequestRate)
		rates[service] = d.RequestRate
	}
	g.admission.SetPeers(now, admission.Peers{Instances: g.node.Alive(), Age: age, Queues: l.Queues, Rates: rates})
	paces := map[ident.UpstreamID]schedule.TokenTime{}
	for id, p := range l.Paces {
		paces[id] = schedule.TokenTime{Bucket: p.Bucket, Incarnation: p.Incarnation}
	}
	g.scheduler.SetPeerTokenTimes(now, paces)
	g.scheduler.SetThroughputHistograms(throughputs)
	g.scheduler.SetFleetSize(g.node.Alive(), age)
	g.scheduler.SetPeers(now, peers)
	for _, id := range g.scheduler.SetPeersUnavailable(now, unavailable) {
		g.metrics.count("engine_left_out_by_peers")
		g.log.Info("engine left out on the word of peers", "upstream", id, "for_ms", l.Unavailable[id], "report_age_ms", age.Milliseconds())
	}
	g.budget.SetOthersSpent(now, l.Retries)
	g.setPeerLimits(now, l.Limits)
	for id, incarnation := range l.Leaving {
		g.node.AnnounceLeaving(dialect.Upstream{ID: id, Incarnation: incarnation}, false)
	}
}

// ListenError reports an address at which the service could not listen.
type ListenError struct {
	// Listener names the listener, as the settings do.
	Listener, Address string
	Err               error
}

// Error implements error.
func (e *ListenError) Error() string { return e.Listener + " on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the error of the network.
func (e *ListenError) Unwrap() error { return e.Err }

// Listen implements process.Service. It opens all listeners that have an address. Errors are of
// type *ListenError.
func (g *Service) Listen() error {
	for _, l := range []struct {
		what, address string
		into          *net.Listener
	}{
		{"callers", g.settings.Listen.Callers, &g.callerListener},
		{"ready", g.settings.Listen.Ready, &g.readyListener},
		{"peers", g.settings.Listen.Peers, &g.peerListener},
		{"relay", g.settings.Listen.Relay, &g.relayListener},
		{"metrics", g.settings.Listen.Metrics, &g.metricsListener},
	} {
		if l.address == "" {
			continue
		}
		var err error
		if *l.into, err = net.Listen("tcp", l.address); err != nil {
			return &ListenError{Listener: l.what, Address: l.address, Err: err}
		}
	}
	return nil
}

// Serve implements process.Service. When ctx ends it stops gracefully: it first reports that it is
// not ready, then accepts no more connections, and returns when the last request is answered or
// the grace period is nearly over.
func (g *Service) Serve(ctx context.Context) error {
	g.log.Info("started", "zone", g.settings.Zone, "callers", g.settings.Listen.Callers, "seeds", g.settings.Seeds)
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { g.runBackground(background) })
	running.Go(func() { g.servePeers() })
	ready := &http.Server{Handler: g.readyRoutes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxOwnHeaderBytes}
	running.Go(func() { g.serveGuarded(ready, g.readyListener, ownShare, "ready") })
	metricsServer := &http.Server{Handler: g.metrics.handler(g.register, g.node.Limits, g.scheduler, g.admission), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxOwnHeaderBytes}
	if g.metricsListener != nil {
		running.Go(func() { g.serveGuarded(metricsServer, g.metricsListener, ownShare, "metrics") })
	}
	serving, end := context.WithCancelCause(context.Background())
	defer end(nil)
	callers := &http.Server{
		BaseContext: func(net.Listener) context.Context { return serving },
		Handler:     g.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	running.Go(func() { g.serveGuarded(callers, g.callerListener, callerShare, "callers") })
	relayed := &http.Server{
		BaseContext: func(net.Listener) context.Context { return serving },
		Handler:     http.HandlerFunc(g.front.ServeRelayed), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxOwnHeaderBytes,
		ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	if g.relayListener != nil {
		running.Go(func() { g.serveGuarded(relayed, g.relayListener, relayShare, "relay") })
	}
	<-ctx.Done()
	exit, done := g.shutdown([]*http.Server{callers, relayed}, end)
	defer done()
	stop()
	g.closeServer(ready)
	g.closeServer(metricsServer)
	g.closePeers()
	running.Wait()
	g.forwarder.Close(exit)
	g.relay.Close()
	g.dialect.Close()
	g.metrics.close()
	g.log.Info("stopped")
	return nil
}

// runBackground runs the background work until ctx ends: it keeps the view up to date, assigns
// engines to stages, polls them for their load and migrates streams.
func (g *Service) runBackground(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { g.node.Run(ctx) })
	running.Go(func() { g.reach.Run(ctx) })
	running.Go(func() { g.orderStages(ctx) })
	running.Go(func() { g.pollReports(ctx) })
	running.Go(func() { g.migrate(ctx) })
	running.Go(func() { g.node.ShareOrigins(ctx) })
	running.Wait()
}

// requestDeadline returns when the instance ends the remaining requests. It returns false until the
// stop has begun.
func (g *Service) requestDeadline() (time.Time, bool) {
	if at := g.stopDeadline.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}

// shutdown stops accepting requests and waits for those in progress. Near the end of the grace
// period it calls end to end the remaining ones: callers that have not received any part of an
// answer are told whether their request ran, the other answers break off. The returned context
// ends when the process must exit without waiting for anything else, because a process that is
// killed while it works leaves more unfinished than one that exits.
func (g *Service) shutdown(servers []*http.Server, end context.CancelCauseFunc) (exit context.Context, done context.CancelFunc) {
	began := clock.Now()
	grace := time.Duration(g.settings.Stop.GraceSeconds * float64(time.Second))
	deadline := began.Add(grace - stopReserve)
	g.log.Info("stopping", "active", g.front.Active(), "grace_ms", grace.Milliseconds())
	g.stopDeadline.Store(&deadline)
	g.front.CloseConnections()
	g.node.Leave()
	pause.For(context.Background(), min(lameDuckTime, grace/2))
	if err := shutdownWithin(servers, clock.Until(deadline)); err != nil {
		g.log.Warn("requests broken off by the stop", "active", g.front.Active(), "error", err)
		end(&carry.StoppedError{})
		if err := shutdownWithin(servers, finalAnswerTime); err != nil {
			g.log.Debug("not all requests were answered at the stop", "error", err)
		}
		for _, s := range servers {
			g.closeServer(s)
		}
	}
	return context.WithTimeout(context.Background(), clock.Until(began.Add(grace-exitReserve)))
}

// shutdownWithin closes the listeners of servers and waits for their requests, but no longer than
// wait.
func shutdownWithin(servers []*http.Server, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var closing errgroup.Group
	for _, s := range servers {
		closing.Go(func() error { return s.Shutdown(ctx) })
	}
	return closing.Wait()
}

// stopping reports whether the stop has begun. It reads the same state that makes the front close
// callers' connections: once a readiness check fails, every answer closes its connection.
func (g *Service) stopping() bool { return g.front.Closing() }

// serve runs an HTTP server until it is closed. what names the server in logs.
func (g *Service) serve(s *http.Server, l net.Listener, what string) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("server failed", "server", what, "error", err)
	}
}

// closeServer closes a server and its connections without waiting for requests.
func (g *Service) closeServer(s *http.Server) {
	if err := s.Close(); err != nil {
		g.log.Debug("close", "error", err)
	}
}

// servePeers answers calls of peers until closePeers is called.
func (g *Service) servePeers() {
	if err := g.peers.Serve(g.peerListener); err != nil && !g.stopping() {
		g.log.Error("server failed", "server", "peers", "error", oops.Wrap(err))
	}
}

// closePeers closes the connections between instances. It waits for running calls of peers for
// peerShutdownTimeout at most.
func (g *Service) closePeers() {
	g.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), peerShutdownTimeout)
	defer cancel()
	if err := g.peers.Shutdown(ctx); err != nil {
		g.log.Debug("calls of peers were not finished at the stop", "error", err)
	}
}

// readyRoutes answers readiness checks of the load balancer, on any path because deployments
// choose the path. The status is 200 if the instance is ready and 503 if it is not.
func (g *Service) readyRoutes() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if g.stopping() || !g.node.Snapshot().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// Reload applies changed settings. Only changes of the seeds take effect.
func (g *Service) Reload(s *Settings) {
	g.node.SetSeeds(s.Seeds)
	g.log.Info("settings reloaded", "seeds", s.Seeds)
}
