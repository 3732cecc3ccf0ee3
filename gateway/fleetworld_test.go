package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
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
	"github.com/wardspool/wardspool/kernel"
)

// Parameters of the engines of a fleetWorld. A stream of worldEvents events lasts two seconds, and
// an engine runs worldSlots streams at a time. worldPrompt is the duration of a prefill.
const (
	worldSlots  = 12
	worldEvents = 20
	worldPace   = 100 * time.Millisecond
	worldPrompt = 20 * time.Millisecond
	// worldDies is how long an engine runs the crashing request before it crashes, worldBack how
	// long it then takes to restart, and worldLapse how long the store still lists it.
	worldDies  = 100 * time.Millisecond
	worldBack  = 3 * time.Second
	worldLapse = 2 * time.Second
	// worldDial is how long a connection attempt to an engine that does not answer takes to fail.
	worldDial = 400 * time.Millisecond
)

// fleetWorld simulates a fleet in virtual time: complete instances that are connected by pipes, and
// engines and a store in memory. It implements dialect.Dialect. It must be created within a
// synctest bubble.
type fleetWorld struct {
	t         *testing.T
	random    *rand.Rand
	config    *routing.Config
	instances []*worldInstance

	mu       sync.Mutex
	engines  map[string]*worldEngine
	revision int64
	// evacuated are the evacuated zones.
	evacuated []ident.Zone
	// cut is the zone whose instances are cut off from those of other zones, "" for none.
	cut ident.Zone
	// silent means that crashed engines do not refuse connections: until they have restarted,
	// nothing answers and nothing closes existing connections.
	silent bool
	// sent holds the times when the crashing request reached engines, ended those when engines
	// crashed.
	sent, ended []time.Time
	// reportRequests counts the load report requests sent to each engine, by address.
	reportRequests map[string]int
	// received holds the streams and prefills that reached engines.
	received []worldRequest
}

// worldRequest is a stream or prefill that reached an engine.
type worldRequest struct {
	at   time.Time
	zone ident.Zone
	id   ident.UpstreamID
}

// record records a stream or prefill that reached an engine. The caller holds mu.
func (w *fleetWorld) record(e *worldEngine) {
	w.received = append(w.received, worldRequest{at: time.Now(), zone: e.up.Zone, id: e.up.ID})
}

// worldInstance is one instance across its restarts. It implements dialect.Source and peer.Dialer.
type worldInstance struct {
	world   *fleetWorld
	id      string
	zone    ident.Zone
	address string

	mu      sync.Mutex
	service *Service
	stop    func()
	conns   []net.Conn
	// storeDown makes the store reject the instance's requests.
	storeDown bool
	// sent is the number of bytes that the instance has sent to other instances, and loadReports
	// the number of load reports in them.
	sent        atomic.Int64
	loadReports atomic.Int64
}

// worldEngine is an engine across its restarts.
type worldEngine struct {
	up     dialect.Upstream
	starts int
	// downSince is when the engine crashed, zero while it runs. dead is closed when its
	// connections end: at the crash or, if crashed engines are silent, at the restart.
	downSince time.Time
	dead      chan struct{}
	running   int
	holds     int
}

// newFleetWorld starts a fleet and waits until all instances are ready and know each other. prefill
// and decode are the numbers of engines.
func newFleetWorld(t *testing.T, instances, zones, prefill, decode int) *fleetWorld {
	t.Helper()
	w := &fleetWorld{t: t, random: rand.New(rand.NewPCG(5, uint64(instances))), engines: map[string]*worldEngine{}}
	w.config = &routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name: "stream", Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: 14 * time.Second, Objective: 900 * time.Millisecond,
			PaceObjective: 300 * time.Millisecond, Resumable: true, MaxAttempts: 2, Services: []routing.Weighted{{Service: "llm", Weight: 1}},
		}},
		Services: map[string]routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{
			Slots: worldSlots, KVTokens: 90000, Stride: 64, HandleTTL: time.Second, HoldTTL: time.Second,
		}}},
	}
	for i := range prefill + decode {
		stage := dialect.StageDecode
		if i < prefill {
			stage = dialect.StagePrefill
		}
		e := &worldEngine{up: dialect.Upstream{Service: "llm", Address: fmt.Sprintf("e%d:1", i), Zone: zoneOf(i, zones), Stage: stage, Slots: worldSlots}}
		w.engines[e.up.Address] = e
		w.startEngine(e)
	}
	for i := range instances {
		w.instances = append(w.instances, &worldInstance{world: w, id: fmt.Sprintf("i%d", i), zone: zoneOf(i, zones), address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1)})
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
func (w *fleetWorld) await(what string, holds func() bool) {
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
func (w *fleetWorld) close() {
	for _, i := range w.instances {
		i.end()
	}
}

// start starts the instance with no state.
func (i *worldInstance) start() {
	s := &Settings{Instance: ident.InstanceID(i.id), Zone: i.zone}
	s.SetDefaults()
	s.Listen.Peers = i.address
	s.Retries.Slack = 1000
	s.Regions = map[ident.Zone]ident.Region{"a": "east", "b": "east", "c": "west"}
	for _, seed := range i.world.instances[:min(3, len(i.world.instances))] {
		s.Seeds = append(s.Seeds, seed.address)
	}
	g := newService(s, i.world, i, slog.New(slog.DiscardHandler), i)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		g.watch(ctx)
		close(done)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.service = g
	i.stop = func() {
		cancel()
		g.pool.Close()
		_ = g.peers.Shutdown(ctx)
		<-done
		g.metrics.close()
	}
}

// end kills the instance. Its state is lost.
func (i *worldInstance) end() {
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

// running returns the running service, or nil if the instance is down.
func (i *worldInstance) running() *Service {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.service
}

// unreachable is the error of a connection attempt to a peer that does not answer.
var unreachable = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}

// DialContext implements peer.Dialer.
func (i *worldInstance) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	for _, o := range i.world.instances {
		if o.address != address {
			continue
		}
		if i.world.cutOff(i.zone, o.zone) {
			<-ctx.Done()
			return nil, unreachable
		}
		s := o.running()
		if s == nil {
			// The process is down, but its machine still refuses connections.
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		near, far := net.Pipe()
		near = &countedConn{Conn: near, sender: i}
		go s.peers.ServeConn(&countedConn{Conn: far, sender: o})
		for _, end := range []*worldInstance{i, o} {
			end.mu.Lock()
			end.conns = append(end.conns, near)
			end.mu.Unlock()
		}
		return near, nil
	}
	return nil, unreachable
}

// cutOff reports whether two zones cannot reach each other.
func (w *fleetWorld) cutOff(a, b ident.Zone) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.cut == a || w.cut == b)
}

// cutZone cuts a zone off from the others and closes all connections between instances. With "" it
// reconnects all zones.
func (w *fleetWorld) cutZone(zone ident.Zone) {
	w.mu.Lock()
	w.cut = zone
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
func (w *fleetWorld) startEngine(e *worldEngine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.dead != nil && w.silent {
		close(e.dead)
	}
	e.starts++
	e.up.ID = ident.UpstreamID(fmt.Sprintf("%s.%d", e.up.Address, e.starts))
	e.downSince, e.dead, e.running, e.holds = time.Time{}, make(chan struct{}), 0, 0
	w.revision++
}

// crash crashes an engine if the given incarnation is still running, and restarts it after
// worldBack.
func (w *fleetWorld) crash(e *worldEngine, id ident.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.up.ID != id || !e.downSince.IsZero() {
		return
	}
	e.downSince = time.Now()
	w.ended = append(w.ended, e.downSince)
	if !w.silent {
		close(e.dead)
	}
	w.revision++
	time.AfterFunc(worldBack, func() { w.startEngine(e) })
}

// counts returns how often the crashing request reached engines, and how many engines crashed.
func (w *fleetWorld) counts() (sent, ended int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.sent), len(w.ended)
}

// sentAfter returns how often the crashing request reached engines after a time.
func (w *fleetWorld) sentAfter(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, at := range w.sent {
		if at.After(t) {
			n++
		}
	}
	return n
}

// storeError returns the error with which the store rejects the instance, nil if it does not.
func (i *worldInstance) storeError() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeDown {
		return &dialect.StatusError{Op: "store", Status: http.StatusServiceUnavailable}
	}
	return nil
}

// Directives implements dialect.Source.
func (i *worldInstance) Directives(ctx context.Context) (dialect.Directives, error) {
	if err := i.storeError(); err != nil {
		return dialect.Directives{}, err
	}
	return i.world.Directives(ctx)
}

// Upstreams implements dialect.Source.
func (i *worldInstance) Upstreams(ctx context.Context, further func() bool) ([]dialect.Upstream, int64, error) {
	if err := i.storeError(); err != nil {
		return nil, 0, err
	}
	return i.world.Upstreams(ctx, further)
}

// Changes implements dialect.Source. The store keeps no history, so each change requires a new
// list.
func (i *worldInstance) Changes(_ context.Context, after int64) (dialect.Changes, error) {
	if err := i.storeError(); err != nil {
		return dialect.Changes{}, err
	}
	i.world.mu.Lock()
	defer i.world.mu.Unlock()
	if i.world.revision != after {
		return dialect.Changes{}, &dialect.HistoryLostError{After: after}
	}
	return dialect.Changes{Revision: after, Next: after}, nil
}

// Directives returns the directives in the store.
func (w *fleetWorld) Directives(context.Context) (dialect.Directives, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return dialect.Directives{Config: w.config, Evacuation: routing.Evacuation{Revision: w.revision, Zones: w.evacuated}}, nil
}

// Upstreams returns the engines that the store lists, and its revision.
func (w *fleetWorld) Upstreams(context.Context, func() bool) ([]dialect.Upstream, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []dialect.Upstream
	for _, e := range w.engines {
		if e.downSince.IsZero() || time.Since(e.downSince) < worldLapse {
			list = append(list, e.up)
		}
	}
	return list, w.revision, nil
}

// refused returns the error of a connection attempt to an address at which nothing listens.
func refused() error {
	return &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: syscall.ECONNREFUSED}
}

// reach returns the error of a connection attempt to an engine that has crashed, or nil if the
// engine runs. If crashed engines are silent, the attempt takes worldDial.
func (w *fleetWorld) reach(ctx context.Context, address string) error {
	w.mu.Lock()
	_, ok := w.at(address)
	silent := w.silent
	w.mu.Unlock()
	switch {
	case ok:
		return nil
	case !silent:
		return refused()
	}
	select {
	case <-ctx.Done():
	case <-time.After(worldDial):
	}
	return &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: syscall.ETIMEDOUT}
}

// at returns the engine at an address, and false if it is not running. The caller holds mu.
func (w *fleetWorld) at(address string) (*worldEngine, bool) {
	e := w.engines[address]
	return e, e != nil && e.downSince.IsZero()
}

// Read implements dialect.Dialect.
func (w *fleetWorld) Read(r *http.Request) (*dialect.Call, error) {
	c := &dialect.Call{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Host: r.Host, Target: r.URL.Path, Header: r.Header,
		Patience: 14 * time.Second, LastEvent: r.Header.Get("Last-Event-Id"), PromptTokens: 2000, OutputEstimate: 64 * worldEvents, MaxOutputTokens: 64 * worldEvents,
	}
	c.SeenEvents, _ = strconv.Atoi(c.LastEvent)
	return c, nil
}

// Do implements dialect.Dialect.
func (w *fleetWorld) Do(ctx context.Context, c *dialect.Call, s dialect.Send) (*http.Response, dialect.Verdict, error) {
	if err := w.reach(ctx, s.To.Address); err != nil {
		return nil, 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.at(s.To.Address)
	switch {
	case !ok:
		return nil, 0, refused()
	case e.up.ID != s.To.ID:
		return &http.Response{StatusCode: http.StatusMisdirectedRequest, Body: http.NoBody}, dialect.WrongUpstream, nil
	case e.running >= worldSlots:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, dialect.Refused, nil
	}
	if s.Hold != "" {
		e.holds = max(0, e.holds-1)
	}
	e.running++
	w.record(e)
	r := &worldRun{ctx: ctx, world: w, engine: e, dead: e.dead, id: e.up.ID}
	last := s.LastEvent
	if last == "" {
		last = c.LastEvent
	}
	r.sent, _ = strconv.Atoi(last)
	if string(c.Body) == deadly {
		r.deadly = true
		w.sent = append(w.sent, time.Now())
		time.AfterFunc(worldDies, func() { w.crash(e, r.id) })
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: r}, dialect.Success, nil
}

// worldRun is the response body of a stream that an engine runs.
type worldRun struct {
	ctx    context.Context
	world  *fleetWorld
	engine *worldEngine
	dead   chan struct{}
	id     ident.UpstreamID
	deadly bool
	sent   int
	over   bool
}

// Read implements io.Reader. Each call returns one event, worldPace after the previous one.
func (r *worldRun) Read(p []byte) (int, error) {
	if r.sent >= worldEvents {
		return 0, io.EOF
	}
	wait := time.NewTimer(worldPace)
	defer wait.Stop()
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-r.dead:
		return 0, io.ErrUnexpectedEOF
	case <-wait.C:
	}
	if r.deadly {
		// The crashing request crashes its engine before the first event.
		<-r.dead
		return 0, io.ErrUnexpectedEOF
	}
	r.sent++
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", r.sent)), nil
}

// Close implements io.Closer.
func (r *worldRun) Close() error {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	if !r.over && r.engine.up.ID == r.id {
		r.engine.running--
	}
	r.over = true
	return nil
}

// Prefill implements dialect.Dialect.
func (w *fleetWorld) Prefill(ctx context.Context, _ *dialect.Call, s dialect.Send) (dialect.Handle, error) {
	select {
	case <-ctx.Done():
		return dialect.Handle{}, ctx.Err()
	case <-time.After(worldPrompt):
		w.mu.Lock()
		defer w.mu.Unlock()
		if e, ok := w.at(s.To.Address); ok {
			w.record(e)
		}
		return dialect.Handle{Engine: s.To.Address, ID: "h"}, nil
	}
}

// Hold implements dialect.Dialect.
func (w *fleetWorld) Hold(ctx context.Context, address string, tokens int, _ time.Duration) (string, error) {
	if err := w.reach(ctx, address); err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.at(address)
	switch {
	case !ok:
		return "", refused()
	case e.running+e.holds >= worldSlots:
		return "", &dialect.FullError{Address: address, Tokens: tokens}
	}
	e.holds++
	return "hold", nil
}

// Release implements dialect.Dialect.
func (w *fleetWorld) Release(ctx context.Context, address, _ string) error {
	if err := w.reach(ctx, address); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.at(address)
	if !ok {
		return refused()
	}
	e.holds = max(0, e.holds-1)
	return nil
}

// Report implements dialect.Dialect.
func (w *fleetWorld) Report(ctx context.Context, u dialect.Upstream) (dialect.Report, error) {
	if err := w.reach(ctx, u.Address); err != nil {
		return dialect.Report{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reportRequests == nil {
		w.reportRequests = map[string]int{}
	}
	w.reportRequests[u.Address]++
	e, ok := w.at(u.Address)
	switch {
	case !ok:
		return dialect.Report{}, refused()
	case e.up.ID != u.ID:
		return dialect.Report{}, &dialect.ReplacedError{ID: u.ID, Address: u.Address}
	}
	return dialect.Report{Stage: e.up.Stage, Running: e.running}, nil
}

// The remaining methods of dialect.Dialect do nothing, except that Migrate always fails.

func (w *fleetWorld) Free(context.Context, dialect.Handle) error { return nil }
func (w *fleetWorld) Migrate(context.Context, dialect.Migration) (dialect.Handle, error) {
	return dialect.Handle{}, &dialect.NotRunningError{}
}
func (w *fleetWorld) Reach(context.Context, dialect.Upstream) error                  { return nil }
func (w *fleetWorld) Kept(context.Context, dialect.Upstream) (map[string]int, error) { return nil, nil }
func (w *fleetWorld) Order(context.Context, dialect.Order) error                     { return nil }
func (w *fleetWorld) WriteHead(http.Header, *dialect.Call)                           {}
func (w *fleetWorld) NameWorkspace(*dialect.Call, string, int)                       {}
func (w *fleetWorld) Challenge(http.Header)                                          {}
func (w *fleetWorld) Close()                                                         {}

// got is the response that a caller received. It implements http.ResponseWriter and http.Flusher.
type got struct {
	status int
	header http.Header
	text   strings.Builder
	// first is when the first part of the body arrived.
	first time.Time
	// broken means that the response broke off.
	broken bool
}

// Header returns the header. Like the next three methods it implements http.ResponseWriter or
// http.Flusher.
func (g *got) Header() http.Header { return g.header }
func (g *got) WriteHeader(s int)   { g.status = s }
func (g *got) Flush()              {}
func (g *got) Write(b []byte) (int, error) {
	if g.first.IsZero() {
		g.first = time.Now()
	}
	return g.text.Write(b)
}

// whole reports whether the caller received the complete stream.
func (g *got) whole() bool {
	return g.status == http.StatusOK && !g.broken && strings.Contains(g.text.String(), fmt.Sprintf("id: %d\n", worldEvents))
}

// send sends a caller's request to an instance and returns the response, or nil if the instance is
// down. If lastEvent is not empty, the caller resumes a stream after that event.
func (w *fleetWorld) send(i *worldInstance, body, lastEvent string) *got {
	s := i.running()
	if s == nil {
		return nil
	}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/x", strings.NewReader(body))
	assert.NilError(w.t, err)
	r.Header.Set("Request-Id", strconv.FormatUint(rand.Uint64(), 16))
	if lastEvent != "" {
		r.Header.Set("Last-Event-Id", lastEvent)
	}
	g := &got{header: http.Header{}}
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
