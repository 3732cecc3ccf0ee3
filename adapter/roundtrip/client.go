// Package roundtrip is the HTTP client of the upstream adapters. It sends each
// request at most once, follows no redirect and uses no proxy, and its errors
// say whether a byte of the request was written to a connection.
//
// It has net/http write requests and read responses, but not its Transport:
// that repeats requests by itself when a kept-alive connection turns out to be
// dead, and it keeps two goroutines and two buffers for each open connection,
// while here the goroutine that wants the response reads it. An open stream
// costs one goroutine and one buffer.
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

// Options are the settings of a Client. Zero fields take their defaults.
type Options struct {
	// DialTimeout bounds a TCP connect.
	DialTimeout time.Duration
	// IdlePerUpstream is how many idle connections to keep for each upstream.
	IdlePerUpstream int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// BufferBytes is the size of each connection's read buffer.
	BufferBytes int
}

// Default options.
const (
	DefaultDialTimeout     = time.Second
	DefaultIdlePerUpstream = 64
	DefaultIdleTimeout     = 30 * time.Second
	DefaultBufferBytes     = 4 << 10
)

// maxResponseHeaderBytes bounds an upstream's response headers.
const maxResponseHeaderBytes = 64 << 10

// withDefaults replaces zero fields.
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
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return &Client{
		idle:   newIdlePool(o.IdlePerUpstream, o.IdleTimeout),
		buffer: o.BufferBytes,
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		},
	}
}

// Close drops the idle connections, and from now on each one at the end of its
// request.
func (c *Client) Close() { c.idle.close() }

// Do sends a request whose body is r, of length bytes. A failure before the
// response's headers is an *adapter.CallError with exact evidence; after them
// the request counts as sent. The caller closes the response's body. When the
// request's context ends, reads from the body fail with its error.
func (c *Client) Do(req *http.Request, r io.Reader, length int64) (*http.Response, error) {
	return c.DoMatching(req, r, length, nil, 0)
}

// DoMatching does as Do, for upstreams that may send an answer twice, the second
// time late, where the answer to the next request is expected: up to strays
// responses that own rejects are read to their end and dropped. A nil own takes
// the first.
func (c *Client) DoMatching(req *http.Request, r io.Reader, length int64, own func(*http.Response) bool, strays int) (*http.Response, error) {
	ctx := req.Context()
	setBody(req, r, length)
	nc, err := c.connect(ctx, req.URL.Host)
	if err != nil {
		return nil, failure(ctx, false, err)
	}
	resp, err := nc.exchange(ctx, req, matching{own, strays})
	if err != nil {
		sent, writeErr := nc.abandon()
		if writeErr != nil {
			err = writeErr
		}
		return nil, failure(ctx, sent, err)
	}
	return resp, nil
}

// Reach opens a connection to an address and closes it. Its error is an
// *adapter.CallError: nothing was sent.
func (c *Client) Reach(ctx context.Context, addr string) error {
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return failure(ctx, false, err)
	}
	return conn.Close()
}

// setBody gives a request its body.
func setBody(req *http.Request, r io.Reader, length int64) {
	req.GetBody = nil
	req.ContentLength = length
	req.Body = http.NoBody
	if length > 0 {
		req.Body = io.NopCloser(r)
	}
}

// connect returns an idle connection that still stands, or a new one.
func (c *Client) connect(ctx context.Context, addr string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if nc := c.idle.take(addr); nc != nil {
		return nc, nil
	}
	raw, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, addr, c.idle, c.buffer), nil
}

// failure classifies an error before the response's headers. sent says whether
// a byte of the request went out.
func failure(ctx context.Context, sent bool, err error) *adapter.CallError {
	if ctx.Err() != nil {
		// The connection was closed because of it.
		err = ctx.Err()
	}
	e := &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
	if !sent {
		e.Evidence = kernel.NotSent
		e.Code = kernel.FailureConnect
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.Code = kernel.FailureTimeout
	}
	return e
}
