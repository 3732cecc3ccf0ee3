package roundtrip

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/testclock"
	"github.com/wardspool/wardspool/kernel"
)

// failingConn is a connection whose writes fail after a number of bytes.
type failingConn struct {
	net.Conn
	remaining int
}

func (h *failingConn) Write(p []byte) (int, error) {
	n := min(len(p), h.remaining)
	h.remaining -= n
	if n < len(p) {
		return n, io.ErrClosedPipe
	}
	_, err := h.Conn.Write(p)
	return n, err
}

// SyscallConn implements syscall.Conn, which the idle pool needs for its check.
func (h *failingConn) SyscallConn() (syscall.RawConn, error) {
	return h.Conn.(syscall.Conn).SyscallConn()
}

// TestEvidenceOfBrokenWrites checks that a failed request is reported as not sent
// only if no byte was written, on a new connection and on a reused one.
func TestEvidenceOfBrokenWrites(t *testing.T) {
	for _, used := range []bool{false, true} {
		for left, want := range map[int]kernel.Evidence{0: kernel.NotSent, 1: kernel.Ambiguous, 150: kernel.Ambiguous} {
			s := serve(t, func(_ int64, c net.Conn) bool { return respondOK(c) })
			c := New(Options{})
			dial := c.dial
			h := &failingConn{remaining: left}
			c.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				var err error
				h.Conn, err = dial(ctx, addr)
				return h, err
			}
			body := []byte(strings.Repeat("x", 64<<10))
			if used {
				h.remaining = 1 << 20
				assert.NilError(t, send(t, c, t.Context(), "POST", s.address, body))
				h.remaining = left
			}
			assert.Equal(t, evidence(t, send(t, c, t.Context(), "POST", s.address, body)), want, "reused connection %v, write fails after %d bytes", used, left)
			c.Close()
			assert.Equal(t, s.accepted(t), int64(1))
		}
	}
}

// TestEndedIdleConnectionIsNotUsed checks that, if the upstream closes the
// connection after its response, the next request is sent on a new one.
func TestEndedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := serve(t, func(_ int64, c net.Conn) bool {
		respondOK(c)
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	c := New(Options{})
	defer c.Close()
	for range 2 {
		assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
		<-closed
	}
	assert.Equal(t, s.conns.Load(), int64(2))
}

// TestConnectionsAreKept checks that a connection is reused after responses of
// each form whose end is known.
func TestConnectionsAreKept(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"empty":   "HTTP/1.1 204 No Content\r\n\r\n",
		"interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int64, c net.Conn) bool {
				_, err := io.WriteString(c, answer)
				return err == nil
			})
			c := New(Options{})
			defer c.Close()
			for range 3 {
				assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
			}
			assert.Equal(t, s.conns.Load(), int64(1))
		})
	}
}

// TestConnectionsAreNotKept checks that a connection is closed if the response's
// headers or HTTP version require it, and if bytes follow the response, as the
// next request would take them for its response.
func TestConnectionsAreNotKept(t *testing.T) {
	for name, answer := range map[string]string{
		"close":     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"old":       "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"more":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil",
		"switching": "HTTP/1.1 101 Switching Protocols\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int64, c net.Conn) bool {
				_, err := io.WriteString(c, answer)
				return err == nil && name == "more"
			})
			c := New(Options{})
			defer c.Close()
			for range 2 {
				assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
			}
			assert.Equal(t, s.conns.Load(), int64(2))
		})
	}
}

// TestHeadHasNoBody checks that the response to HEAD is read without a body,
// though it carries a Content-Length.
func TestHeadHasNoBody(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
		return err == nil
	})
	c := New(Options{})
	defer c.Close()
	for range 2 {
		assert.NilError(t, send(t, c, t.Context(), "HEAD", s.address, nil))
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}

// TestUnreadBodyCostsTheConnection checks that closing a body before its end
// closes the connection.
func TestUnreadBodyCostsTheConnection(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool { return respondOK(c) })
	c := New(Options{})
	defer c.Close()
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+s.address+"/", nil)
		assert.NilError(t, err)
		resp, err := c.Do(req, nil, 0)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, s.conns.Load(), int64(2))
}

// TestBodyEndsWithItsContext checks that reading a stream on which nothing arrives
// fails with the context's error once the context is cancelled.
func TestBodyEndsWithItsContext(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
		return err == nil
	})
	c := New(Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.address+"/", nil)
	assert.NilError(t, err)
	resp, err := c.Do(req, nil, 0)
	assert.NilError(t, err)
	defer resp.Body.Close()
	two := make([]byte, 2)
	_, err = io.ReadFull(resp.Body, two)
	assert.NilError(t, err)
	cancel()
	_, err = resp.Body.Read(two)
	assert.ErrorIs(t, err, context.Canceled)
}

// TestAnswerBeforeTheRequestIsRead checks that a response is returned though the
// upstream never reads the request's body, and that the connection is not reused.
func TestAnswerBeforeTheRequestIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	release, done := make(chan struct{}), make(chan struct{})
	defer func() { <-done }()
	defer close(release)
	go func() {
		defer close(done)
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		respondOK(nc)
		_, _ = io.ReadFull(nc, make([]byte, 100))
		<-release
	}()
	c := New(Options{})
	defer c.Close()
	assert.NilError(t, send(t, c, t.Context(), "POST", l.Addr().String(), bytes.Repeat([]byte("x"), 32<<20)))
	assert.Equal(t, len(c.idle.conns), 0)
}

func TestHeadIsBounded(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", MaxHeaderBytes)+"\r\n\r\n")
		return false
	})
	c := New(Options{})
	defer c.Close()
	assert.Equal(t, evidence(t, send(t, c, t.Context(), "POST", s.address, []byte("x"))), kernel.Ambiguous)
}

// TestIdleConnectionsEndInASuspension checks that a connection past its idle timeout is not used
// after the machine was suspended. The timer did not run meanwhile, and the FIN of an upstream that
// has closed its end may not have arrived.
func TestIdleConnectionsEndInASuspension(t *testing.T) {
	machine := testclock.Use(t)
	s := serve(t, func(_ int64, c net.Conn) bool { return respondOK(c) })
	c := New(Options{IdleTimeout: time.Hour})
	defer c.Close()
	assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
	machine.Suspend(59 * time.Minute)
	clock.Check()
	assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
	assert.Equal(t, s.conns.Load(), int64(1))
	machine.Suspend(time.Hour)
	clock.Check()
	assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
	assert.Equal(t, s.conns.Load(), int64(2))
}

func TestIdleConnectionsEnd(t *testing.T) {
	s := serve(t, func(_ int64, c net.Conn) bool { return respondOK(c) })
	c := New(Options{IdleTimeout: time.Hour, IdlePerUpstream: 1})
	defer c.Close()
	assert.NilError(t, send(t, c, t.Context(), "POST", s.address, []byte("x")))
	assert.Equal(t, len(c.idle.conns[s.address]), 1)
	assert.Equal(t, len(c.idle.takeExpired(time.Now().Add(59*time.Minute))), 0)
	expired := c.idle.takeExpired(time.Now().Add(time.Hour))
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, len(c.idle.conns), 0)
	c.idle.put(expired[0])
	c.idle.put(newConn(expired[0].net, s.address, c.idle, 16))
	assert.Equal(t, len(c.idle.conns[s.address]), 1, "more idle connections than IdlePerUpstream")
}
