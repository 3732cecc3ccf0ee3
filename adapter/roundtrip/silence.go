package roundtrip

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// idleUserTimeout is how long the peer of a connection may be silent while no long request uses the
	// connection. Without a limit, a connection whose peer lost power or is behind a network partition
	// hangs for many minutes. Closing an idle connection loses nothing.
	idleUserTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval are the times until the first keep-alive probe and between
	// probes, in which a peer that has nothing to send shows that it is there.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	// silenceTolerance is how long a peer may be silent without losing the requests that it works on:
	// machines are suspended for a second or two and go on where they were.
	silenceTolerance = 3 * time.Second
	// busyUserTimeout is how long the peer may be silent while a long request uses the connection. With
	// TCP_USER_TIMEOUT the kernel does not count probes: it closes the connection when the peer was heard
	// this long ago and one probe is unanswered. So this has to cover the time until the first probe, the
	// time from the last probe to the check, and a silence between them.
	busyUserTimeout = keepAliveIdle + keepAliveInterval + silenceTolerance
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
// syscall does not define.
const tcpUserTimeout = 0x12

// keepAlive detects dead peers of connections on which nothing is being sent, such
// as those that receive a stream.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    3,
}

// controlSocket sets the options of a new socket.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, idleUserTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// isLong reports whether a request may last longer than a peer of an idle connection may be silent.
func isLong(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > idleUserTimeout
}

// setUserTimeout sets the user timeout of a TCP connection. An error means that the connection is closed,
// which its next use shows.
func (c *conn) setUserTimeout(timeout time.Duration) {
	tcp, ok := c.net.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, timeout)
	}
}
