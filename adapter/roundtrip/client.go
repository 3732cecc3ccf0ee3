// Package roundtrip is the HTTP client of the upstream adapters. It sends each
// request at most once, follows no redirect and uses no proxy, and its errors
// say whether a byte of the request was written to a connection.
//
// net/http's Transport repeats requests by itself when a kept-alive connection
// turns out to be dead. It never repeats a request that has a body which it
// cannot rewind, so every request here carries a body of a private type and no
// GetBody, also where the body is empty. HTTP/2 is off, because its transport
// has rules of its own for repeating.
package roundtrip

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
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
	// BufferBytes is the size of each connection's read and write buffer.
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
type Client struct{ transport *http.Transport }

// New returns a client.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    o.IdlePerUpstream,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         o.BufferBytes,
		WriteBufferSize:        o.BufferBytes,
	}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// body is a request body that the transport cannot rewind.
type body struct{ io.Reader }

// Close implements io.Closer.
func (body) Close() error { return nil }

// flight follows one request on its connection.
type flight struct {
	mu   sync.Mutex
	conn *conn
	mark uint64
}

// got remembers the connection that the request was given.
func (f *flight) got(info httptrace.GotConnInfo) {
	c := unwrap(info.Conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = c
	if c != nil {
		f.mark = c.mark()
	}
}

// neverSent reports whether no byte of the request was written, and makes sure
// that none will be.
func (f *flight) neverSent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil {
		return true
	}
	return f.conn.seal(f.mark)
}

// Do sends a request whose body is r, of length bytes. A failure before the
// response's headers is an *adapter.CallError with exact evidence; after them
// the request counts as sent. The caller closes the response's body.
func (c *Client) Do(req *http.Request, r io.Reader, length int64) (*http.Response, error) {
	req.Body = body{r}
	req.GetBody = nil
	req.ContentLength = length
	f := &flight{}
	trace := &httptrace.ClientTrace{GotConn: f.got}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	return nil, failure(req.Context(), f, err)
}

// failure classifies an error of the transport.
func failure(ctx context.Context, f *flight, err error) *adapter.CallError {
	e := &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
	if f.neverSent() {
		e.Evidence = kernel.NotSent
		e.Code = kernel.FailureConnect
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.Code = kernel.FailureTimeout
	}
	return e
}
