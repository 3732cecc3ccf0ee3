// Package entry implements an entry instance: the HTTP interface for callers, the
// driver of the decision kernel, the adapters to upstreams, and the connections to
// the agent, to the other instances and to operators' tools.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/front"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/entry/peering"
	"github.com/wardspool/wardspool/entry/tickets"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/prefix"
	"github.com/wardspool/wardspool/metrics"
	"github.com/wardspool/wardspool/peer"
	"github.com/wardspool/wardspool/plugin"
)

// Entry is one entry instance. New creates it, Listen opens its listeners and Serve
// runs it.
type Entry struct {
	settings *Settings
	log      *slog.Logger
	self     kernel.Self

	engine       adapter.Engine
	service      adapter.Service
	closeMetrics func() error
	security     security
	recorder     *recorder
	driver       *driver.Driver
	front        *front.Front
	// dispatcher is nil if no ticket keys are configured.
	dispatcher   *tickets.Dispatcher
	addresses    *peering.AddressBook
	viewCache    peering.ViewCache
	contentCache peering.ContentCache
	pool         *peer.Pool
	servers      servers

	// catalog describes the bundle version in force; it is nil before the first one.
	catalog atomic.Pointer[intake.Catalog]
	// ready is set once the agent has reported that it is ready. notReady and stopping
	// are set by the two steps of a shutdown: notReady makes the readiness probe fail,
	// stopping makes the instance refuse new requests.
	ready    atomic.Bool
	notReady atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
	// staticVersion is the version of the latest view of a static fleet.
	staticVersion atomic.Uint64
}

// New creates an entry instance from settings that have been checked. It fails if a
// plug-in, a TLS file or the ticket keys cannot be loaded.
func New(s *Settings, log *slog.Logger) (*Entry, error) {
	e := &Entry{
		settings: s,
		log:      log,
		self: kernel.Self{
			Instance:    s.Instance,
			Incarnation: ident.NewIncarnation(time.Now()),
			Zone:        s.Zone,
		},
	}
	var err error
	if e.security, err = newSecurity(s, log); err != nil {
		return nil, err
	}
	if err = e.loadAdapters(); err != nil {
		return nil, err
	}
	k, err := kernel.New(kernel.Options{
		Self:   e.self,
		Seed:   rand.Uint64(),
		Prefix: prefix.New(),
	})
	if err != nil {
		return nil, oops.In("entry").Wrapf(err, "create the kernel")
	}
	reporter := metrics.NewReporter()
	scope, closer := metrics.NewScope(reporter, "wardspool_entry")
	e.closeMetrics = closer.Close
	e.recorder = newRecorder(log, scope, s.ExplainRecords)
	e.addresses = peering.NewAddressBook(knownPeers(s.Peers.Known))
	e.pool = peer.NewPool(e.peerConfig(e.addresses.Known))
	e.driver = e.newDriver(k)
	if e.dispatcher, err = newDispatcher(&s.Tickets, e.self, e.addresses, e.pool, e.recorder); err != nil {
		return nil, oops.In("entry").Wrapf(err, "load the ticket keys")
	}
	e.front = e.newFront(reporter)
	return e, nil
}

// newDriver returns the driver that runs the kernel.
func (e *Entry) newDriver(k *kernel.Kernel) *driver.Driver {
	return driver.New(driver.Options{
		Kernel:       k,
		Engine:       e.engine,
		Service:      e.service,
		Peers:        peering.NewSender(e.addresses, e.pool),
		Observer:     e.recorder,
		Log:          e.log,
		PauseAfter:   e.settings.PauseAfter,
		OnPause:      e.onPause,
		OnConfigured: e.onConfigured,
	})
}

// newFront returns the HTTP interface, connected to the ticket dispatcher if there is one.
func (e *Entry) newFront(reporter *metrics.Reporter) *front.Front {
	options := front.Options{
		Instance: e.self.Instance,
		Limits:   e.settings.Callers.Limits.limits(),
		Submit:   inFlightCounter{e},
		Catalog:  e.catalog.Load,
		Ready:    e.notReadyReason,
		Metrics:  reporter,
		Log:      e.log,
	}
	if e.dispatcher == nil {
		return front.New(options)
	}
	options.Tickets = e.dispatcher
	f := front.New(options)
	e.dispatcher.SetRunner(f.RunTicket)
	return f
}

// knownPeers indexes the peers of the settings by instance.
func knownPeers(list []PeerAddress) map[ident.InstanceID]string {
	out := make(map[ident.InstanceID]string, len(list))
	for _, p := range list {
		out[p.Instance] = p.Address
	}
	return out
}

// AdapterTypeError reports that a plug-in is not the type of adapter that it is
// configured as.
type AdapterTypeError struct {
	ID   plugin.ID
	Want string
}

// Error implements error.
func (e *AdapterTypeError) Error() string {
	return "plug-in " + string(e.ID) + " is not " + e.Want
}

// loadAdapters loads the adapters that the settings name.
func (e *Entry) loadAdapters() error {
	var err error
	e.engine, err = loadAdapter[adapter.Engine](e.settings, e.settings.Engine, "an engine adapter")
	if err != nil {
		return err
	}
	e.service, err = loadAdapter[adapter.Service](e.settings, e.settings.Service, "a service adapter")
	return err
}

// loadAdapter loads one adapter with its settings and checks its type.
func loadAdapter[A plugin.Plugin](s *Settings, id plugin.ID, want string) (A, error) {
	var none A
	p, err := plugin.Load(id, s.Plugins[id].Decode)
	if err != nil {
		return none, oops.In("entry").Wrapf(err, "load %s", id)
	}
	a, ok := p.(A)
	if !ok {
		return none, oops.In("entry").Wrap(&AdapterTypeError{ID: id, Want: want})
	}
	return a, nil
}

// inFlightCounter is a front.Submitter that counts the requests in flight.
type inFlightCounter struct{ e *Entry }

// Submit implements front.Submitter.
func (c inFlightCounter) Submit(ctx context.Context, ex *driver.Exchange) driver.Result {
	c.e.inFlight.Add(1)
	defer c.e.inFlight.Add(-1)
	return c.e.driver.Submit(ctx, ex)
}

// notReadyReason returns why the instance is not ready, or front.IsReady.
func (e *Entry) notReadyReason() front.NotReadyReason {
	switch {
	case e.stopping.Load():
		return front.Stopping
	case e.catalog.Load() == nil:
		return front.NoBundle
	case !e.ready.Load():
		return front.NoAgent
	case e.notReady.Load():
		return front.ShutdownPending
	default:
		return front.IsReady
	}
}

// onConfigured publishes a bundle version that came into force to the HTTP interface.
func (e *Entry) onConfigured(version uint64, c *config.Content) {
	e.catalog.Store(intake.NewCatalog(version, c))
	e.recorder.info("bundle in force", "bundle_version", version)
}

// onPause handles a pause of the process that the driver detected.
func (e *Entry) onPause(gap time.Duration) {
	e.recorder.counters.pauses.Inc(1)
	if e.dispatcher != nil {
		e.dispatcher.Paused(gap)
	}
	if e.settings.Static != nil {
		// Without an agent nothing else refreshes the view. The driver calls this from
		// its own goroutine, which must not wait for a post to itself.
		go e.postStaticView()
	}
}

// postStaticView sends the kernel a new view of the static fleet.
func (e *Entry) postStaticView() {
	version := e.staticVersion.Add(1)
	e.driver.Post(kernel.ViewChanged{View: staticView(e.settings, e.self, version, time.Now())})
}

// startStatic puts the bundle and the view of a static fleet into force.
func (e *Entry) startStatic() error {
	content, err := loadStatic(e.settings.Static)
	if err != nil {
		return oops.In("entry").Wrapf(err, "load the static bundle")
	}
	e.postStaticView()
	e.driver.Post(kernel.Configured{Version: staticVersion, Content: content})
	e.ready.Store(true)
	return nil
}

// Explain implements peering.Source.
func (e *Entry) Explain(id ident.RequestID) peering.ExplainReply {
	return peering.ExplainReply{
		Instance:      e.self.Instance,
		Zone:          e.self.Zone,
		Records:       e.recorder.journal.Find(id),
		Presentations: e.recorder.journal.Presentations(id),
	}
}

// Stats implements peering.Source.
func (e *Entry) Stats() peering.StatsReply {
	r := peering.StatsReply{
		Instance:    e.self.Instance,
		Zone:        e.self.Zone,
		Incarnation: e.self.Incarnation,
		InFlight:    int(e.inFlight.Load()),
		Versions:    e.recorder.stats.Versions(),
	}
	if c := e.catalog.Load(); c != nil {
		r.BundleVersion = c.Version
	}
	return r
}
