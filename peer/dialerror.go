package peer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// DialKind says how an attempt to connect failed. The difference matters to
// membership: a refusal proves that the process is gone, a timeout does not.
type DialKind int

const (
	// DialOther is any failure without a more exact kind.
	DialOther DialKind = iota
	// DialRefused means that the remote kernel answered: nothing listens there.
	DialRefused
	// DialTimeout means that nothing answered in time.
	DialTimeout
	// DialUnreachable means that the network knows no way there.
	DialUnreachable
	// DialSilent means that the remote kernel accepted the connection and the
	// process did not answer the hello in time: it may be paused.
	DialSilent
)

// String returns the name used in logs.
func (k DialKind) String() string {
	switch k {
	case DialRefused:
		return "refused"
	case DialTimeout:
		return "timeout"
	case DialUnreachable:
		return "unreachable"
	case DialSilent:
		return "silent"
	default:
		return "other"
	}
}

// DialError reports a connection that could not be opened.
type DialError struct {
	Addr string
	Kind DialKind
	Err  error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s (%s): %v", e.Addr, e.Kind, e.Err) }

// Unwrap returns the network's error.
func (e *DialError) Unwrap() error { return e.Err }

// newDialError classifies a dialer's error.
func newDialError(addr string, err error) *DialError {
	return &DialError{Addr: addr, Kind: dialKind(err), Err: err}
}

// dialKind maps a dialer's error to its kind.
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
