package roundtrip

import (
	"errors"
	"syscall"
)

// stands reports whether an idle connection can take a request: nothing may
// have arrived on it, neither bytes nor its end. It does not wait. An upstream
// that closes the connection later than this loses the request, as with any
// kept-alive connection.
func (c *conn) stands() bool {
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
