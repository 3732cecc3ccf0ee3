package peer

import (
	"context"
	"encoding/json"
	"errors"
)

// handler is a handler with its parameters and result as JSON.
type handler func(ctx context.Context, from Identity, params json.RawMessage) (json.RawMessage, error)

// Handle registers f as the handler of a method; docs/protocols/peer.md lists the
// method names in use. Each call runs f in a new goroutine. ctx is cancelled when
// the caller stops waiting, the call times out or the connection closes. An error
// whose type is registered with RegisterError reaches the caller as that type;
// Refuse marks an error to say that nothing was run. The result of a notification
// is discarded. Handle panics if the method is already registered.
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

// handlerError replaces a context error by *TimeoutError, which is registered and
// so reaches the caller with its type.
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
