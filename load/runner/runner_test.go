package runner

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/load/workload"
)

const workloadYAML = `
workspaces: [{name: w, share: 1}]
kinds:
  - {name: order, share: 1, service: shop, repeatable: false, deadline: 5s}
  - {name: look, share: 1, service: shop, repeatable: true, deadline: 5s}
caller: {retry_share: 1, max_retries: 2}
`

// fakeInstance is an instance whose only service counts runs by request ID.
type fakeInstance struct {
	mu      sync.Mutex
	runs    map[string]int
	tickets map[string]bool
	// refusalsPerRequest is how many sendings of each request are refused before one
	// is accepted.
	refusalsPerRequest int
	refused            map[string]int
	// dropAfterRun breaks the connection after the first run of each request, before
	// its answer is sent.
	dropAfterRun bool
	dropped      map[string]bool
}

func newFakeInstance() *fakeInstance {
	return &fakeInstance{runs: map[string]int{}, tickets: map[string]bool{}, refused: map[string]int{}, dropped: map[string]bool{}}
}

func (s *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(api.HeaderRequestID)
	if r.URL.Path == "/v1/tickets" {
		s.tickets[id] = true
		_, _ = io.WriteString(w, `{"ticket":"`+id+`"}`)
		return
	}
	if s.refused[id] < s.refusalsPerRequest {
		s.refused[id]++
		_ = api.NewProblem(api.ProblemOverloaded, api.NotRun, "").WithRetryAfter(10 * time.Millisecond).Write(w)
		return
	}
	ticket := r.Header.Get(api.HeaderTicket)
	once := ticket != "" && s.runs[id] > 0
	if !once {
		s.runs[id]++
	}
	if s.dropAfterRun && !s.dropped[id] {
		s.dropped[id] = true
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(api.HeaderOutcome, string(api.Complete))
	_ = json.NewEncoder(w).Encode(map[string]string{
		"service": "shop", "path": strings.TrimPrefix(r.URL.Path, "/services/shop"),
		"echo": string(body), "correlation_id": id,
	})
}

func runWorkload(t *testing.T, s *fakeInstance, more ...string) []Record {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	spec, err := workload.Parse([]byte(workloadYAML))
	assert.NilError(t, err)
	return Run(context.Background(), Options{
		Spec: spec, Targets: append(more, strings.TrimPrefix(server.URL, "http://")),
		Rate: 200, Duration: 100 * time.Millisecond, Seed: 1, RunID: "t", Tickets: true,
	})
}

func TestRunsEachRequestOnce(t *testing.T) {
	s := newFakeInstance()
	records := runWorkload(t, s)
	assert.Assert(t, len(records) > 5)
	for _, r := range records {
		assert.Equal(t, r.Outcome, api.Complete, "%+v", r)
		assert.Equal(t, s.runs[r.ID], 1)
		assert.Equal(t, s.tickets[r.ID], !r.Repeatable)
	}
}

func TestComesBackAfterRefusals(t *testing.T) {
	s := newFakeInstance()
	s.refusalsPerRequest = 2
	for _, r := range runWorkload(t, s) {
		assert.Equal(t, r.Outcome, api.Complete, "%+v", r)
		assert.Equal(t, r.Refusals, 2)
		assert.Assert(t, !r.NotRun)
	}
	s = newFakeInstance()
	s.refusalsPerRequest = 100
	for _, r := range runWorkload(t, s) {
		assert.Equal(t, r.Outcome, api.NotRun)
		assert.Assert(t, r.NotRun)
		assert.Equal(t, r.Sendings, 3)
	}
}

func TestBrokenConnectionsDoNotDoubleOrders(t *testing.T) {
	s := newFakeInstance()
	s.dropAfterRun = true
	for _, r := range runWorkload(t, s) {
		assert.Equal(t, r.Outcome, api.Complete, "%+v", r)
		assert.Equal(t, r.BrokenConnections, 1)
		if !r.Repeatable {
			assert.Equal(t, s.runs[r.ID], 1, "%+v", r)
		}
	}
}

func TestGoesOnPastADeadInstance(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	for _, r := range runWorkload(t, newFakeInstance(), l.Addr().String()) {
		assert.Equal(t, r.Outcome, api.Complete, "%+v", r)
	}
}

func TestSummaryAndFiles(t *testing.T) {
	spec, err := workload.Parse([]byte(workloadYAML))
	assert.NilError(t, err)
	records := []Record{
		{ID: "1", Kind: "order", Outcome: api.Complete, Status: 200, FirstMS: 10, DoneMS: 20},
		{ID: "2", Kind: "order", Outcome: api.Complete, Status: 200, FirstMS: 6000, DoneMS: 6001},
		{ID: "3", Kind: "order", Outcome: api.NotRun, NotRun: true, Sendings: 1},
		{ID: "4", Kind: "look", Outcome: api.Unknown, Sendings: 1},
		{ID: "5", Kind: "look", Cancelled: true, BrokenConnections: 1, Sendings: 1},
		{ID: "6", Kind: "look", Outcome: api.Complete, Status: 200, InvalidAnswer: true, Sendings: 1},
	}
	list := Summarize(spec, records)
	total := list[len(list)-1]
	assert.Equal(t, total.Kind, TotalKind)
	assert.Equal(t, total.Offered, 6)
	assert.Equal(t, total.Good, 1)
	assert.Equal(t, total.Complete, 2)
	assert.Equal(t, total.Refused, 1)
	assert.Equal(t, total.Unknown, 2)
	assert.Equal(t, total.Cancelled, 1)
	assert.Equal(t, total.Wrong, 1)
	table, err := Table(list, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rows), 3)

	dir := t.TempDir()
	assert.NilError(t, SaveRecords(filepath.Join(dir, "r.json"), records))
	data, err := os.ReadFile(filepath.Join(dir, "r.json"))
	assert.NilError(t, err)
	var saved SavedRecords
	assert.NilError(t, json.Unmarshal(data, &saved))
	assert.DeepEqual(t, saved.Records, records)
	assert.NilError(t, SavePlot(filepath.Join(dir, "p"), spec, records, time.Second))
}
