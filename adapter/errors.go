package adapter

import (
	"errors"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/kernel"
)

// CallError reports a failed attempt, with the evidence of whether the upstream
// may have executed it.
type CallError struct {
	Evidence kernel.Evidence
	Code     kernel.FailureCode
	// RetryAfter is the delay that the upstream requested before a retry, 0 if
	// none.
	RetryAfter time.Duration
	// Status is the HTTP status of the upstream's response, 0 if there was none.
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
// treated as a broken attempt that may have been executed.
func AsCallError(err error) *CallError {
	var c *CallError
	if errors.As(err, &c) {
		return c
	}
	return &CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
}

// UpstreamError is the error that an upstream returned when it refused a request
// or failed.
type UpstreamError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *UpstreamError) Error() string { return e.Code + ": " + e.Message }

// ProtocolError reports a response that violates the protocol.
type ProtocolError struct {
	// Part names the invalid part of the response.
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

// TooLargeError reports a response that exceeds its size limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.Limit)
}
