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

// Options are what an agent needs besides its settings.
type Options struct {
	Log *slog.Logger
	// Version is the program's, for the status.
	Version string
	// TLS protects the connections between agents; nil for what the settings say.
	TLS peer.TLS
	// Seed makes jitter repeatable; 0 draws one.
	Seed uint64
	// Dialer opens all connections, Listen all listeners. Nil means the
	// system's network; tests put in their own.
	Dialer meter.Dialer
	Listen func(address string) (net.Listener, error)
}

// withDefaults fills in what is not set.
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

// Agent is the agent of one instance. New makes it, Listen opens its addresses,
// Serve runs it.
type Agent struct {
	settings *Settings
	options  Options
	log      *slog.Logger
	self     peer.Identity
	started  time.Time

	peers    *peer.Pool
	feedPool *peer.Pool
	engines  *engines.Client
	reader   configservice.Adapter
	// platformMeter counts the bytes of the reader.
	platformMeter meter.Meter
	servers       servers
	// tls is nil without files in the settings.
	tls *tlsconf.Reloader
	// known is read by connections: who is believed.
	known atomic.Pointer[knownSet]

	inbox   chan func()
	stopped chan struct{}
	calls   sync.WaitGroup
	// callCtx ends the calls over the network.
	callCtx  context.Context
	endCalls context.CancelFunc

	// All below is the loop's.
	random       random
	now          time.Time
	secondAt     time.Time
	machine      *membership.Machine
	ledger       *ledger.Ledger
	leftovers    *leftover.Planner
	orderPlanner *orders.Planner
	counters     wire.Counters
	book         book
	source       source
	relay        relay
	partners     map[ident.InstanceID]*partner
	feed         feedState
	loads        loadState
	held         heldState
	orders       orderState
	view         *membership.View
	viewDirty    bool
	// rosterAt is when the ledger was last told whom to ask.
	rosterAt  time.Time
	inForceAt time.Time
}

// New makes an agent of checked settings. Its errors are those of configservice.Open
// and of the approvers.
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
	if err := a.makeMachines(now); err != nil {
		return nil, err
	}
	if err := a.makeClients(); err != nil {
		return nil, err
	}
	a.seed()
	return a, nil
}

// makeMachines makes the pure state machines and planners.
func (a *Agent) makeMachines(now time.Time) error {
	s := a.settings
	trusted, err := s.Approvers.set()
	if err != nil {
		return oops.In("agent").Wrapf(err, "take the approvers")
	}
	l, err := ledger.New(ledger.Settings{
		Instance: s.Instance, Zone: s.Zone,
		Approvers: trusted, Isolated: s.Isolated, PauseGap: s.PauseAfter,
	}, now)
	if err != nil {
		return oops.In("agent").Wrapf(err, "take the approvers")
	}
	a.ledger = l
	a.machine = membership.New(
		membership.Self{Instance: s.Instance, Zone: s.Zone},
		membership.Config{Budget: s.Peers.Budget}, now)
	a.leftovers = leftover.NewPlanner(leftover.DefaultSettings())
	a.orderPlanner = orders.NewPlanner(orders.DefaultSettings())
	a.loads.polls = map[ident.UpstreamID]*poll{}
	a.feed.lives = map[ident.UpstreamID]*fedLife{}
	a.source.watches = map[string]context.CancelFunc{}
	a.source.indexes = map[string]uint64{}
	a.book = newBook()
	a.relay = relay{changed: make(chan struct{}), serving: make(chan struct{}, 1), fetching: map[string]bool{}}
	return nil
}

// makeClients makes what calls over the network.
func (a *Agent) makeClients() error {
	a.peers = peer.NewPool(a.peerConfig(a.isKnown))
	local := a.peerConfig(func(id peer.Identity) bool { return id.Instance == a.self.Instance })
	local.TLS = nil
	local.Limits = peer.Limits{Frame: feedFrame, BackoffMax: feedBackoff}
	a.feedPool = peer.NewPool(local)
	a.engines = engines.New(a.options.Dialer, upstreamTimeout)
	reader, err := configservice.Open(a.settings.Platform.Adapter, configservice.Options{
		URLs: a.settings.Platform.URLs, Reader: a.self.Instance, Wait: a.settings.Platform.Wait,
		Transport: newTransport(a.platformMeter.Counting(a.options.Dialer)),
	})
	if err != nil {
		return oops.In("agent").Wrapf(err, "open the platform")
	}
	a.reader = reader
	return nil
}

// seed takes in the instances that the settings name.
func (a *Agent) seed() {
	var seeds []membership.Seed
	for _, s := range a.settings.Peers.Seeds {
		a.book.seed(s)
		seeds = append(seeds, membership.Seed{ID: s.Instance, Zone: s.Zone, Address: s.Address})
	}
	a.machine.Seeds(a.now, seeds)
	a.publishKnown()
}
