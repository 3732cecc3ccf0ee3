package peer

import (
	"context"
	"encoding/json"
	"errors"
)

// handler is the untyped form of a handler.
type handler func(ctx context.Context, from Identity, params json.RawMessage) (json.RawMessage, error)

// Handle registers f for a method; see docs/protocols/peer.md for the names in
// use. f runs in a goroutine of its own; ctx ends when the caller gives up, when
// its time is over or when the connection closes. An error whose type is
// registered with RegisterError reaches the caller as that type; Refuse marks it
// as "nothing ran". For notifications the result is dropped. Handle panics when
// the method is taken.
func Handle[Req, Resp any](s *Server, method string, f func(ctx context.Context, from Identity, req Req) (Resp, error)) {
	s.register(method, func(ctx context.Context, from Identity, params json.RawMessage) (json.RawMessage, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, Refuse(&ParamsError{Method: method, Detail: err.Error()})
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return nil, handlerError(method, err)
		}
		body, err := json.Marshal(resp)
		if err != nil {
			return nil, &FrameError{Part: "body"}
		}
		return body, nil
	})
}

// handlerError gives a context's error a type that survives the wire.
func handlerError(method string, err error) error {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		return err
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &TimeoutError{Method: method}
	}
	return err
}
