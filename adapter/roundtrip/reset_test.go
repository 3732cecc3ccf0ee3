package roundtrip

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// earlyResponse is a response that an upstream sends while the request is being written, and what it does then.
type earlyResponse struct {
	name, text string
	then       func(c *net.TCPConn)
}

// reset resets the connection.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeBothWays ends the response and closes the connection, which resets it if the request was not read.
func closeBothWays(c *net.TCPConn) { _ = c.Close() }

// endThenReset ends the response and resets the connection.
func endThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	reset(c)
}

// endThenRead ends the response and reads the request to its end.
func endThenRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// endThenWait ends the response and neither reads the request nor closes the connection.
func endThenWait(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(2 * unsentRequestTimeout)
	_ = c.Close()
}

// uploadBytes is more than the kernel's buffers hold for a peer that does not read.
const uploadBytes = 16 << 20

// upload sends a long request to an upstream that answers before it reads it, and returns what is read of the
// response's body.
func upload(t *testing.T, e earlyResponse) ([]byte, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() { <-done })
	defer l.Close()
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(c, make([]byte, 100))
		_, _ = io.WriteString(c, e.text)
		e.then(c.(*net.TCPConn))
	}()
	c := New(Options{})
	defer c.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	assert.NilError(t, err)
	resp, err := c.Do(req, bytes.NewReader(make([]byte, uploadBytes)), uploadBytes)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// TestResetDuringAnUploadEndsNoBody guards against a part of a response without a length that counts as the whole, since
// the reset of its connection is reported to the goroutine that writes the request.
func TestResetDuringAnUploadEndsNoBody(t *testing.T) {
	for _, e := range []earlyResponse{
		{"reset", "HTTP/1.1 200 OK\r\n\r\npart", reset},
		{"closed without reading the request", "HTTP/1.1 200 OK\r\n\r\npart", closeBothWays},
		{"ended and reset", "HTTP/1.1 200 OK\r\n\r\npart", endThenReset},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", reset},
		{"event of a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", reset},
		{"reset after a time", "HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart", reset},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reset},
	} {
		t.Run(e.name, func(t *testing.T) {
			for range 5 {
				body, err := upload(t, e)
				assert.Assert(t, err != nil, "%q counts as whole", body)
			}
		})
	}
}

// TestBodyThatEndsBeforeTheRequestWasReadIsWhole guards against a whole response without a length that is lost because
// its upstream answers before it has read the request, which it does then.
func TestBodyThatEndsBeforeTheRequestWasReadIsWhole(t *testing.T) {
	body, err := upload(t, earlyResponse{text: "HTTP/1.1 200 OK\r\n\r\nwhole", then: endThenRead})
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
}

// TestUpstreamThatNeverReadsTheRequestIsNotWaitedFor guards against a caller who waits until its deadline because an upstream
// ends its response and does not read the request.
func TestUpstreamThatNeverReadsTheRequestIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	start := time.Now()
	body, err := upload(t, earlyResponse{text: "HTTP/1.1 503 Busy\r\n\r\nbusy", then: endThenWait})
	var unsent *UnsentRequestError
	assert.Assert(t, errors.As(err, &unsent), "%q, %v", body, err)
	assert.Assert(t, time.Since(start) < unsentRequestTimeout+time.Second)
}

// TestDrainDoesNotWaitForTheRequest guards against a refusal that delays the next attempt until its upstream has read the
// request.
func TestDrainDoesNotWaitForTheRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	release := make(chan struct{})
	defer close(release)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.ReadFull(c, make([]byte, 100))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\n\r\nbusy")
		_ = c.(*net.TCPConn).CloseWrite()
		<-release
	}()
	c := New(Options{})
	defer c.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	assert.NilError(t, err)
	resp, err := c.Do(req, bytes.NewReader(make([]byte, uploadBytes)), uploadBytes)
	assert.NilError(t, err)
	start := time.Now()
	Drain(resp)
	assert.Assert(t, time.Since(start) < time.Second)
}
