package agent

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/metrics"
)

const (
	// metricsPrefix is the prefix of all metric names.
	metricsPrefix = "wardspool_agent"
	// metricsTimeout limits reading a request for metrics and writing its answer.
	metricsTimeout = 5 * time.Second
	// metricsHeaderBytes limits the header of a request for metrics.
	metricsHeaderBytes = 4 << 10
)

// metricsServer serves GET /metrics.
type metricsServer struct {
	listener net.Listener
	http     *http.Server
}

// address returns the listener's address, "" if there is none.
func (m *metricsServer) address() string {
	if m == nil {
		return ""
	}
	return m.listener.Addr().String()
}

// serve runs until the server is shut down. Errors are those of the listener.
func (m *metricsServer) serve() error {
	err := m.http.Serve(m.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listenForMetrics opens the address for metrics if one is configured.
func (a *Agent) listenForMetrics() error {
	if a.settings.Metrics.Listen == "" {
		return nil
	}
	l, err := a.options.Listen(a.settings.Metrics.Listen)
	if err != nil {
		return oops.In("agent").Wrapf(err, "listen for metrics")
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/metrics", a.serveMetrics).Methods(http.MethodGet)
	a.servers.metrics = &metricsServer{listener: l, http: &http.Server{
		Handler:        routes,
		ReadTimeout:    metricsTimeout,
		WriteTimeout:   metricsTimeout,
		MaxHeaderBytes: metricsHeaderBytes,
		ErrorLog:       slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}}
	return nil
}

// serveMetrics writes the agent's status as metrics. They are computed per
// request, so an agent that is not scraped spends nothing on them.
func (a *Agent) serveMetrics(w http.ResponseWriter, r *http.Request) {
	s, err := a.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", metrics.ContentType)
	// A write fails only if the caller has disconnected.
	_, _ = io.WriteString(w, metrics.Render(metricsPrefix, func(scope tally.Scope) { fillMetrics(scope, &s) }))
}

// fillMetrics records a status as metrics.
func fillMetrics(scope tally.Scope, s *wire.Status) {
	fillBundle(scope, s)
	fillFleet(scope, &s.Fleet)
	fillCounters(scope, &s.Counters)
	fillPlatform(scope, &s.Platform)
	fillUsage(scope, s)
}

func fillBundle(scope tally.Scope, s *wire.Status) {
	scope.Gauge("bundle_version").Update(float64(s.Bundle.Version))
	scope.Gauge("bundle_newest_version").Update(float64(s.Bundle.Newest))
	scope.Gauge("bundle_missing_parts").Update(float64(s.Bundle.MissingParts))
	scope.Gauge("bundle_roll_sequence").Update(float64(s.Bundle.RollSequence))
	scope.Gauge("entry_answers").Update(boolGauge(s.Entry.Answers))
	scope.Gauge("entry_bundle_version").Update(float64(s.Entry.BundleVersion))
	scope.Gauge("entry_in_flight").Update(float64(s.Entry.InFlight))
	for _, alarm := range s.Alarms {
		scope.Tagged(map[string]string{"type": string(alarm.Type)}).Gauge("alarm").Update(1)
	}
}

// livenessLabels are the labels of the instance and upstream counts.
type livenessLabels struct{ zone, state string }

func fillFleet(scope tally.Scope, f *wire.FleetStatus) {
	scope.Gauge("view_trusted").Update(boolGauge(f.Trusted))
	scope.Gauge("heartbeat_partners").Update(float64(f.Partners))
	instances, upstreams := map[livenessLabels]int{}, map[livenessLabels]int{}
	for _, in := range f.Instances {
		instances[livenessLabels{string(in.Zone), stateLabel(in.State, in.Leaving)}]++
	}
	for _, u := range f.Upstreams {
		upstreams[livenessLabels{string(u.Zone), stateLabel(u.State, u.Leaving)}]++
	}
	fillProcesses(scope, "instances", instances)
	fillProcesses(scope, "upstreams", upstreams)
}

func fillProcesses(scope tally.Scope, name string, counts map[livenessLabels]int) {
	for l, n := range counts {
		scope.Tagged(map[string]string{"zone": l.zone, "state": l.state}).Gauge(name).Update(float64(n))
	}
}

// stateLeaving is the label value for processes that are leaving, whether they
// still respond or not.
const stateLeaving = "leaving"

func stateLabel(name string, leaving bool) string {
	if leaving {
		return stateLeaving
	}
	return name
}

func fillCounters(scope tally.Scope, c *wire.Counters) {
	for _, x := range []struct {
		name  string
		value uint64
	}{
		{"heartbeats", c.Heartbeats},
		{"heartbeats_failed", c.HeartbeatsFailed},
		{"heartbeats_taken", c.HeartbeatsTaken},
		{"probes", c.Probes},
		{"feed_updates", c.FeedUpdates},
		{"feed_failures", c.FeedFailures},
		{"load_polls", c.LoadPolls},
		{"load_polls_failed", c.LoadPollsFailed},
		{"held_reads", c.HeldReads},
		{"held_reads_failed", c.HeldReadsFailed},
		{"releases", c.Releases},
		{"released", c.Released},
		{"order_reads", c.OrderReads},
		{"orders", c.Orders},
		{"orders_refused", c.OrdersRefused},
		{"parts_fetched", c.PartsFetched},
		{"parts_served", c.PartsServed},
		{"lists_fetched", c.ListsFetched},
		{"calls_refused", c.Refused},
		{"bundles_in_force", c.BundlesInForce},
		{"process_pauses", c.Pauses},
	} {
		scope.Counter(x.name).Inc(int64(x.value))
	}
}

func fillPlatform(scope tally.Scope, p *wire.PlatformStatus) {
	scope.Gauge("platform_watches").Update(float64(len(p.Watches)))
	if p.LastResponseAgeMS >= 0 {
		age := time.Duration(p.LastResponseAgeMS) * time.Millisecond
		scope.Gauge("platform_seen_age_seconds").Update(age.Seconds())
	}
	scope.Counter("platform_calls").Inc(int64(p.Calls))
	scope.Counter("platform_unavailable").Inc(int64(p.Unavailable))
	scope.Counter("platform_stale").Inc(int64(p.Stale))
	scope.Counter("platform_rate_limited").Inc(int64(p.RateLimited))
}

func fillUsage(scope tally.Scope, s *wire.Status) {
	fillTraffic(scope, "peers", s.Traffic.Peers)
	fillTraffic(scope, "upstreams", s.Traffic.Upstreams)
	fillTraffic(scope, "platform", s.Traffic.Platform)
	fillTraffic(scope, "entry", s.Traffic.Entry)
	cpu := time.Duration(s.Process.CPUMS) * time.Millisecond
	scope.Gauge("cpu_seconds").Update(cpu.Seconds())
	scope.Gauge("resident_bytes").Update(float64(s.Process.RSSBytes))
}

func fillTraffic(scope tally.Scope, with string, t wire.Traffic) {
	tagged := scope.Tagged(map[string]string{"with": with})
	tagged.Counter("bytes_sent").Inc(int64(t.Sent))
	tagged.Counter("bytes_received").Inc(int64(t.Received))
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
