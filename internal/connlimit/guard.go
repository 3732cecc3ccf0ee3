// Package connlimit bounds the connections of an HTTP server and the memory that they take before their requests are passed
// on. Package net/http bounds one head, but neither their sum nor the number of connections.
//
// When a bound is met, the connection that has waited longest gives way: for the rest of a request, or, idle, for the next
// one. The connection of a request that was passed on never does. If all connections are of that kind, new ones are closed
// at once, so that they don't wait in the operating system's queue.
package connlimit

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// connectionBytes is the memory of a connection without a request: buffers, goroutine and descriptors.
	connectionBytes = 12 << 10
	// A parsed head takes up to twice its bytes, and up to 128 bytes for each line: the entry of a map, its key and its
	// list of values. The heap grows to twice what is live between two collections.
	headFactor = 4
	lineBytes  = 256
	// patience is how long a connection may wait for its request to become whole before it gives way to others
	// sooner than idle ones.
	patience = time.Second
)

// Limits bound the connections of a server.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// MemoryBytes is the maximum memory of all connections and of the heads of their requests, in bytes.
	MemoryBytes int64
}

// phase is what a connection does.
type phase int

const (
	// waiting means that the server waits for the rest of a request, or for the first one.
	waiting phase = iota
	// idle means that the connection is kept for another request.
	idle
	// passedOn means that a request was passed on or is being answered.
	passedOn
	// closed means that the connection does not count any more.
	closed
)

// Guard applies Limits to the connections of one server. It is safe for concurrent use.
type Guard struct {
	limits Limits
	// count is called with the name of a counter for each connection that is closed because of a limit.
	count func(name string)

	mu sync.Mutex
	// open is the number of open connections, used their memory in bytes.
	open int
	used int64
	// queues holds the connections that may give way, those that have waited longest first.
	queues [passedOn]*list.List
}

// NewGuard returns a guard. count increments a counter: connections_gave_way or connections_refused.
func NewGuard(l Limits, count func(name string)) *Guard {
	return &Guard{limits: l, count: count, queues: [passedOn]*list.List{waiting: list.New(), idle: list.New()}}
}

// Listener returns a listener whose connections the guard bounds.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// Configure has a server tell the guard what its connections do. The server must use a Listener of the guard.
func (g *Guard) Configure(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		guarded := unwrap(c)
		switch {
		case guarded == nil:
		case state == http.StateActive:
			guarded.endHead()
		case state == http.StateIdle:
			guarded.restart()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// PassedOn records that a request is whole and is passed on, or is being answered. ctx is the context of the request. Its
// connection does not give way until the request has ended.
func PassedOn(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*conn); c != nil {
		c.passOn()
	}
}

// unwrap returns the connection of the guard below a connection of the server, nil if there is none.
func unwrap(c net.Conn) *conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	guarded, _ := c.(*conn)
	return guarded
}

// listener is a listener whose connections a guard bounds.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, guard: l.guard}
		if l.guard.admit(c) {
			return c, nil
		}
		l.guard.count("connections_refused")
		_ = raw.Close()
	}
}

// admit adds a connection. It returns false if the limits leave no room for it.
func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	victims, ok := g.makeRoom(1, connectionBytes, nil)
	if ok {
		g.open++
		g.used += connectionBytes
		c.held = connectionBytes
		c.enter(waiting)
	}
	g.mu.Unlock()
	g.close(victims)
	return ok
}

// makeRoom has connections give way until the limits leave room for more connections and bytes. The caller holds mu, and
// closes the victims without it. ok is false if there is no room, or if c, which needs it, is itself the next to give way.
func (g *Guard) makeRoom(connections int, bytes int64, c *conn) (victims []*conn, ok bool) {
	for g.open+connections > g.limits.Connections || g.used+bytes > g.limits.MemoryBytes {
		victim := g.next()
		if victim == nil || victim == c {
			return victims, false
		}
		victim.leave()
		victims = append(victims, victim)
	}
	return victims, true
}

// next returns the connection that gives way next, or nil. The caller holds mu.
func (g *Guard) next() *conn {
	slow, kept := g.oldest(waiting), g.oldest(idle)
	if slow == nil || kept != nil && time.Since(slow.since) < patience {
		return kept
	}
	return slow
}

// oldest returns the connection that has been in a phase longest, or nil. The caller holds mu.
func (g *Guard) oldest(p phase) *conn {
	if e := g.queues[p].Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// close closes connections that gave way.
func (g *Guard) close(victims []*conn) {
	for _, c := range victims {
		g.count("connections_gave_way")
		_ = c.Conn.Close()
	}
}
