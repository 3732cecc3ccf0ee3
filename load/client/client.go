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

// Client makes calls. It is safe for concurrent use.
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

// New returns a client that keeps connections open between calls.
func New() *Client { return newClient("http", nil) }

// NewTLS returns a client that makes its calls by HTTPS.
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

// Call is what all calls have in common.
type Call struct {
	// Target is the instance's address, as IP:port.
	Target    string
	RequestID string
	Workspace ident.Workspace
	Kind      string
	// Repeatable is sent as it is; a call that is not repeatable needs a ticket.
	Repeatable bool
	Ticket     string
	// IdempotencyKey is sent if it is set.
	IdempotencyKey string
	Deadline       time.Duration
}

// Result is what came of a call.
type Result struct {
	// Outcome is the answer's, empty if no answer came.
	Outcome api.Outcome
	// Problem is the problem document of a failed call.
	Problem *api.Problem
	Status  int
	// Instance and BundleVersion are what the answer said.
	Instance      string
	BundleVersion string
	// First and Done are when the first output and the end arrived.
	First, Done time.Time
	// Tokens counts the output tokens received.
	Tokens int
	// Err is a *ConnError, a *ProtocolError or a *WrongAnswerError.
	Err error
}

// Complete reports whether the answer is whole and right.
func (r *Result) Complete() bool { return r.Outcome == api.Complete && r.Err == nil }

// ConnError reports a connection that could not be made or that broke before
// the end of an answer.
type ConnError struct {
	// Sent is false if no byte of the call can have left.
	Sent bool
	Err  error
}

// Error implements error.
func (e *ConnError) Error() string { return fmt.Sprintf("connection: %v", e.Err) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }

// ProtocolError reports an answer that breaks the callers' protocol.
type ProtocolError struct{ Wrong string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Wrong }

// WrongAnswerError reports an answer that is not the whole answer to its call.
type WrongAnswerError struct{ Err error }

// Error implements error.
func (e *WrongAnswerError) Error() string { return fmt.Sprintf("wrong answer: %v", e.Err) }

// Unwrap returns what differs.
func (e *WrongAnswerError) Unwrap() error { return e.Err }

// url is where a call goes.
func (c *Client) url(target, path string) string { return c.scheme + "://" + target + path }

// do sends a request. It returns a *ConnError if no head of an answer came.
func (c *Client) do(ctx context.Context, method, url string, call Call, body io.Reader, contentType string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, &ConnError{Err: err}
	}
	// The transport must never send a call twice by itself.
	req.GetBody = nil
	call.setHeaders(req.Header)
	req.Header.Set("Content-Type", contentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &ConnError{Sent: !isDial(err), Err: err}
	}
	return resp, nil
}

// isDial reports whether the connection could not even be made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// setHeaders writes the documented request headers.
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

// head fills in what the head of an answer says.
func (r *Result) head(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Outcome = api.Outcome(resp.Header.Get(api.HeaderOutcome))
	r.Instance = resp.Header.Get(api.HeaderInstance)
	r.BundleVersion = resp.Header.Get(api.HeaderBundleVersion)
}

// finish sets the time of the end.
func (r *Result) finish() *Result {
	r.Done = time.Now()
	if r.First.IsZero() {
		r.First = r.Done
	}
	return r
}
