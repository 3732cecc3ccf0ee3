package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Client calls instances over HTTP. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	scheme string
}

// Limits of the connections to one target.
const (
	maxIdlePerHost = 2048
	idleTimeout    = 30 * time.Second
	dialTimeout    = 2 * time.Second
)

// New returns a client for plain HTTP that reuses connections between calls.
func New() *Client { return newClient("http", nil) }

// NewTLS returns a client for HTTPS that reuses connections between calls.
func NewTLS(config *tls.Config) *Client { return newClient("https", config) }

func newClient(scheme string, config *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{scheme: scheme, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call holds the parameters that all calls have in common.
type Call struct {
	// Target is the instance's address, as IP:port.
	Target    string
	RequestID string
	Workspace ident.Workspace
	Kind      string
	// Repeatable declares that the call may run more than once. A call that is
	// not repeatable needs a ticket.
	Repeatable bool
	Ticket     string
	// IdempotencyKey is sent only if it is not empty.
	IdempotencyKey string
	Deadline       time.Duration
}

// Result is the result of a call.
type Result struct {
	// Outcome is the outcome that the answer states, or empty if no answer was
	// received.
	Outcome api.Outcome
	// Problem is the problem document of a failed call.
	Problem *api.Problem
	Status  int
	// Instance and BundleVersion are the values of the answer's headers.
	Instance      string
	BundleVersion string
	// First and Done are the times at which the first output and the end of the
	// answer were received.
	First, Done time.Time
	// Tokens counts the output tokens received.
	Tokens int
	// Err is nil, a *ConnError, a *ProtocolError or a *WrongAnswerError.
	Err error
}

// Complete reports whether the answer is complete and correct.
func (r *Result) Complete() bool { return r.Outcome == api.Complete && r.Err == nil }

// ConnError reports a connection that could not be established or that was lost
// before the end of the answer.
type ConnError struct {
	// Sent is false if no byte of the call can have been sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *ConnError) Error() string { return fmt.Sprintf("connection: %v", e.Err) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }

// ProtocolError reports an answer that violates the callers' protocol.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Detail }

// WrongAnswerError reports an answer that is incomplete or belongs to another
// call.
type WrongAnswerError struct{ Err error }

// Error implements error.
func (e *WrongAnswerError) Error() string { return fmt.Sprintf("wrong answer: %v", e.Err) }

// Unwrap returns the difference from the expected answer.
func (e *WrongAnswerError) Unwrap() error { return e.Err }

// url returns the URL of a path on a target.
func (c *Client) url(target, path string) string { return c.scheme + "://" + target + path }

// do sends a request. It returns a *ConnError if no response headers were
// received.
func (c *Client) do(ctx context.Context, method, url string, call Call, body io.Reader, contentType string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, &ConnError{Err: err}
	}
	// Without GetBody, the transport cannot send a call a second time by itself.
	req.GetBody = nil
	call.setHeaders(req.Header)
	req.Header.Set("Content-Type", contentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &ConnError{Sent: !isDialError(err), Err: err}
	}
	return resp, nil
}

// isDialError reports whether the connection could not be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// setHeaders sets the request headers of the callers' protocol.
func (c *Call) setHeaders(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(api.HeaderRequestID, c.RequestID)
	set(api.HeaderWorkspace, string(c.Workspace))
	set(api.HeaderKind, c.Kind)
	set(api.HeaderTicket, c.Ticket)
	set(api.HeaderIdempotencyKey, c.IdempotencyKey)
	repeatable := "no"
	if c.Repeatable {
		repeatable = "yes"
	}
	h.Set(api.HeaderRepeatable, repeatable)
	if c.Deadline > 0 {
		h.Set(api.HeaderDeadlineMS, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
}

// readHeaders sets the status and the fields that the response headers carry.
func (r *Result) readHeaders(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	r.Instance = resp.Header.Get(api.HeaderInstance)
	r.BundleVersion = resp.Header.Get(api.HeaderBundleVersion)
}

// finish sets Done to the current time, and First too if there was no output.
func (r *Result) finish() *Result {
	r.Done = time.Now()
	if r.First.IsZero() {
		r.First = r.Done
	}
	return r
}
