package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/wardspool/wardspool/ident"
)

// Option configures a single call or notification.
type Option func(*callOptions)

// callOptions holds the values set by Options.
type callOptions struct {
	want Identity
}

// Expect requires the peer at the address to be the given incarnation of the
// given instance. Otherwise the call fails with a *WrongInstanceError and
// Delivery NotSent. Incarnation 0 matches any incarnation.
func Expect(instance ident.InstanceID, incarnation ident.Incarnation) Option {
	return func(o *callOptions) {
		o.want = Identity{Instance: instance, Incarnation: incarnation}
	}
}

// Call calls a method of the peer at addr ("ip:port") and returns its result.
// The call ends when ctx is done or after Limits.Call. Every error is a
// *CallError whose Delivery says whether the call may have run. Its cause is a
// registered error type, *RemoteError, *DialError, *BackoffError, *BusyError,
// *ClosedError, *TooLargeError, *FrameError, *WrongInstanceError, an error of the
// hello or the context's error.
func Call[Resp any](ctx context.Context, p *Pool, addr, method string, req any, opts ...Option) (Resp, error) {
	var resp Resp
	c, err := p.connTo(ctx, addr, method, opts)
	if err != nil {
		return resp, err
	}
	raw, err := c.call(ctx, method, req)
	if err != nil {
		return resp, err
	}
	if err := json.Unmarshal(raw, &resp); err != nil {
		return resp, &CallError{Addr: addr, Method: method, Delivery: Unknown, Err: &FrameError{Part: "body"}}
	}
	return resp, nil
}

// Notify queues a notification to the peer at addr. A nil error means only that
// it was queued. Errors are those of Call, always with Delivery NotSent.
func Notify(ctx context.Context, p *Pool, addr, method string, req any, opts ...Option) error {
	c, err := p.connTo(ctx, addr, method, opts)
	if err != nil {
		return err
	}
	return c.notify(ctx, method, req)
}

// connTo returns a connection to the peer at addr, dialling it if needed, and
// checks that the peer is the one that the options require.
func (p *Pool) connTo(ctx context.Context, addr, method string, opts []Option) (*clientConn, error) {
	var o callOptions
	for _, set := range opts {
		set(&o)
	}
	c, err := p.conn(ctx, addr)
	if err != nil {
		return nil, &CallError{Addr: addr, Method: method, Delivery: NotSent, Err: err}
	}
	if err := o.check(c.remote); err != nil {
		return nil, &CallError{Addr: addr, Method: method, Delivery: NotSent, Err: err}
	}
	return c, nil
}

// check returns a *WrongInstanceError unless got is the expected peer.
func (o callOptions) check(got Identity) error {
	if o.want.Instance == "" {
		return nil
	}
	sameIncarnation := o.want.Incarnation == 0 || o.want.Incarnation == got.Incarnation
	if o.want.Instance == got.Instance && sameIncarnation {
		return nil
	}
	return &WrongInstanceError{Want: o.want, Got: got}
}

// unwrapCallError returns the cause of a *CallError, and any other error as it
// is. It is used for errors of the hello, whose Delivery does not apply to the
// call that opened the connection.
func unwrapCallError(err error) error {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Err
	}
	return err
}
