package gateway

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/metrics"
)

// latencyBuckets are the histogram buckets of request durations. They range from 5 ms, a fast
// answer, to about 20 s, the longest time that a caller waits.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// counters holds the gateway's metrics.
type counters struct {
	reporter *metrics.Reporter
	scope    tally.Scope
	closer   io.Closer
}

func newCounters() *counters {
	r := metrics.NewReporter()
	scope, closer := metrics.NewScope(r, "wardspool_gateway")
	return &counters{reporter: r, scope: scope, closer: closer}
}

// count increments the counter of an event. The name is without the suffix "_total".
func (c *counters) count(name string) { c.scope.Counter(name + "_total").Inc(1) }

// observeRequest records the outcome and the duration of an answered request.
func (c *counters) observeRequest(r *routing.Route, outcome string, took time.Duration) {
	s := c.scope.Tagged(map[string]string{"kind": r.Kind.String(), "outcome": outcome})
	s.Counter("requests_total").Inc(1)
	s.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// waitBuckets are the histogram buckets of waits for an engine. They range from 5 ms to about 5 s.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

// observeStay records how long a placed request waited for an engine, and how long it was expected to
// wait if that was asked.
func (c *counters) observeStay(s admission.Stay) {
	c.scope.Histogram("queue_wait_seconds", waitBuckets).RecordDuration(s.Waited)
	if s.Asked {
		c.scope.Histogram("queue_wait_expected_seconds", waitBuckets).RecordDuration(s.Expected)
	}
}

// handler serves the metrics, the quarantined request contents, the state of the rate limits of
// workspaces and of upstreams, and the queues of services.
func (c *counters) handler(held *quarantine.Register, limits func() []limit.Status, s *schedule.Scheduler, queues *admission.Controller) http.Handler {
	r := mux.NewRouter()
	r.Path("/metrics").Handler(c.reporter)
	r.Path("/quarantine").Handler(serveJSON(func() any { return held.List(clock.Now()) }))
	r.Path("/limits").Handler(serveJSON(func() any { return limits() }))
	r.Path("/upstream-limits").Handler(serveJSON(func() any { return s.RateLimits(clock.Now()) }))
	r.Path("/queues").Handler(serveJSON(func() any { return sortedQueues(queues.Status(clock.Now())) }))
	return r
}

// sortedQueues sorts the state of queues by service, so that two responses can be compared.
func sortedQueues(list []admission.Status) []admission.Status {
	slices.SortFunc(list, func(a, b admission.Status) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// serveJSON serves the result of a function as JSON. It calls the function for each request.
func serveJSON(value func() any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error mostly means that the operator has disconnected and needs no answer.
		_ = json.NewEncoder(w).Encode(value())
	})
}

// countLimitUnits counts the cost of a request whose workspace has a rate limit, by workspace and
// verdict. A refused request counts with the cost that it would have had.
func (c *counters) countLimitUnits(workspace, verdict string, cost float64) {
	s := c.scope.Tagged(map[string]string{"workspace": workspace, "verdict": verdict})
	s.Counter("limit_units_total").Inc(int64(min(cost, maxCountedCost)))
}

// maxCountedCost bounds what one request adds to a counter, because callers may state any number of
// tokens.
const maxCountedCost = 1e12

// close stops the reporting of metrics. It drops the error because the reporter never returns one.
func (c *counters) close() { _ = c.closer.Close() }
