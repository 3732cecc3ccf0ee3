package peer

import (
	"context"
	"sync"
	"time"
)

// Pool holds one connection per peer address. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	dials  sync.WaitGroup

	mu     sync.Mutex
	peers  map[string]*endpoint
	closed bool

	// closedConns is the traffic of closed connections. It has its own lock, since
	// endpoints add to it while they hold their locks.
	closedConns struct {
		sync.Mutex
		traffic Traffic
	}
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, peers: map[string]*endpoint{}}
}

// Close closes all connections; calls in progress fail. It waits until all
// connection attempts have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = map[string]*endpoint{}
	p.mu.Unlock()
	// A closed endpoint starts no new attempt, so dials.Wait below returns.
	for _, e := range peers {
		p.closeEndpoint(e)
	}
	p.cancel()
	p.dials.Wait()
}

// Forget closes the connection to an address and discards its backoff state. It
// is meant for addresses that no longer belong to a peer.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	e := p.peers[addr]
	delete(p.peers, addr)
	p.mu.Unlock()
	if e != nil {
		p.closeEndpoint(e)
	}
}

// Recheck closes the connections to peers that Config.Allow no longer accepts.
// Call it when the settings or the platform's list have changed.
func (p *Pool) Recheck() {
	for _, e := range p.endpoints() {
		if c := e.current(); c != nil && !p.cfg.Allow(c.remote) {
			p.Forget(e.addr)
		}
	}
}

// endpoints returns a snapshot of the endpoints.
func (p *Pool) endpoints() []*endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*endpoint, 0, len(p.peers))
	for _, e := range p.peers {
		out = append(out, e)
	}
	return out
}

// closeEndpoint closes an endpoint and its connection, if any.
func (p *Pool) closeEndpoint(e *endpoint) {
	if c := e.detach(); c != nil {
		c.close(nil)
		p.addClosedTraffic(c)
	}
}

// addClosedTraffic adds the traffic of a closed connection to the total.
func (p *Pool) addClosedTraffic(c *clientConn) {
	p.closedConns.Lock()
	defer p.closedConns.Unlock()
	p.closedConns.traffic = p.closedConns.traffic.add(c.netConn.traffic())
}

// Stats returns the statistics of all connections.
func (p *Pool) Stats() Stats {
	p.closedConns.Lock()
	out := Stats{Total: p.closedConns.traffic}
	p.closedConns.Unlock()
	for _, e := range p.endpoints() {
		c := e.current()
		if c == nil {
			continue
		}
		cs := c.stats()
		out.Conns = append(out.Conns, cs)
		out.Total = out.Total.add(cs.Traffic)
	}
	return out
}

// Identity returns the identity of the peer at an address. It reports false if no
// connection is open.
func (p *Pool) Identity(addr string) (Identity, bool) {
	p.mu.Lock()
	e := p.peers[addr]
	p.mu.Unlock()
	if e == nil {
		return Identity{}, false
	}
	c := e.current()
	if c == nil || !c.usable() {
		return Identity{}, false
	}
	return c.remote, true
}

// conn returns a connection to an address, dialling it if needed. Errors are
// *ClosedError, *BusyError, *BackoffError, *DialError, errors of the hello and the
// context's error.
func (p *Pool) conn(ctx context.Context, addr string) (*clientConn, error) {
	e, err := p.endpoint(addr)
	if err != nil {
		return nil, err
	}
	return e.conn(ctx, p)
}

// endpoint returns the endpoint of an address, adding it if needed. At the limit
// on connections it first removes unused endpoints.
func (p *Pool) endpoint(addr string) (*endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	if e, ok := p.peers[addr]; ok {
		return e, nil
	}
	if len(p.peers) >= p.cfg.Limits.Connections {
		p.prune(time.Now())
	}
	if len(p.peers) >= p.cfg.Limits.Connections {
		return nil, &BusyError{Resource: "peer connections", Limit: p.cfg.Limits.Connections}
	}
	e := newEndpoint(addr, p.cfg.Limits)
	p.peers[addr] = e
	return e, nil
}

// prune removes endpoints without connection, attempt or backoff. The caller
// holds mu.
func (p *Pool) prune(now time.Time) {
	for addr, e := range p.peers {
		if e.prunable(now) {
			delete(p.peers, addr)
		}
	}
}
