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
	// retired is set when no further call may start.
	retired bool
	lastID  uint64
	// pending holds the calls without an answer, also those given up.
	pending  map[uint64]*pendingCall
	lastUsed time.Time
	idle     *time.Timer
}

// pendingCall is a call without an answer.
type pendingCall struct {
	started  time.Time
	progress progress
}

// onSend notes which call's frame is written next.
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

// onRecv counts an answered call out.
func (c *clientConn) onRecv(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp != nil {
		c.finish(resp.ID.Num)
	}
}

// begin counts a call in and gives it its ID. Errors are *BusyError and
// *ClosedError; nothing is sent then.
func (c *clientConn) begin() (uint64, *pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return 0, nil, &ClosedError{}
	}
	if len(c.pending) >= c.cfg.Limits.Calls {
		if c.stale() {
			// The peer leaves calls unanswered: a new connection is due.
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

// finish counts a call out.
func (c *clientConn) finish(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// stale reports whether an answer is long overdue. The caller holds mu.
func (c *clientConn) stale() bool {
	limit := time.Now().Add(-c.cfg.Limits.Call)
	for _, p := range c.pending {
		if p.started.Before(limit) {
			return true
		}
	}
	return false
}

// wanted reports whether a connection on which nothing arrives is worth keeping.
func (c *clientConn) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 && !c.stale()
}

// call sends a call and waits for its answer. Errors are *CallError.
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

// timeoutMeta tells the server how long the caller waits.
func timeoutMeta(ctx context.Context) jsonrpc2.CallOption {
	d, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ms := max(time.Until(d).Milliseconds(), 1)
	return jsonrpc2.Meta(callMeta{TimeoutMS: ms})
}

// failed finds out how far a failed call got.
func (c *clientConn) failed(ctx context.Context, method string, id uint64, p *pendingCall, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case errors.As(err, &remote):
		delivery, cause := decodeRemote(remote)
		return c.fault(method, delivery, cause)
	case errors.Is(err, jsonrpc2.ErrClosed):
		// The writer must have ended before the frame's progress is final.
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

// undelivered gives a call's frame up and says how far it got.
func undelivered(p *pendingCall) Delivery {
	if p.progress.withdraw() {
		return NotSent
	}
	return Unknown
}

// sendCancel tells the server that nobody waits for a call. It only queues a
// frame; when that fails the call runs until its time is over.
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

// cause replaces the library's closed error by the reason for closing.
func (c *clientConn) cause(err error) error {
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return c.stream.closedBy()
	}
	return err
}

// fault builds the error of a call.
func (c *clientConn) fault(method string, d Delivery, err error) error {
	return &CallError{Addr: c.addr, Method: method, Delivery: d, Err: err}
}

// alive reports whether calls may start on the connection.
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

// close closes the connection for a reason.
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
		// Already closed is as good.
		_ = c.rpc.Close()
	}
}

// stats describes the connection.
func (c *clientConn) stats() ConnStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnStats{Remote: c.remote, Traffic: c.counted.traffic(), Calls: len(c.pending)}
}
