package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/bubble"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/perf"
)

// IDs of the engines of a testBed.
const (
	prefillA = "pf-a"
	prefillB = "pf-b"
	decodeA  = "dc-a"
	decodeB  = "dc-b"
)

// testBed holds two prefill and two decode engines that are connected in
// process.
type testBed struct {
	t       *testing.T
	engines map[string]*Engine
	client  *http.Client
}

// testPerf returns parameters with round numbers: 10 tokens per piece, 1 ms per
// prefill token, 1 ms per transferred token, and decode steps of 10 ms plus 1 ms
// for each further request.
func testPerf() perf.Params {
	return perf.Params{
		Slots:                  2,
		Pieces:                 20,
		PieceTokens:            10,
		PrefillTokensPerSecond: 1000,
		PrefillChunk:           5,
		KVBytesPerToken:        1000,
		LinkBytesPerSecond:     1e6,
		DecodeStep:             10 * time.Millisecond,
		DecodeStepPerRequest:   time.Millisecond,
		KVLifetime:             900 * time.Millisecond,
		CachePieces:            6,
	}
}

// withTestBed runs a test with a new testBed in a synctest bubble, which has a
// fake clock.
func withTestBed(t *testing.T, change func(*Config), test func(t *testing.T, b *testBed)) {
	bubble.Test(t, func(t *testing.T) {
		b := newTestBed(t, change)
		defer func() {
			for _, e := range b.engines {
				e.Close()
			}
		}()
		test(t, b)
	})
}

func newTestBed(t *testing.T, change func(*Config)) *testBed {
	transport := &inproc{byHost: map[string]http.Handler{}}
	b := &testBed{t: t, engines: map[string]*Engine{}, client: &http.Client{Transport: transport}}
	for _, id := range []string{prefillA, prefillB, decodeA, decodeB} {
		cfg := Config{
			ID: ident.UpstreamID(id), Role: config.RoleDecode, Models: []string{"m"}, Version: "v1",
			Address: id + ":80", Perf: testPerf(), QueueLimit: 4, LoadLag: 500 * time.Millisecond,
			CacheDelay: 200 * time.Millisecond, LoadWeights: time.Second, Client: b.client,
		}
		if strings.HasPrefix(id, "pf") {
			cfg.Role = config.RolePrefill
		}
		if change != nil {
			change(&cfg)
		}
		e := New(cfg)
		b.engines[id] = e
		transport.byHost[id+":80"] = e.Handler()
	}
	return b
}

// testRequest is a completion request to an engine.
type testRequest struct {
	engine, attempt, correlation string
	path                         string // default: /v1/completions
	body                         CompletionRequest
	header                       http.Header
}

// send sends a request and returns the response, or nil if the request failed.
func (b *testBed) send(ctx context.Context, method, host, path string, header http.Header, body any) *http.Response {
	b.t.Helper()
	text, err := json.Marshal(body)
	assert.NilError(b.t, err)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+":80"+path, bytes.NewReader(text))
	assert.NilError(b.t, err)
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

// post sends a completion request to an engine.
func (b *testBed) post(ctx context.Context, a testRequest) *http.Response {
	b.t.Helper()
	if a.path == "" {
		a.path = "/v1/completions"
	}
	if a.body.Model == "" {
		a.body.Model = "m"
	}
	if a.header == nil {
		a.header = http.Header{}
	}
	a.header.Set(HeaderAttempt, a.attempt)
	a.header.Set(HeaderCorrelation, a.correlation)
	return b.send(ctx, http.MethodPost, a.engine, a.path, a.header, a.body)
}

// drain reads a response to its end and closes it; resp may be nil.
func (b *testBed) drain(resp *http.Response) {
	if resp != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// postAsync sends a completion request without waiting for the response.
func (b *testBed) postAsync(a testRequest) {
	go func() { b.drain(b.post(b.t.Context(), a)) }()
}

// readJSON asserts the status of a JSON response, decodes and closes it.
func readJSON[T any](t *testing.T, resp *http.Response, status int) T {
	t.Helper()
	assert.Assert(t, resp != nil, "connection closed")
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status, "%s", text)
	var out T
	assert.NilError(t, json.Unmarshal(text, &out), "%s", text)
	return out
}

// prefill runs a prefill and returns its KV-transfer parameters.
func (b *testBed) prefill(engine, attempt, correlation, prompt string) *KVTransferParams {
	b.t.Helper()
	resp := b.post(b.t.Context(), prefillRequest(engine, attempt, correlation, prompt))
	return readJSON[CompletionResponse](b.t, resp, http.StatusOK).KVTransferParams
}

func prefillRequest(engine, attempt, correlation, prompt string) testRequest {
	return testRequest{engine: engine, attempt: attempt, correlation: correlation, body: CompletionRequest{
		Prompt: prompt, MaxTokens: 1, KVTransferParams: &KVTransferParams{DoRemoteDecode: true},
	}}
}

func decodeRequest(engine, attempt, correlation, prompt string, n int, kv *KVTransferParams) testRequest {
	return testRequest{engine: engine, attempt: attempt, correlation: correlation, body: CompletionRequest{
		Prompt: prompt, MaxTokens: n, Stream: true, KVTransferParams: kv,
	}}
}

// abort aborts an attempt and returns whether something was released.
func (b *testBed) abort(engine, attempt string) bool {
	b.t.Helper()
	resp := b.send(b.t.Context(), http.MethodPost, engine, "/abort_request", nil, AbortRequest{RID: attempt})
	return readJSON[AbortResponse](b.t, resp, http.StatusOK).Released
}

// assertHeld asserts the numbers of attempts and pieces that an engine holds.
func (b *testBed) assertHeld(engine string, attempts, pieces int) {
	b.t.Helper()
	report := b.engines[engine].JudgeReport()
	assert.Equal(b.t, report.Held.Attempts, attempts, engine)
	assert.Equal(b.t, report.Held.Pieces, pieces, engine)
}

// event is one server-sent event.
type event struct{ id, data string }

// nextEvent reads the next event, or returns false at the end of the stream.
func nextEvent(r *bufio.Reader) (event, bool) {
	var out event
	for {
		line, err := r.ReadString('\n')
		line = strings.TrimSuffix(line, "\n")
		switch {
		case err != nil:
			return out, false
		case line == "":
			return out, true
		case strings.HasPrefix(line, "id: "):
			out.id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			out.data = strings.TrimPrefix(line, "data: ")
		}
	}
}

// streamResult is the content received from a stream.
type streamResult struct {
	text        string
	lastEventID string // of the last event with an ID
	complete    bool
	usage       *Usage
	code        control.Code
}

// readStream reads a stream to its end, or up to limit tokens if limit is
// positive.
func readStream(t *testing.T, resp *http.Response, limit int) streamResult {
	t.Helper()
	assert.Assert(t, resp != nil, "connection closed")
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var out streamResult
	r := bufio.NewReader(resp.Body)
	for n := 0; limit == 0 || n < limit; {
		e, ok := nextEvent(r)
		if !ok {
			return out
		}
		if e.data == "[DONE]" {
			out.complete = true
			return out
		}
		n += out.add(t, e)
	}
	return out
}

// add adds an event to the content and returns its number of tokens.
func (s *streamResult) add(t *testing.T, e event) int {
	t.Helper()
	var failed control.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(e.data), &failed))
	if failed.Error.Code != "" {
		s.code = failed.Error.Code
		return 0
	}
	var c CompletionResponse
	assert.NilError(t, json.Unmarshal([]byte(e.data), &c))
	if c.Usage != nil {
		s.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Delta != nil {
			s.text += choice.Delta.Content
		} else {
			s.text += *choice.Text
		}
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	return len(c.Choices)
}

// makePrompt returns a prompt of n tokens that starts with the given word.
func makePrompt(first string, n int) string {
	return first + strings.Repeat(" w", n-1)
}
