// Package engines is a client of the control part of the engine protocol: load
// reports, held attempts, aborts and orders. See docs/protocols/engine.md.
package engines

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/agent/meter"
	"github.com/wardspool/wardspool/ident"
)

// Paths of the engine protocol.
const (
	pathHealth   = "/healthz"
	pathLoad     = "/load"
	pathRequests = "/v1/requests"
	pathAbort    = "/abort_request"
	pathOrders   = "/v1/orders"
)

// headerLoad carries a load report on each response.
const headerLoad = "endpoint-load-metrics"

// maxBody limits the body of a response, in bytes.
const maxBody = 4 << 20

// Client sends control requests to engines. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
	meter   meter.Meter
}

// Limits of the transport. They are low because connections to upstreams are few
// and responses small.
const (
	bufferBytes     = 2 << 10
	idlePerUpstream = 1
	// idleTimeout exceeds the interval between two load reads of one engine, so
	// that the connection is reused. Connections of less frequent calls must not
	// be kept open.
	idleTimeout = 10 * time.Second
)

// New returns a client that opens connections with d and cancels a call after
// timeout.
func New(d meter.Dialer, timeout time.Duration) *Client {
	c := &Client{timeout: timeout}
	c.http = &http.Client{
		Transport: roundtrip.StrictTransport(&http.Transport{
			DialContext:         c.meter.CountingDialer(d).DialContext,
			MaxIdleConnsPerHost: idlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			DisableCompression:  true,

			MaxResponseHeaderBytes: roundtrip.MaxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Meter returns the counter of the bytes sent and received by the client.
func (c *Client) Meter() *meter.Meter { return &c.meter }

// CallError reports a failed call to an engine.
type CallError struct {
	Address string
	Path    string
	// Kind classifies the failure.
	Kind Failure
	// Status is the HTTP status code, 0 if there was no response.
	Status int
	// Code is the error code in the response, empty if it has none.
	Code string
	// Highest is the highest fencing number that the engine has accepted, set if
	// Code is CodeStaleFence.
	Highest uint64
	// Err is the error of the network or of encoding, nil if the engine responded
	// with an error status.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	text := e.Address + e.Path + ": " + string(e.Kind)
	if e.Code != "" {
		text += " " + e.Code
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns Err.
func (e *CallError) Unwrap() error { return e.Err }

// Failure classifies how a call failed.
type Failure string

// The kinds of failure.
const (
	// FailRefused means that the remote host refused the connection: no process
	// listens on the address.
	FailRefused Failure = "connection refused"
	// FailTimeout means that no complete response arrived in time, or that the
	// network failed.
	FailTimeout Failure = "no answer"
	// FailStatus means that the status of the response was not 200.
	FailStatus Failure = "error response"
	// FailBody means that the response could not be decoded, or the request not
	// be built.
	FailBody Failure = "invalid response"
)

// Responded reports whether the upstream responded, be it with an error. It
// returns true for a nil error.
func Responded(err error) bool {
	var call *CallError
	if !errors.As(err, &call) {
		return err == nil
	}
	return call.Kind == FailStatus || call.Kind == FailBody
}

// FailureKind returns the kind of a failed call, and FailTimeout for errors of other
// types than *CallError.
func FailureKind(err error) Failure {
	var call *CallError
	if errors.As(err, &call) {
		return call.Kind
	}
	return FailTimeout
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
	Highest uint64 `json:"highest"`
}

// call sends a request and decodes the response body into into, which may be nil.
// It returns the response header. Errors are *CallError.
func (c *Client) call(ctx context.Context, method, address, path string, body, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := request(ctx, method, address, path, body)
	if err != nil {
		return nil, &CallError{Address: address, Path: path, Kind: FailBody, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &CallError{Address: address, Path: path, Kind: networkFailure(err), Err: err}
	}
	// An error of Close is ignored: the body was read to its end or is discarded.
	defer resp.Body.Close()
	data, err := roundtrip.ReadBody(resp.Body, maxBody)
	var tooLarge *adapter.TooLargeError
	if errors.As(err, &tooLarge) {
		return nil, &CallError{Address: address, Path: path, Kind: FailBody, Status: resp.StatusCode, Err: err}
	}
	if err != nil {
		return nil, &CallError{Address: address, Path: path, Kind: FailTimeout, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		var failure errorBody
		// The error is ignored: a body of another form leaves the code empty.
		_ = json.Unmarshal(data, &failure)
		return nil, &CallError{Address: address, Path: path, Kind: FailStatus, Status: resp.StatusCode,
			Code: failure.Error.Code, Highest: failure.Highest}
	}
	if into == nil {
		return resp.Header, nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return nil, &CallError{Address: address, Path: path, Kind: FailBody, Status: resp.StatusCode, Err: err}
	}
	return resp.Header, nil
}

// request builds a request; a body that is not nil is sent as JSON.
func request(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		content = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return nil, err
	}
	// An empty value stops net/http from sending its default User-Agent.
	req.Header.Set("User-Agent", "")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// networkFailure classifies an error of the transport.
func networkFailure(err error) Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED) {
		return FailRefused
	}
	return FailTimeout
}

// Health checks that an upstream of any kind responds with status 200.
func (c *Client) Health(ctx context.Context, address string) error {
	_, err := c.call(ctx, http.MethodGet, address, pathHealth, nil, nil)
	return err
}

// loadPrefix precedes the JSON in the load header.
const loadPrefix = "JSON "

// Load is an engine's report of its own load.
type Load struct {
	Incarnation   ident.Incarnation `json:"incarnation"`
	Seq           uint64            `json:"seq"`
	Running       int               `json:"running"`
	Waiting       int               `json:"waiting"`
	Slots         int               `json:"slots"`
	WaitingTokens int               `json:"waiting_tokens"`
	PiecesUsed    int               `json:"pieces_used"`
	PiecesTotal   int               `json:"pieces_total"`
	Draining      bool              `json:"draining"`
}

// metrics is the JSON of the load header.
type metrics struct {
	Named struct {
		Incarnation   ident.Incarnation `json:"incarnation"`
		Seq           uint64            `json:"seq"`
		Running       int               `json:"num_requests_running"`
		Waiting       int               `json:"num_requests_waiting"`
		Slots         int               `json:"slots"`
		WaitingTokens int               `json:"waiting_tokens"`
		PiecesUsed    int               `json:"pieces_used"`
		PiecesTotal   int               `json:"pieces_total"`
		Draining      int               `json:"draining"`
	} `json:"named_metrics"`
}

// Load reads an engine's load. It prefers the report in the response header,
// which is current while the one in the body lags, provided that both are of the
// same incarnation and the header's is not older. Draining is set if either report
// sets it.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	header, err := c.call(ctx, http.MethodGet, address, pathLoad, nil, &l)
	if err != nil {
		return Load{}, err
	}
	if fresh, ok := parseHeader(header.Get(headerLoad)); ok && fresh.Incarnation == l.Incarnation && fresh.Seq >= l.Seq {
		fresh.Draining = fresh.Draining || l.Draining
		return fresh, nil
	}
	return l, nil
}

// parseHeader decodes the load header. It returns false if the header is missing
// or malformed.
func parseHeader(text string) (Load, bool) {
	var m metrics
	text, ok := strings.CutPrefix(text, loadPrefix)
	if !ok || json.Unmarshal([]byte(text), &m) != nil {
		return Load{}, false
	}
	n := m.Named
	return Load{
		Incarnation: n.Incarnation, Seq: n.Seq,
		Running: n.Running, Waiting: n.Waiting, Slots: n.Slots, WaitingTokens: n.WaitingTokens,
		PiecesUsed: n.PiecesUsed, PiecesTotal: n.PiecesTotal, Draining: n.Draining != 0,
	}, true
}
