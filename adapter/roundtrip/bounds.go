package roundtrip

import (
	"io"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter"
)

// ReadBody reads a body of at most limit bytes. A longer one is an *adapter.TooLargeError: the beginning of a
// response is not a response, even if it can be decoded.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &adapter.TooLargeError{Limit: limit}
	}
	return data, nil
}

// discard reads a body of at most limit bytes to its end. A longer one is an *adapter.TooLargeError.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return &adapter.TooLargeError{Limit: limit}
	}
	return err
}

const (
	// maxDrainBytes and maxDrainTime limit how much of a body without use is read, and for how long, to keep its
	// connection. A new connection costs less than a longer wait.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 50 * time.Millisecond
)

// Drain closes the body of a response that is of no use. It reads a short rest, so that the connection can be used
// again. If more is sent, or if it takes long, the connection is closed.
func Drain(resp *http.Response) {
	if b, ok := resp.Body.(*responseBody); ok && !b.ended && !b.endsWithConn {
		// An error means that the connection is closed, which reading shows.
		b.conn.hasDeadline = true
		_ = b.conn.net.SetReadDeadline(time.Now().Add(maxDrainTime))
		_ = discard(b, maxDrainBytes)
	}
	// The body was read to its end or its connection is closed.
	_ = resp.Body.Close()
}
