package agent

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/platform"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
	standin "github.com/wardspool/wardspool/standin/platform"
)

// Addresses of the test fleet.
const (
	platformHost = "10.0.0.9"
	platformAddr = platformHost + ":7000"
)

// testContent is the content of version 1; others differ in a workspace.
const testContent = `
deployment: test
kinds:
  - {name: review, route: model, repeatable: true, deadline: 20s, first_output: 5s, pace: 200ms, default_output_tokens: 8}
models:
  - {name: reader, max_context: 8000, kv_bytes_per_token: 1000, piece_tokens: 100}
workspaces:
  - {name: default, weight: 1}
upstreams:
  - {id: pf-1, role: prefill, models: [reader], version: "1", checks_fencing: true, pieces: 400, prefill_tokens_per_second: 200000, link_bytes_per_second: 1000000000}
  - {id: dc-1, role: decode, models: [reader], version: "1", slots: 20, pieces: 2000, link_bytes_per_second: 1000000000, decode_step: 2ms, decode_step_per_request: 10us}
policy:
  slots: slots.none
  order: order.deadline
  admission: [admission.known]
  filters: [filter.role, filter.model, filter.leaving, filter.ejected]
  scorers: [{id: scorer.first_output, weight: 1}]
  queue_limit: 100
  retry_budget: 0.5
  max_attempts: 4
  retry_backoff: 10ms
  view_stale: 2s
  kv_lifetime: 900ms
  transfer_stall: 1s
`

// approver is the one whose signature the fleet trusts.
var approver = func() ed25519.PrivateKey {
	seed := bundle.DigestOf([]byte("test approver"))
	return ed25519.NewKeyFromSeed(seed[:])
}()

// approvers is the trusted set.
func approvers() bundle.Approvers {
	var key bundle.PublicKey
	copy(key[:], approver.Public().(ed25519.PublicKey))
	return bundle.Approvers{Epoch: 1, Quorum: 1, Keys: []bundle.Approver{{Name: "ada", Key: key}}}
}

// fleet is agents with stand-ins for all around them, in a synctest bubble.
type fleet struct {
	t        *testing.T
	net      *network
	platform *standin.Platform
	engines  map[ident.UpstreamID]*engine.Engine
	nodes    map[ident.InstanceID]*node
	listed   []platform.Instance
	ups      []platform.Upstream
	head     *bundle.Head
	sequence uint64
	closers  []func()
	// slowLists is how long the platform takes to answer reads of its lists.
	slowLists time.Duration
}

// node is one instance: an agent and a stand-in for its entry.
type node struct {
	fleet *fleet
	id    ident.InstanceID
	zone  ident.Zone
	host  string
	agent *Agent
	entry *fakeEntry
	// stopAgent ends the agent as SIGTERM does; stop ends the entry as well.
	stopAgent func()
	stop      func()
}

// inFleet runs a test with a fleet of its own in a bubble.
func inFleet(t *testing.T, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, net: newNetwork(), platform: standin.New(standin.Config{}),
			engines: map[ident.UpstreamID]*engine.Engine{}, nodes: map[ident.InstanceID]*node{},
		}
		f.serve(platformAddr, f.slowly(f.platform.Handler()))
		defer f.close()
		test(f)
	})
}

// slowly delays reads of the lists.
func (f *fleet) slowly(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, platform.KeyInstances) || strings.HasSuffix(r.URL.Path, platform.KeyUpstreams) {
			time.Sleep(f.slowLists)
		}
		h.ServeHTTP(w, r)
	})
}

// close stops everything in the bubble.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.platform.Close()
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

// serve serves HTTP on an address of the network.
func (f *fleet) serve(addr string, h http.Handler) {
	l, err := f.net.listen(addr)
	assert.NilError(f.t, err)
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	f.closers = append(f.closers, func() {
		_ = srv.Close()
		<-done
	})
}

// addEngine starts a stand-in engine and lists it.
func (f *fleet) addEngine(id ident.UpstreamID, zone ident.Zone, role config.Role) *engine.Engine {
	addr := fmt.Sprintf("10.0.1.%d:8000", len(f.ups)+1)
	e := engine.New(engine.Config{
		ID: id, Role: role, Models: []string{"reader"}, Version: "1", Address: addr,
		ChecksFencing: role == config.RolePrefill, LoadWeights: 2 * time.Second,
		Client: &http.Client{Transport: &http.Transport{DialContext: from{f.net, host(addr)}.DialContext, DisableKeepAlives: true}},
		Perf: perf.Params{
			Slots: 20, Pieces: 2000, PieceTokens: 100, PrefillTokensPerSecond: 200_000, PrefillChunk: 500,
			KVBytesPerToken: 1000, LinkBytesPerSecond: 1e9, DecodeStep: 20 * time.Millisecond,
			DecodeStepPerRequest: 10 * time.Microsecond, KVLifetime: 900 * time.Millisecond, CachePieces: 100,
		},
	})
	f.engines[id] = e
	f.serve(addr, e.Handler())
	f.closers = append(f.closers, e.Close)
	f.ups = append(f.ups, platform.Upstream{ID: id, Zone: zone, Address: addr, Role: role, Models: []string{"reader"}, State: platform.StateLive})
	return e
}

// list publishes both lists.
func (f *fleet) list() {
	f.put(platform.KeyInstances, platform.Instances{Instances: f.listed})
	f.put(platform.KeyUpstreams, platform.Upstreams{Upstreams: f.ups})
}

// put publishes a value as JSON.
func (f *fleet) put(key string, v any) {
	b, err := json.Marshal(v)
	assert.NilError(f.t, err)
	f.platform.Put(key, b)
}

// content returns the content of a version.
func (f *fleet) content(version int) *config.Content {
	c, findings := bundle.ParseSource("test.yaml", []byte(testContent))
	assert.NilError(f.t, findings.Err())
	c.Workspaces = append(c.Workspaces, config.Workspace{Name: ident.Workspace(fmt.Sprintf("v-%d", version)), Weight: 1})
	return c
}

// build makes and signs the next bundle.
func (f *fleet) build(change func(*config.Content)) (*bundle.Head, *bundle.PartSet) {
	version := 1
	if f.head != nil {
		version = int(f.head.Manifest.Version) + 1
	}
	c := f.content(version)
	if change != nil {
		change(c)
	}
	h, parts, err := bundle.Build(bundle.Draft{Previous: f.head, Content: c, Approvers: approvers()})
	assert.NilError(f.t, err)
	h.AddSignature(bundle.Sign(approver, &h.Manifest))
	return h, parts
}

// publish builds the next bundle, publishes it and rolls it to all.
func (f *fleet) publish(change func(*config.Content)) *bundle.SignedRoll {
	h, parts := f.build(change)
	for _, d := range parts.Digests() {
		b, _ := parts.Part(d)
		f.platform.Put(platform.KeyBundleParts+d.String(), b)
	}
	f.platform.Put(platform.KeyBundleHead, h.Encode())
	f.sequence++
	r := &bundle.SignedRoll{
		Roll:   bundle.Roll{Format: bundle.Format, Sequence: f.sequence, Target: h.Ref(), Stage: bundle.StageAll},
		Target: *h, Base: f.head,
	}
	if f.head != nil {
		r.Roll.Base = f.head.Ref()
	}
	r.AddSignature(bundle.SignRoll(approver, &r.Roll))
	f.platform.Put(platform.KeyRoll, r.Encode())
	f.head = h
	return r
}

// add lists an instance; start starts it.
func (f *fleet) add(id ident.InstanceID, zone ident.Zone) *node {
	n := &node{fleet: f, id: id, zone: zone, host: fmt.Sprintf("10.0.2.%d", len(f.listed)+1), stop: func() {}}
	f.nodes[id] = n
	f.listed = append(f.listed, platform.Instance{
		ID: id, Zone: zone, PeerAddress: n.host + ":9100", AgentAddress: n.host + ":9101", State: platform.StateLive,
	})
	return n
}

// addAll lists n instances in each of the zones.
func (f *fleet) addAll(n int, zones ...ident.Zone) []*node {
	var nodes []*node
	for _, z := range zones {
		for i := range n {
			nodes = append(nodes, f.add(ident.InstanceID(fmt.Sprintf("%s-%d", z, i+1)), z))
		}
	}
	return nodes
}

// startAll starts nodes.
func startAll(nodes []*node) {
	for _, n := range nodes {
		n.start()
	}
}

// start starts the entry and the agent of an instance.
func (n *node) start() {
	n.startEntry()
	n.startAgent()
}

// startAgent starts the agent alone.
func (n *node) startAgent() {
	t := n.fleet.t
	s, err := settings.Parse[Settings]("agent.yaml", []byte(fmt.Sprintf(`
instance: %s
zone: %s
entry: {feed: "127.0.0.1:9200"}
peers: {listen: "%s:9101"}
platform: {urls: ["http://%s"]}
approvers:
  epoch: 1
  quorum: 1
  keys: [{name: ada, key: %s}]
`, n.id, n.zone, n.host, platformAddr, approvers().Keys[0].Key)))
	assert.NilError(t, err)
	s.Entry.Feed = n.host + ":9200"
	log := slog.New(slog.NewTextHandler(testLog{t, string(n.id)}, &slog.HandlerOptions{Level: slog.LevelDebug}))
	n.agent, err = New(s, Options{Log: log, Seed: uint64(len(n.fleet.nodes)), Dialer: from{n.fleet.net, n.host}, Listen: n.fleet.net.listen})
	assert.NilError(t, err)
	assert.NilError(t, n.agent.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.agent.Serve(ctx) }()
	n.stopAgent = sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-done)
	})
	n.stop = func() {
		n.stopAgent()
		n.entry.stop()
	}
}

// testLog writes log lines to the test's log.
type testLog struct {
	t    *testing.T
	name string
}

func (l testLog) Write(b []byte) (int, error) {
	l.t.Logf("%s: %s", l.name, strings.TrimSpace(string(b)))
	return len(b), nil
}

// status returns the agent's status.
func (n *node) status() wire.Status {
	s, err := n.agent.Status(context.Background())
	assert.NilError(n.fleet.t, err)
	return s
}

// version returns the bundle version in force.
func (n *node) version() uint64 { return n.status().Bundle.Version }

// within fails unless the condition holds within a time.
func (f *fleet) within(limit time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) <= limit {
		synctest.Wait()
		if holds() {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("not within %v: %s", limit, what)
	return 0
}

// allAt reports whether a version is in force on all nodes and their entries.
func allAt(nodes []*node, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.version() != version || n.entry.version() != version {
				return false
			}
		}
		return true
	}
}

// fakeEntry stands in for an entry's feed and peers' listeners.
type fakeEntry struct {
	mu      sync.Mutex
	reply   feed.Reply
	last    feed.Update
	view    *feed.View
	updates int
	pauses  []int64
	stop    func()
}

// startEntry starts a stand-in entry.
func (n *node) startEntry() {
	e := &fakeEntry{reply: feed.Reply{Incarnation: ident.NewIncarnation(time.Now())}}
	cfg := peer.Config{
		Self:  peer.Identity{Instance: n.id, Incarnation: e.reply.Incarnation, Zone: n.zone},
		Allow: func(peer.Identity) bool { return true },
	}
	var stops []func()
	for _, addr := range []string{n.host + ":9200", n.host + ":9100"} {
		l, err := n.fleet.net.listen(addr)
		assert.NilError(n.fleet.t, err)
		srv := peer.NewServer(cfg)
		if strings.HasSuffix(addr, ":9200") {
			peer.Handle(srv, feed.MethodUpdate, func(_ context.Context, _ peer.Identity, u feed.Update) (feed.Reply, error) {
				return e.update(u), nil
			})
		}
		done := make(chan error, 1)
		go func() { done <- srv.Serve(l) }()
		stops = append(stops, func() {
			_ = srv.Shutdown(context.Background())
			<-done
		})
	}
	e.stop = sync.OnceFunc(func() {
		for _, stop := range stops {
			stop()
		}
	})
	n.entry = e
}

// update takes an agent's update.
func (e *fakeEntry) update(u feed.Update) feed.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updates++
	e.last = u
	if u.View != nil {
		e.view = u.View
	}
	if u.Bundle != nil {
		e.reply.BundleVersion = max(e.reply.BundleVersion, u.Bundle.Version)
	}
	if u.PauseMS > 0 {
		e.pauses = append(e.pauses, u.PauseMS)
	}
	r := e.reply
	e.reply.Evidence = nil
	return r
}

// set changes the reply.
func (e *fakeEntry) set(change func(*feed.Reply)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.reply)
}

// version returns the bundle version that the entry was given.
func (e *fakeEntry) version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reply.BundleVersion
}

// seen returns the last view and update.
func (e *fakeEntry) seen() (*feed.View, feed.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view, e.last
}

// upstream returns an upstream of the last view, nil if there is none.
func (e *fakeEntry) upstream(id ident.UpstreamID) *feed.Upstream {
	v, _ := e.seen()
	if v == nil {
		return nil
	}
	for i := range v.Upstreams {
		if v.Upstreams[i].ID == id {
			return &v.Upstreams[i]
		}
	}
	return nil
}

// instance returns an instance of the last view, nil if there is none.
func (e *fakeEntry) instance(id ident.InstanceID) *feed.Instance {
	v, _ := e.seen()
	if v == nil {
		return nil
	}
	for i := range v.Instances {
		if v.Instances[i].ID == id {
			return &v.Instances[i]
		}
	}
	return nil
}
