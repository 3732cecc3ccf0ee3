package openai

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/kernel"
)

// headerLoad is the response header with an ORCA load report in JSON format.
const headerLoad = "endpoint-load-metrics"

// loadFormat is the format name that may precede the report.
const loadFormat = "JSON "

// loadMetrics holds the members that the adapter reads from a load report.
type loadMetrics struct {
	NamedMetrics struct {
		Waiting       int `json:"num_requests_waiting"`
		Running       int `json:"num_requests_running"`
		Slots         int `json:"slots"`
		WaitingTokens int `json:"waiting_tokens"`
		PiecesUsed    int `json:"pieces_used"`
		PiecesTotal   int `json:"pieces_total"`
		Draining      int `json:"draining"`
	} `json:"named_metrics"`
}

// parseLoad parses the load report in a response's headers. It reports false if
// there is none or it is malformed. The observation's time is the present time,
// since the engine has just written the report.
func parseLoad(h http.Header) (adapter.Observation, bool) {
	text := strings.TrimPrefix(h.Get(headerLoad), loadFormat)
	if text == "" {
		return adapter.Observation{}, false
	}
	var m loadMetrics
	if err := json.Unmarshal([]byte(text), &m); err != nil {
		return adapter.Observation{}, false
	}
	n := m.NamedMetrics
	return adapter.Observation{
		Load: kernel.Load{
			At:           time.Now(),
			Running:      n.Running,
			Waiting:      n.Waiting,
			Slots:        n.Slots,
			PiecesUsed:   n.PiecesUsed,
			PiecesTotal:  n.PiecesTotal,
			QueuedTokens: n.WaitingTokens,
		},
		Draining: n.Draining != 0,
	}, true
}
