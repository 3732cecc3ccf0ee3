package adapter

import (
	"errors"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/kernel"
)

// CallError reports a failed attempt and what is known about whether it ran.
type CallError struct {
	Evidence kernel.Evidence
	Code     kernel.FailureCode
	// RetryAfter is the upstream's own hint, 0 if none.
	RetryAfter time.Duration
	// Status is the upstream's HTTP status, 0 if it gave none.
	Status int
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s (status %d): %v", e.Code, e.Status, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// AsCallError returns the *CallError in err's chain. An error without one is
// taken for a broken attempt that may have run.
func AsCallError(err error) *CallError {
	var c *CallError
	if errors.As(err, &c) {
		return c
	}
	return &CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
}

// UpstreamError is what an upstream said when it refused or failed.
type UpstreamError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *UpstreamError) Error() string { return e.Code + ": " + e.Message }

// ProtocolError reports a response that does not follow the protocol.
type ProtocolError struct {
	// Part names what was wrong.
	Part string
	// Err is the decoder's error, nil if there is none.
	Err error
}

// Error implements error.
func (e *ProtocolError) Error() string {
	if e.Err == nil {
		return "bad response: " + e.Part
	}
	return fmt.Sprintf("bad response: %s: %v", e.Part, e.Err)
}

// Unwrap returns the decoder's error.
func (e *ProtocolError) Unwrap() error { return e.Err }

// TooLargeError reports a response beyond its limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.Limit)
}
