// Package engines speaks the control part of the engines' protocol: load
// reports, held attempts, aborts and orders. docs/protocols/engine.md describes
// it.
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

	"github.com/wardspool/wardspool/agent/meter"
	"github.com/wardspool/wardspool/ident"
)

// Paths of the engines' protocol.
const (
	pathHealth   = "/healthz"
	pathLoad     = "/load"
	pathRequests = "/v1/requests"
	pathAbort    = "/abort_request"
	pathOrders   = "/v1/orders"
)

// headerLoad carries a load report on each response.
const headerLoad = "endpoint-load-metrics"

// maxBody bounds an answer, in bytes.
const maxBody = 4 << 20

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
	meter   meter.Meter
}

// Connections to upstreams are few and their answers small.
const (
	bufferBytes     = 2 << 10
	idlePerUpstream = 1
	// idleTimeout is longer than the time between two reads of one engine's load;
	// connections for rarer calls must not be kept.
	idleTimeout = 10 * time.Second
)

// New returns a client that opens connections by d and gives a call up after
// timeout.
func New(d meter.Dialer, timeout time.Duration) *Client {
	c := &Client{timeout: timeout}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         c.meter.Counting(d).DialContext,
			MaxIdleConnsPerHost: idlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Meter returns the count of the client's bytes.
func (c *Client) Meter() *meter.Meter { return &c.meter }

// CallError reports a call of an engine that failed.
type CallError struct {
	Address string
	Path    string
	// Kind says how.
	Kind Failure
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	// Code is the engine's error code, if it gave one.
	Code string
	// Highest is the highest fencing number taken, with CodeStaleFence.
	Highest uint64
	// Err is the network's or the decoder's error, nil if the engine refused.
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

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Failure says how a call failed.
type Failure string

// The kinds of failure.
const (
	// FailRefused means that the remote kernel refused the connection: nothing
	// listens there.
	FailRefused Failure = "connection refused"
	// FailTimeout means that nothing answered in time or the network failed.
	FailTimeout Failure = "no answer"
	// FailStatus means that the engine answered with an error.
	FailStatus Failure = "refused by the engine"
	// FailBody means that the engine's answer could not be understood.
	FailBody Failure = "bad answer"
)

// Answered reports whether the upstream gave an answer, be it an error. It
// returns true for a nil error.
func Answered(err error) bool {
	var call *CallError
	if !errors.As(err, &call) {
		return err == nil
	}
	return call.Kind == FailStatus || call.Kind == FailBody
}

// KindOf returns how a call failed; FailTimeout for errors of other types.
func KindOf(err error) Failure {
	var call *CallError
	if errors.As(err, &call) {
		return call.Kind
	}
	return FailTimeout
}

// errorBody is the body of an engine's error.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
	Highest uint64 `json:"highest"`
}

// call makes a request and decodes the answer into into, which may be nil. It
// returns the response's header. Errors are *CallError.
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
	// The body was read to its end or is given up.
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, &CallError{Address: address, Path: path, Kind: FailTimeout, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		var refusal errorBody
		// A body of another form has no code.
		_ = json.Unmarshal(data, &refusal)
		return nil, &CallError{Address: address, Path: path, Kind: FailStatus, Status: resp.StatusCode,
			Code: refusal.Error.Code, Highest: refusal.Highest}
	}
	if into == nil {
		return resp.Header, nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return nil, &CallError{Address: address, Path: path, Kind: FailBody, Status: resp.StatusCode, Err: err}
	}
	return resp.Header, nil
}

// request builds a request.
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
	// An empty value keeps the library from sending its own.
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

// Health asks whether an upstream of any kind answers.
func (c *Client) Health(ctx context.Context, address string) error {
	_, err := c.call(ctx, http.MethodGet, address, pathHealth, nil, nil)
	return err
}

// loadPrefix comes before the JSON of the load header.
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

// Load reads an engine's load. The report of the response's header is taken
// where there is one: it is fresh, while the body's lags.
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

// parseHeader decodes the load header. It returns false if there is none.
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
