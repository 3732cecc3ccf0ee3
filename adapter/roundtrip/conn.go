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

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net       net.Conn
	addr      string
	idle      *idlePool
	idleSince time.Time
	// used means that the connection has carried an earlier request, and carried holds the IDs of such requests.
	used    bool
	carried carriedIDs
	// busy means that the user timeout is that of a long request.
	busy bool
	// hasDeadline means that a read deadline is set.
	hasDeadline bool
	// limited limits the number of bytes read for the response head, and head checks them.
	limited io.LimitedReader
	head    headCheck
	buf     *bufio.Reader

	// writeDone is closed when the goroutine that writes the request has finished.
	// From then on, sent and writeErr don't change.
	writeDone chan struct{}
	sent      bool
	writeErr  error
	// stop unregisters the function that closes the connection at the end of the
	// request's context. It returns false if the context ended before.
	stop func() bool
}

func newConn(raw net.Conn, addr string, idle *idlePool, buffer int) *conn {
	c := &conn{net: raw, addr: addr, idle: idle}
	c.limited.R = raw
	c.head.r = &c.limited
	c.buf = bufio.NewReaderSize(&c.head, buffer)
	return c
}

// exchange sends a request and reads the head of its response. A separate
// goroutine writes the request, since an upstream may respond before it has read
// all of it; the goroutine ends after the last byte of the request.
func (c *conn) exchange(ctx context.Context, req *http.Request, a attribution) (*http.Response, error) {
	if a.byID {
		c.carried.add(a.ID)
	}
	c.writeDone = make(chan struct{})
	c.sent, c.writeErr = false, nil
	if isLong(ctx) {
		c.busy = true
		c.setUserTimeout(busyUserTimeout)
	}
	// Closing the connection unblocks pending reads and writes.
	c.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	go c.write(req)
	resp, err := c.readMatchingResponse(responseRequest(req), a.Matching)
	if err != nil {
		return nil, err
	}
	resp.Body = &responseBody{ctx: ctx, conn: c, body: resp.Body, reusable: !resp.Close && !a.alone(), onUsed: c.used, endsWithConn: EndsWithConnection(resp)}
	return resp, nil
}

// responseRequest returns the request to pass to http.ReadResponse: one with only
// the method for HEAD, nil (which means GET) for all others. The response keeps a
// reference to it; passing the original would keep the request's memory in use as
// long as a stream is open.
func responseRequest(req *http.Request) *http.Request {
	if req.Method != http.MethodHead {
		return nil
	}
	return &http.Request{Method: req.Method}
}

// writerPool holds unused write buffers, which a connection needs only while it
// writes a request.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// write writes a request to the connection and records the outcome in sent and
// writeErr.
func (c *conn) write(req *http.Request) {
	defer close(c.writeDone)
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(sendRecorder{c})
	c.writeErr = writeRequest(w, req)
	if c.writeErr == nil {
		c.writeErr = w.Flush()
	}
	w.Reset(nil)
	writerPool.Put(w)
	c.afterWrite()
}

// earlyResponseTimeout is how long to wait for the response of an upstream that
// closed its end before it had read the whole request.
const earlyResponseTimeout = 100 * time.Millisecond

// afterWrite unblocks the reader of the response if writing the request failed:
// at once if no byte was sent, else after earlyResponseTimeout.
func (c *conn) afterWrite() {
	switch {
	case c.writeErr == nil:
	case c.sent:
		_ = c.net.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	default:
		_ = c.net.Close()
	}
}

// sendRecorder writes to a connection and records in conn.sent that a byte was sent.
type sendRecorder struct{ c *conn }

// Write implements io.Writer.
func (n sendRecorder) Write(p []byte) (int, error) {
	count, err := n.c.net.Write(p)
	if count > 0 {
		n.c.sent = true
	}
	return count, err
}

// MismatchedResponseError reports a connection that delivered only responses to
// other requests.
type MismatchedResponseError struct{}

// Error implements error.
func (*MismatchedResponseError) Error() string { return "the response belongs to another request" }

// maxSkippedBytes limits how much of a skipped response's body is read.
const maxSkippedBytes = 1 << 20

// readMatchingResponse reads the head of the response that m accepts and skips
// the others.
func (c *conn) readMatchingResponse(req *http.Request, m Matching) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if m.Accepts == nil || m.Accepts(resp) {
			return resp, nil
		}
		if skipped >= m.MaxSkipped || resp.Close {
			return nil, &MismatchedResponseError{}
		}
		if err := discard(resp.Body, maxSkippedBytes); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// maxInterim is the maximum number of interim responses (status 1xx) to skip.
const maxInterim = 5

// InterimResponsesError reports an upstream that sent more than maxInterim interim responses.
type InterimResponsesError struct{}

// Error implements error.
func (*InterimResponsesError) Error() string { return "too many interim responses" }

// readHead reads the head of a final response and skips interim responses.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.limited.N = MaxHeaderBytes
	defer func() { c.limited.N = math.MaxInt64 }()
	for range maxInterim + 1 {
		if err := c.beginHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.buf, req)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if !isInterim(resp.StatusCode) {
			return resp, nil
		}
	}
	return nil, &InterimResponsesError{}
}

// beginHead has the next head checked.
func (c *conn) beginHead() error {
	read, err := c.buf.Peek(c.buf.Buffered())
	if err != nil {
		return err
	}
	return c.head.begin(read)
}

// isInterim reports whether a response with this status is followed by another
// one to the same request.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// unexpectedEOF converts io.EOF, which here means a truncated response, to
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// abandon closes the connection and waits for the writer to finish, so that no
// byte is sent afterwards. It reports whether any byte of the request was sent,
// and the error that interrupted writing, nil if the request was sent in full.
func (c *conn) abandon() (sent bool, writeErr error) {
	c.stop()
	_ = c.net.Close()
	<-c.writeDone
	return c.sent, c.writeErr
}

// release returns the connection to the idle pool at the end of a request, or
// closes it if it can't carry another one.
func (c *conn) release(reusable bool) {
	if !reusable || !c.writeCompleted() || !c.stop() || c.buf.Buffered() > 0 {
		c.abandon()
		return
	}
	if c.busy {
		c.busy = false
		c.setUserTimeout(idleUserTimeout)
	}
	if c.hasDeadline {
		// An error means that the connection is closed, which its next use shows.
		c.hasDeadline = false
		_ = c.net.SetReadDeadline(time.Time{})
	}
	c.used = true
	c.idle.put(c)
}

// writeCompletionTimeout is how long to wait, after the response, for the
// goroutine that writes the request. It is about to finish, unless the upstream
// does not read the request.
const writeCompletionTimeout = 50 * time.Millisecond

// writeCompleted reports whether the whole request was written. It waits up to
// writeCompletionTimeout.
func (c *conn) writeCompleted() bool {
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	default:
	}
	timer := time.NewTimer(writeCompletionTimeout)
	defer timer.Stop()
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}
