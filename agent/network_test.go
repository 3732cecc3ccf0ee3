package agent

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
)

// network is an in-memory network of hosts, each an IP address. It works inside
// testing/synctest bubbles, where real sockets do not.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*link]struct{}
	cuts      map[[2]string]bool
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, conns: map[*link]struct{}{}, cuts: map[[2]string]bool{}}
}

// host returns the IP address of "ip:port".
func host(addr string) string {
	ip, _, _ := strings.Cut(addr, ":")
	return ip
}

// link is one end of a connection.
type link struct {
	net.Conn
	n          *network
	local      string
	remote     string
	onceClosed sync.Once
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.onceClosed.Do(func() {
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		delete(l.n.conns, l)
	})
	return l.Conn.Close()
}

// memAddr is an address of the network.
type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

// LocalAddr and RemoteAddr implement net.Conn.
func (l *link) LocalAddr() net.Addr  { return memAddr(l.local) }
func (l *link) RemoteAddr() net.Addr { return memAddr(l.remote) }

// listener accepts connections to one address.
type listener struct {
	n      *network
	addr   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// listen opens an address.
func (n *network) listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{n: n, addr: addr, queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		delete(l.n.listeners, l.addr)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return memAddr(l.addr) }

// hostDialer opens connections from one host. It implements meter.Dialer.
type hostDialer struct {
	n    *network
	host string
}

// DialContext opens a connection. Across a cut nothing responds.
func (f hostDialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	f.n.mu.Lock()
	l, cut := f.n.listeners[addr], f.n.cuts[[2]string{f.host, host(addr)}]
	f.n.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case l == nil:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := f.n.pipe(f.host+":1", addr)
	select {
	case l.queue <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// pipe creates both ends of a connection.
func (n *network) pipe(local, remote string) (near, far *link) {
	a, b := net.Pipe()
	near = &link{Conn: a, n: n, local: local, remote: remote}
	far = &link{Conn: b, n: n, local: remote, remote: local}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	return near, far
}

// cut starts or ends a network partition between two hosts, in both directions.
func (n *network) cut(a, b string, cut bool) {
	n.mu.Lock()
	n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = cut, cut
	var broken []*link
	for l := range n.conns {
		x, y := host(l.local), host(l.remote)
		if cut && (x == a && y == b || x == b && y == a) {
			broken = append(broken, l)
		}
	}
	n.mu.Unlock()
	for _, l := range broken {
		_ = l.Close()
	}
}
