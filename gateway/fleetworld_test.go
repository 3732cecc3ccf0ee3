package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/target"
	"github.com/wardspool/wardspool/kernel"
)

// Parameters of the engines of a simFleet. A stream of simStreamEvents events lasts two seconds,
// and an engine runs simSlots streams at a time. simPrefillTime is the duration of a prefill.
const (
	simSlots         = 12
	simStreamEvents  = 20
	simEventInterval = 100 * time.Millisecond
	simPrefillTime   = 20 * time.Millisecond
	// simCrashDelay is how long an engine runs the crashing request before it crashes,
	// simRestartTime how long it then takes to restart, and simDelistDelay how long the store still
	// lists it.
	simCrashDelay  = 100 * time.Millisecond
	simRestartTime = 3 * time.Second
	simDelistDelay = 2 * time.Second
	// simDialTimeout is how long a connection attempt to an engine that does not answer takes to
	// fail.
	simDialTimeout = 400 * time.Millisecond
)

// simFleet simulates a fleet in virtual time: complete instances that are connected by pipes, and
// engines and a store in memory. It implements dialect.Dialect. It must be created within a
// synctest bubble.
type simFleet struct {
	t         *testing.T
	random    *rand.Rand
	config    *routing.Config
	instances []*simInstance

	mu       sync.Mutex
	engines  map[string]*simEngine
	revision int64
	// evacuated are the evacuated zones.
	evacuated []ident.Zone
	// partitionedZone is the zone that a network partition separates from the other zones, "" for
	// none.
	partitionedZone ident.Zone
	// silentCrashes means that crashed engines do not refuse connections: until they have
	// restarted, nothing answers and nothing closes existing connections.
	silentCrashes bool
	// crashingSent holds the times when the crashing request reached engines, crashes those when
	// engines crashed.
	crashingSent, crashes []time.Time
	// reportRequests counts the load report requests sent to each engine, by address.
	reportRequests map[string]int
	// history holds earlier states of engines, as the store keeps them.
	history []dialect.Upstream
	// historyLost means that the store keeps no history.
	historyLost bool
	// historyReads counts the reads of the history.
	historyReads int
	// logReads counts the pages of cache logs that were read.
	logReads int
	// received holds the streams and prefills that reached engines.
	received []simRequest
	// goneSeeds is the number of seeds at which no instance listens, for instances that start.
	goneSeeds int
}

// simRequest is a stream or prefill that reached an engine.
type simRequest struct {
	at   time.Time
	zone ident.Zone
	id   ident.UpstreamID
}

// record records a stream or prefill that reached an engine. The caller holds mu.
func (w *simFleet) record(e *simEngine) {
	w.received = append(w.received, simRequest{at: time.Now(), zone: e.upstream.Zone, id: e.upstream.ID})
}

// simInstance is one instance across its restarts. It implements dialect.Source and peer.Dialer.
type simInstance struct {
	fleet   *simFleet
	id      string
	zone    ident.Zone
	address string

	mu      sync.Mutex
	service *Service
	stop    func()
	conns   []net.Conn
	// relayed accepts requests that other instances relay.
	relayed *simListener
	// storeDown makes the store reject the instance's requests.
	storeDown bool
	// storeSilent makes the instance's reads of the store that begin now end by their timeouts only.
	storeSilent bool
	// disconnected means that the instance cannot connect to any engine.
	disconnected bool
	// sent is the number of bytes that the instance has sent to other instances, loadReports the number
	// of load reports in them, and originCalls that of calls about the origins of streams.
	sent        atomic.Int64
	loadReports atomic.Int64
	originCalls atomic.Int64
}

// simEngine is an engine across its restarts.
type simEngine struct {
	upstream dialect.Upstream
	starts   int
	// downSince is when the engine crashed, zero while it runs. disconnected is closed when its
	// connections end: at the crash or, if crashed engines are silent, at the restart.
	downSince    time.Time
	disconnected chan struct{}
	running      int
	reservations int
	// log holds the changes of the engine's cache, requests the events of running requests by attempt.
	log      []dialect.CacheEntry
	requests map[string]int
	// ordered means that the engine has accepted an order since its start.
	ordered bool
}

// newSimFleet starts a fleet and waits until all instances are ready and know each other. prefill
// and decode are the numbers of engines.
func newSimFleet(t *testing.T, instances, zones, prefill, decode int) *simFleet {
	t.Helper()
	w := &simFleet{t: t, random: rand.New(rand.NewPCG(5, uint64(instances))), engines: map[string]*simEngine{}}
	w.config = &routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name: "stream", Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: 14 * time.Second, Objective: 900 * time.Millisecond,
			PaceObjective: 300 * time.Millisecond, Resumable: true, MaxAttempts: 2, Services: []routing.WeightedService{{Service: "llm", Weight: 1}},
		}},
		Services: map[string]routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{
			Slots: simSlots, KVTokens: 90000, TokensPerEvent: 64, HandleTTL: time.Second, ReservationTTL: time.Second,
		}}},
	}
	for i := range prefill + decode {
		stage := dialect.StageDecode
		if i < prefill {
			stage = dialect.StagePrefill
		}
		e := &simEngine{upstream: dialect.Upstream{Service: "llm", Address: fmt.Sprintf("e%d:1", i), Zone: zoneOf(i, zones), Stage: stage, Slots: simSlots}}
		w.engines[e.upstream.Address] = e
		w.startEngine(e)
	}
	for i := range instances {
		w.instances = append(w.instances, &simInstance{fleet: w, id: fmt.Sprintf("i%d", i), zone: zoneOf(i, zones), address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1)})
	}
	for _, i := range w.instances {
		i.start()
	}
	w.await("all instances are ready and know each other", func() bool {
		for _, i := range w.instances {
			s := i.running()
			if s.node.Alive() != instances || !s.node.Snapshot().Ready() || !s.node.Informed() {
				return false
			}
		}
		return true
	})
	return w
}

// zoneOf returns the zone of the i-th instance or engine: "a", "b" and so on in turn.
func zoneOf(i, zones int) ident.Zone { return ident.Zone(string(rune('a' + i%zones))) }

// await lets time pass until a condition holds, for 30 s at most. what describes the condition.
func (w *simFleet) await(what string, holds func() bool) {
	w.t.Helper()
	for range 300 {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("condition not met within 30 s: %s", what)
}

// close stops all instances.
func (w *simFleet) close() {
	for _, i := range w.instances {
		i.kill()
	}
}

// start starts the instance with no state.
func (i *simInstance) start() {
	s := &Settings{Instance: ident.InstanceID(i.id), Zone: i.zone}
	s.SetDefaults()
	s.Listen.Peers, s.Listen.Relay = i.address, relayAddress(i.address)
	s.Retries.Slack = 1000
	s.Regions = map[ident.Zone]ident.Region{"a": "east", "b": "east", "c": "west"}
	for n, seed := range i.fleet.instances[:min(3, len(i.fleet.instances))] {
		if n < i.fleet.goneSeeds {
			s.Seeds = append(s.Seeds, "gone."+seed.address)
			continue
		}
		s.Seeds = append(s.Seeds, seed.address)
	}
	g := newService(s, &instanceDialect{i.fleet, i, nil}, i, slog.New(slog.DiscardHandler), i)
	listener := newSimListener()
	relayServer := &http.Server{Handler: http.HandlerFunc(g.front.ServeRelayed)}
	go func() { _ = relayServer.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		g.runBackground(ctx)
		close(done)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.service, i.relayed = g, listener
	i.stop = func() {
		cancel()
		_ = relayServer.Close()
		g.pool.Close()
		_ = g.peers.Shutdown(ctx)
		<-done
		g.metrics.close()
	}
}

// kill kills the instance. Its state is lost.
func (i *simInstance) kill() {
	i.mu.Lock()
	stop := i.stop
	conns := i.conns
	i.service, i.stop, i.conns = nil, nil, nil
	i.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	if stop != nil {
		stop()
	}
}

// restartAll kills all instances and starts them a second later.
func (w *simFleet) restartAll() {
	for _, i := range w.instances {
		i.kill()
	}
	time.Sleep(time.Second)
	for _, i := range w.instances {
		i.start()
	}
}

// running returns the running service, or nil if the instance is down.
func (i *simInstance) running() *Service {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.service
}

// errUnreachable is the error of a connection attempt to a peer that does not answer.
var errUnreachable = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}

// DialContext implements peer.Dialer.
func (i *simInstance) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	for _, o := range i.fleet.instances {
		relays := relayAddress(o.address) == address
		if o.address != address && !relays {
			continue
		}
		if i.fleet.separated(i.zone, o.zone) {
			<-ctx.Done()
			return nil, errUnreachable
		}
		s := o.running()
		if s == nil {
			// The process is down, but its machine still refuses connections.
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		near, far := net.Pipe()
		near = &countedConn{Conn: near, sender: i}
		far = &countedConn{Conn: far, sender: o}
		if relays {
			o.relayed.serve(far)
		} else {
			go s.peers.ServeConn(far)
		}
		for _, end := range []*simInstance{i, o} {
			end.mu.Lock()
			end.conns = append(end.conns, near)
			end.mu.Unlock()
		}
		return near, nil
	}
	return nil, errUnreachable
}

// relayAddress returns the address at which the instance with the given address for peers accepts
// relayed requests.
func relayAddress(address string) string { return "relay." + address }

// simListener accepts connections that serve passes to it.
type simListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newSimListener() *simListener {
	return &simListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// serve passes a connection to the listener, or closes it if the listener is closed.
func (l *simListener) serve(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *simListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *simListener) Addr() net.Addr { return &net.TCPAddr{} }

// separated reports whether two zones cannot reach each other.
func (w *simFleet) separated(a, b ident.Zone) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.partitionedZone == a || w.partitionedZone == b)
}

// partitionZone separates a zone from the others by a network partition and closes all connections
// between instances. With "" it reconnects all zones.
func (w *simFleet) partitionZone(zone ident.Zone) {
	w.mu.Lock()
	w.partitionedZone = zone
	w.mu.Unlock()
	for _, i := range w.instances {
		i.mu.Lock()
		conns := i.conns
		i.conns = nil
		i.mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// startEngine starts the next incarnation of an engine.
func (w *simFleet) startEngine(e *simEngine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.disconnected != nil && w.silentCrashes {
		close(e.disconnected)
	}
	e.starts++
	e.upstream.ID = ident.UpstreamID(fmt.Sprintf("%s.%d", e.upstream.Address, e.starts))
	e.log, e.requests = nil, nil
	e.downSince, e.disconnected, e.running, e.reservations = time.Time{}, make(chan struct{}), 0, 0
	w.revision++
}

// crash crashes an engine if the given incarnation is still running, and restarts it after
// simRestartTime.
func (w *simFleet) crash(e *simEngine, id ident.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.upstream.ID != id || !e.downSince.IsZero() {
		return
	}
	e.downSince = time.Now()
	w.crashes = append(w.crashes, e.downSince)
	if !w.silentCrashes {
		close(e.disconnected)
	}
	w.revision++
	time.AfterFunc(simRestartTime, func() { w.startEngine(e) })
}

// crashNow crashes the engine at an address.
func (w *simFleet) crashNow(address string) {
	w.mu.Lock()
	e := w.engines[address]
	id := e.upstream.ID
	w.mu.Unlock()
	w.crash(e, id)
}

// crashCounts returns how often the crashing request reached engines, and how many engines crashed.
func (w *simFleet) crashCounts() (sent, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.crashingSent), len(w.crashes)
}

// crashingSentAfter returns how often the crashing request reached engines after a time.
func (w *simFleet) crashingSentAfter(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.crashingSent {
		if at.After(t) {
			n++
		}
	}
	return n
}

// storeError returns the error with which the store rejects the instance, nil if it does not.
func (i *simInstance) storeError() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeDown {
		return &dialect.StatusError{Op: "store", Status: http.StatusServiceUnavailable}
	}
	return nil
}

// storeSilence blocks until ctx ends if the store is silent.
func (i *simInstance) storeSilence(ctx context.Context) error {
	i.mu.Lock()
	silent := i.storeSilent
	i.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Directives implements dialect.Source.
func (i *simInstance) Directives(ctx context.Context) (dialect.Directives, error) {
	if err := i.storeError(); err != nil {
		return dialect.Directives{}, err
	}
	if err := i.storeSilence(ctx); err != nil {
		return dialect.Directives{}, err
	}
	return i.fleet.Directives(ctx)
}

// Upstreams implements dialect.Source.
func (i *simInstance) Upstreams(ctx context.Context, further func() bool) ([]dialect.Upstream, int64, error) {
	if err := i.storeError(); err != nil {
		return nil, 0, err
	}
	if err := i.storeSilence(ctx); err != nil {
		return nil, 0, err
	}
	return i.fleet.Upstreams(ctx, further)
}

// Changes implements dialect.Source. The store keeps no history, so each change requires a new
// list.
func (i *simInstance) Changes(ctx context.Context, after int64) (dialect.Changes, error) {
	if err := i.storeError(); err != nil {
		return dialect.Changes{}, err
	}
	if err := i.storeSilence(ctx); err != nil {
		return dialect.Changes{}, err
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if i.fleet.revision != after {
		return dialect.Changes{}, &dialect.HistoryLostError{After: after}
	}
	return dialect.Changes{Revision: after, Next: after}, nil
}

// History implements dialect.Source.
func (i *simInstance) History(context.Context, int64) (dialect.History, error) {
	if err := i.storeError(); err != nil {
		return dialect.History{}, err
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.fleet.historyReads++
	return dialect.History{States: slices.Clone(i.fleet.history), Kept: !i.fleet.historyLost}, nil
}

// Directives returns the directives in the store.
func (w *simFleet) Directives(context.Context) (dialect.Directives, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return dialect.Directives{Config: w.config, Evacuation: routing.Evacuation{Revision: w.revision, Zones: w.evacuated}}, nil
}

// Upstreams returns the engines that the store lists, and its revision.
func (w *simFleet) Upstreams(context.Context, func() bool) ([]dialect.Upstream, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []dialect.Upstream
	for _, e := range w.engines {
		if e.downSince.IsZero() || time.Since(e.downSince) < simDelistDelay {
			list = append(list, e.upstream)
		}
	}
	return list, w.revision, nil
}

// connectionRefused returns the error of a connection attempt to an address at which nothing
// listens.
func connectionRefused() error {
	return &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: syscall.ECONNREFUSED}
}

// dialEngine returns the error of a connection attempt to an engine that has crashed, or nil if the
// engine runs. If crashed engines are silent, the attempt takes simDialTimeout.
func (w *simFleet) dialEngine(ctx context.Context, address string) error {
	w.mu.Lock()
	_, ok := w.engineAt(address)
	silent := w.silentCrashes
	w.mu.Unlock()
	switch {
	case ok:
		return nil
	case !silent:
		return connectionRefused()
	}
	select {
	case <-ctx.Done():
	case <-time.After(simDialTimeout):
	}
	return &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: syscall.ETIMEDOUT}
}

// engineAt returns the engine at an address, and false if it is not running. The caller holds mu.
func (w *simFleet) engineAt(address string) (*simEngine, bool) {
	e := w.engines[address]
	return e, e != nil && e.downSince.IsZero()
}

// Read implements dialect.Dialect.
func (w *simFleet) Read(r *http.Request) (*dialect.Call, error) {
	c := &dialect.Call{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Host: r.Host, Target: target.Target(r.URL.RequestURI()), Header: r.Header,
		CallerTimeout: callerTimeout, LastEvent: r.Header.Get("Last-Event-Id"), PromptTokens: 2000, OutputEstimate: 64 * simStreamEvents, MaxOutputTokens: 64 * simStreamEvents,
	}
	if timeout, err := time.ParseDuration(r.Header.Get(simTimeoutHeader)); err == nil {
		c.CallerTimeout = timeout
	}
	c.ReceivedEvents, _ = strconv.Atoi(c.LastEvent)
	c.SharedPromptParts = r.Header.Values(simPartHeader)
	return c, nil
}

// Do implements dialect.Dialect.
func (w *simFleet) Do(ctx context.Context, c *dialect.Call, s dialect.Send) (*http.Response, dialect.Verdict, error) {
	if err := w.dialEngine(ctx, s.To.Address); err != nil {
		return nil, 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.engineAt(s.To.Address)
	switch {
	case !ok:
		return nil, 0, connectionRefused()
	case e.upstream.ID != s.To.ID:
		return &http.Response{StatusCode: http.StatusMisdirectedRequest, Body: http.NoBody}, dialect.WrongUpstream, nil
	case e.running >= simSlots:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, dialect.Refused, nil
	}
	if s.Reservation != "" {
		e.reservations = max(0, e.reservations-1)
	}
	e.running++
	w.record(e)
	r := &simStream{ctx: ctx, fleet: w, engine: e, disconnected: e.disconnected, id: e.upstream.ID}
	last := s.LastEvent
	if last == "" {
		last = c.LastEvent
	}
	r.sent, _ = strconv.Atoi(last)
	if string(c.Body) == crashingPrompt || slices.Contains(c.SharedPromptParts, crashingPart) {
		r.crashing = true
		w.crashingSent = append(w.crashingSent, time.Now())
		time.AfterFunc(simCrashDelay, func() { w.crash(e, r.id) })
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: r}, dialect.Success, nil
}

// simStream is the response body of a stream that an engine runs.
type simStream struct {
	ctx          context.Context
	fleet        *simFleet
	engine       *simEngine
	disconnected chan struct{}
	id           ident.UpstreamID
	crashing     bool
	sent         int
	closed       bool
}

// Read implements io.Reader. Each call returns one event, simEventInterval after the previous one.
func (r *simStream) Read(p []byte) (int, error) {
	if r.sent >= simStreamEvents {
		return 0, io.EOF
	}
	wait := time.NewTimer(simEventInterval)
	defer wait.Stop()
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-r.disconnected:
		return 0, io.ErrUnexpectedEOF
	case <-wait.C:
	}
	if r.crashing {
		// A crashing request crashes its engine before the first event.
		select {
		case <-r.ctx.Done():
			return 0, r.ctx.Err()
		case <-r.disconnected:
			return 0, io.ErrUnexpectedEOF
		}
	}
	r.sent++
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", r.sent)), nil
}

// Close implements io.Closer.
func (r *simStream) Close() error {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if !r.closed && r.engine.upstream.ID == r.id {
		r.engine.running--
	}
	r.closed = true
	return nil
}

// Prefill implements dialect.Dialect.
func (w *simFleet) Prefill(ctx context.Context, _ *dialect.Call, s dialect.Send) (dialect.Handle, error) {
	select {
	case <-ctx.Done():
		return dialect.Handle{}, ctx.Err()
	case <-time.After(simPrefillTime):
		w.mu.Lock()
		defer w.mu.Unlock()
		if e, ok := w.engineAt(s.To.Address); ok {
			w.record(e)
		}
		return dialect.Handle{Engine: s.To.Address, ID: "h"}, nil
	}
}

// Reserve implements dialect.Dialect.
func (w *simFleet) Reserve(ctx context.Context, u dialect.Upstream, tokens int, _ time.Duration) (string, error) {
	address := u.Address
	if err := w.dialEngine(ctx, address); err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.engineAt(address)
	switch {
	case !ok:
		return "", connectionRefused()
	case e.running+e.reservations >= simSlots:
		return "", &dialect.NoCapacityError{Address: address, Tokens: tokens}
	}
	e.reservations++
	return "hold", nil
}

// Release implements dialect.Dialect.
func (w *simFleet) Release(ctx context.Context, u dialect.Upstream, _ string) error {
	address := u.Address
	if err := w.dialEngine(ctx, address); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.engineAt(address)
	if !ok {
		return connectionRefused()
	}
	e.reservations = max(0, e.reservations-1)
	return nil
}

// Report implements dialect.Dialect.
func (w *simFleet) Report(ctx context.Context, u dialect.Upstream) (dialect.Report, error) {
	if err := w.dialEngine(ctx, u.Address); err != nil {
		return dialect.Report{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportRequests == nil {
		w.reportRequests = map[string]int{}
	}
	w.reportRequests[u.Address]++
	e, ok := w.engineAt(u.Address)
	switch {
	case !ok:
		return dialect.Report{}, connectionRefused()
	case e.upstream.ID != u.ID:
		return dialect.Report{}, &dialect.ReplacedError{ID: u.ID, Address: u.Address}
	}
	return dialect.Report{Stage: e.upstream.Stage, Running: e.running}, nil
}

// The remaining methods of dialect.Dialect do nothing, except that Migrate always fails.

func (w *simFleet) ReleaseHandle(context.Context, dialect.Upstream, dialect.Handle) error { return nil }
func (w *simFleet) Migrate(context.Context, dialect.Migration) (dialect.Handle, error) {
	return dialect.Handle{}, &dialect.NotRunningError{}
}
func (w *simFleet) CheckReachable(ctx context.Context, u dialect.Upstream) error {
	return w.dialEngine(ctx, u.Address)
}
func (w *simFleet) CachedPromptParts(context.Context, dialect.Upstream) (map[string]int, error) {
	return nil, nil
}
func (w *simFleet) OnNotice(func(dialect.Notice))                   {}
func (w *simFleet) OnDial(func(dialect.Upstream, error))            {}
func (w *simFleet) Order(context.Context, dialect.Order) error      { return nil }
func (w *simFleet) WriteResponseHeaders(http.Header, *dialect.Call) {}
func (w *simFleet) NameWorkspace(*dialect.Call, string, int)        {}
func (w *simFleet) Challenge(http.Header)                           {}
func (w *simFleet) Close()                                          {}

// instanceDialect is the dialect of one instance. Its connections to engines fail while the instance
// is disconnected.
type instanceDialect struct {
	*simFleet
	instance *simInstance
	onDial   func(u dialect.Upstream, err error)
}

// setDisconnected disconnects the instance from all engines, or connects it again.
func (i *simInstance) setDisconnected(disconnected bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disconnected = disconnected
}

// dial connects to an engine.
func (d *instanceDialect) dial(ctx context.Context, u dialect.Upstream) error {
	d.instance.mu.Lock()
	disconnected := d.instance.disconnected
	d.instance.mu.Unlock()
	err := d.dialEngine(ctx, u.Address)
	if disconnected {
		err = connectionRefused()
	}
	d.onDial(u, err)
	return err
}

// OnDial implements dialect.Dialect.
func (d *instanceDialect) OnDial(f func(dialect.Upstream, error)) { d.onDial = f }

// CheckReachable implements dialect.Dialect.
func (d *instanceDialect) CheckReachable(ctx context.Context, u dialect.Upstream) error {
	return d.dial(ctx, u)
}

// Do implements dialect.Dialect.
func (d *instanceDialect) Do(ctx context.Context, c *dialect.Call, s dialect.Send) (*http.Response, dialect.Verdict, error) {
	if err := d.dial(ctx, s.To); err != nil {
		return nil, 0, err
	}
	return d.simFleet.Do(ctx, c, s)
}

// Prefill implements dialect.Dialect.
func (d *instanceDialect) Prefill(ctx context.Context, c *dialect.Call, s dialect.Send) (dialect.Handle, error) {
	if err := d.dial(ctx, s.To); err != nil {
		return dialect.Handle{}, err
	}
	return d.simFleet.Prefill(ctx, c, s)
}

// Reserve implements dialect.Dialect.
func (d *instanceDialect) Reserve(ctx context.Context, u dialect.Upstream, tokens int, ttl time.Duration) (string, error) {
	if err := d.dial(ctx, u); err != nil {
		return "", err
	}
	return d.simFleet.Reserve(ctx, u, tokens, ttl)
}

// Report implements dialect.Dialect.
func (d *instanceDialect) Report(ctx context.Context, u dialect.Upstream) (dialect.Report, error) {
	if err := d.dial(ctx, u); err != nil {
		return dialect.Report{}, err
	}
	return d.simFleet.Report(ctx, u)
}

// response is the response that a caller received. It implements http.ResponseWriter and
// http.Flusher.
type response struct {
	status int
	header http.Header
	body   strings.Builder
	// first is when the first part of the body arrived.
	first time.Time
	// broken means that the response broke off.
	broken bool
}

// Header returns the header. Like the next three methods it implements http.ResponseWriter or
// http.Flusher.
func (g *response) Header() http.Header { return g.header }
func (g *response) WriteHeader(s int)   { g.status = s }
func (g *response) Flush()              {}
func (g *response) Write(b []byte) (int, error) {
	if g.first.IsZero() {
		g.first = time.Now()
	}
	return g.body.Write(b)
}

// complete reports whether the caller received the complete stream.
func (g *response) complete() bool {
	return g.status == http.StatusOK && !g.broken && strings.Contains(g.body.String(), fmt.Sprintf("id: %d\n", simStreamEvents))
}

// send sends a caller's request to an instance and returns the response, or nil if the instance is
// down. If lastEvent is not empty, the caller resumes a stream after that event.
func (w *simFleet) send(i *simInstance, body, lastEvent string) *response {
	return w.sendPrompt(i, body, lastEvent, nil)
}

// simPartHeader holds the ID of one part of the prompt that other requests may share.
const simPartHeader = "Prompt-Part"

// sendPrompt is like send, for a request whose prompt has the given shared parts.
func (w *simFleet) sendPrompt(i *simInstance, body, lastEvent string, parts []string) *response {
	return w.sendRequest(i, simCall{id: strconv.FormatUint(rand.Uint64(), 16), body: body, lastEvent: lastEvent, parts: parts})
}

// simTimeoutHeader holds how long the caller waits.
const simTimeoutHeader = "Caller-Timeout"

// simCall is one attempt of a caller.
type simCall struct {
	id, body, lastEvent string
	parts               []string
	// timeout is how long the caller waits, 0 for callerTimeout.
	timeout time.Duration
}

// sendRequest is like send, for any attempt.
func (w *simFleet) sendRequest(i *simInstance, c simCall) *response {
	s := i.running()
	if s == nil {
		return nil
	}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/x", strings.NewReader(c.body))
	assert.NilError(w.t, err)
	r.Header.Set("Request-Id", c.id)
	if c.lastEvent != "" {
		r.Header.Set("Last-Event-Id", c.lastEvent)
	}
	if c.timeout > 0 {
		r.Header.Set(simTimeoutHeader, c.timeout.String())
	}
	r.Header[simPartHeader] = c.parts
	g := &response{header: http.Header{}}
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	g.broken = true
	s.front.ServeHTTP(g, r)
	g.broken = false
	return g
}
