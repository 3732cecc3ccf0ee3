package agent

import (
	"context"
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
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
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

// fleet is a set of agents in a synctest bubble, with simulations of all
// processes around them.
type fleet struct {
	t         *testing.T
	net       *network
	platform  *standin.Platform
	engines   map[ident.UpstreamID]*engine.Engine
	nodes     map[ident.InstanceID]*node
	listed    []configservice.Instance
	upstreams []configservice.Upstream
	head      *bundle.Head
	sequence  uint64
	closers   []func()
	// listDelay is the platform's delay of reads of its lists.
	listDelay time.Duration
}

// node is one instance: an agent and a simulated entry.
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

// inFleet runs a test with its own fleet in a bubble.
func inFleet(t *testing.T, test func(*fleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := &fleet{
			t: t, net: newNetwork(), platform: standin.New(standin.Config{}),
			engines: map[ident.UpstreamID]*engine.Engine{}, nodes: map[ident.InstanceID]*node{},
		}
		f.serve(platformAddr, f.delayLists(f.platform.Handler()))
		defer f.close()
		test(f)
	})
}

// delayLists wraps a handler to delay reads of the lists.
func (f *fleet) delayLists(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, configservice.KeyInstances) || strings.HasSuffix(r.URL.Path, configservice.KeyUpstreams) {
			time.Sleep(f.listDelay)
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

// addEngine starts a simulated engine and lists it.
func (f *fleet) addEngine(id ident.UpstreamID, zone ident.Zone, role config.Role) *engine.Engine {
	addr := fmt.Sprintf("10.0.1.%d:8000", len(f.upstreams)+1)
	e := engine.New(engine.Config{
		ID: id, Role: role, Models: []string{"reader"}, Version: "1", Address: addr,
		ChecksFencing: role == config.RolePrefill, LoadWeights: 2 * time.Second,
		Client: &http.Client{Transport: &http.Transport{DialContext: hostDialer{f.net, host(addr)}.DialContext, DisableKeepAlives: true}},
		Perf: perf.Params{
			Slots: 20, Pieces: 2000, PieceTokens: 100, PrefillTokensPerSecond: 200_000, PrefillChunk: 500,
			KVBytesPerToken: 1000, LinkBytesPerSecond: 1e9, DecodeStep: 20 * time.Millisecond,
			DecodeStepPerRequest: 10 * time.Microsecond, KVLifetime: 900 * time.Millisecond, CachePieces: 100,
		},
	})
	f.engines[id] = e
	f.serve(addr, e.Handler())
	f.closers = append(f.closers, e.Close)
	f.upstreams = append(f.upstreams, configservice.Upstream{ID: id, Zone: zone, Address: addr, Role: role, Models: []string{"reader"}, State: configservice.StateLive})
	return e
}

// list publishes the lists of instances and upstreams.
func (f *fleet) list() {
	f.put(configservice.KeyInstances, configservice.Instances{Instances: f.listed})
	f.put(configservice.KeyUpstreams, configservice.Upstreams{Upstreams: f.upstreams})
}

// put publishes a value as JSON.
func (f *fleet) put(key string, v any) {
	b, err := json.Marshal(v)
	assert.NilError(f.t, err)
	f.platform.Put(key, b)
}

// add lists an instance; start starts it.
func (f *fleet) add(id ident.InstanceID, zone ident.Zone) *node {
	n := &node{fleet: f, id: id, zone: zone, host: fmt.Sprintf("10.0.%d.%d", 2+len(f.listed)/250, len(f.listed)%250+1), stop: func() {}}
	f.nodes[id] = n
	f.listed = append(f.listed, configservice.Instance{
		ID: id, Zone: zone, PeerAddress: n.host + ":9100", AgentAddress: n.host + ":9101", State: configservice.StateLive,
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

// startFleet lists and starts n instances in each of the zones, and waits until
// the first bundle is in force on all of them.
func (f *fleet) startFleet(n int, zones ...ident.Zone) []*node {
	f.t.Helper()
	nodes := f.addAll(n, zones...)
	f.list()
	f.publish(nil)
	startAll(nodes)
	f.within(8*time.Second, "version 1 in force", versionInForce(nodes, 1))
	return nodes
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
	n.agent, err = New(s, Options{Log: log, Seed: uint64(len(n.fleet.nodes)), Dialer: hostDialer{n.fleet.net, n.host}, Listen: n.fleet.net.listen})
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

// within waits for a condition and returns the time taken. It fails the test if
// the condition does not hold within the limit.
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

// versionInForce returns a condition that holds if a version is in force on all
// nodes and their entries.
func versionInForce(nodes []*node, version uint64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.version() != version || n.entry.version() != version {
				return false
			}
		}
		return true
	}
}
