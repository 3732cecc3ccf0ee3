package testbed

import (
	"io"
	"net"
	"sync"

	"github.com/wardspool/wardspool/ident"
)

// PlatformZone is the zone that stands for the platform's configuration service in
// Fleet.Cut and Fleet.Heal.
const PlatformZone ident.Zone = "platform"

// cuts records which pairs of zones are currently partitioned from each other.
type cuts struct {
	mu  sync.Mutex
	cut map[[2]ident.Zone]bool
	// changed is closed and replaced when a partition begins or ends.
	changed chan struct{}
}

func newCuts() *cuts {
	return &cuts{cut: map[[2]ident.Zone]bool{}, changed: make(chan struct{})}
}

// set partitions two zones from each other, or ends the partition.
func (c *cuts) set(a, b ident.Zone, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]ident.Zone{a, b}] = cut
	c.cut[[2]ident.Zone{b, a}] = cut
	close(c.changed)
	c.changed = make(chan struct{})
}

// waitConnected waits until two zones are not partitioned from each other. It
// returns false if the relay was closed first.
func (c *cuts) waitConnected(from, to ident.Zone, closed <-chan struct{}) bool {
	for {
		c.mu.Lock()
		cut, changed := c.cut[[2]ident.Zone{from, to}], c.changed
		c.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// relay forwards TCP connections to one address. While the zones of the two
// endpoints are partitioned, it holds back all bytes, connection ends and new
// connections, like a network that drops every packet.
type relay struct {
	listener net.Listener
	target   string
	zone     ident.Zone
	cuts     *cuts
	// zoneOf returns the zone of the process at the other end of a connection.
	zoneOf func(net.Conn) ident.Zone

	closed chan struct{}
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// startRelay starts a relay to a target in a zone, listening on a free loopback port.
func startRelay(target string, zone ident.Zone, c *cuts, zoneOf func(net.Conn) ident.Zone) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &ProcessError{Name: "relay to " + target, Op: "start", Err: err}
	}
	r := &relay{
		listener: l, target: target, zone: zone, cuts: c, zoneOf: zoneOf,
		closed: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	go r.serve()
	return r, nil
}

// address returns the address on which the relay listens.
func (r *relay) address() string { return r.listener.Addr().String() }

// close closes the relay's listener and all its connections.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.closed)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// register registers a connection, so that close closes it. If the relay is closed
// already, it closes the connection and returns false.
func (r *relay) register(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		_ = c.Close()
		return false
	default:
		r.conns[c] = struct{}{}
		return true
	}
}

// unregister unregisters and closes a connection.
func (r *relay) unregister(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.register(c) {
			go r.forward(c)
		}
	}
}

// forward forwards one connection until both directions have ended.
func (r *relay) forward(caller net.Conn) {
	defer r.unregister(caller)
	from := r.zoneOf(caller)
	if !r.cuts.waitConnected(from, r.zone, r.closed) {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		resetOnClose(caller)
		return
	}
	if !r.register(target) {
		return
	}
	defer r.unregister(target)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(target, caller, from) })
	directions.Go(func() { r.copy(caller, target, from) })
	directions.Wait()
}

// resetOnClose makes Close end a connection with a TCP reset, for example if nothing
// listens at the target.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// copyBuffer is the size of a relay's buffers, in bytes.
const copyBuffer = 32 << 10

// copy forwards the bytes of one direction and then its end.
func (r *relay) copy(to, from net.Conn, zone ident.Zone) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if !r.cuts.waitConnected(zone, r.zone, r.closed) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				resetOnClose(from)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			r.forwardEnd(to, err)
			return
		}
	}
}

// forwardEnd forwards the end of one direction: a half-close after an orderly end, a
// reset otherwise.
func (r *relay) forwardEnd(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	resetOnClose(to)
	_ = to.Close()
}
