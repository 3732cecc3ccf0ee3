package roundtrip

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// OnUsedConnection reports whether the connection of a Client's response has carried earlier requests, to which
// the response may belong.
func OnUsedConnection(resp *http.Response) bool {
	b, ok := resp.Body.(*responseBody)
	return ok && b.onUsed
}

// DoNotReuse has the connection of a Client's response closed at the end of the body.
func DoNotReuse(resp *http.Response) {
	if b, ok := resp.Body.(*responseBody); ok {
		b.reusable = false
	}
}

// responseBody is a response's body. At its end, the connection is returned to
// the idle pool or closed.
type responseBody struct {
	ctx      context.Context
	conn     *conn
	body     io.ReadCloser
	reusable bool
	// onUsed means that the connection had carried an earlier request.
	onUsed bool
	// endsWithConn means that the body ends with the connection.
	endsWithConn bool
	ended        bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		if b.endsWithConn {
			err = b.confirmEnd()
		}
		b.end(b.reusable)
		return n, err
	}
	if err != nil && b.ctx.Err() != nil {
		// The read failed because the end of the context closed the connection.
		err = b.ctx.Err()
	}
	return n, err
}

// UnsentRequestError reports a response that ended with its connection before the whole request had been sent, so that
// the connection may have been reset.
type UnsentRequestError struct {
	// Err is the error of sending the request.
	Err error
}

// Error implements error.
func (e *UnsentRequestError) Error() string {
	return "response ended with its connection, which failed while the request was sent: " + e.Err.Error()
}

// Unwrap returns the error of sending the request.
func (e *UnsentRequestError) Unwrap() error { return e.Err }

// unsentRequestTimeout is how long an upstream that has ended its response may take to read the rest of the request.
const unsentRequestTimeout = silenceTolerance

// errRequestUnread is the error of an upstream that does not read a request.
var errRequestUnread = errors.New("the upstream did not read the request")

// confirmEnd returns io.EOF if the end of the connection is the end of the body. The kernel reports a reset only once.
// If the goroutine that writes the request gets that error, the next read looks like an orderly end, so that the end
// counts once the whole request was written without an error.
func (b *responseBody) confirmEnd() error {
	timer := time.NewTimer(unsentRequestTimeout)
	defer timer.Stop()
	select {
	case <-b.conn.writeDone:
	case <-b.ctx.Done():
		return b.ctx.Err()
	case <-timer.C:
		return &UnsentRequestError{Err: errRequestUnread}
	}
	if b.conn.writeErr != nil {
		return &UnsentRequestError{Err: b.conn.writeErr}
	}
	return io.EOF
}

// Close implements io.Closer. If the body was not read to its end, the
// connection is closed, as the rest of the body would precede the next response.
func (b *responseBody) Close() error {
	b.end(b.reusable && b.body == http.NoBody)
	return nil
}

// end releases the connection. Further calls have no effect.
func (b *responseBody) end(reusable bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.conn.release(reusable)
}
