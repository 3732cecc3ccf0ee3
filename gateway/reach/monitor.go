// Package reach determines whether this instance reaches the upstreams of a service at all. An
// instance that is disconnected from all of them sees the same failures as one whose upstreams are
// all down, so failed connections are evidence about the upstreams only while connections to others
// succeed.
package reach

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

const (
	// checkTimeout bounds one check. Upstreams accept connections within a few ms.
	checkTimeout = 400 * time.Millisecond
	// checkInterval is the minimum time between the starts of two rounds of checks.
	checkInterval = 300 * time.Millisecond
	// checksPerRound is the number of upstreams that are checked in one round.
	checksPerRound = 5
	// minFailed is the number of upstreams to which connections must fail, with none succeeding,
	// for the instance to count as disconnected. It applies if that many are listed.
	minFailed = 4
	// minRestored is the number of upstreams that must accept connections in one round for a
	// disconnected instance to count as connected again. One is enough in restoredRounds rounds in
	// a row.
	minRestored    = 2
	restoredRounds = 2
	// suspectedAfter is the number of upstreams to which connections must fail, with none
	// succeeding, for the instance to be suspected of having lost all of them.
	suspectedAfter = 2
	// evidenceTTL is how long a successful connection shows that this instance reaches upstreams.
	evidenceTTL = time.Second
)

// Options configure a Monitor.
type Options struct {
	// Upstreams returns the listed upstreams of a service, or of all services for "".
	Upstreams func(service string) []dialect.Upstream
	// Check opens a new connection to an upstream and closes it.
	Check func(ctx context.Context, u dialect.Upstream) error
	// Confirmed is called when a connection to an upstream of a service succeeds after others have
	// failed: the failures before were not those of this instance's network path.
	Confirmed func(service string)
	// Restored is called when the instance reaches upstreams of a service again after it had lost
	// all of them.
	Restored func(service string)
	Log      *slog.Logger
	// Count increments the event counter with the given name.
	Count func(name string)
}

// Monitor watches the connection attempts to upstreams and checks, when some fail, whether any
// upstream of the service can be connected to. It is safe for concurrent use.
type Monitor struct {
	o Options
	// wake starts the checks.
	wake chan struct{}

	mu sync.Mutex
	// services holds the state of the services to whose upstreams connections were attempted.
	services map[string]*serviceState
}

// serviceState is what is known of the path to the upstreams of a service.
type serviceState struct {
	// failed holds the addresses to which a connection attempt failed since the last one that
	// succeeded.
	failed map[string]bool
	// succeededAt is when a connection attempt last succeeded, verifiedAt when Reaches last
	// checked without success.
	succeededAt, verifiedAt time.Time
	// disconnected means that no upstream can be connected to, since disconnectedAt.
	disconnected   bool
	disconnectedAt time.Time
	// restored is the number of rounds in a row in which an upstream accepted a connection while
	// disconnected is set.
	restored int
}

// NewMonitor returns a monitor of an instance that counts as connected.
func NewMonitor(o Options) *Monitor {
	return &Monitor{o: o, wake: make(chan struct{}, 1), services: map[string]*serviceState{}}
}

// state returns the state of a service. The caller holds mu.
func (m *Monitor) state(service string) *serviceState {
	s := m.services[service]
	if s == nil {
		s = &serviceState{failed: map[string]bool{}}
		m.services[service] = s
	}
	return s
}

// Disconnected reports whether this instance reaches no upstream of a service.
func (m *Monitor) Disconnected(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state(service).disconnected
}

// Suspected reports whether connections to several upstreams of a service have failed since one
// succeeded.
func (m *Monitor) Suspected(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(service)
	return s.disconnected || len(s.failed) >= suspectedAfter
}

// RecordDial records the result of an attempt to open a connection to an upstream.
func (m *Monitor) RecordDial(u dialect.Upstream, err error) {
	switch {
	case errors.Is(err, context.Canceled):
	case err != nil:
		m.recordFailure(u)
	default:
		m.recordSuccess(u)
	}
}

// recordFailure records a failed connection attempt and starts the checks.
func (m *Monitor) recordFailure(u dialect.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state(u.Service).failed[u.Address] = true
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// recordSuccess records a connection. A disconnected instance counts as connected again only
// after a round of checks, because an unreliable path lets some connections through.
func (m *Monitor) recordSuccess(u dialect.Upstream) {
	m.mu.Lock()
	s := m.state(u.Service)
	s.succeededAt = clock.Now()
	confirms := !s.disconnected && len(s.failed) > 0
	if confirms {
		clear(s.failed)
	}
	m.mu.Unlock()
	if confirms {
		m.o.Confirmed(u.Service)
	}
}

// Run checks upstreams until ctx ends: those of a service to which a connection attempt has failed,
// until one succeeds or the service counts as disconnected, and from then on until it is connected
// again.
func (m *Monitor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		doubtful := m.doubtful()
		if len(doubtful) == 0 {
			select {
			case <-ctx.Done():
			case <-m.wake:
			}
			continue
		}
		started := clock.Now()
		var rounds sync.WaitGroup
		for _, service := range doubtful {
			rounds.Go(func() { m.round(ctx, service) })
		}
		rounds.Wait()
		pause.For(ctx, checkInterval-clock.Since(started))
	}
}

// doubtful returns the services to which connection attempts have failed since the last one that
// succeeded.
func (m *Monitor) doubtful() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for service, s := range m.services {
		if s.disconnected || len(s.failed) > 0 {
			out = append(out, service)
		}
	}
	return out
}

// Reaches reports whether this instance reaches upstreams of a service. Without recent evidence it
// checks some of them, for checkTimeout at most.
func (m *Monitor) Reaches(ctx context.Context, service string) bool {
	m.mu.Lock()
	s, now := m.state(service), clock.Now()
	recent := len(s.failed) == 0 && now.Sub(s.succeededAt) < evidenceTTL
	known := recent || s.disconnected || now.Sub(s.verifiedAt) < checkInterval
	m.mu.Unlock()
	if known {
		return recent
	}
	if m.check(ctx, sample(m.o.Upstreams(service), checksPerRound), 1) > 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.verifiedAt = clock.Now()
	return false
}

// Confirm reports whether any other upstream of the service accepts a connection, so that a failure
// to connect to the given one is not caused by this instance's network path. Upstreams of other
// services are checked if the service has no other one. It takes up to checkTimeout if none accepts.
func (m *Monitor) Confirm(u dialect.Upstream) bool {
	if m.Disconnected(u.Service) {
		return false
	}
	list := without(m.o.Upstreams(u.Service), u.Address)
	if len(list) == 0 {
		list = without(m.o.Upstreams(""), u.Address)
	}
	return len(list) == 0 || m.check(context.Background(), sample(list, checksPerRound), 1) > 0
}

// without returns the upstreams of a list that have another address.
func without(list []dialect.Upstream, address string) []dialect.Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u dialect.Upstream) bool { return u.Address == address })
}

// round checks some upstreams of a service and draws the conclusion.
func (m *Monitor) round(ctx context.Context, service string) {
	listed := m.o.Upstreams(service)
	targets := sample(listed, checksPerRound)
	reached := m.check(ctx, targets, len(targets))
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	s := m.state(service)
	before := s.disconnected
	s.conclude(reached, len(targets), len(listed))
	after, failed, lasted := s.disconnected, len(s.failed), clock.Since(s.disconnectedAt)
	m.mu.Unlock()
	log := m.o.Log.With("dependency", "upstreams", "service", service)
	switch {
	case after && !before:
		m.o.Count("upstreams_lost")
		log.Warn("dependency lost", "unreachable", failed, "listed", len(listed))
	case before && !after:
		m.o.Count("upstreams_regained")
		log.Info("dependency regained", "reached", reached, "checked", len(targets), "after_ms", lasted.Milliseconds())
		m.o.Restored(service)
	}
}

// conclude updates the state after a round in which reached of checked upstreams accepted a
// connection. listed is the number of upstreams of the service. The caller holds mu.
func (s *serviceState) conclude(reached, checked, listed int) {
	switch {
	case listed == 0:
		// Nothing is left to be connected to.
		s.disconnected = false
	case reached > 0 && s.disconnected:
		s.restored++
		s.disconnected = reached < min(minRestored, checked) && s.restored < restoredRounds
	case reached > 0:
	case s.disconnected:
		s.restored = 0
	case len(s.failed) >= min(minFailed, listed):
		s.disconnected, s.disconnectedAt, s.restored = true, clock.Now(), 0
	}
	if !s.disconnected && (reached > 0 || listed == 0) {
		clear(s.failed)
	}
}

// check opens a connection to each of the targets at once, and returns how many accepted it. It
// stops at enough.
func (m *Monitor) check(ctx context.Context, targets []dialect.Upstream, enough int) int {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, u := range targets {
		go func() { results <- m.o.Check(ctx, u) }()
	}
	reached := 0
	for range targets {
		if <-results == nil {
			reached++
		}
		if reached == enough {
			break
		}
	}
	return reached
}

// sample returns at most n random upstreams of a list, with different addresses and from as many
// zones as possible.
func sample(list []dialect.Upstream, n int) []dialect.Upstream {
	byZone := map[ident.Zone][]dialect.Upstream{}
	var zones []ident.Zone
	for _, i := range rand.Perm(len(list)) {
		zone := list[i].Zone
		if byZone[zone] == nil {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], list[i])
	}
	var out []dialect.Upstream
	for rank := 0; len(out) < n; rank++ {
		before := len(out)
		for _, zone := range zones {
			if rank < len(byZone[zone]) && len(out) < n {
				out = append(out, byZone[zone][rank])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}
