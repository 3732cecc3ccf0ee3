// Package meter measures the resource usage of a process: bytes on its
// connections, CPU time and memory.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Dialer opens connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// Meter counts the bytes of any number of connections. The zero value is ready
// for use. A Meter is safe for concurrent use.
type Meter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes written so far.
func (m *Meter) Sent() uint64 { return m.sent.Load() }

// Received returns the number of bytes read so far.
func (m *Meter) Received() uint64 { return m.received.Load() }

// Total returns the number of bytes written and read so far.
func (m *Meter) Total() uint64 { return m.Sent() + m.Received() }

// CountingDialer returns a dialer that opens connections with d and counts their bytes.
func (m *Meter) CountingDialer(d Dialer) Dialer { return &countingDialer{meter: m, dialer: d} }

// countingDialer opens connections whose bytes are counted.
type countingDialer struct {
	meter  *Meter
	dialer Dialer
}

// DialContext implements Dialer.
func (d *countingDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, meter: d.meter}, nil
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(uint64(n))
	return n, err
}
