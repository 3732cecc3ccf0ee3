package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/plugins/standard"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/standin/engine"
	"github.com/wardspool/wardspool/standin/perf"
	"github.com/wardspool/wardspool/standin/service"
)

// testBundle is the source of the bundle for all tests of this package.
const testBundle = `
deployment: test
kinds:
  - {name: review, route: model, repeatable: true, deadline: 20s, first_output: 5s, pace: 200ms, default_output_tokens: 8}
  - {name: lookup, route: service, repeatable: true, deadline: 5s}
  - {name: order, route: service, repeatable: false, deadline: 5s}
models:
  - {name: reader, max_context: 8000, kv_bytes_per_token: 1000, piece_tokens: 100}
services:
  - {name: desk, timeout: 2s, concurrency: 16}
workspaces:
  - {name: default, weight: 1}
  - {name: other, weight: 1}
upstreams:
  - {id: pf-1, role: prefill, models: [reader], pieces: 400, prefill_tokens_per_second: 200000, link_bytes_per_second: 1000000000}
  - {id: dc-1, role: decode, models: [reader], slots: 20, pieces: 2000, link_bytes_per_second: 1000000000, decode_step: 2ms, decode_step_per_request: 10us}
  - {id: dc-2, role: decode, models: [reader], slots: 20, pieces: 2000, link_bytes_per_second: 1000000000, decode_step: 2ms, decode_step_per_request: 10us}
  - {id: desk-1, role: service, service: desk}
policy:
  slots: slots.none
  order: order.deadline
  admission: [admission.known]
  filters: [filter.role, filter.model, filter.leaving, filter.ejected]
  scorers: [{id: scorer.first_output, weight: 1}]
  queue_limit: 100
  retry_budget: 0.5
  max_attempts: 4
  retry_backoff: 10ms
  view_stale: 2s
  kv_lifetime: 900ms
  transfer_stall: 1s
`

// testbed is an entry in the test's process with simulated upstreams.
type testbed struct {
	t       *testing.T
	entry   *entry.Entry
	engines map[ident.UpstreamID]*engine.Engine
	service *service.Service
	// addresses holds the address of each upstream.
	addresses map[ident.UpstreamID]string
	// url is the base URL of the entry for callers.
	url string
	// http sends callers' requests.
	http *http.Client
	stop context.CancelFunc
	done chan error
}

// newTestbed starts an entry and its upstreams. change, if not nil, modifies the entry's
// settings. When the test ends, they are stopped and no goroutine may be left.
func newTestbed(t *testing.T, change func(*entry.Settings)) *testbed {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	b := &testbed{t: t, http: http.DefaultClient, engines: map[ident.UpstreamID]*engine.Engine{}, addresses: map[ident.UpstreamID]string{}, done: make(chan error, 1)}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, ignore)
	})
	s := b.settings()
	s.Static.Upstreams = []entry.StaticUpstream{
		b.startEngine("pf-1", config.RolePrefill),
		b.startEngine("dc-1", config.RoleDecode),
		b.startEngine("dc-2", config.RoleDecode),
		b.startService("desk-1"),
	}
	for _, u := range s.Static.Upstreams {
		b.addresses[u.ID] = u.Address
	}
	if change != nil {
		change(s)
	}
	b.startEntry(s)
	return b
}

// settings parses the settings file of the entry.
func (b *testbed) settings() *entry.Settings {
	b.t.Helper()
	file := filepath.Join(b.t.TempDir(), "bundle.yaml")
	assert.NilError(b.t, os.WriteFile(file, []byte(testBundle), 0o600))
	s, err := settings.Parse[entry.Settings]("test.yaml", []byte(fmt.Sprintf(`
instance: entry-1
zone: hall-a
callers: {listen: "127.0.0.1:0"}
operators: {listen: "127.0.0.1:0", names: [ops-1]}
stop: {grace: 1ms, timeout: 10s}
static: {bundle: %q}
`, file)))
	assert.NilError(b.t, err)
	return s
}

// serve serves a handler on a loopback address until the test ends.
func (b *testbed) serve(h http.Handler) string {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	return b.serveOn(l, h)
}

// serveOn serves a handler on a listener until the test ends and returns its address.
func (b *testbed) serveOn(l net.Listener, h http.Handler) string {
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	b.t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return l.Addr().String()
}

// startEngine starts a simulated engine.
func (b *testbed) startEngine(id ident.UpstreamID, role config.Role) entry.StaticUpstream {
	b.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	client := &http.Client{Transport: &http.Transport{}}
	e := engine.New(engine.Config{
		ID: id, Role: role, Models: []string{"reader"}, Version: "1",
		Address: l.Addr().String(), Client: client,
		Perf: perf.Params{
			Slots: 20, Pieces: 2000, PieceTokens: 100,
			PrefillTokensPerSecond: 200_000, PrefillChunk: 500,
			KVBytesPerToken: 1000, LinkBytesPerSecond: 1e9,
			DecodeStep: 2 * time.Millisecond, DecodeStepPerRequest: 10 * time.Microsecond,
			KVLifetime: 900 * time.Millisecond, CachePieces: 100,
		},
	})
	b.engines[id] = e
	address := b.serveOn(l, e.Handler())
	b.t.Cleanup(func() {
		e.Close()
		client.CloseIdleConnections()
	})
	return entry.StaticUpstream{ID: id, Zone: "hall-a", Address: address}
}

// startService starts a simulated service.
func (b *testbed) startService(id ident.UpstreamID) entry.StaticUpstream {
	b.t.Helper()
	b.service = service.New(service.Config{ID: id, Service: "desk", Delay: time.Millisecond})
	b.t.Cleanup(b.service.Close)
	return entry.StaticUpstream{ID: id, Zone: "hall-a", Address: b.serve(b.service.Handler())}
}

// startEntry starts the entry and, unless it serves HTTPS, waits until it is ready.
func (b *testbed) startEntry(s *entry.Settings) {
	b.t.Helper()
	e, err := entry.New(s, slog.New(slog.NewTextHandler(testWriter{b.t}, nil)))
	assert.NilError(b.t, err)
	assert.NilError(b.t, e.Listen())
	b.entry = e
	b.url = "http://" + e.CallerAddress()
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() { b.done <- e.Serve(ctx) }()
	b.t.Cleanup(b.shutDown)
	if s.Callers.TLS.Certificate != "" {
		// Waiting needs a client that trusts the certificate, which the test has not set yet.
		b.url = "https://" + e.CallerAddress()
		return
	}
	b.awaitReady()
}

// shutDown stops the entry gracefully; further calls do nothing.
func (b *testbed) shutDown() {
	if b.stop == nil {
		return
	}
	b.stop()
	b.stop = nil
	assert.NilError(b.t, <-b.done)
}

// awaitReady waits until the entry is ready.
func (b *testbed) awaitReady() {
	b.t.Helper()
	for range 1000 {
		resp, err := b.http.Get(b.url + "/readyz")
		assert.NilError(b.t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.t.Fatal("the entry did not become ready")
}

// do sends a request and returns the response and its whole body. headers alternates
// names and values.
func (b *testbed) do(method, path, body string, headers ...string) (*http.Response, string) {
	b.t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.http.Do(req)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	return resp, string(text)
}

// testWriter writes log lines to the test's log.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", strings.TrimSpace(string(p)))
	return len(p), nil
}
