package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Server accepts connections of peers and handles their calls.
type Server struct {
	cfg Config

	mu            sync.Mutex
	handlers      map[string]handler
	listeners     map[net.Listener]struct{}
	conns         map[*serverConn]struct{}
	closedTraffic Traffic
	draining      bool
	stopping      bool
	wg            sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer(cfg Config) *Server {
	return &Server{
		cfg:       cfg.withDefaults(),
		handlers:  map[string]handler{},
		listeners: map[net.Listener]struct{}{},
		conns:     map[*serverConn]struct{}{},
	}
}

// register adds a handler; see Handle.
func (s *Server) register(method string, h handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.handlers[method]; taken || method == MethodHello || method == methodCancel {
		panic(fmt.Sprintf("peer: method %s registered twice", method))
	}
	s.handlers[method] = h
}

// handler returns the handler of a method.
func (s *Server) handler(method string) (handler, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handlers[method]
	return h, ok
}

// isStopping reports whether Shutdown has begun.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Drain makes the server refuse new calls with a *StoppingError; calls in progress
// continue. Connections are still accepted: peers treat a refused connection as
// proof that the process has ended, so a process with requests in flight must call
// Drain first and Shutdown only after they have finished.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// refusesCalls reports whether new calls are refused, because of Drain or Shutdown.
func (s *Server) refusesCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.stopping
}

// Serve accepts connections until Shutdown, after which it returns nil, or until
// the listener is closed otherwise, after which it returns an *AcceptError. Other
// failures to accept, such as too many open files, are retried after
// acceptRetryDelay. Serve closes the listener.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	defer s.removeListener(l)
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			go s.ServeConn(conn)
		case s.isStopping():
			return nil
		case errors.Is(err, net.ErrClosed):
			return &AcceptError{Addr: l.Addr().String(), Err: err}
		default:
			s.cfg.Log.Error("accepting peer connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptRetryDelay is the delay after a failure to accept a connection.
const acceptRetryDelay = 100 * time.Millisecond

// addListener records a listener for Shutdown to close. It reports false if
// Shutdown has begun.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// removeListener closes a listener and removes it from the server.
func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	delete(s.listeners, l)
	s.mu.Unlock()
	// Shutdown may have closed it already; closing it twice is harmless.
	_ = l.Close()
}

// ServeConn handles calls on one connection until it closes. Serve uses it; tests
// pass it one end of a pipe.
func (s *Server) ServeConn(raw net.Conn) {
	netConn := &countingConn{Conn: raw}
	c := &serverConn{srv: s, netConn: netConn, calls: map[jsonrpc2.ID]context.CancelFunc{}}
	if !s.addConn(c) {
		_ = raw.Close()
		return
	}
	defer s.removeConn(c)
	conn, err := s.tlsHandshake(netConn)
	if err != nil {
		s.cfg.Log.Warn("peer TLS handshake failed", "remote", raw.RemoteAddr().String(), "error", err)
		_ = raw.Close()
		return
	}
	c.run(conn)
}

// tlsHandshake performs the TLS handshake if TLS is configured.
func (s *Server) tlsHandshake(conn net.Conn) (net.Conn, error) {
	if s.cfg.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Limits.Hello)
	defer cancel()
	t := tls.Server(conn, s.cfg.TLS.ServerConfig())
	return t, t.HandshakeContext(ctx)
}

// addConn records a connection. It reports false if Shutdown has begun or
// Limits.Connections is reached.
func (s *Server) addConn(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || len(s.conns) >= s.cfg.Limits.Connections {
		return false
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	return true
}

// removeConn removes a closed connection and adds its traffic to the total.
func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.closedTraffic = s.closedTraffic.add(c.netConn.traffic())
	s.wg.Done()
}

// openConns returns a snapshot of the open connections.
func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Recheck closes the connections of peers that Config.Allow no longer accepts.
// Call it when the settings or the platform's list have changed.
func (s *Server) Recheck() {
	for _, c := range s.openConns() {
		if id, ok := c.identity(); ok && !s.cfg.Allow(id) {
			c.close()
		}
	}
}

// Stats returns the statistics of all connections.
func (s *Server) Stats() Stats {
	conns := s.openConns()
	s.mu.Lock()
	out := Stats{Total: s.closedTraffic}
	s.mu.Unlock()
	for _, c := range conns {
		cs := c.stats()
		out.Conns = append(out.Conns, cs)
		out.Total = out.Total.add(cs.Traffic)
	}
	return out
}

// Shutdown closes the listeners, refuses new calls with a *StoppingError, waits
// until the calls in progress have been answered, and closes all connections. If
// ctx is done first, it closes them immediately and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.closeWhenIdle()
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, c := range s.openConns() {
		c.close()
	}
	<-done
	return ctx.Err()
}
