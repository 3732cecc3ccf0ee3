package peer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// clientConn is a connection dialled by a Pool.
type clientConn struct {
	addr    string
	cfg     Config
	counted *countingConn
	stream  *stream
	rpc     *jsonrpc2.Conn
	remote  Identity

	mu sync.Mutex
	// retired is set when the connection accepts no further calls.
	retired bool
	lastID  uint64
	// pending holds the calls without a response, by request ID, including those
	// whose callers have stopped waiting.
	pending  map[uint64]*pendingCall
	lastUsed time.Time
	idle     *time.Timer
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	started  time.Time
	progress progress
}

// onSend is the OnSend hook of jsonrpc2. It sets the progress of the frame that
// is passed to WriteObject next.
func (c *clientConn) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	c.stream.next = nil
	if req == nil || req.Notif {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[req.ID.Num]; ok {
		c.stream.next = &p.progress
	}
}

// onRecv is the OnRecv hook of jsonrpc2. It removes an answered call from
// pending.
func (c *clientConn) onRecv(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp != nil {
		c.finish(resp.ID.Num)
	}
}

// begin adds a call to pending and assigns its ID. Errors are *BusyError and
// *ClosedError; the call has not been sent then.
func (c *clientConn) begin() (uint64, *pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return 0, nil, &ClosedError{}
	}
	if len(c.pending) >= c.cfg.Limits.Calls {
		if c.stale() {
			// The peer has stopped answering: close the connection, so that the
			// next call opens a new one.
			c.stream.fail(&TimeoutError{Method: "calls without answer"})
		}
		return 0, nil, &BusyError{What: "calls in progress", Limit: c.cfg.Limits.Calls}
	}
	now := time.Now()
	c.lastID++
	c.lastUsed = now
	p := &pendingCall{started: now}
	c.pending[c.lastID] = p
	return c.lastID, p, nil
}

// finish removes a call from pending.
func (c *clientConn) finish(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// stale reports whether a pending call is older than Limits.Call. The caller
// holds mu.
func (c *clientConn) stale() bool {
	limit := time.Now().Add(-c.cfg.Limits.Call)
	for _, p := range c.pending {
		if p.started.Before(limit) {
			return true
		}
	}
	return false
}

// wanted reports whether to keep a connection on which no frame arrives: whether
// calls are pending and none is overdue.
func (c *clientConn) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 && !c.stale()
}

// call sends a call and waits for its response. Errors are *CallError.
func (c *clientConn) call(ctx context.Context, method string, params any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.Call)
	defer cancel()
	id, p, err := c.begin()
	if err != nil {
		return nil, c.fault(method, NotSent, err)
	}
	w, err := c.rpc.DispatchCall(ctx, method, params, jsonrpc2.PickID(jsonrpc2.ID{Num: id}), timeoutMeta(ctx))
	if err != nil {
		// The frame was never queued.
		c.finish(id)
		return nil, c.fault(method, NotSent, c.cause(err))
	}
	var raw json.RawMessage
	if err := w.Wait(ctx, &raw); err != nil {
		return nil, c.failed(ctx, method, id, p, err)
	}
	return raw, nil
}

// timeoutMeta returns request metadata that tells the server how long the caller
// waits.
func timeoutMeta(ctx context.Context) jsonrpc2.CallOption {
	d, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ms := max(time.Until(d).Milliseconds(), 1)
	return jsonrpc2.Meta(callMeta{TimeoutMS: ms})
}

// failed determines the Delivery and the cause of a failed call.
func (c *clientConn) failed(ctx context.Context, method string, id uint64, p *pendingCall, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote):
		delivery, cause := decodeRemote(remote)
		return c.fault(method, delivery, cause)
	case errors.Is(err, jsonrpc2.ErrClosed):
		// The progress of the frame is final only after the writer has ended.
		_ = c.stream.Close()
		return c.fault(method, undelivered(p), c.stream.closedBy())
	case ctx.Err() != nil:
		delivery := undelivered(p)
		if delivery == Unknown {
			c.sendCancel(ctx, id)
		}
		return c.fault(method, delivery, ctx.Err())
	default:
		return c.fault(method, Unknown, &FrameError{Part: "body"})
	}
}

// undelivered withdraws the frame of a call if it is still queued. It returns
// NotSent if the peer cannot have received the whole frame, otherwise Unknown.
func undelivered(p *pendingCall) Delivery {
	if p.progress.withdraw() {
		return NotSent
	}
	return Unknown
}

// sendCancel tells the server that the caller has stopped waiting for a call. It
// only queues a frame; if that fails, the call runs until it times out.
func (c *clientConn) sendCancel(ctx context.Context, id uint64) {
	_ = c.rpc.Notify(ctx, methodCancel, jsonrpc2.ID{Num: id})
}

// notify queues a notification. Errors are *CallError with NotSent.
func (c *clientConn) notify(ctx context.Context, method string, params any) error {
	c.mu.Lock()
	retired := c.retired
	c.lastUsed = time.Now()
	c.mu.Unlock()
	if retired {
		return c.fault(method, NotSent, &ClosedError{})
	}
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return c.fault(method, NotSent, c.cause(err))
	}
	return nil
}

// cause replaces the ErrClosed of jsonrpc2 by the reason for which the stream
// closed.
func (c *clientConn) cause(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return c.stream.closedBy()
	}
	return err
}

// fault returns a *CallError for a call on this connection.
func (c *clientConn) fault(method string, d Delivery, err error) error {
	return &CallError{Addr: c.addr, Method: method, Delivery: d, Err: err}
}

// alive reports whether the connection accepts calls.
func (c *clientConn) alive() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.retired
}

// close closes the connection; cause is reported to the pending calls.
func (c *clientConn) close(cause error) {
	c.mu.Lock()
	c.retired = true
	if c.idle != nil {
		c.idle.Stop()
	}
	c.mu.Unlock()
	if c.stream == nil {
		_ = c.counted.Close()
		return
	}
	c.stream.fail(cause)
	if c.rpc != nil {
		// The error only says that it is closed already.
		_ = c.rpc.Close()
	}
}

// stats returns the connection's statistics.
func (c *clientConn) stats() ConnStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStats{Remote: c.remote, Traffic: c.counted.traffic(), Calls: len(c.pending)}
}
