package roundtrip

import (
	"errors"
	"syscall"
)

// usable reports whether an idle connection can carry a request: neither data nor
// end of file may have arrived on it. It does not block. If the upstream closes
// the connection after this check, the request is lost, as on any keep-alive
// connection.
func (c *conn) usable() bool {
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}
