package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// endpoint holds the connection to one peer address, the attempt in progress to
// open one, or the backoff until the next attempt.
type endpoint struct {
	addr string

	mu      sync.Mutex
	open    *clientConn
	dialing chan struct{}
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	lastErr error
	closed  bool
}

// newEndpoint returns an endpoint without a connection and without backoff.
func newEndpoint(addr string, l Limits) *endpoint {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = l.BackoffMin
	b.MaxInterval = l.BackoffMax
	b.Multiplier = 2
	return &endpoint{addr: addr, backoff: b}
}

// conn returns the open connection, or waits for an attempt to open one.
func (e *endpoint) conn(ctx context.Context, p *Pool) (*clientConn, error) {
	c, wait, err := e.connOrWait(p)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-wait:
		return e.dialResult()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrWait returns the open connection, a channel that is closed when the
// attempt in progress ends, or an error. It starts an attempt if there is none.
func (e *endpoint) connOrWait(p *Pool) (*clientConn, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, nil, &ClosedError{}
	}
	if e.open != nil {
		if e.open.usable() {
			return e.open, nil, nil
		}
		p.addClosedTraffic(e.open)
		e.open = nil
	}
	if e.dialing != nil {
		return nil, e.dialing, nil
	}
	if time.Now().Before(e.retryAt) {
		return nil, nil, &BackoffError{Addr: e.addr, Until: e.retryAt, Last: e.lastErr}
	}
	e.dialing = make(chan struct{})
	// The attempt uses the pool's context instead of the caller's, since several
	// callers may wait for it.
	p.dials.Add(1)
	go e.dial(p, e.dialing)
	return nil, e.dialing, nil
}

// dial opens the connection and closes done to wake the waiting callers.
func (e *endpoint) dial(p *Pool, done chan struct{}) {
	defer p.dials.Done()
	c, err := connect(p.ctx, e.addr, p.cfg)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(done)
	e.dialing = nil
	if err != nil {
		e.lastErr = err
		e.retryAt = time.Now().Add(e.backoff.NextBackOff())
		return
	}
	if e.closed {
		c.close(nil)
		p.addClosedTraffic(c)
		return
	}
	e.open, e.lastErr, e.retryAt = c, nil, time.Time{}
	e.backoff.Reset()
}

// dialResult returns the result of the attempt that has just ended.
func (e *endpoint) dialResult() (*clientConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.open != nil:
		return e.open, nil
	case e.lastErr != nil:
		return nil, e.lastErr
	default:
		return nil, &ClosedError{}
	}
}

// current returns the open connection, or nil.
func (e *endpoint) current() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// detach marks the endpoint as closed and returns its connection, or nil, for
// the caller to close.
func (e *endpoint) detach() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.open
	e.open, e.closed = nil, true
	return c
}

// prunable reports whether the endpoint can be removed: it has no connection, no
// attempt in progress and no backoff that still limits attempts to an unavailable
// peer.
func (e *endpoint) prunable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open == nil && e.dialing == nil && now.After(e.retryAt)
}
