package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/intake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeSubmitter is a fake Submitter in place of the driver.
type fakeSubmitter struct {
	mu    sync.Mutex
	calls int
	run   func(ctx context.Context, ex *driver.Exchange) driver.Result
}

func (s *fakeSubmitter) Submit(ctx context.Context, ex *driver.Exchange) driver.Result {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.run(ctx, ex)
}

// testFront is a Front that listens on a local port, with a fake submitter.
type testFront struct {
	front          *Front
	submit         *fakeSubmitter
	address        string
	notReadyReason NotReadyReason
}

// newTestFront starts a testFront. change modifies its options.
func newTestFront(t *testing.T, change func(*Options)) *testFront {
	t.Helper()
	r := &testFront{submit: &fakeSubmitter{}}
	catalog := intake.NewCatalog(4, &config.Content{
		Kinds:      []config.Kind{{Name: "review", Route: config.RouteModel, Repeatable: true}, {Name: "lookup", Route: config.RouteService, Repeatable: true}},
		Models:     []config.Model{{Name: "m", PieceTokens: 100}},
		Services:   []config.Service{{Name: "desk"}},
		Workspaces: []config.Workspace{{Name: "default"}},
	})
	o := Options{
		Instance: "e-1", Limits: DefaultLimits(), Submit: r.submit,
		Catalog: func() *intake.Catalog { return catalog },
		Ready:   func() NotReadyReason { return r.notReadyReason },
		Metrics: http.NotFoundHandler(),
		Log:     slog.New(slog.DiscardHandler),
	}
	if change != nil {
		change(&o)
	}
	r.front = New(o)
	r.submit.run = completeResult
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.address = l.Addr().String()
	srv := r.front.Server()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = srv.Close()
		<-done
		assert.Equal(t, r.front.memory.used.Load(), int64(0), "reserved memory must be released")
		assert.Equal(t, r.front.requests.used.Load(), int64(0))
	})
	return r
}

// completeResult answers with two tokens, or with a service's response.
func completeResult(_ context.Context, ex *driver.Exchange) driver.Result {
	r := driver.Result{Outcome: api.Complete, BundleVersion: 4}
	if ex.Service != nil {
		r.Service = &adapter.ServiceResponse{Status: http.StatusTeapot, Header: http.Header{"X-Own": {"1"}}, Body: []byte("tea")}
		return r
	}
	for i, text := range []string{"one ", "two"} {
		c := adapter.Chunk{Offset: i, Text: text, Choices: `[{"text":"` + text + `"}]`}
		if i == 1 {
			c.FinishReason = "stop"
		}
		if err := ex.Output.Token(c); err != nil {
			return failedResult()
		}
	}
	r.Decoded = adapter.DecodeResult{Tokens: 2, FinishReason: "stop"}
	return r
}

// failedResult is the result of a request that failed with an unknown outcome.
func failedResult() driver.Result {
	p := api.NewProblem(api.ProblemUpstreamFailed, api.Unknown, "it broke").WithRetryAfter(1500 * time.Millisecond)
	return driver.Result{Outcome: api.Unknown, Problem: p, BundleVersion: 4}
}

// sendRaw sends the text of a request over a new connection and returns the
// response.
func (r *testFront) sendRaw(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// post returns the text of a POST request.
func post(path, body string, headers ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: x", fmt.Sprintf("Content-Length: %d", len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

const completionTemplate = `{"model":"m","prompt":"a b","stream":%t}`

// assertProblem checks that a response is a problem document of a type, with all
// headers.
func assertProblem(t *testing.T, resp *http.Response, body string, want api.ProblemType, outcome api.Outcome) {
	t.Helper()
	assert.Equal(t, resp.Header.Get("Content-Type"), api.ProblemContentType, body)
	var p api.Problem
	assert.NilError(t, json.Unmarshal([]byte(body), &p))
	assert.Equal(t, p.Type, want, body)
	assert.Equal(t, p.Status, resp.StatusCode)
	assert.Equal(t, p.Outcome, outcome)
	assert.Equal(t, p.BundleVersion, uint64(4))
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), string(outcome))
	assert.Equal(t, resp.Header.Get(api.HeaderInstance), "e-1")
	assert.Equal(t, resp.Header.Get(api.HeaderRequestID), p.RequestID)
	assert.Assert(t, p.RequestID != "")
	assert.Equal(t, (resp.Header.Get("Retry-After") != ""), p.RetryAfterMS > 0)
}

func TestBadInput(t *testing.T) {
	small := func(o *Options) {
		o.Limits.BodyBytes = 100
		o.Limits.BodyTimeout = 50 * time.Millisecond
	}
	for _, c := range []struct {
		name, text string
		status     int
		want       api.ProblemType
	}{
		{"broken JSON", post("/v1/completions", `{"model`), 400, api.ProblemMalformed},
		{"negative max_tokens", post("/v1/completions", `{"model":"m","prompt":"x","max_tokens":-2}`), 400, api.ProblemMalformed},
		{"unknown kind", post("/v1/completions", fmt.Sprintf(completionTemplate, false), "Wardspool-Kind: nonesuch"), 400, api.ProblemUnknownKind},
		{"kind of another route", post("/v1/completions", fmt.Sprintf(completionTemplate, false), "Wardspool-Kind: lookup"), 400, api.ProblemUnknownKind},
		{"bad workspace", post("/v1/completions", fmt.Sprintf(completionTemplate, false), "Wardspool-Workspace: A B"), 400, api.ProblemMalformed},
		{"two request IDs", post("/v1/completions", "{}", "X-Request-Id: a", "X-Request-Id: b"), 400, api.ProblemMalformed},
		{"huge request ID", post("/v1/completions", "{}", "X-Request-Id: "+strings.Repeat("x", 1000)), 400, api.ProblemMalformed},
		{"declared too large", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", 413, api.ProblemTooLarge},
		{"chunked too large", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413, api.ProblemTooLarge},
		{"slow body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{", 408, api.ProblemSlowSender},
		{"slow chunks", "POST /services/desk/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 408, api.ProblemSlowSender},
		{"bad chunk", "POST /services/desk/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, api.ProblemMalformed},
		{"no such path", post("/v2/completions", ""), 404, api.ProblemMalformed},
		{"no path at the service", post("/services/desk", ""), 404, api.ProblemMalformed},
		{"bad service name", post("/services/De%2Fsk/x", ""), 404, api.ProblemUnknownService},
		{"wrong method", "GET /v1/completions HTTP/1.1\r\nHost: x\r\n\r\n", 405, api.ProblemMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestFront(t, small)
			resp, body := r.sendRaw(t, c.text)
			assert.Equal(t, resp.StatusCode, c.status, body)
			assertProblem(t, resp, body, c.want, api.NotRun)
			assert.Equal(t, r.submit.calls, 0, "an invalid request must not be submitted")
		})
	}
}

// TestBadHeads covers malformed request headers that net/http itself rejects
// with a plain-text response.
func TestBadHeads(t *testing.T) {
	r := newTestFront(t, func(o *Options) { o.Limits.HeaderBytes = 1000 })
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"too long":          {post("/v1/completions", "{}", "X-Long: "+strings.Repeat("x", 8000)), 431},
		"control character": {post("/v1/completions", "{}", "X-Bad: a\x00b"), 400},
		"no host":           {"POST /v1/completions HTTP/1.1\r\n\r\n", 400},
		"two lengths":       {"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}", 400},
	} {
		resp, body := r.sendRaw(t, c.text)
		assert.Equal(t, resp.StatusCode, c.status, "%s: %s", name, body)
	}
	assert.Equal(t, r.submit.calls, 0)
}

func TestSlowHead(t *testing.T) {
	r := newTestFront(t, func(o *Options) { o.Limits.HeaderTimeout = 50 * time.Millisecond })
	c, err := net.Dial("tcp", r.address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost:")
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.NilError(t, err, "the server must close the connection")
}

func TestMemoryOfBodiesIsBounded(t *testing.T) {
	r := newTestFront(t, func(o *Options) { o.Limits.MemoryBytes = 150 })
	body := fmt.Sprintf(`{"model":"m","prompt":%q}`, strings.Repeat("x", 60))
	running := make(chan struct{})
	release := make(chan struct{})
	r.submit.run = func(ctx context.Context, ex *driver.Exchange) driver.Result {
		close(running)
		<-release
		return completeResult(ctx, ex)
	}
	first := make(chan int)
	go func() {
		resp, _ := r.sendRaw(t, post("/v1/completions", body))
		first <- resp.StatusCode
	}()
	<-running
	resp, text := r.sendRaw(t, post("/v1/completions", body))
	assertProblem(t, resp, text, api.ProblemOverloaded, api.NotRun)
	close(release)
	assert.Equal(t, <-first, http.StatusOK)
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	r := newTestFront(t, func(o *Options) { o.Limits.Requests = 0 })
	resp, text := r.sendRaw(t, post("/v1/completions", fmt.Sprintf(completionTemplate, false)))
	assertProblem(t, resp, text, api.ProblemOverloaded, api.NotRun)
}

func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		unready NotReadyReason
		probe   int
		want    api.ProblemType
	}{
		{IsReady, 200, ""},
		{ShutdownPending, 503, ""},
		{Stopping, 503, api.ProblemStopping},
		{NoBundle, 503, api.ProblemNotReady},
		{NoAgent, 503, api.ProblemNotReady},
	} {
		t.Run(string(c.unready), func(t *testing.T) {
			r := newTestFront(t, nil)
			r.notReadyReason = c.unready
			probe, _ := r.sendRaw(t, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.Equal(t, probe.StatusCode, c.probe)
			alive, _ := r.sendRaw(t, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.Equal(t, alive.StatusCode, http.StatusOK)
			resp, body := r.sendRaw(t, post("/v1/completions", fmt.Sprintf(completionTemplate, false)))
			if c.want == "" {
				assert.Equal(t, resp.StatusCode, http.StatusOK, body)
				return
			}
			assertProblem(t, resp, body, c.want, api.NotRun)
		})
	}
}

// TestServicePathIsForwardedAsSent guards against calls to services whose path is encoded anew.
func TestServicePathIsForwardedAsSent(t *testing.T) {
	r := newTestFront(t, nil)
	var got string
	r.submit.run = func(ctx context.Context, ex *driver.Exchange) driver.Result {
		got = ex.Service.Path
		return completeResult(ctx, ex)
	}
	for _, path := range []string{
		"/x%2Fy", "//x", "/./x/../y", "/\xff{}", "/ä?ö", "/x?", "/x#y", "/x;a=b", "/x?%zz", "/" + strings.Repeat("x", 8<<10),
	} {
		resp, body := r.sendRaw(t, post("/services/desk"+path, "", "Wardspool-Kind: lookup"))
		assert.Equal(t, resp.StatusCode, http.StatusTeapot, "%q: %s", path, body)
		assert.Equal(t, got, path)
		resp, body = r.sendRaw(t, post("http://h.example/services/desk"+path, "", "Wardspool-Kind: lookup"))
		assert.Equal(t, resp.StatusCode, http.StatusTeapot, "%q: %s", path, body)
		assert.Equal(t, got, path)
	}
}

// TestTargetWithoutAPathIsRefused guards against answers of net/http itself and against targets that are
// changed to be sent.
func TestTargetWithoutAPathIsRefused(t *testing.T) {
	r := newTestFront(t, nil)
	for _, head := range []string{
		"OPTIONS *", "GET *", "GET h.example:80", "CONNECT h.example:80", "GET http://h.example", "GET http://u:p@h.example/services/desk/x",
		"GET http:/services/desk/x", "GET ftp://h.example/services/desk/x",
	} {
		resp, body := r.sendRaw(t, head+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, resp.StatusCode, 400, "%s: %s", head, body)
		assertProblem(t, resp, body, api.ProblemMalformed, api.NotRun)
	}
	assert.Equal(t, r.submit.calls, 0)
}
