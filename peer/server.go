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

// Server answers calls of peers.
type Server struct {
	cfg Config

	mu        sync.Mutex
	handlers  map[string]handler
	listeners map[net.Listener]struct{}
	conns     map[*serverConn]struct{}
	closed    Traffic
	draining  bool
	stopping  bool
	wg        sync.WaitGroup
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

// Drain refuses new calls with a *StoppingError and goes on with those in
// progress. Connections are still accepted: peers take a refused connection for
// proof that the process is gone, so that a process which still has requests in
// flight must drain first and call Shutdown last.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// refuses reports whether new calls are refused.
func (s *Server) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.stopping
}

// Serve accepts connections until Shutdown, and returns nil then, or until the
// listener is closed by someone else; the error is an *AcceptError. Other
// failures, such as too many open files, are waited out. It closes the listener.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	defer s.dropListener(l)
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
			s.cfg.Log.Error("accepting a peer failed", "error", err)
			time.Sleep(acceptPause)
		}
	}
}

// acceptPause is the pause after a failure to accept a connection.
const acceptPause = 100 * time.Millisecond

// addListener remembers a listener for Shutdown.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// dropListener closes and forgets a listener.
func (s *Server) dropListener(l net.Listener) {
	s.mu.Lock()
	delete(s.listeners, l)
	s.mu.Unlock()
	// Closing twice is harmless; Shutdown may have done it.
	_ = l.Close()
}

// ServeConn answers calls on one connection until it closes. Serve uses it;
// tests give it one end of a pipe.
func (s *Server) ServeConn(raw net.Conn) {
	counted := &countingConn{Conn: raw}
	c := &serverConn{srv: s, counted: counted, calls: map[jsonrpc2.ID]context.CancelFunc{}}
	if !s.addConn(c) {
		_ = raw.Close()
		return
	}
	defer s.dropConn(c)
	conn, err := s.secure(counted)
	if err != nil {
		s.cfg.Log.Warn("peer handshake failed", "remote", raw.RemoteAddr().String(), "error", err)
		_ = raw.Close()
		return
	}
	c.run(conn)
}

// secure performs the TLS handshake where TLS is configured.
func (s *Server) secure(conn net.Conn) (net.Conn, error) {
	if s.cfg.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Limits.Hello)
	defer cancel()
	t := tls.Server(conn, s.cfg.TLS.ServerConfig())
	return t, t.HandshakeContext(ctx)
}

// addConn counts a connection in, unless there are too many.
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

// dropConn counts a connection out.
func (s *Server) dropConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.closed = s.closed.add(c.counted.traffic())
	s.wg.Done()
}

// openConns returns the open connections.
func (s *Server) openConns() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Recheck closes the connections of peers that Allow does not believe any more.
// Call it when the settings or the platform's list changed.
func (s *Server) Recheck() {
	for _, c := range s.openConns() {
		if id, ok := c.identity(); ok && !s.cfg.Allow(id) {
			c.close()
		}
	}
}

// Stats returns the connections and their traffic.
func (s *Server) Stats() Stats {
	conns := s.openConns()
	s.mu.Lock()
	out := Stats{Total: s.closed}
	s.mu.Unlock()
	for _, c := range conns {
		cs := c.stats()
		out.Conns = append(out.Conns, cs)
		out.Total = out.Total.add(cs.Traffic)
	}
	return out
}

// Shutdown stops accepting, refuses new calls with a *StoppingError, waits for
// the calls in progress and their answers, and closes all connections. When ctx
// ends first, it closes them at once and returns the context's error.
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
