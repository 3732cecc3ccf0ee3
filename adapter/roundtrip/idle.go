package roundtrip

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

// idlePool keeps connections between requests.
type idlePool struct {
	limit   int
	timeout time.Duration

	mu     sync.Mutex
	closed bool
	// conns holds the idle connections by address, the latest used last.
	conns map[string][]*conn
	// sweep closes those that were idle too long; nil while none is idle.
	sweep *time.Timer
}

func newIdlePool(limit int, timeout time.Duration) *idlePool {
	return &idlePool{limit: limit, timeout: timeout, conns: map[string][]*conn{}}
}

// take returns an idle connection that still stands, nil if there is none. The sweep comes
// late after a suspension of the machine, and the upstream's closing may not have arrived.
func (p *idlePool) take(addr string) *conn {
	for {
		c := p.pop(addr)
		if c == nil || clock.Since(c.since) < p.timeout && c.stands() {
			return c
		}
		_ = c.net.Close()
	}
}

// pop takes out the connection of an address that was used last.
func (p *idlePool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[addr]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	c := list[last]
	list[last] = nil
	p.keep(addr, list[:last])
	return c
}

// keep sets what is left of an address's connections. The caller holds mu.
func (p *idlePool) keep(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.conns, addr)
		return
	}
	p.conns[addr] = list
}

// put keeps a connection, or closes it when there are enough.
func (p *idlePool) put(c *conn) {
	if !p.add(c) {
		_ = c.net.Close()
	}
}

func (p *idlePool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[c.addr]
	if p.closed || len(list) >= p.limit {
		return false
	}
	c.since = clock.Now()
	p.conns[c.addr] = append(list, c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.timeout, p.expire)
	}
	return true
}

// expire closes connections that were idle too long.
func (p *idlePool) expire() {
	for _, c := range p.overdue(clock.Now()) {
		_ = c.net.Close()
	}
}

// overdue takes out the connections that were idle too long and sets the timer
// for those that stay.
func (p *idlePool) overdue(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*conn
	next := time.Duration(0)
	for addr, list := range p.conns {
		// The longest idle ones come first.
		n := 0
		for n < len(list) && now.Sub(list[n].since) >= p.timeout {
			n++
		}
		out = append(out, list[:n]...)
		list = list[n:]
		if len(list) > 0 {
			left := p.timeout - now.Sub(list[0].since)
			if next == 0 || left < next {
				next = left
			}
		}
		p.keep(addr, list)
	}
	p.sweep = nil
	if next > 0 && !p.closed {
		p.sweep = time.AfterFunc(next, p.expire)
	}
	return out
}

// close closes all idle connections and keeps none from now on.
func (p *idlePool) close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[string][]*conn{}
	if p.sweep != nil {
		p.sweep.Stop()
	}
	p.mu.Unlock()
	for _, list := range conns {
		for _, c := range list {
			_ = c.net.Close()
		}
	}
}
