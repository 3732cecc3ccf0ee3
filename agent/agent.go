package agent

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/agent/engines"
	"github.com/wardspool/wardspool/agent/meter"
	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/leftover"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/orders"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/tlsconf"
)

// Options configures an agent beyond its settings file.
type Options struct {
	Log *slog.Logger
	// Version is the program version, shown in the status.
	Version string
	// TLS secures the connections between agents. If nil, the TLS settings apply.
	TLS peer.TLS
	// Seed makes jitter repeatable; 0 selects a random seed.
	Seed uint64
	// Dialer opens all connections and Listen all listeners. If nil, the system's
	// network is used; tests substitute their own.
	Dialer meter.Dialer
	Listen func(address string) (net.Listener, error)
}

// withDefaults returns the options with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Dialer == nil {
		o.Dialer = &net.Dialer{}
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return o
}

// Agent is the agent of one instance. New creates it, Listen opens its addresses
// and Serve runs it.
type Agent struct {
	settings *Settings
	options  Options
	log      *slog.Logger
	self     peer.Identity
	started  time.Time

	peers           *peer.Pool
	feedPool        *peer.Pool
	engines         *engines.Client
	platformAdapter configservice.Adapter
	// platformMeter counts the bytes exchanged by the platform adapter.
	platformMeter meter.Meter
	servers       servers
	// tls is nil if the settings name no TLS files.
	tls *tlsconf.Reloader
	// known is the set of instances whose connections are accepted. Connections
	// read it outside the loop.
	known atomic.Pointer[knownSet]

	inbox   chan func()
	stopped chan struct{}
	calls   sync.WaitGroup
	// callCtx is cancelled to end calls over the network.
	callCtx  context.Context
	endCalls context.CancelFunc

	// The fields below are accessed only by the loop.
	random          random
	now             time.Time
	lastSecondAt    time.Time
	machine         *membership.Machine
	ledger          *ledger.Ledger
	leftoverPlanner *leftover.Planner
	orderPlanner    *orders.Planner
	counters        wire.Counters
	directory       directory
	platform        platformState
	relay           relay
	partners        map[ident.InstanceID]*partner
	feed            feedState
	loads           loadState
	leftoverReads   leftoverState
	orders          orderState
	view            *membership.View
	viewDirty       bool
	// sourceSetUpdatedAt is when the ledger last got the list of sources to query.
	sourceSetUpdatedAt time.Time
	inForceAt          time.Time
}

// New creates an agent from validated settings. Errors are those of
// configservice.Open and of parsing the approvers.
func New(s *Settings, o Options) (*Agent, error) {
	now := clock.Now()
	o = o.withDefaults()
	a := &Agent{
		settings: s,
		options:  o,
		log:      o.Log,
		self:     peer.Identity{Instance: s.Instance, Incarnation: ident.NewIncarnation(time.Now()), Zone: s.Zone},
		started:  now,
		inbox:    make(chan func(), inboxSize),
		stopped:  make(chan struct{}),
		now:      now,
		random:   newRandom(o.Seed),
		partners: map[ident.InstanceID]*partner{},
	}
	a.callCtx, a.endCalls = context.WithCancel(context.Background())
	if err := a.readTLS(); err != nil {
		return nil, err
	}
	if err := a.initMachines(now); err != nil {
		return nil, err
	}
	if err := a.initClients(); err != nil {
		return nil, err
	}
	a.addSeeds()
	return a, nil
}

// initMachines creates the state machines and planners, which do no I/O.
func (a *Agent) initMachines(now time.Time) error {
	s := a.settings
	trusted, err := s.Approvers.set()
	if err != nil {
		return oops.In("agent").Wrapf(err, "parse the approvers")
	}
	l, err := ledger.New(ledger.Settings{
		Instance: s.Instance, Zone: s.Zone,
		Approvers: trusted, Isolated: s.Isolated, PauseThreshold: s.PauseAfter,
	}, now)
	if err != nil {
		return oops.In("agent").Wrapf(err, "parse the approvers")
	}
	a.ledger = l
	a.machine = membership.New(
		membership.Self{Instance: s.Instance, Zone: s.Zone},
		membership.Config{Budget: s.Peers.Budget}, now)
	a.leftoverPlanner = leftover.NewPlanner(leftover.DefaultSettings())
	a.orderPlanner = orders.NewPlanner(orders.DefaultSettings())
	a.loads.polls = map[ident.UpstreamID]*poll{}
	a.feed.incarnations = map[ident.UpstreamID]*reportedIncarnation{}
	a.platform.watches = map[string]context.CancelFunc{}
	a.platform.indexes = map[string]uint64{}
	a.directory = newDirectory()
	a.relay = relay{changed: make(chan struct{}), servingSlot: make(chan struct{}, 1), fetching: map[string]bool{}}
	return nil
}

// initClients creates the clients for calls over the network.
func (a *Agent) initClients() error {
	a.peers = peer.NewPool(a.peerConfig(a.isKnown))
	local := a.peerConfig(func(id peer.Identity) bool { return id.Instance == a.self.Instance })
	local.TLS = nil
	local.Limits = peer.Limits{Frame: feedFrame, BackoffMax: feedBackoff}
	a.feedPool = peer.NewPool(local)
	a.engines = engines.New(a.options.Dialer, upstreamTimeout)
	reader, err := configservice.Open(a.settings.Platform.Adapter, configservice.Options{
		URLs: a.settings.Platform.URLs, Reader: a.self.Instance, Wait: a.settings.Platform.Wait,
		Transport: newTransport(a.platformMeter.CountingDialer(a.options.Dialer)),
	})
	if err != nil {
		return oops.In("agent").Wrapf(err, "open the platform adapter")
	}
	a.platformAdapter = reader
	return nil
}

// addSeeds registers the instances that the settings name.
func (a *Agent) addSeeds() {
	var seeds []membership.Seed
	for _, s := range a.settings.Peers.Seeds {
		a.directory.addSeed(s)
		seeds = append(seeds, membership.Seed{ID: s.Instance, Zone: s.Zone, Address: s.Address})
	}
	a.machine.AddSeeds(a.now, seeds)
	a.publishKnown()
}
