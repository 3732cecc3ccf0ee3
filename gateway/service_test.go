package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/platform"
	"github.com/wardspool/wardspool/testbed"
)

// fakeSource is a store in memory. It implements dialect.Source.
type fakeSource struct {
	mu     sync.Mutex
	config *routing.Config
	list   []dialect.Upstream
	// down makes the store reject all requests.
	down  bool
	reads int
	// directiveReads counts the reads of the directives, reads those of the list of upstreams.
	directiveReads int
}

// errStoreDown is the error of a store that is down.
var errStoreDown = &dialect.StatusError{Op: "store", Status: http.StatusServiceUnavailable}

func (f *fakeSource) Directives(context.Context) (dialect.Directives, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directiveReads++
	if f.down {
		return dialect.Directives{}, errStoreDown
	}
	return dialect.Directives{Config: f.config, Evacuation: routing.Evacuation{Revision: int64(f.directiveReads)}}, nil
}

func (f *fakeSource) Upstreams(context.Context, func() bool) ([]dialect.Upstream, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return nil, 0, errStoreDown
	}
	return f.list, int64(f.reads), nil
}

// Changes implements dialect.Source. The store keeps no history, so each read lists all upstreams.
func (*fakeSource) History(context.Context, int64) (dialect.History, error) {
	return dialect.History{}, nil
}

func (f *fakeSource) Changes(_ context.Context, after int64) (dialect.Changes, error) {
	return dialect.Changes{}, &dialect.HistoryLostError{After: after}
}

// set calls change with the lock held.
func (f *fakeSource) set(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// startUpstream starts an upstream that serves prefills, streams of two events and plain requests.
// A plain answer consists of the upstream's ID and the request's method, target and body.
func startUpstream(t testing.TB, id string) dialect.Upstream {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		switch {
		case r.URL.Path == "/wardspool/hold-take":
			fmt.Fprint(w, `{"hold":"r"}`)
		case r.Method == http.MethodDelete:
		case r.Header.Get("Serving-Stage") == "prefill":
			fmt.Fprint(w, `{"kvHandle":"k","tokens":10}`)
		default:
			w.Header().Set("Response-Signature", "sig")
			if strings.HasPrefix(r.URL.Path, "/stream/") {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
				return
			}
			fmt.Fprintf(w, "%s %s %s %s", id, r.Method, r.RequestURI, body)
		}
	}))
	t.Cleanup(s.Close)
	return dialect.Upstream{ID: ident.UpstreamID(id), Address: strings.TrimPrefix(s.URL, "http://"), Zone: "a"}
}

// localFleet runs instances that share a store and upstreams, over real connections.
type localFleet struct {
	source *fakeSource
	http   *http.Client
	log    *slog.Logger
}

// newLocalFleet returns a localFleet with a plain service "app" and a model service "llm", and a
// route to each of them. It starts the upstreams but no instance.
func newLocalFleet(t testing.TB) *localFleet {
	t.Helper()
	app, prefill, decode := startUpstream(t, "app"), startUpstream(t, "p"), startUpstream(t, "d")
	app.Service, prefill.Service, decode.Service = "app", "llm", "llm"
	prefill.Stage, decode.Stage = dialect.StagePrefill, dialect.StageDecode
	config := &routing.Config{
		Version: 5,
		Routes: []routing.Route{
			{Name: "plain", Host: "h.example", Prefix: "/plain/", Kind: routing.AtMostOnce, Timeout: 2 * time.Second, Services: []routing.WeightedService{{Service: "app", Weight: 1}}, MaxAttempts: 1},
			{Name: "stream", Host: "h.example", Prefix: "/stream/", Kind: routing.Stream, Timeout: 5 * time.Second, Objective: 4 * time.Second, Services: []routing.WeightedService{{Service: "llm", Weight: 1}}, MaxAttempts: 1},
		},
		Services: map[string]routing.Service{
			"app": {Name: "app"},
			"llm": {Name: "llm", Engine: &routing.Engine{Slots: 8, KVTokens: 90000, TokensPerEvent: 64, HandleTTL: time.Second, ReservationTTL: time.Second}},
		},
	}
	return &localFleet{
		source: &fakeSource{config: config, list: []dialect.Upstream{app, prefill, decode}},
		http:   &http.Client{Transport: &http.Transport{}},
		log:    slog.New(slog.DiscardHandler),
	}
}

// freeAddress returns a loopback address at which nothing listens, with a port that the system does
// not use for outgoing connections.
func freeAddress(t testing.TB) string {
	t.Helper()
	var ports testbed.Ports
	defer ports.Release()
	address, err := ports.Next()
	assert.NilError(t, err)
	return address
}

// instance is one running instance.
type instance struct {
	settings *Settings
	service  *Service
	stop     func()
	done     chan error
}

// start runs an instance with a grace period of a second.
func (b *localFleet) start(t testing.TB, name string, seeds ...string) *instance {
	t.Helper()
	return b.startWithGrace(t, name, 1, seeds...)
}

// startWithGrace runs an instance with the given grace period.
func (b *localFleet) startWithGrace(t testing.TB, name string, graceSeconds float64, seeds ...string) *instance {
	t.Helper()
	s := &Settings{Instance: ident.InstanceID(name), Zone: "a", Seeds: seeds}
	s.SetDefaults()
	s.Stop.GraceSeconds = graceSeconds
	s.Listen = Listen{Callers: freeAddress(t), Ready: freeAddress(t), Peers: freeAddress(t), Metrics: freeAddress(t)}
	return b.startInstance(t, New(s, platform.New(dialect.Options{DialTimeout: time.Second}), b.source, b.log))
}

// startInstance runs a service until the end of the test.
func (b *localFleet) startInstance(t testing.TB, g *Service) *instance {
	t.Helper()
	assert.NilError(t, g.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	i := &instance{settings: g.settings, service: g, stop: cancel, done: make(chan error, 1)}
	go func() { i.done <- g.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-i.done
	})
	return i
}

// readiness returns the status of an instance's readiness check, or 0 if it does not answer.
func (b *localFleet) readiness(t testing.TB, i *instance) int {
	t.Helper()
	resp, err := b.http.Get("http://" + i.settings.Listen.Ready + "/any")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// await waits until a condition holds. It fails the test only after at least 20 s, since the time
// that the condition takes is not tested. what describes the condition.
func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met: %s", what)
}

// post sends a caller's request to an instance and returns the status, the headers and the body of
// the response.
func (b *localFleet) post(t *testing.T, i *instance, path, body string) (int, http.Header, string) {
	t.Helper()
	return b.postPrompt(t, i, path, body, "")
}

// postPrompt is like post, for a request whose prompt has the given parts, each ID:TOKENS.
func (b *localFleet) postPrompt(t *testing.T, i *instance, path, body, parts string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.settings.Listen.Callers+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", "q1")
	req.Header.Set("Token-Usage", "100,100")
	req.Header.Set("Prompt-Prefix", parts)
	resp, err := b.http.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if resp.Close {
		// The client has removed this header.
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, resp.Header, string(got)
}

// TestWholePath guards against failures anywhere on the path of plain and streamed requests through
// an instance, against a wrong answer to a request without a route, and against missing metrics.
func TestWholePath(t *testing.T) {
	b := newLocalFleet(t)
	i := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })

	status, header, body := b.post(t, i, "/plain/x?y=%20", "text")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "app POST /plain/x?y=%20 text")
	assert.Equal(t, header.Get("Response-Signature"), "sig")

	status, header, body = b.post(t, i, "/stream/x", "prompt")
	assert.Equal(t, status, 200)
	assert.Equal(t, header.Get("Response-Signature"), "sig")
	assert.Equal(t, body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")

	status, header, body = b.post(t, i, "/other/x", "")
	assert.Equal(t, status, 404)
	assert.Equal(t, header.Get("Response-Signature"), "")
	var problem struct{ Title, Outcome string }
	assert.NilError(t, json.Unmarshal([]byte(body), &problem))
	assert.Equal(t, problem.Outcome, "not-run")

	await(t, "metrics", func() bool {
		resp, err := b.http.Get("http://" + i.settings.Listen.Metrics + "/metrics")
		assert.NilError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return strings.Contains(string(text), "wardspool_gateway_requests_total")
	})
}

// TestStartsFromPeersWhenTheStoreIsDown guards against an instance that cannot serve because the
// store is down at its start. It must get the configuration and the upstreams from its peers.
func TestStartsFromPeersWhenTheStoreIsDown(t *testing.T) {
	b := newLocalFleet(t)
	first := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, first) == http.StatusOK })
	b.source.set(func(f *fakeSource) { f.down = true })
	second := b.start(t, "two", first.settings.Listen.Peers)
	await(t, "the second is ready", func() bool { return b.readiness(t, second) == http.StatusOK })
	status, _, _ := b.post(t, second, "/plain/x", "")
	assert.Equal(t, status, 200)
}

// TestKnowsNothingSaysNotRun guards against an instance without a configuration refusing a request
// with 404, as if its route were unknown.
func TestKnowsNothingSaysNotRun(t *testing.T) {
	b := newLocalFleet(t)
	b.source.down = true
	i := b.start(t, "one")
	await(t, "answers", func() bool { return b.readiness(t, i) != 0 })
	assert.Equal(t, b.readiness(t, i), http.StatusServiceUnavailable)
	status, header, _ := b.post(t, i, "/other/x", "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, header.Get("Request-Id"), "q1")
}

// TestOldConfigurationNeverComesBack guards against an instance that replaces its configuration by
// an older version, if the store was reset to an earlier state.
func TestOldConfigurationNeverComesBack(t *testing.T) {
	b := newLocalFleet(t)
	i := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	b.source.set(func(f *fakeSource) { f.config = &routing.Config{Version: 4} })
	before := 0
	b.source.set(func(f *fakeSource) { before = f.reads })
	await(t, "the instance has read the store again", func() bool {
		reads := 0
		b.source.set(func(f *fakeSource) { reads = f.reads })
		return reads > before+1
	})
	status, _, _ := b.post(t, i, "/plain/x", "")
	assert.Equal(t, status, 200)
}

// TestGracefulStop guards against a stopping instance that refuses requests before the load
// balancer can know that it is not ready, or that keeps callers' connections open.
func TestGracefulStop(t *testing.T) {
	b := newLocalFleet(t)
	i := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	i.stop()
	await(t, "not ready", func() bool { return b.readiness(t, i) == http.StatusServiceUnavailable })
	status, header, _ := b.post(t, i, "/plain/x", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, header.Get("Connection"), "close")
	err := <-i.done
	i.done <- err
	assert.NilError(t, err)
}

// TestReadinessFollowsTheClosingOfConnections guards against an answer that keeps its connection
// open although a readiness check has already failed. This happened to answers that were sent
// between two separate changes of state, which the stop made one after the other.
func TestReadinessFollowsTheClosingOfConnections(t *testing.T) {
	b := newLocalFleet(t)
	i := b.start(t, "one")
	await(t, "ready", func() bool { return b.readiness(t, i) == http.StatusOK })
	i.service.front.CloseConnections()
	assert.Equal(t, b.readiness(t, i), http.StatusServiceUnavailable)
	_, header, _ := b.post(t, i, "/plain/x", "")
	assert.Equal(t, header.Get("Connection"), "close")
}

// TestFencesRiseAndAreNotShared guards against fencing numbers that do not increase, for example
// when the wall clock is set back, and against two instances using the same number.
func TestFencesRiseAndAreNotShared(t *testing.T) {
	now := time.Unix(5000, 0)
	first := nextFence(now, 0, "a")
	second := nextFence(now.Add(-time.Hour), first, "a")
	assert.Assert(t, second > first)
	assert.Assert(t, nextFence(now, 0, "b") != first)
	assert.Assert(t, nextFence(now.Add(time.Second), 0, "b") > first)
}
