package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
	standin "github.com/wardspool/wardspool/standin/platform"
)

// fleet is a running test fleet: the agent processes and the stand-ins they talk to.
type fleet struct {
	options   *options
	dir       string
	platform  *standin.Platform
	url       string
	nodes     []*node
	upstreams []configservice.Upstream
	publisher *publisher
	// simulation is nil if no instances are simulated.
	simulation *simulation
	cleanups   []func()
	// network is the second octet of the instances' loopback addresses.
	network int
}

// node is one instance: an agent process and the stand-in for its entry.
type node struct {
	id              ident.InstanceID
	zone            ident.Zone
	peerAddress     string
	operatorAddress string
	entry           *entry
	process         *exec.Cmd
	log             *os.File
}

// upstreamsPerAgent is the planned ratio of upstreams to instances, about 600 to 410.
const upstreamsPerAgent = 1.5

// maxNetwork is the largest value of fleet.network.
const maxNetwork = 250

// ip returns the i-th instance's IP address. Each instance has its own address, so
// that no outgoing connection occupies a port that an instance listens on.
func (b *fleet) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", b.network, i/200, i%200+1) }

// newFleet starts a fleet of n agents. The caller must close the fleet even if an
// error is returned.
func newFleet(o *options, n int) (*fleet, error) {
	b := &fleet{options: o, platform: standin.New(standin.Config{}), network: 1 + rand.IntN(maxNetwork)}
	b.cleanups = append(b.cleanups, b.platform.Close)
	var err error
	if b.dir, err = os.MkdirTemp("", "wardspool-capacity-"); err != nil {
		return b, err
	}
	if !o.Keep {
		b.cleanups = append(b.cleanups, func() { _ = os.RemoveAll(b.dir) })
	}
	address, err := b.serve(b.platform.Handler())
	if err != nil {
		return b, err
	}
	b.url = "http://" + address
	if err := b.startEngines(int(upstreamsPerAgent * float64(n+o.Simulated))); err != nil {
		return b, err
	}
	if b.publisher, err = newPublisher(b); err != nil {
		return b, err
	}
	if err := b.publisher.publish(); err != nil {
		return b, err
	}
	if err := b.addNodes(n); err != nil {
		return b, err
	}
	for _, x := range b.nodes {
		if err := b.startAgent(x); err != nil {
			return b, err
		}
	}
	return b, nil
}

// close kills all agent processes and shuts down the stand-ins.
func (b *fleet) close() {
	for _, x := range b.nodes {
		x.kill()
	}
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

// kill kills the agent process and waits for it.
func (x *node) kill() {
	if x.process != nil {
		// The error is ignored: the process may have exited already.
		_ = x.process.Process.Kill()
		_ = x.process.Wait()
		_ = x.log.Close()
	}
}

// serve serves h on a free loopback port and returns the listen address.
func (b *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	b.serveOn(l, h)
	return l.Addr().String(), nil
}

// serveOn serves h on l until the fleet is closed.
func (b *fleet) serveOn(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	b.cleanups = append(b.cleanups, func() { _ = srv.Close() })
}

// zone returns the zone of the i-th instance or engine, assigned round-robin.
func (b *fleet) zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("zone-%d", i%b.options.Zones+1))
}

// startEngines starts n stand-in engines, one in three of them for prefill.
func (b *fleet) startEngines(n int) error {
	for i := range n {
		role := simRole(i / b.options.Zones)
		id := ident.UpstreamID(fmt.Sprintf("runner-%03d", i))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		up := configservice.Upstream{
			ID: id, Zone: b.zone(i), Address: l.Addr().String(), Role: role,
			Models: []string{modelName}, State: configservice.StateLive,
		}
		if b.options.Simulated > 0 {
			up.Incarnation = simIncarnation
			b.upstreams = append(b.upstreams, up)
			b.serveOn(l, simEngine(i/b.options.Zones))
			continue
		}
		b.upstreams = append(b.upstreams, up)
		e := engine.New(engine.Config{
			ID: id, Role: role, Models: []string{modelName}, Version: "1", Address: l.Addr().String(),
			ChecksFencing: true, LoadLag: 500 * time.Millisecond, Perf: perf.Defaults(),
		})
		b.cleanups = append(b.cleanups, e.Close)
		b.serveOn(l, e.Handler())
	}
	return nil
}

// simRole returns the role of the engine at the given position within its zone.
func simRole(position int) config.Role {
	if position%3 == 0 {
		return config.RolePrefill
	}
	return config.RoleDecode
}

// addNodes creates the instances and publishes the instance and upstream lists.
func (b *fleet) addNodes(n int) error {
	var listed configservice.Instances
	for i := range n {
		x := &node{
			id: ident.InstanceID(fmt.Sprintf("entry-%03d", i)), zone: b.zone(i),
			peerAddress: b.ip(i) + ":9101", operatorAddress: b.ip(i) + ":9301",
			entry: &entry{peerAddress: b.ip(i) + ":9100", feedAddress: b.ip(i) + ":9200"},
		}
		b.nodes = append(b.nodes, x)
		if err := b.startEntry(x); err != nil {
			return err
		}
		listed.Instances = append(listed.Instances, configservice.Instance{
			ID: x.id, Zone: x.zone, Region: "region-1", State: configservice.StateLive,
			PeerAddress: x.entry.peerAddress, AgentAddress: x.peerAddress, CallerAddress: x.entry.peerAddress,
		})
	}
	if b.options.Simulated > 0 {
		if err := b.addSimulated(b.options.Simulated, &listed); err != nil {
			return err
		}
		b.simulation.start(&listed, b.upstreams)
	}
	if err := b.publisher.put(configservice.KeyInstances, listed); err != nil {
		return err
	}
	return b.publisher.put(configservice.KeyUpstreams, configservice.Upstreams{Upstreams: b.upstreams})
}

// startAgent writes an instance's settings file and starts its agent process.
func (b *fleet) startAgent(x *node) error {
	file := filepath.Join(b.dir, string(x.id)+".yaml")
	text := fmt.Sprintf(`
instance: %s
zone: %s
entry: {feed: "%s"}
peers: {listen: "%s"}
operators: {listen: "%s", names: [%s]}
platform: {urls: ["%s"]}
log: {level: %s}
approvers: {epoch: 1, quorum: 1, keys: [{name: ada, key: %s}]}
`, x.id, x.zone, x.entry.feedAddress, x.peerAddress, x.operatorAddress, operatorName, b.url, b.options.Log, b.publisher.publicKey)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if x.log, err = os.Create(filepath.Join(b.dir, string(x.id)+".log")); err != nil {
		return err
	}
	cmd := exec.Command(b.options.Agent, "--settings", file)
	cmd.Stderr = x.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	x.process = cmd
	return nil
}

// entry is a stand-in for an instance's entry. It accepts the updates that the agent
// sends over the feed.
type entry struct {
	feedAddress string
	peerAddress string

	mu          sync.Mutex
	incarnation ident.Incarnation
	version     uint64
	// view is the number of the latest view received, bundleDigest the digest of the
	// latest bundle.
	view         uint64
	bundleDigest string
	// receivedAt holds the time at which each bundle version was received.
	receivedAt map[uint64]time.Time
	ready      bool
}

// startEntry starts the stand-in for an instance's entry.
func (b *fleet) startEntry(x *node) error {
	e := x.entry
	e.incarnation, e.receivedAt = ident.NewIncarnation(time.Now()), map[uint64]time.Time{}
	cfg := peer.Config{
		Self:   peer.Identity{Instance: x.id, Incarnation: e.incarnation, Zone: x.zone},
		Allow:  func(peer.Identity) bool { return true },
		Limits: peer.Limits{Frame: 32 << 20},
	}
	for _, address := range []string{e.feedAddress, e.peerAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		srv := peer.NewServer(cfg)
		peer.Handle(srv, feed.MethodUpdate, func(_ context.Context, _ peer.Identity, u feed.Update) (feed.Reply, error) {
			return e.update(&u), nil
		})
		go func() { _ = srv.Serve(l) }()
		b.cleanups = append(b.cleanups, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = srv.Shutdown(ctx)
		})
	}
	return nil
}

// update records an update and returns the reply to it.
func (e *entry) update(u *feed.Update) feed.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ready = u.Ready
	if u.View != nil {
		e.view = u.View.Number
	}
	if u.Bundle != nil {
		e.bundleDigest = u.Bundle.Digest
	}
	if u.Bundle != nil && u.Bundle.Version > e.version {
		e.version = u.Bundle.Version
		e.receivedAt[e.version] = time.Now()
	}
	return feed.Reply{Incarnation: e.incarnation, BundleVersion: e.version, View: e.view, Base: e.bundleDigest}
}

// arrival returns when a version was received. It returns false if it was not, or if
// the agent has not reported ready.
func (e *entry) arrival(version uint64) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.receivedAt[version]
	return at, ok && e.ready
}
