package roundtrip

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// answerBody is a response's body. At its end its connection becomes idle, or
// is closed.
type answerBody struct {
	ctx      context.Context
	conn     *conn
	body     io.ReadCloser
	reusable bool
	ended    bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.end(b.reusable)
		return n, err
	}
	if err != nil && b.ctx.Err() != nil {
		// The connection was closed because of it.
		err = b.ctx.Err()
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end costs the
// connection.
func (b *answerBody) Close() error {
	b.end(b.reusable && b.body == http.NoBody)
	return nil
}

// end gives the connection up, once.
func (b *answerBody) end(reusable bool) {
	if b.ended {
		return
	}
	b.ended = true
	b.conn.release(reusable)
}
