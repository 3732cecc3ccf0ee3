package roundtrip

import (
	"net"
	"syscall"
	"time"
)

// deadPeerTimeout is how long sent bytes may stay unacknowledged before the kernel
// closes a connection. Without it, a connection whose peer lost power or is behind
// a network partition hangs for many minutes. Lost packets are retransmitted
// within 200 ms, so several retransmissions fit into this time.
const deadPeerTimeout = 3 * time.Second

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package
// syscall does not define.
const tcpUserTimeout = 0x12

// keepAlive detects dead peers of connections on which nothing is being sent, such
// as those that receive a stream.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     deadPeerTimeout,
	Interval: time.Second,
	Count:    3,
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(deadPeerTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
