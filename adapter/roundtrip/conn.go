package roundtrip

import (
	"crypto/tls"
	"net"
	"sync"
)

// conn is a connection that knows whether bytes were written to it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// written counts the bytes that the network took.
	written uint64
	// writing is true while a Write is under way.
	writing bool
	sealed  bool
}

// Write implements net.Conn. A sealed connection writes nothing.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing = true
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += uint64(n)
	return n, err
}

// mark returns the count of bytes written so far.
func (c *conn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and reports whether none happened since mark.
// A Write still under way counts as one that happened.
func (c *conn) seal(mark uint64) (untouched bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return !c.writing && c.written == mark
}

// unwrap finds the conn beneath a connection of the transport.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
