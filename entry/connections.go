package entry

import (
	"net"
	"sync"
)

// limitedListener limits the number of connections that are open at the same time.
// Further connections wait in the operating system's accept queue until one closes.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// limitConnections returns a listener that has at most limit open connections.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: l,
		slots:    make(chan struct{}, limit),
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: l.slots}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn frees its slot in the listener when it is closed.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
