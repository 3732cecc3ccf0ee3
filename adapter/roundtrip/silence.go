package roundtrip

import (
	"net"
	"syscall"
	"time"
)

// silenceTimeout is how long sent bytes may stay unacknowledged before the kernel
// ends a connection. Without it a connection whose peer lost power or sits behind
// a partition hangs for many minutes. Lost packets are sent again within 200 ms,
// several times in this span.
const silenceTimeout = 3 * time.Second

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package
// syscall lacks.
const tcpUserTimeout = 0x12

// keepAlive finds connections that fell silent while nothing was being sent, such
// as a stream's.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     silenceTimeout,
	Interval: time.Second,
	Count:    3,
}

// setUserTimeout sets the silence timeout on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
