package overhead

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
)

// fastEngine starts a stand-in engine with negligible processing times and returns
// its address.
func fastEngine(t *testing.T, role config.Role) string {
	t.Helper()
	p := perf.Defaults()
	p.DecodeStep, p.DecodeStepPerRequest = time.Millisecond, 0
	p.PrefillTokensPerSecond = 1e7
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	e := engine.New(engine.Config{ID: "e", Role: role, Models: []string{"m"}, Address: address, Perf: p})
	server.Config.Handler = e.Handler()
	server.Start()
	t.Cleanup(func() {
		server.Close()
		e.Close()
	})
	return address
}

func TestBothRoutesAreMeasured(t *testing.T) {
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = api.NewProblem(api.ProblemOverloaded, api.NotRun, "full").Write(w)
	}))
	defer refusing.Close()
	r := Run(context.Background(), Options{
		Target:  strings.TrimPrefix(refusing.URL, "http://"),
		Prefill: fastEngine(t, config.RolePrefill), Decode: []string{fastEngine(t, config.RoleDecode)},
		Model: "m", PromptTokens: 10, OutputTokens: 3, Streams: 2, Direct: 2,
		MaxPause: DefaultMaxPause, Duration: 600 * time.Millisecond, Seed: 1, RunID: "t",
	})
	assert.NilError(t, r.Direct.FirstError)
	assert.Equal(t, r.Direct.Failed, 0)
	assert.Assert(t, r.Direct.First.Count() > 0)
	assert.Assert(t, r.Wardspool.Failed > 0)
	assert.ErrorContains(t, r.Wardspool.FirstError, "full")
	table, err := r.Table()
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rows), 3)
}
