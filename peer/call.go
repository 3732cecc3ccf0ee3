package peer

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/wardspool/wardspool/ident"
)

// Option adjusts one call.
type Option func(*callOptions)

// callOptions is what options set.
type callOptions struct {
	want Identity
}

// Expect makes a call only if the given incarnation of the given instance
// answers at the address; otherwise it fails, not sent, with a
// *WrongInstanceError. Incarnation 0 accepts any.
func Expect(instance ident.InstanceID, incarnation ident.Incarnation) Option {
	return func(o *callOptions) {
		o.want = Identity{Instance: instance, Incarnation: incarnation}
	}
}

// Call calls a method of the peer at addr ("ip:port") and returns its result.
// The call ends with ctx or after Limits.Call. Every error is a *CallError whose
// Delivery says whether the call can have run; its cause is a registered error
// type, a *RemoteError, *DialError, *BackoffError, *BusyError, *ClosedError,
// *TooLargeError, *FrameError, *WrongInstanceError, one of the hello's errors or
// the context's.
func Call[Resp any](ctx context.Context, p *Pool, addr, method string, req any, opts ...Option) (Resp, error) {
	var resp Resp
	c, err := p.ready(ctx, addr, method, opts)
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
// it was queued. Errors are as those of Call, always NotSent.
func Notify(ctx context.Context, p *Pool, addr, method string, req any, opts ...Option) error {
	c, err := p.ready(ctx, addr, method, opts)
	if err != nil {
		return err
	}
	return c.notify(ctx, method, req)
}

// ready returns a connection to the peer that the options ask for.
func (p *Pool) ready(ctx context.Context, addr, method string, opts []Option) (*clientConn, error) {
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

// check compares the connected peer with the expected one.
func (o callOptions) check(got Identity) error {
	if o.want.Instance == "" {
		return nil
	}
	sameLife := o.want.Incarnation == 0 || o.want.Incarnation == got.Incarnation
	if o.want.Instance == got.Instance && sameLife {
		return nil
	}
	return &WrongInstanceError{Want: o.want, Got: got}
}

// plainCause strips a *CallError, whose Delivery is about a hello and not about
// the call that needed the connection.
func plainCause(err error) error {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Err
	}
	return err
}
