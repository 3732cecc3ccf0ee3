package roundtrip

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// userTimeoutOf returns the TCP_USER_TIMEOUT of a connection.
func userTimeoutOf(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var ms int
	var optErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		ms, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	assert.NilError(t, optErr)
	return time.Duration(ms) * time.Millisecond
}

// TestSilentPeerKeepsLongRequests guards against a connection on which a long request is running and that
// the kernel closes when its sound peer is silent for a second or two: the user timeout was that of an
// idle connection, which ends with one lost keep-alive probe.
func TestSilentPeerKeepsLongRequests(t *testing.T) {
	const longestSilence = 2500 * time.Millisecond
	for name, c := range map[string]struct {
		lasts time.Duration
		long  bool
	}{"short": {time.Second, false}, "long": {14 * time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			answer := make(chan struct{})
			s := serve(t, func(_ int64, c net.Conn) bool {
				<-answer
				return respondOK(c)
			})
			client := New(Options{})
			defer client.Close()
			dial := client.dial
			opened := make(chan net.Conn, 1)
			client.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := dial(ctx, addr)
				opened <- conn
				return conn, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), c.lasts)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- send(t, client, ctx, "POST", s.address, []byte("x")) }()
			conn := <-opened
			// The time from the last probe before the silence to the check must not count as silence.
			tolerated := func() bool {
				return userTimeoutOf(t, conn)-keepAlive.Idle-keepAlive.Interval >= longestSilence
			}
			for end := time.Now().Add(time.Second / 2); c.long && !tolerated() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, tolerated(), c.long)
			close(answer)
			assert.NilError(t, <-done)
			assert.Equal(t, userTimeoutOf(t, conn), idleUserTimeout, "not restored for the idle connection")
		})
	}
}
