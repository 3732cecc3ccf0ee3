package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// handleHello handles a hello. If the peer is refused, the connection is closed
// after the response.
func (c *serverConn) handleHello(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	id, err := c.verifyHello(req)
	if err != nil {
		c.srv.cfg.Log.Warn("peer refused", "remote", remoteAddr(c.netConn), "error", err)
		c.reply(ctx, rpc, req, nil, Refuse(err))
		c.stream.closeAfterWrites()
		return
	}
	c.mu.Lock()
	c.remote = id
	c.helloAccepted = true
	c.mu.Unlock()
	c.stream.raiseReadLimit()
	c.reply(ctx, rpc, req, newHello(c.srv.cfg.Self), nil)
}

// verifyHello validates a hello and verifies the identity in it. Only one hello is
// accepted per connection.
func (c *serverConn) verifyHello(req *jsonrpc2.Request) (Identity, error) {
	if c.isHelloAccepted() || req.Params == nil {
		return Identity{}, &HelloError{Field: "shape"}
	}
	h, err := decodeHello(*req.Params)
	if err != nil {
		return Identity{}, err
	}
	return checkPeer(h, remoteAddr(c.netConn), c.cert, c.srv.cfg.Allow)
}

// reply sends the response to a call; notifications have none. If the response
// cannot be queued, the connection is closed, so that the caller learns that
// the response is lost.
func (c *serverConn) reply(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	resp := &jsonrpc2.Response{ID: req.ID}
	if err == nil {
		err = c.setResult(resp, result)
	}
	if err != nil {
		resp.Error = encodeError(err)
	}
	if err := rpc.SendResponse(ctx, resp); err != nil {
		c.stream.fail(err)
	}
}

// responseOverhead is the maximum size of a response without its result, in
// bytes.
const responseOverhead = 256

// setResult sets the result of the response. The error is *FrameError, or
// *TooLargeError if the response would exceed the frame limit.
func (c *serverConn) setResult(resp *jsonrpc2.Response, result any) error {
	if err := resp.SetResult(result); err != nil {
		return &FrameError{Part: "body"}
	}
	limit := c.srv.cfg.Limits.Frame - responseOverhead
	if n := len(*resp.Result); n > limit {
		resp.Result = nil
		return &TooLargeError{Bytes: n, Limit: limit}
	}
	return nil
}
