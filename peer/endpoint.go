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
	pause   *backoff.ExponentialBackOff
	retryAt time.Time
	last    error
	gone    bool
}

// newEndpoint returns an endpoint without a connection and without backoff.
func newEndpoint(addr string, l Limits) *endpoint {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = l.BackoffMin
	b.MaxInterval = l.BackoffMax
	b.Multiplier = 2
	return &endpoint{addr: addr, pause: b}
}

// conn returns the open connection, or waits for an attempt to open one.
func (e *endpoint) conn(ctx context.Context, p *Pool) (*clientConn, error) {
	c, wait, err := e.take(p)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-wait:
		return e.outcome()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take returns the open connection, a channel that is closed when the attempt in
// progress ends, or an error. It starts an attempt if there is none.
func (e *endpoint) take(p *Pool) (*clientConn, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return nil, nil, &ClosedError{}
	}
	if e.open != nil {
		if e.open.alive() {
			return e.open, nil, nil
		}
		p.account(e.open)
		e.open = nil
	}
	if e.dialing != nil {
		return nil, e.dialing, nil
	}
	if time.Now().Before(e.retryAt) {
		return nil, nil, &BackoffError{Addr: e.addr, Until: e.retryAt, Last: e.last}
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
		e.last = err
		e.retryAt = time.Now().Add(e.pause.NextBackOff())
		return
	}
	if e.gone {
		c.close(nil)
		p.account(c)
		return
	}
	e.open, e.last, e.retryAt = c, nil, time.Time{}
	e.pause.Reset()
}

// outcome returns the result of the attempt that has just ended.
func (e *endpoint) outcome() (*clientConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.open != nil:
		return e.open, nil
	case e.last != nil:
		return nil, e.last
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

// discard marks the endpoint as closed and returns its connection, or nil, for
// the caller to close.
func (e *endpoint) discard() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.open
	e.open, e.gone = nil, true
	return c
}

// droppable reports whether the endpoint can be removed: it has no connection, no
// attempt in progress and no backoff that still limits attempts to an unavailable
// peer.
func (e *endpoint) droppable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open == nil && e.dialing == nil && now.After(e.retryAt)
}
