package roundtrip

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net   net.Conn
	addr  string
	idle  *idlePool
	since time.Time
	// limited bounds what is read of the response's head.
	limited io.LimitedReader
	buf     *bufio.Reader

	// ending is closed when the request's writer has ended; sent and writeErr
	// are final then.
	ending   chan struct{}
	sent     bool
	writeErr error
	// stop ends the watch over the request's context and reports whether the
	// context did not end before.
	stop func() bool
}

func newConn(raw net.Conn, addr string, idle *idlePool, buffer int) *conn {
	c := &conn{net: raw, addr: addr, idle: idle}
	c.limited.R = raw
	c.buf = bufio.NewReaderSize(&c.limited, buffer)
	return c
}

// exchange sends a request and reads the head of its response. The request is
// written in a goroutine of its own, which ends with the request's last byte,
// since an upstream may answer before it has read all.
func (c *conn) exchange(ctx context.Context, req *http.Request, m matching) (*http.Response, error) {
	c.ending = make(chan struct{})
	c.sent, c.writeErr = false, nil
	// Closing the connection wakes whoever reads or writes.
	c.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	go c.write(req)
	resp, err := c.readOwn(asked(req), m)
	if err != nil {
		return nil, err
	}
	resp.Body = &answerBody{ctx: ctx, conn: c, body: resp.Body, reusable: !resp.Close}
	return resp, nil
}

// asked returns what is needed of a request to read its response, nil for most.
// The response refers to it, so that the memory of the request that was sent
// would be held as long as a stream is open.
func asked(req *http.Request) *http.Request {
	if req.Method != http.MethodHead {
		return nil
	}
	return &http.Request{Method: req.Method}
}

// writers are buffers for writing requests, which take no longer than that.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// write writes a request.
func (c *conn) write(req *http.Request) {
	defer close(c.ending)
	w := writers.Get().(*bufio.Writer)
	w.Reset(noting{c})
	c.writeErr = req.Write(w)
	if c.writeErr == nil {
		c.writeErr = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	c.afterWrite()
}

// answerGrace is how long to wait for the answer of an upstream that stopped
// reading the request.
const answerGrace = 100 * time.Millisecond

// afterWrite wakes the reader when the request broke off: at once if none of it
// went out.
func (c *conn) afterWrite() {
	switch {
	case c.writeErr == nil:
	case c.sent:
		_ = c.net.SetReadDeadline(time.Now().Add(answerGrace))
	default:
		_ = c.net.Close()
	}
}

// noting writes to a connection and notes whether a byte went out.
type noting struct{ c *conn }

// Write implements io.Writer.
func (n noting) Write(p []byte) (int, error) {
	count, err := n.c.net.Write(p)
	if count > 0 {
		n.c.sent = true
	}
	return count, err
}

// matching tells a request's own response from late second ones to earlier
// requests.
type matching struct {
	// own is nil to take any response.
	own func(*http.Response) bool
	// strays is how many other responses are skipped.
	strays int
}

// StrayError reports a connection that brought only responses to other requests.
type StrayError struct{}

// Error implements error.
func (*StrayError) Error() string { return "the response belongs to another request" }

// maxStrayBytes bounds the body of a response that is skipped.
const maxStrayBytes = 1 << 20

// readOwn reads the head of the request's own response.
func (c *conn) readOwn(req *http.Request, m matching) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if m.own == nil || m.own(resp) {
			return resp, nil
		}
		if skipped >= m.strays || resp.Close {
			return nil, &StrayError{}
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, cut(err)
		}
	}
}

// maxInterim is how many interim responses (status 1xx) are skipped.
const maxInterim = 5

// readHead reads the response's head and skips interim responses.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.limited.N = maxResponseHeaderBytes
	defer func() { c.limited.N = math.MaxInt64 }()
	for interim := 0; ; interim++ {
		resp, err := http.ReadResponse(c.buf, req)
		if err != nil {
			return nil, cut(err)
		}
		if !isInterim(resp.StatusCode) || interim == maxInterim {
			return resp, nil
		}
	}
}

// isInterim reports whether another response follows the one with this status.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// cut names the end of a response inside its head.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// abandon closes the connection and reports whether a byte of its request went
// out, and what broke the request off, nil if it went out whole. Nothing goes
// out afterwards.
func (c *conn) abandon() (sent bool, writeErr error) {
	c.stop()
	_ = c.net.Close()
	<-c.ending
	return c.sent, c.writeErr
}

// release ends a request whose response was read to its end.
func (c *conn) release(reusable bool) {
	if !reusable || !c.written() || !c.stop() || c.buf.Buffered() > 0 {
		c.abandon()
		return
	}
	c.idle.put(c)
}

// writeGrace is how long to wait, after the response, for the request's writer
// to end. It is about to, unless the upstream does not read the request.
const writeGrace = 50 * time.Millisecond

// written reports whether the whole request was written.
func (c *conn) written() bool {
	select {
	case <-c.ending:
		return c.writeErr == nil
	default:
	}
	late := time.NewTimer(writeGrace)
	defer late.Stop()
	select {
	case <-c.ending:
		return c.writeErr == nil
	case <-late.C:
		return false
	}
}
