package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// endpoint is one peer address: its connection, or the wait until the next
// attempt to get one.
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

// newEndpoint returns an endpoint that was never tried.
func newEndpoint(addr string, l Limits) *endpoint {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = l.BackoffMin
	b.MaxInterval = l.BackoffMax
	b.Multiplier = 2
	return &endpoint{addr: addr, pause: b}
}

// conn returns the open connection or takes part in an attempt to open one.
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

// take returns the open connection, or a channel that closes when the attempt
// in progress ends, or an error.
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
	// The attempt belongs to the pool, since several callers may wait for it.
	p.dials.Add(1)
	go e.dial(p, e.dialing)
	return nil, e.dialing, nil
}

// dial opens the connection and wakes those who wait for it.
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

// outcome returns what the attempt that just ended gave.
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

// current returns the connection, if there is one.
func (e *endpoint) current() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// discard takes the connection out for good.
func (e *endpoint) discard() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.open
	e.open, e.gone = nil, true
	return c
}

// droppable reports whether the endpoint holds neither a connection nor a pause
// that still protects a dead peer.
func (e *endpoint) droppable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open == nil && e.dialing == nil && now.After(e.retryAt)
}
