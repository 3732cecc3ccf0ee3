package peer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// DialKind classifies a failure to connect. Membership depends on it: a refused
// connection proves that the process has ended, a timeout does not.
type DialKind int

const (
	// DialOther is any failure that has no more specific kind.
	DialOther DialKind = iota
	// DialRefused means that the remote host refused the connection: no process
	// listens on the address.
	DialRefused
	// DialTimeout means that the connection attempt timed out.
	DialTimeout
	// DialUnreachable means that there is no route to the host or network.
	DialUnreachable
	// DialHelloTimeout means that the remote operating system accepted the
	// connection, but the process did not complete the TLS handshake and the
	// hello in time. The process may be paused.
	DialHelloTimeout
)

// String returns the name of k as used in logs.
func (k DialKind) String() string {
	switch k {
	case DialRefused:
		return "refused"
	case DialTimeout:
		return "timeout"
	case DialUnreachable:
		return "unreachable"
	case DialHelloTimeout:
		return "silent"
	default:
		return "other"
	}
}

// DialError reports a failure to open a connection.
type DialError struct {
	Addr string
	Kind DialKind
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s (%s): %v", e.Addr, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }

// newDialError returns a *DialError that classifies err.
func newDialError(addr string, err error) *DialError {
	return &DialError{Addr: addr, Kind: dialKind(err), Err: err}
}

// dialKind returns the DialKind of a dialer's or handshake's error.
func dialKind(err error) DialKind {
	var ne net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return DialUnreachable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return DialTimeout
	case errors.As(err, &ne) && ne.Timeout():
		return DialTimeout
	default:
		return DialOther
	}
}
