package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

// hello answers the first call of the connection.
func (c *serverConn) hello(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	id, err := c.accept(req)
	if err != nil {
		c.srv.cfg.Log.Warn("peer refused", "remote", remoteAddr(c.counted), "error", err)
		c.reply(ctx, rpc, req, nil, Refuse(err))
		c.stream.closeAfterWrites()
		return
	}
	c.mu.Lock()
	c.remote = id
	c.greeted = true
	c.mu.Unlock()
	c.stream.trust()
	c.reply(ctx, rpc, req, newHello(c.srv.cfg.Self), nil)
}

// accept checks a hello.
func (c *serverConn) accept(req *jsonrpc2.Request) (Identity, error) {
	if c.isGreeted() || req.Params == nil {
		return Identity{}, &HelloError{Field: "shape"}
	}
	h, err := decodeHello(*req.Params)
	if err != nil {
		return Identity{}, err
	}
	return checkPeer(h, remoteAddr(c.counted), c.cert, c.srv.cfg.Allow)
}

// reply answers a call; notifications have no answer. When the answer cannot be
// queued, the connection is closed, so that the caller learns that it is lost.
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

// frameOverhead is the most that a response adds to its result, in bytes.
const frameOverhead = 256

// setResult puts a result that fits a frame into the response.
func (c *serverConn) setResult(resp *jsonrpc2.Response, result any) error {
	if err := resp.SetResult(result); err != nil {
		return &FrameError{Part: "body"}
	}
	limit := c.srv.cfg.Limits.Frame - frameOverhead
	if n := len(*resp.Result); n > limit {
		resp.Result = nil
		return &TooLargeError{Bytes: n, Limit: limit}
	}
	return nil
}
