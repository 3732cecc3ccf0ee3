package roundtrip

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/kernel"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server is a listener whose responses a test writes byte by byte.
type server struct {
	address string
	conns   atomic.Int64
	// requests counts the requests that were received in full.
	requests atomic.Int64
}

// serve starts a server that calls answer for each request. The connection is
// closed if answer returns false.
func serve(t *testing.T, answer func(n int64, c net.Conn) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{address: l.Addr().String()}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			s.serveConn(c, answer)
		}
	}()
	return s
}

// accepted returns the number of connections opened before the call. It opens one
// more: the listener accepts connections in order, so that all earlier ones have
// been counted once this one is served.
func (s *server) accepted(t *testing.T) int64 {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	return s.conns.Load() - 1
}

func (s *server) serveConn(c net.Conn, answer func(n int64, c net.Conn) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !answer(s.requests.Add(1), c) {
			return
		}
	}
}

func respondOK(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// send sends a request, reads the response to its end and returns the error of Do.
func send(t *testing.T, c *Client, ctx context.Context, method, address string, body []byte) error {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", nil)
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", "key")
	resp, err := c.Do(req, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.Body.Close()
}

func evidence(t *testing.T, err error) kernel.Evidence {
	t.Helper()
	var e *adapter.CallError
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Evidence
}

// TestDeadKeptAliveConnection checks that a request is not retried if a keep-alive
// connection is closed after it received the request. http.Transport retries in
// this case.
func TestDeadKeptAliveConnection(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
		for _, body := range []string{"", "text"} {
			t.Run(method+" "+body, func(t *testing.T) {
				s := serve(t, func(n int64, c net.Conn) bool { return n == 1 && respondOK(c) })
				c := New(Options{})
				defer c.Close()
				assert.NilError(t, send(t, c, t.Context(), method, s.address, []byte(body)))
				err := send(t, c, t.Context(), method, s.address, []byte(body))
				assert.Equal(t, evidence(t, err), kernel.Ambiguous)
				assert.Equal(t, s.requests.Load(), int64(2), "the request was retried")
				assert.Equal(t, s.conns.Load(), int64(1))
			})
		}
	}
}

func TestNoListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	c := New(Options{})
	defer c.Close()
	err = send(t, c, t.Context(), "POST", l.Addr().String(), []byte("x"))
	assert.Equal(t, evidence(t, err), kernel.NotSent)
	assert.Equal(t, callError(t, err).Code, kernel.FailureConnect)
}

func TestCancelledBeforeSending(t *testing.T) {
	s := serve(t, func(int64, net.Conn) bool { return false })
	c := New(Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, evidence(t, send(t, c, ctx, "POST", s.address, nil)), kernel.NotSent)
	assert.Equal(t, s.requests.Load(), int64(0))
}

func TestCancelledAfterSending(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := serve(t, func(int64, net.Conn) bool {
		cancel()
		return true
	})
	c := New(Options{})
	defer c.Close()
	err := send(t, c, ctx, "POST", s.address, []byte("x"))
	assert.Equal(t, evidence(t, err), kernel.Ambiguous)
}

func TestRedirectIsNotFollowed(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 307 Moved\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	c := New(Options{})
	defer c.Close()
	assert.NilError(t, send(t, c, t.Context(), "POST", s.address, nil))
	assert.Equal(t, s.requests.Load(), int64(1))
}

// callError returns the *adapter.CallError that a call must have failed with.
func callError(t *testing.T, err error) *adapter.CallError {
	t.Helper()
	var e *adapter.CallError
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}
