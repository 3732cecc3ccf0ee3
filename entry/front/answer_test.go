package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/kernel"
)

func TestWholeAnswerHeaders(t *testing.T) {
	r := newTestFront(t, nil)
	resp, body := r.sendRaw(t, post("/v1/completions", fmt.Sprintf(completionTemplate, false), "X-Request-Id: mine"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var got completion
	assert.NilError(t, json.Unmarshal([]byte(body), &got))
	assert.Equal(t, got.ID, "cmpl-mine")
	assert.Equal(t, *got.Choices[0].Text, "one two")
	assert.DeepEqual(t, got.Usage, usage{PromptTokens: 2, CompletionTokens: 2, TotalTokens: 4})
	for name, want := range map[string]string{
		api.HeaderRequestID: "mine", api.HeaderOutcome: "complete",
		api.HeaderBundleVersion: "4", api.HeaderInstance: "e-1",
	} {
		assert.Equal(t, resp.Header.Get(name), want)
	}
}

func TestStreamedAnswer(t *testing.T) {
	r := newTestFront(t, nil)
	resp, body := r.sendRaw(t, post("/v1/completions", fmt.Sprintf(completionTemplate, true), "X-Request-Id: mine"))
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	assert.Equal(t, len(events), 3, body)
	assert.Assert(t, strings.Contains(events[0], `"choices":[{"text":"one "}]}`), events[0])
	assert.Equal(t, events[2], ": Wardspool-Outcome: complete\ndata: [DONE]")
	assert.Equal(t, resp.Trailer.Get(api.HeaderOutcome), "complete")
	assert.Equal(t, resp.Header.Get(api.HeaderBundleVersion), "4")
	assert.Equal(t, resp.Header.Get(api.HeaderRequestID), "mine")
}

// TestLastTokenWaitsForTheEnd: a caller that sees a finish_reason must have a
// complete answer, so no finish_reason is sent if the request fails after the
// last token.
func TestLastTokenWaitsForTheEnd(t *testing.T) {
	r := newTestFront(t, nil)
	r.submit.run = func(ctx context.Context, ex *driver.Exchange) driver.Result {
		completeResult(ctx, ex)
		return failedResult()
	}
	resp, body := r.sendRaw(t, post("/v1/completions", fmt.Sprintf(completionTemplate, true)))
	assert.Assert(t, strings.Contains(body, "one "))
	assert.Assert(t, !strings.Contains(body, "two"), body)
	assert.Assert(t, !strings.Contains(body, "[DONE]"), body)
	assert.Assert(t, strings.Contains(body, "event: error\ndata: {"), body)
	assert.Assert(t, strings.Contains(body, `"error":{"message":"it broke"`), body)
	assert.Equal(t, resp.Trailer.Get(api.HeaderOutcome), "unknown")
}

func TestFailureBeforeTheFirstToken(t *testing.T) {
	for _, stream := range []bool{true, false} {
		r := newTestFront(t, nil)
		r.submit.run = func(context.Context, *driver.Exchange) driver.Result { return failedResult() }
		resp, body := r.sendRaw(t, post("/v1/completions", fmt.Sprintf(completionTemplate, stream)))
		assertProblem(t, resp, body, api.ProblemUpstreamFailed, api.Unknown)
		assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	}
}

func TestServiceAnswer(t *testing.T) {
	r := newTestFront(t, nil)
	var seen *adapter.ServiceCall
	var req *kernel.Request
	r.submit.run = func(ctx context.Context, ex *driver.Exchange) driver.Result {
		seen, req = ex.Service, ex.Request
		return completeResult(ctx, ex)
	}
	resp, body := r.sendRaw(t, post("/services/desk/a//b/../%2e%2e/c?q=1&q=%20", "text", "X-Own: 2", "Idempotency-Key: k"))
	assert.Equal(t, resp.StatusCode, http.StatusTeapot)
	assert.Equal(t, body, "tea")
	assert.Equal(t, resp.Header.Get("X-Own"), "1")
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), "complete")
	assert.Equal(t, seen.Path, "/a//b/../%2e%2e/c?q=1&q=%20")
	assert.Equal(t, seen.Header.Get("X-Own"), "2")
	assert.Equal(t, seen.IdempotencyKey, "k")
	assert.Equal(t, string(seen.Body), "text")
	assert.Equal(t, req.Service, "desk")
}

// TestUsageOfResumedAnswer: the engine that resumed the answer at token 30
// counted those 30 tokens as part of the prompt.
func TestUsageOfResumedAnswer(t *testing.T) {
	ex := &driver.Exchange{Request: &kernel.Request{PromptTokens: 100}}
	got := answerUsage(ex, adapter.DecodeResult{Tokens: 40, Usage: json.RawMessage(`{"prompt_tokens":130,"completion_tokens":10,"total_tokens":140}`)})
	assert.DeepEqual(t, got, usage{PromptTokens: 100, CompletionTokens: 40, TotalTokens: 140})
}

// TestKeptAliveConnectionOutlivesWriteTimeout: the write deadline of one answer
// must not apply to the next answer on the same connection.
func TestKeptAliveConnectionOutlivesWriteTimeout(t *testing.T) {
	r := newTestFront(t, func(o *Options) {
		o.Limits.WriteTimeout = 30 * time.Millisecond
		o.Metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "m 1\n") })
	})
	c, err := net.Dial("tcp", r.address)
	assert.NilError(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	for _, path := range []string{"/healthz", "/metrics", "/healthz"} {
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err, path)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		time.Sleep(60 * time.Millisecond)
	}
}
