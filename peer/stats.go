package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts bytes sent and received on the wire, including TLS and framing.
type Traffic struct {
	Sent     uint64
	Received uint64
}

func (t Traffic) add(o Traffic) Traffic {
	return Traffic{Sent: t.Sent + o.Sent, Received: t.Received + o.Received}
}

// ConnStats describes one connection.
type ConnStats struct {
	// Remote is the peer's identity, zero before the hello has been accepted.
	Remote  Identity
	Traffic Traffic
	// Calls is the number of calls in progress.
	Calls int
}

// Stats describes all connections of a Server or a Pool.
type Stats struct {
	// Conns holds the open connections.
	Conns []ConnStats
	// Total is the traffic of open and closed connections.
	Total Traffic
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	sent     atomic.Uint64
	received atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

func (c *countingConn) traffic() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load()}
}
