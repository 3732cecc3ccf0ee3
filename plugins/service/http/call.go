package http

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// Request headers of the service protocol.
const (
	headerAttempt     = "X-Request-Id"
	headerCorrelation = "X-Correlation-Id"
)

// Call implements adapter.Service. A response with a status from 200 to 499 is
// the service's answer and is returned as it is; other statuses are failures. The
// error is a *adapter.CallError.
func (s *Service) Call(ctx context.Context, c *adapter.ServiceCall) (*adapter.ServiceResponse, error) {
	if c.Timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		ctx = bounded
	}
	resp, err := s.client.DoMatching(request(ctx, c), bytes.NewReader(c.Body), int64(len(c.Body)), roundtrip.MatchingHeader(headerAttempt, c.Attempt.String()))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	attributed := roundtrip.Attributed(resp, headerAttempt)
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
	if roundtrip.EndsWithConnection(resp) {
		return nil, &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: io.ErrUnexpectedEOF}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		e := responseError(resp, body)
		if !attributed {
			e.Evidence = kernel.Ambiguous
		}
		return nil, e
	}
	return &adapter.ServiceResponse{
		Status: resp.StatusCode,
		Header: roundtrip.EndToEnd(resp.Header),
		Body:   body,
	}, nil
}

// request returns the HTTP request for a call, without its body.
func request(ctx context.Context, c *adapter.ServiceCall) *http.Request {
	req := (&http.Request{
		Method: c.Method,
		URL:    &url.URL{Scheme: "http", Host: c.Address, Opaque: c.Path},
		Header: roundtrip.EndToEnd(c.Header),
	}).WithContext(ctx)
	req.Header.Set(headerAttempt, c.Attempt.String())
	req.Header.Set(headerCorrelation, string(c.Request))
	req.Header.Del(api.HeaderIdempotencyKey)
	if c.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	return req
}

// readAll reads a response body of at most limit bytes. The request has been sent
// by then and the service may have run it, so every failure has the evidence
// kernel.Ambiguous.
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

// errorBody is the body of a service's error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Error codes with which a service states that it did not run a call.
const (
	codeNotStarted = "not_started"
	codeDraining   = "draining"
)

// responseError converts a response with a status of 500 or above to an error.
// Only status 503 with one of the codes above shows that the call did not run.
func responseError(resp *http.Response, body []byte) *adapter.CallError {
	var b errorBody
	// A body in another format leaves the code empty, and the evidence ambiguous.
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

// retryAfter returns the value of a Retry-After header that is given in seconds,
// or 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
