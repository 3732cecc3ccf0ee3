package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/metrics"
)

// TestMetrics checks the metrics of a status, which exclude those of the Go
// runtime.
func TestMetrics(t *testing.T) {
	s := wire.Status{
		Bundle: wire.BundleStatus{Version: 7, Newest: 8, MissingParts: 3},
		Entry:  wire.EntryStatus{Answers: true, BundleVersion: 7, InFlight: 12},
		Alarms: []wire.AlarmStatus{{Type: ledger.AlarmUnverified}},
		Fleet: wire.FleetStatus{Trusted: true, Instances: []wire.InstanceStatus{
			{Zone: "hall-a", State: "alive"}, {Zone: "hall-a", State: "alive"}, {Zone: "hall-b", State: "alive", Leaving: true},
		}},
		Counters: wire.Counters{Orders: 4},
		Platform: wire.PlatformStatus{LastResponseAgeMS: 1500},
		Traffic:  wire.TrafficStatus{Peers: wire.Traffic{Sent: 100, Received: 50}},
		Process:  wire.ProcessStatus{CPUMS: 250},
	}
	text := metrics.Render(metricsPrefix, func(scope tally.Scope) { fillMetrics(scope, &s) })
	for _, line := range []string{
		`wardspool_agent_bundle_version 7`,
		`wardspool_agent_bundle_newest_version 8`,
		`wardspool_agent_alarm{type="` + string(ledger.AlarmUnverified) + `"} 1`,
		`wardspool_agent_entry_in_flight 12`,
		`wardspool_agent_instances{state="alive",zone="hall-a"} 2`,
		`wardspool_agent_instances{state="leaving",zone="hall-b"} 1`,
		`wardspool_agent_orders 4`,
		`wardspool_agent_platform_seen_age_seconds 1.5`,
		`wardspool_agent_bytes_sent{with="peers"} 100`,
		`wardspool_agent_cpu_seconds 0.25`,
		`# TYPE wardspool_agent_orders counter`,
	} {
		assert.Check(t, strings.Contains(text, line+"\n"), "%s is missing in\n%s", line, text)
	}
}

// TestMetricsOfARunningAgent calls the metrics handler of a running agent, as its
// listener does.
func TestMetricsOfARunningAgent(t *testing.T) {
	inFleet(t, func(f *fleet) {
		nodes := f.addAll(2, "hall-a")
		f.list()
		startAll(nodes)
		time.Sleep(5 * time.Second)
		answer := httptest.NewRecorder()
		nodes[0].agent.serveMetrics(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, answer.Header().Get("Content-Type"), metrics.ContentType)
		want := `wardspool_agent_instances{state="` + membership.Alive.String() + `",zone="hall-a"} 1` + "\n"
		assert.Assert(t, strings.Contains(answer.Body.String(), want), answer.Body.String())
	})
}
