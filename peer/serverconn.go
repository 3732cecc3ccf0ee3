package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// serverConn is an accepted connection. It implements jsonrpc2.Handler.
type serverConn struct {
	srv     *Server
	counted *countingConn

	mu      sync.Mutex
	stream  *stream
	cert    *x509.Certificate
	remote  Identity
	greeted bool
	closing bool
	calls   map[jsonrpc2.ID]context.CancelFunc
	// notifications counts notification handlers in progress.
	notifications int
	running       sync.WaitGroup
}

// run serves the connection until it closes and its handlers have returned.
func (c *serverConn) run(conn net.Conn) {
	s := newStream(conn, c.srv.cfg.Limits, c.busy)
	c.mu.Lock()
	c.stream = s
	c.cert = peerCertificate(conn)
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = s.Close()
		return
	}
	timer := time.AfterFunc(c.srv.cfg.Limits.Hello, c.hangUpUnlessGreeted)
	defer timer.Stop()
	rpc := jsonrpc2.NewConn(context.Background(), s, c, jsonrpc2.SetLogger(rpcLog{c.srv.cfg.Log}))
	<-rpc.DisconnectNotify()
	c.running.Wait()
	<-s.done
}

// peerCertificate returns the verified certificate of a TLS connection's peer.
func peerCertificate(conn net.Conn) *x509.Certificate {
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := t.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		// No name matches an empty certificate.
		return &x509.Certificate{}
	}
	return certs[0]
}

// rpcLog passes the library's messages on at debug level.
type rpcLog struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLog) Printf(format string, args ...any) {
	l.log.Debug("jsonrpc2", "format", format, "args", args)
}

// hangUpUnlessGreeted closes a connection whose hello did not come in time.
func (c *serverConn) hangUpUnlessGreeted() {
	c.mu.Lock()
	greeted := c.greeted
	c.mu.Unlock()
	if !greeted {
		c.stream.fail(&TimeoutError{Method: MethodHello})
	}
}

// busy reports whether calls are in progress; an idle connection is closed.
func (c *serverConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)+c.notifications > 0
}

// close closes the connection at once.
func (c *serverConn) close() {
	c.mu.Lock()
	c.closing = true
	s := c.stream
	c.mu.Unlock()
	if s != nil {
		s.fail(nil)
		return
	}
	_ = c.counted.Close()
}

// closeWhenIdle closes the connection after the calls in progress.
func (c *serverConn) closeWhenIdle() {
	c.mu.Lock()
	c.closing = true
	idle := len(c.calls)+c.notifications == 0
	s := c.stream
	c.mu.Unlock()
	switch {
	case s == nil:
		_ = c.counted.Close()
	case idle:
		s.closeAfterWrites()
	}
}

// stats describes the connection.
func (c *serverConn) stats() ConnStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStats{Remote: c.remote, Traffic: c.counted.traffic(), Calls: len(c.calls)}
}

// Handle implements jsonrpc2.Handler. It runs on the connection's reader and
// must not block.
func (c *serverConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch {
	case req.Method == MethodHello:
		c.hello(ctx, rpc, req)
	case !c.isGreeted():
		c.reply(ctx, rpc, req, nil, Refuse(&HelloRequiredError{Method: req.Method}))
		c.stream.closeAfterWrites()
	case req.Method == methodCancel:
		c.cancel(req)
	default:
		c.start(ctx, rpc, req)
	}
}

// identity returns who the peer is, if the hello was accepted.
func (c *serverConn) identity() (Identity, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remote, c.greeted
}

// isGreeted reports whether the hello was accepted.
func (c *serverConn) isGreeted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.greeted
}

// remoteAddr returns the observed address of a connection's peer.
func remoteAddr(c net.Conn) string { return c.RemoteAddr().String() }

// start runs the handler of a call in a goroutine of its own, or refuses it.
func (c *serverConn) start(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h, ok := c.srv.handler(req.Method)
	if !ok {
		c.reply(ctx, rpc, req, nil, Refuse(&MethodError{Method: req.Method}))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTime(req))
	if err := c.begin(req, cancel); err != nil {
		cancel()
		c.reply(ctx, rpc, req, nil, Refuse(err))
		return
	}
	go func() {
		defer c.end(req, cancel)
		result, err := c.invoke(ctx, h, req)
		c.reply(ctx, rpc, req, result, err)
	}()
}

// callMeta is the meta member of a request.
type callMeta struct {
	// TimeoutMS is the time the caller waits, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
}

// callTime returns how long a call may run.
func (c *serverConn) callTime(req *jsonrpc2.Request) time.Duration {
	limit := c.srv.cfg.Limits.Call
	if req.Meta == nil {
		return limit
	}
	var m callMeta
	if err := json.Unmarshal(*req.Meta, &m); err != nil || m.TimeoutMS <= 0 {
		return limit
	}
	if m.TimeoutMS > limit.Milliseconds() {
		return limit
	}
	return time.Duration(m.TimeoutMS) * time.Millisecond
}

// begin counts a call in. Errors are *BusyError, *StoppingError and, for an ID
// in use, *ParamsError.
func (c *serverConn) begin(req *jsonrpc2.Request, cancel context.CancelFunc) error {
	stopping := c.srv.refuses()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.srv.cfg.Limits.Calls
	switch {
	case stopping || c.closing:
		return &StoppingError{}
	case len(c.calls)+c.notifications >= limit:
		return &BusyError{What: "calls in progress", Limit: limit}
	}
	if req.Notif {
		c.notifications++
		c.running.Add(1)
		return nil
	}
	if _, taken := c.calls[req.ID]; taken {
		return &ParamsError{Method: req.Method, Detail: "request ID in use"}
	}
	c.calls[req.ID] = cancel
	c.running.Add(1)
	return nil
}

// end counts a call out.
func (c *serverConn) end(req *jsonrpc2.Request, cancel context.CancelFunc) {
	cancel()
	c.mu.Lock()
	if req.Notif {
		c.notifications--
	} else {
		delete(c.calls, req.ID)
	}
	last := c.closing && len(c.calls)+c.notifications == 0
	c.mu.Unlock()
	if last {
		c.stream.closeAfterWrites()
	}
	c.running.Done()
}

// cancel ends the context of a call whose caller is gone.
func (c *serverConn) cancel(req *jsonrpc2.Request) {
	if req.Params == nil {
		return
	}
	var id jsonrpc2.ID
	if err := json.Unmarshal(*req.Params, &id); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.calls[id]; ok {
		cancel()
	}
}

// invoke runs a handler. A panic is answered as an internal error, so that one
// bad call does not end the process with everything in flight.
func (c *serverConn) invoke(ctx context.Context, h handler, req *jsonrpc2.Request) (result json.RawMessage, err error) {
	defer func() {
		if p := recover(); p != nil {
			c.srv.cfg.Log.Error("peer handler panicked", "method", req.Method, "panic", p, "stack", string(debug.Stack()))
			err = &PanicError{Method: req.Method}
		}
	}()
	c.mu.Lock()
	from := c.remote
	c.mu.Unlock()
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, from, params)
}
