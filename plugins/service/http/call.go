package http

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// Request headers of the services' protocol.
const (
	headerAttempt     = "X-Request-Id"
	headerCorrelation = "X-Correlation-Id"
)

// Call implements adapter.Service. An answer with a status below 500 is the
// service's whole answer, whatever it says.
func (s *Service) Call(ctx context.Context, c *adapter.ServiceCall) (*adapter.ServiceAnswer, error) {
	if c.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		ctx = bounded
	}
	req, err := request(ctx, c)
	if err != nil {
		return nil, &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureRejected, Err: err}
	}
	resp, err := s.client.Do(req, bytes.NewReader(c.Body), int64(len(c.Body)))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK {
		return nil, &adapter.CallError{
			Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Status: resp.StatusCode,
			Err: &adapter.ProtocolError{Part: "status"},
		}
	}
	body, err := readAll(ctx, resp.Body, c.ResponseLimit)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return nil, failure(resp, body)
	}
	return &adapter.ServiceAnswer{
		Status: resp.StatusCode,
		Header: roundtrip.EndToEnd(resp.Header),
		Body:   body,
	}, nil
}

// request returns the request of a call, without its body.
func request(ctx context.Context, c *adapter.ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = roundtrip.EndToEnd(c.Header)
	req.Header.Set(headerAttempt, c.Attempt.String())
	req.Header.Set(headerCorrelation, string(c.Request))
	req.Header.Del(api.HeaderIdempotencyKey)
	if c.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	return req, nil
}

// readAll reads a whole answer. It was sent by then, so that every failure is
// ambiguous.
func readAll(ctx context.Context, r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = &adapter.TooLargeError{Limit: limit}
	}
	if err == nil {
		return body, nil
	}
	code := kernel.FailureBroken
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = kernel.FailureTimeout
	}
	return nil, &adapter.CallError{Evidence: kernel.Ambiguous, Code: code, Err: err}
}

// errorBody is a service's own word on why it failed.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Codes by which a service attests that a call did not run.
const (
	codeNotStarted = "not_started"
	codeDraining   = "draining"
)

// failure turns an answer with status 500 and above into an error.
func failure(resp *http.Response, body []byte) *adapter.CallError {
	var b errorBody
	// A body of another form attests nothing.
	_ = json.Unmarshal(body, &b)
	e := &adapter.CallError{
		Evidence:   kernel.Ambiguous,
		Code:       kernel.FailureUpstream,
		RetryAfter: retryAfter(resp.Header),
		Status:     resp.StatusCode,
		Err:        &adapter.UpstreamError{Code: b.Error.Code, Message: b.Error.Message},
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return e
	}
	switch b.Error.Code {
	case codeNotStarted:
		e.Evidence, e.Code = kernel.Refused, kernel.FailureCapacity
	case codeDraining:
		e.Evidence, e.Code = kernel.Refused, kernel.FailureDraining
	}
	return e
}

// retryAfter reads a Retry-After header in seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
