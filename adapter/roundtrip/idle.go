package roundtrip

import (
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

// idlePool holds the connections that no request uses.
type idlePool struct {
	limit   int
	timeout time.Duration

	mu     sync.Mutex
	closed bool
	// conns holds the idle connections by address, the most recently used last.
	conns map[string][]*conn
	// expiryTimer closes connections whose idle timeout has passed; nil while none
	// is idle.
	expiryTimer *time.Timer
}

func newIdlePool(limit int, timeout time.Duration) *idlePool {
	return &idlePool{limit: limit, timeout: timeout, conns: map[string][]*conn{}}
}

// take removes and returns a usable idle connection for a request, nil if there is none. It checks the idle
// timeout too: after the machine was suspended, the timer fires late, and the FIN of an upstream
// that closed the connection meanwhile may not have arrived.
func (p *idlePool) take(addr string, a attribution) *conn {
	if a.alone() {
		return nil
	}
	for {
		c := p.pop(addr, a)
		if c == nil || clock.Since(c.idleSince) < p.timeout && c.usable() {
			return c
		}
		_ = c.net.Close()
	}
}

// pop removes and returns the most recently used connection to an address that has carried no request with the
// new one's ID, nil if there is none.
func (p *idlePool) pop(addr string, a attribution) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[addr]
	for i, c := range slices.Backward(list) {
		if a.byID && c.carried.has(a.ID) {
			continue
		}
		p.setConns(addr, slices.Delete(list, i, i+1))
		return c
	}
	return nil
}

// setConns sets the idle connections to an address. The caller holds mu.
func (p *idlePool) setConns(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.conns, addr)
		return
	}
	p.conns[addr] = list
}

// put adds a connection, or closes it if the address has the maximum already or
// the pool is closed.
func (p *idlePool) put(c *conn) {
	if !p.add(c) {
		_ = c.net.Close()
	}
}

// add adds a connection and reports whether there was room for it.
func (p *idlePool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[c.addr]
	if p.closed || len(list) >= p.limit {
		return false
	}
	c.idleSince = clock.Now()
	p.conns[c.addr] = append(list, c)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.timeout, p.expire)
	}
	return true
}

// expire closes the connections whose idle timeout has passed.
func (p *idlePool) expire() {
	for _, c := range p.takeExpired(clock.Now()) {
		_ = c.net.Close()
	}
}

// takeExpired removes and returns the connections whose idle timeout has passed,
// and sets the timer for the remaining ones.
func (p *idlePool) takeExpired(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*conn
	next := time.Duration(0)
	for addr, list := range p.conns {
		// Connections that have been idle longest come first.
		n := 0
		for n < len(list) && now.Sub(list[n].idleSince) >= p.timeout {
			n++
		}
		out = append(out, list[:n]...)
		list = list[n:]
		if len(list) > 0 {
			left := p.timeout - now.Sub(list[0].idleSince)
			if next == 0 || left < next {
				next = left
			}
		}
		p.setConns(addr, list)
	}
	p.expiryTimer = nil
	if next > 0 && !p.closed {
		p.expiryTimer = time.AfterFunc(next, p.expire)
	}
	return out
}

// close closes all idle connections, and the pool accepts no more.
func (p *idlePool) close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[string][]*conn{}
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	p.mu.Unlock()
	for _, list := range conns {
		for _, c := range list {
			_ = c.net.Close()
		}
	}
}
