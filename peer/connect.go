package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// connect opens a connection and exchanges hellos. Errors are *DialError and
// errors of the hello.
func connect(ctx context.Context, addr string, cfg Config) (*clientConn, error) {
	dctx, cancel := context.WithTimeout(ctx, cfg.Limits.Dial)
	defer cancel()
	raw, err := cfg.Dialer.DialContext(dctx, "tcp", addr)
	if err != nil {
		return nil, newDialError(addr, err)
	}
	c := &clientConn{
		addr:     addr,
		cfg:      cfg,
		netConn:  &countingConn{Conn: raw},
		pending:  map[uint64]*pendingCall{},
		lastUsed: time.Now(),
	}
	hctx, cancel := context.WithTimeout(ctx, cfg.Limits.Hello)
	defer cancel()
	if err := c.handshake(hctx); err != nil {
		c.close(err)
		return nil, err
	}
	c.startIdleTimer()
	return c, nil
}

// handshake performs the TLS handshake, starts the JSON-RPC connection, exchanges
// hellos and verifies the peer's identity.
func (c *clientConn) handshake(ctx context.Context) error {
	conn, err := c.tlsHandshake(ctx)
	if err != nil {
		return c.classifyHelloError(err)
	}
	c.stream = newStream(conn, c.cfg.Limits, c.keepOpen)
	// The response to the hello is the first frame. This side chose the server's
	// address, so frames of the full size are accepted from the start.
	c.stream.raiseReadLimit()
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, refuseAll{},
		jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onRecv), jsonrpc2.SetLogger(rpcLogger{slog.New(slog.DiscardHandler)}))
	raw, err := c.call(ctx, MethodHello, newHello(c.cfg.Self))
	if err != nil {
		return c.classifyHelloError(err)
	}
	h, err := decodeHello(raw)
	if err != nil {
		return err
	}
	c.remote, err = checkPeer(h, c.addr, peerCertificate(conn), c.cfg.Allow)
	return err
}

// classifyHelloError classifies the failure of a TLS handshake or a hello:
// timeouts, closed connections and TLS errors become a *DialError. Other errors,
// such as a refusal by the remote process, are returned without their *CallError.
func (c *clientConn) classifyHelloError(err error) error {
	cause := unwrapCallError(err)
	var closed *ClosedError
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return &DialError{Addr: c.addr, Kind: DialHelloTimeout, Err: cause}
	case errors.As(cause, &closed), c.cfg.TLS != nil && c.stream == nil:
		return newDialError(c.addr, cause)
	default:
		return cause
	}
}

// tlsHandshake performs the TLS handshake if TLS is configured.
func (c *clientConn) tlsHandshake(ctx context.Context) (net.Conn, error) {
	if c.cfg.TLS == nil {
		return c.netConn, nil
	}
	t := tls.Client(c.netConn, c.cfg.TLS.ClientConfig())
	return t, t.HandshakeContext(ctx)
}

// refuseAll refuses calls received on dialled connections; only the dialling side
// makes calls.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	if err := rpc.ReplyWithError(ctx, req.ID, encodeError(Refuse(&MethodError{Method: req.Method}))); err != nil {
		_ = rpc.Close()
	}
}
