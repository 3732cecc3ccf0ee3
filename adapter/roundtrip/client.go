// Package roundtrip is the HTTP client of the upstream adapters. It sends each
// request at most once, follows no redirect and uses no proxy, and its errors
// say whether a byte of the request was written to a connection.
//
// It uses the types of net/http and its parser of responses, but not
// http.Transport: Transport retries requests by itself when a keep-alive
// connection turns out to be dead, and it keeps two goroutines and two buffers
// for each open connection. Here the calling goroutine reads the response, so
// that an open stream takes one goroutine and one buffer. It also writes requests
// itself, because http.Request.Write changes some targets and hosts.
package roundtrip

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/kernel"
)

// Dialer opens connections to upstreams. *net.Dialer implements it; tests substitute
// others.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Options are the settings of a Client. Zero fields are set to their defaults.
type Options struct {
	// Dialer opens the connections. Nil means a *net.Dialer that detects dead peers.
	Dialer Dialer
	// DialTimeout limits the duration of a TCP connect.
	DialTimeout time.Duration
	// IdlePerUpstream is the maximum number of idle connections for each upstream.
	IdlePerUpstream int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// BufferBytes is the size of each connection's read buffer.
	BufferBytes int
	// SingleUse means that each connection carries one request, so that a response can belong to no other one.
	SingleUse bool
}

// Default options.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdlePerUpstream = 64
	DefaultIdleTimeout     = 30 * time.Second
	DefaultBufferBytes     = 4 << 10
)

// MaxHeaderBytes limits the size of a response's headers. Short headers with distinct names take 15 times their
// bytes.
const MaxHeaderBytes = 16 << 10

// withDefaults returns a copy of o in which zero fields have their defaults.
func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdlePerUpstream <= 0 {
		o.IdlePerUpstream = DefaultIdlePerUpstream
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.BufferBytes <= 0 {
		o.BufferBytes = DefaultBufferBytes
	}
	return o
}

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	idle   *idlePool
	buffer int
	// dial opens a TCP connection.
	dial func(ctx context.Context, addr string) (net.Conn, error)
}

// New returns a client.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := o.Dialer
	if dialer == nil {
		dialer = &net.Dialer{KeepAliveConfig: keepAlive, Control: controlSocket}
	}
	idlePerUpstream := o.IdlePerUpstream
	if o.SingleUse {
		idlePerUpstream = 0
	}
	return &Client{
		idle:   newIdlePool(idlePerUpstream, o.IdleTimeout),
		buffer: o.BufferBytes,
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
			defer cancel()
			return dialer.DialContext(ctx, "tcp", addr)
		},
	}
}

// dialObserverKey is the key of a context's dial observer.
type dialObserverKey struct{}

// WithDialObserver returns a context for a request. If a connection is opened for the request, f
// is called with the result.
func WithDialObserver(ctx context.Context, f func(error)) context.Context {
	return context.WithValue(ctx, dialObserverKey{}, f)
}

// open opens a connection and reports the result to the context's dial observer.
func (c *Client) open(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.dial(ctx, addr)
	if observe, ok := ctx.Value(dialObserverKey{}).(func(error)); ok {
		observe(dialResult(ctx, err))
	}
	return conn, err
}

// dialResult returns the result of a connection attempt. An attempt that its caller gave up fails
// with the context's error.
func dialResult(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Close closes the idle connections. Connections in use are closed at the end of
// their request.
func (c *Client) Close() { c.idle.close() }

// Do sends a request whose body is r, of length bytes. If the URL of the request has
// an opaque part, that is the target, unchanged. A failure before the
// response headers were read is returned as an *adapter.CallError, whose evidence
// tells whether any byte was sent; after that, the request counts as sent. The
// caller must close the response's body. When the request's context ends, reads
// from the body fail with the context's error.
func (c *Client) Do(req *http.Request, r io.Reader, length int64) (*http.Response, error) {
	return c.do(req, r, length, attribution{})
}

// DoMatching is like Do, for upstreams that may send a response twice, the second
// copy arriving where the response to the next request is expected.
func (c *Client) DoMatching(req *http.Request, r io.Reader, length int64, m Matching) (*http.Response, error) {
	return c.do(req, r, length, attribution{Matching: m, byID: true})
}

// do sends a request on a connection on which its response can be told from those to earlier requests.
func (c *Client) do(req *http.Request, r io.Reader, length int64, a attribution) (*http.Response, error) {
	ctx := req.Context()
	setBody(req, r, length)
	nc, err := c.connect(ctx, req.URL.Host, a)
	if err != nil {
		return nil, failure(ctx, false, err)
	}
	resp, err := nc.exchange(ctx, req, a)
	if err != nil {
		sent, writeErr := nc.abandon()
		if writeErr != nil {
			err = writeErr
		}
		return nil, failure(ctx, sent, err)
	}
	return resp, nil
}

// CheckReachable opens a connection to an address and closes it, to check that the address
// accepts connections. Its error is an *adapter.CallError with the evidence that
// nothing was sent.
func (c *Client) CheckReachable(ctx context.Context, addr string) error {
	conn, err := c.open(ctx, addr)
	if err != nil {
		return failure(ctx, false, err)
	}
	return conn.Close()
}

// setBody sets the body of a request and its length.
func setBody(req *http.Request, r io.Reader, length int64) {
	req.GetBody = nil
	req.ContentLength = length
	req.Body = http.NoBody
	if length > 0 {
		req.Body = io.NopCloser(r)
	}
}

// connect returns an idle connection that is still usable, or a new one.
// No earlier request of the connection has the ID of the new one.
func (c *Client) connect(ctx context.Context, addr string, a attribution) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if nc := c.idle.take(addr, a); nc != nil {
		return nc, nil
	}
	raw, err := c.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, addr, c.idle, c.buffer), nil
}

// failure classifies an error that occurred before the response headers were
// read. sent tells whether any byte of the request was written.
func failure(ctx context.Context, sent bool, err error) *adapter.CallError {
	if ctx.Err() != nil {
		// The error follows from closing the connection at the context's end.
		err = ctx.Err()
	}
	e := &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
	if !sent {
		e.Evidence = kernel.NotSent
		e.Code = kernel.FailureConnect
	}
	var unwritable *RequestLineError
	if errors.As(err, &unwritable) {
		e.Code = kernel.FailureRejected
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.Code = kernel.FailureTimeout
	}
	return e
}
