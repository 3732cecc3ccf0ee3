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
	netConn *countingConn

	mu            sync.Mutex
	stream        *stream
	cert          *x509.Certificate
	remote        Identity
	helloAccepted bool
	closing       bool
	calls         map[jsonrpc2.ID]context.CancelFunc
	// notifications is the number of notification handlers in progress.
	notifications int
	running       sync.WaitGroup
}

// run serves the connection until it is closed and all its handlers have
// returned.
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
	timer := time.AfterFunc(c.srv.cfg.Limits.Hello, c.closeWithoutHello)
	defer timer.Stop()
	rpc := jsonrpc2.NewConn(context.Background(), s, c, jsonrpc2.SetLogger(rpcLogger{c.srv.cfg.Log}))
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
		// An empty certificate is valid for no name, so checkPeer refuses the
		// peer.
		return &x509.Certificate{}
	}
	return certs[0]
}

// rpcLogger logs the messages of jsonrpc2 at debug level.
type rpcLogger struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, args ...any) {
	l.log.Debug("jsonrpc2", "format", format, "args", args)
}

// closeWithoutHello closes the connection if no hello has been accepted yet.
func (c *serverConn) closeWithoutHello() {
	c.mu.Lock()
	accepted := c.helloAccepted
	c.mu.Unlock()
	if !accepted {
		c.stream.fail(&TimeoutError{Method: MethodHello})
	}
}

// busy reports whether calls or notifications are in progress. The stream closes
// a connection that is idle and not busy.
func (c *serverConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)+c.notifications > 0
}

// close closes the connection immediately.
func (c *serverConn) close() {
	c.mu.Lock()
	c.closing = true
	s := c.stream
	c.mu.Unlock()
	if s != nil {
		s.fail(nil)
		return
	}
	_ = c.netConn.Close()
}

// closeWhenIdle closes the connection when the calls in progress have been
// answered; new calls are refused.
func (c *serverConn) closeWhenIdle() {
	c.mu.Lock()
	c.closing = true
	idle := len(c.calls)+c.notifications == 0
	s := c.stream
	c.mu.Unlock()
	switch {
	case s == nil:
		_ = c.netConn.Close()
	case idle:
		s.closeAfterWrites()
	}
}

// stats returns the connection's statistics.
func (c *serverConn) stats() ConnStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStats{Remote: c.remote, Traffic: c.netConn.traffic(), Calls: len(c.calls)}
}

// Handle implements jsonrpc2.Handler. It runs in the connection's read loop and
// must not block.
func (c *serverConn) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch {
	case req.Method == MethodHello:
		c.handleHello(ctx, rpc, req)
	case !c.isHelloAccepted():
		c.reply(ctx, rpc, req, nil, Refuse(&HelloRequiredError{Method: req.Method}))
		c.stream.closeAfterWrites()
	case req.Method == methodCancel:
		c.handleCancel(req)
	default:
		c.startCall(ctx, rpc, req)
	}
}

// identity returns the peer's identity. It reports false if no hello has been
// accepted.
func (c *serverConn) identity() (Identity, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remote, c.helloAccepted
}

// isHelloAccepted reports whether a hello has been accepted.
func (c *serverConn) isHelloAccepted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.helloAccepted
}

// remoteAddr returns the remote address of a connection.
func remoteAddr(c net.Conn) string { return c.RemoteAddr().String() }

// startCall runs the handler of a call in a new goroutine, or refuses the call.
func (c *serverConn) startCall(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h, ok := c.srv.handler(req.Method)
	if !ok {
		c.reply(ctx, rpc, req, nil, Refuse(&MethodError{Method: req.Method}))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout(req))
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

// callMeta is the metadata of a request.
type callMeta struct {
	// TimeoutMS is how long the caller waits, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
}

// callTimeout returns the timeout of a call: the caller's, limited to Limits.Call.
func (c *serverConn) callTimeout(req *jsonrpc2.Request) time.Duration {
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

// begin records a call or notification in progress. Errors are *BusyError,
// *StoppingError and, for a request ID in use, *ParamsError.
func (c *serverConn) begin(req *jsonrpc2.Request, cancel context.CancelFunc) error {
	stopping := c.srv.refusesCalls()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.srv.cfg.Limits.Calls
	switch {
	case stopping || c.closing:
		return &StoppingError{}
	case len(c.calls)+c.notifications >= limit:
		return &BusyError{Resource: "calls in progress", Limit: limit}
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

// end removes a finished call or notification, and closes the connection if it
// was the last one of a closing connection.
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

// handleCancel handles methodCancel: it cancels the context of a call whose
// caller has stopped waiting.
func (c *serverConn) handleCancel(req *jsonrpc2.Request) {
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

// invoke runs a handler. A panic is answered with an internal error, so that one
// faulty call does not end the process and every other call in flight.
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
