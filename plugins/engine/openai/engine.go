package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/kernel"
)

// Request headers of the engine protocol.
const (
	headerAttempt     = "X-Request-Id"
	headerCorrelation = "X-Correlation-Id"
	headerLastEvent   = "Last-Event-ID"
)

// URL paths of the engine protocol.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathStreams     = "/v1/streams/"
	pathAbort       = "/abort_request"
)

// maxResponseBytes bounds the size of responses that are read into memory as a
// whole: those to prefill and abort requests, and errors.
const maxResponseBytes = 1 << 20

// path returns the URL path of an endpoint.
func path(e adapter.Endpoint) string {
	if e == adapter.Chat {
		return pathChat
	}
	return pathCompletions
}

// prefillResponse holds the members that the adapter reads from the response to a
// prefill request.
type prefillResponse struct {
	KVTransferParams json.RawMessage `json:"kv_transfer_params"`
	Usage            *struct {
		PromptTokensDetails *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Prefill implements adapter.Engine. The error is a *adapter.CallError.
func (e *Engine) Prefill(ctx context.Context, c *adapter.PrefillCall) (adapter.PrefillResult, error) {
	body, length, err := composeBody(&overrides{
		Model: c.Model.Model,
		// vLLM's prefill engines generate one token and discard it.
		MaxTokens:        1,
		Priority:         c.Model.Priority,
		ContinueFrom:     c.ContinueFrom,
		KVTransferParams: prefillParams,
	}, c.Model.Fields)
	if err != nil {
		return adapter.PrefillResult{}, unsentError(err)
	}
	resp, err := e.post(ctx, &c.Target, path(c.Model.Endpoint), body, length)
	if err != nil {
		return adapter.PrefillResult{}, err
	}
	defer roundtrip.Drain(resp)
	var a prefillResponse
	if err := decodeJSON(resp.Body, &a); err != nil {
		return adapter.PrefillResult{}, err
	}
	if len(a.KVTransferParams) == 0 || bytes.Equal(a.KVTransferParams, []byte("null")) {
		return adapter.PrefillResult{}, brokenError(&adapter.ProtocolError{Part: "kv_transfer_params is missing"})
	}
	out := adapter.PrefillResult{Params: a.KVTransferParams}
	if a.Usage != nil && a.Usage.PromptTokensDetails != nil {
		out.CachedTokens = a.Usage.PromptTokensDetails.CachedTokens
	}
	return out, nil
}

// Decode implements adapter.Engine.
func (e *Engine) Decode(ctx context.Context, c *adapter.DecodeCall, sink adapter.Sink) (adapter.DecodeResult, error) {
	body, length, err := composeBody(&overrides{
		Model:            c.Model.Model,
		MaxTokens:        c.Model.MaxTokens,
		Stream:           true,
		StreamOptions:    &streamOptions{IncludeUsage: true},
		Priority:         c.Model.Priority,
		ContinueFrom:     c.ContinueFrom,
		KVTransferParams: c.Params,
	}, c.Model.Fields)
	if err != nil {
		return adapter.DecodeResult{}, unsentError(err)
	}
	resp, err := e.post(ctx, &c.Target, path(c.Model.Endpoint), body, length)
	if err != nil {
		return adapter.DecodeResult{}, err
	}
	defer resp.Body.Close()
	resp.Header = nil // not used below; frees its memory while the stream is open
	return readStream(resp.Body, c.Attempt.String(), c.ContinueFrom, sink)
}

// Reattach implements adapter.Engine. It reads the output of an attempt that was
// sent before, from token c.Offset on.
func (e *Engine) Reattach(ctx context.Context, c *adapter.ReattachCall, sink adapter.Sink) (adapter.DecodeResult, error) {
	attempt := c.Attempt.String()
	req, err := e.request(ctx, http.MethodGet, &c.Target, pathStreams+url.PathEscape(attempt))
	if err != nil {
		return adapter.DecodeResult{}, unsentError(err)
	}
	if c.Offset > 0 {
		req.Header.Set(headerLastEvent, attempt+":"+strconv.Itoa(c.Offset-1))
	}
	resp, err := e.do(req, &c.Target, http.NoBody, 0)
	if err != nil {
		return adapter.DecodeResult{}, ambiguousError(err)
	}
	defer resp.Body.Close()
	resp.Header = nil // as in Decode
	return readStream(resp.Body, attempt, c.Offset, sink)
}

// ambiguousError returns the error of a failed reattachment with its evidence
// changed to kernel.Ambiguous. The attempt itself was sent earlier and may have
// run, even if the engine did not receive this call or refused it.
func ambiguousError(err error) error {
	e := *adapter.AsCallError(err)
	e.Evidence = kernel.Ambiguous
	return &e
}

// abortRequest is the body of POST /abort_request.
type abortRequest struct {
	RID string `json:"rid"`
}

// Cancel implements adapter.Engine.
func (e *Engine) Cancel(ctx context.Context, t *adapter.Target) error {
	body, err := json.Marshal(abortRequest{RID: t.Attempt.String()})
	if err != nil {
		return unsentError(err)
	}
	resp, err := e.post(ctx, t, pathAbort, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return err
	}
	defer roundtrip.Drain(resp)
	if !roundtrip.Attributed(resp, headerAttempt) {
		return brokenError(&adapter.ProtocolError{Part: "answer to a cancel that names no attempt"})
	}
	return nil
}

// post sends a JSON body of length bytes and returns the response if its status
// is 200. The error is a *adapter.CallError.
func (e *Engine) post(ctx context.Context, t *adapter.Target, path string, body io.Reader, length int64) (*http.Response, error) {
	req, err := e.request(ctx, http.MethodPost, t, path)
	if err != nil {
		return nil, unsentError(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return e.do(req, t, body, length)
}

// request returns a request without a body, with the headers that identify the
// attempt and the caller's request.
func (e *Engine) request(ctx context.Context, method string, t *adapter.Target, path string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerAttempt, t.Attempt.String())
	req.Header.Set(headerCorrelation, string(t.Request))
	return req, nil
}

// do sends a request and reports the load in the response. It returns the
// response if its status is 200, and an error otherwise.
func (e *Engine) do(req *http.Request, t *adapter.Target, body io.Reader, length int64) (*http.Response, error) {
	resp, err := e.client.DoMatching(req, body, length, roundtrip.MatchingHeader(headerAttempt, t.Attempt.String()))
	if err != nil {
		return nil, err
	}
	if o, ok := parseLoad(resp.Header); ok {
		t.Report(o)
	}
	if resp.StatusCode != http.StatusOK {
		defer roundtrip.Drain(resp)
		attributed := roundtrip.Attributed(resp, headerAttempt)
		failed := responseError(resp)
		if !attributed {
			failed.Evidence = kernel.Ambiguous
		}
		return nil, failed
	}
	return resp, nil
}

// decodeJSON reads a JSON response of at most maxResponseBytes into the value
// that into points to.
func decodeJSON(r io.Reader, into any) error {
	data, err := roundtrip.ReadBody(r, maxResponseBytes)
	if err != nil {
		return brokenError(err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return brokenError(&adapter.ProtocolError{Part: "body", Err: err})
	}
	return nil
}
