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
	netConn *countingConn
	stream  *stream
	rpc     *jsonrpc2.Conn
	remote  Identity

	mu sync.Mutex
	// closing is set when the connection accepts no further calls.
	closing bool
	lastID  uint64
	// pending holds the calls without a response, by request ID, including those
	// whose callers have stopped waiting.
	pending   map[uint64]*pendingCall
	lastUsed  time.Time
	idleTimer *time.Timer
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	started  time.Time
	progress progress
}

// onSend is the OnSend hook of jsonrpc2. It sets the progress of the frame that
// is passed to WriteObject next.
func (c *clientConn) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	c.stream.nextProgress = nil
	if req == nil || req.Notif {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[req.ID.Num]; ok {
		c.stream.nextProgress = &p.progress
	}
}

// onRecv is the OnRecv hook of jsonrpc2. It removes an answered call from
// pending.
func (c *clientConn) onRecv(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp != nil {
		c.end(resp.ID.Num)
	}
}

// begin adds a call to pending and assigns its ID. Errors are *BusyError and
// *ClosedError; the call has not been sent then.
func (c *clientConn) begin() (uint64, *pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, nil, &ClosedError{}
	}
	if len(c.pending) >= c.cfg.Limits.Calls {
		if c.hasOverdueCall() {
			// The peer has stopped answering: close the connection, so that the
			// next call opens a new one.
			c.stream.fail(&TimeoutError{Method: "calls without answer"})
		}
		return 0, nil, &BusyError{Resource: "calls in progress", Limit: c.cfg.Limits.Calls}
	}
	now := time.Now()
	c.lastID++
	c.lastUsed = now
	p := &pendingCall{started: now}
	c.pending[c.lastID] = p
	return c.lastID, p, nil
}

// end removes a call from pending.
func (c *clientConn) end(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// hasOverdueCall reports whether a pending call is older than Limits.Call. The
// caller holds mu.
func (c *clientConn) hasOverdueCall() bool {
	limit := time.Now().Add(-c.cfg.Limits.Call)
	for _, p := range c.pending {
		if p.started.Before(limit) {
			return true
		}
	}
	return false
}

// keepOpen reports whether to keep a connection on which no frame arrives: whether
// calls are pending and none is overdue.
func (c *clientConn) keepOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 && !c.hasOverdueCall()
}

// call sends a call and waits for its response. Errors are *CallError.
func (c *clientConn) call(ctx context.Context, method string, params any) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.Call)
	defer cancel()
	id, p, err := c.begin()
	if err != nil {
		return nil, c.callError(method, NotSent, err)
	}
	w, err := c.rpc.DispatchCall(ctx, method, params, jsonrpc2.PickID(jsonrpc2.ID{Num: id}), timeoutMeta(ctx))
	if err != nil {
		// The frame was never queued.
		c.end(id)
		return nil, c.callError(method, NotSent, c.closeCause(err))
	}
	var raw json.RawMessage
	if err := w.Wait(ctx, &raw); err != nil {
		return nil, c.classifyFailure(ctx, method, id, p, err)
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

// classifyFailure determines the Delivery and the cause of a failed call.
func (c *clientConn) classifyFailure(ctx context.Context, method string, id uint64, p *pendingCall, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote):
		delivery, cause := decodeRemote(remote)
		return c.callError(method, delivery, cause)
	case errors.Is(err, jsonrpc2.ErrClosed):
		// The progress of the frame is final only after the writer has ended.
		_ = c.stream.Close()
		return c.callError(method, withdrawFrame(p), c.stream.closedError())
	case ctx.Err() != nil:
		delivery := withdrawFrame(p)
		if delivery == Unknown {
			c.sendCancel(ctx, id)
		}
		return c.callError(method, delivery, ctx.Err())
	default:
		return c.callError(method, Unknown, &FrameError{Part: "body"})
	}
}

// withdrawFrame withdraws the frame of a call if it is still queued. It returns
// NotSent if the peer cannot have received the whole frame, otherwise Unknown.
func withdrawFrame(p *pendingCall) Delivery {
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
	closing := c.closing
	c.lastUsed = time.Now()
	c.mu.Unlock()
	if closing {
		return c.callError(method, NotSent, &ClosedError{})
	}
	if err := c.rpc.Notify(ctx, method, params); err != nil {
		return c.callError(method, NotSent, c.closeCause(err))
	}
	return nil
}

// closeCause replaces the ErrClosed of jsonrpc2 by the reason for which the
// stream closed.
func (c *clientConn) closeCause(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return c.stream.closedError()
	}
	return err
}

// callError returns a *CallError for a call on this connection.
func (c *clientConn) callError(method string, d Delivery, err error) error {
	return &CallError{Addr: c.addr, Method: method, Delivery: d, Err: err}
}

// usable reports whether the connection accepts calls.
func (c *clientConn) usable() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing
}

// close closes the connection; cause is reported to the pending calls.
func (c *clientConn) close(cause error) {
	c.mu.Lock()
	c.closing = true
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	c.mu.Unlock()
	if c.stream == nil {
		_ = c.netConn.Close()
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
	return ConnStats{Remote: c.remote, Traffic: c.netConn.traffic(), Calls: len(c.pending)}
}
