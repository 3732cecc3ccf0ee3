package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Delivery says whether the remote process may have run a failed call.
type Delivery int

const (
	// Unknown means that the call was sent and may have run. It is the zero
	// value, so that an unset Delivery never claims that a call did not run.
	Unknown Delivery = iota
	// NotSent means that the remote process cannot have received the whole
	// call.
	NotSent
	// Refused means that the remote process stated in its response that it did
	// not run the call.
	Refused
)

// String returns the name of d as used in logs.
func (d Delivery) String() string {
	switch d {
	case NotSent:
		return "not-sent"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// DeliveryOf returns the Delivery of an error returned by Call or Notify, and
// Unknown for any other error.
func DeliveryOf(err error) Delivery {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Delivery
	}
	return Unknown
}

// CallError is the error type that Call and Notify return.
type CallError struct {
	// Addr is the address that was called.
	Addr   string
	Method string
	// Delivery says whether the call may have run.
	Delivery Delivery
	// Err is the cause: a type registered with RegisterError, a *RemoteError,
	// another error of this package, or the context's error.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s (%s): %v", e.Method, e.Addr, e.Delivery, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Code identifies an error type on the wire. Negative codes belong to JSON-RPC
// and this package; other packages register positive ones.
type Code int64

// Error codes defined by JSON-RPC and by this package.
const (
	CodeMethod        Code = -32601
	CodeParams        Code = -32602
	CodeInternal      Code = -32603
	CodeHelloRequired Code = -32000
	CodeHello         Code = -32001
	CodeVersion       Code = -32002
	CodeIdentity      Code = -32003
	CodeNotAllowed    Code = -32004
	CodeBusy          Code = -32005
	CodeStopping      Code = -32006
	CodeTimeout       Code = -32007
	CodeTooLarge      Code = -32008
)

// RemoteError is an error response from the remote process whose code has no
// error type registered in this process.
type RemoteError struct {
	Code    Code
	Message string
	// Data is the remote error encoded as JSON.
	Data json.RawMessage
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("remote error %d: %s", e.Code, e.Message)
}

// RefusalError wraps an error returned by a handler to state that no part of the
// call was run.
type RefusalError struct{ Err error }

// Error implements error.
func (e *RefusalError) Error() string { return "refused: " + e.Err.Error() }

// Unwrap returns the reason for the refusal.
func (e *RefusalError) Unwrap() error { return e.Err }

// Refuse wraps err in a *RefusalError. Handlers may use it only if no part of the
// call has run.
func Refuse(err error) error { return &RefusalError{Err: err} }

// HelloError reports a malformed hello.
type HelloError struct {
	// Field names the invalid member, or is "shape" if the hello as a whole is
	// malformed.
	Field string `json:"field"`
}

// Error implements error.
func (e *HelloError) Error() string { return "hello: bad " + e.Field }

// VersionError reports a hello with an unsupported protocol version.
type VersionError struct {
	Got       int `json:"got"`
	Supported int `json:"supported"`
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d, supported is %d", e.Got, e.Supported)
}

// IdentityError reports a peer whose certificate is not valid for the instance ID
// in its hello.
type IdentityError struct {
	Claimed     ident.InstanceID `json:"claimed"`
	Certificate string           `json:"certificate"`
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("hello claims instance %q, certificate is of %q", e.Claimed, e.Certificate)
}

// NotAllowedError reports a peer that is listed neither in the settings nor by
// the platform.
type NotAllowedError struct {
	Instance ident.InstanceID `json:"instance"`
}

// Error implements error.
func (e *NotAllowedError) Error() string {
	return fmt.Sprintf("instance %q is not allowed", e.Instance)
}

// WrongInstanceError reports that the peer connected at an address is not the
// expected instance or incarnation.
type WrongInstanceError struct {
	Want Identity
	Got  Identity
}

// Error implements error.
func (e *WrongInstanceError) Error() string {
	return fmt.Sprintf("expected instance %s/%d, found %s/%d",
		e.Want.Instance, e.Want.Incarnation, e.Got.Instance, e.Got.Incarnation)
}

// HelloRequiredError reports a call received before the hello.
type HelloRequiredError struct {
	Method string `json:"method"`
}

// Error implements error.
func (e *HelloRequiredError) Error() string { return "call of " + e.Method + " before the hello" }

// MethodError reports a call of a method that has no registered handler.
type MethodError struct {
	Method string `json:"method"`
}

// Error implements error.
func (e *MethodError) Error() string { return "no method " + e.Method }

// ParamsError reports parameters that could not be decoded.
type ParamsError struct {
	Method string `json:"method"`
	Detail string `json:"detail"`
}

// Error implements error.
func (e *ParamsError) Error() string { return e.Method + ": bad parameters: " + e.Detail }

// BusyError reports that a limit on connections, calls in progress, or queued
// frames or bytes has been reached.
type BusyError struct {
	// Resource names what is limited.
	Resource string `json:"what"`
	Limit    int    `json:"limit"`
}

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.Resource) }

// StoppingError reports a call to a process that is shutting down.
type StoppingError struct{}

// Error implements error.
func (e *StoppingError) Error() string { return "process is stopping" }

// TimeoutError reports a call that exceeded its timeout or was cancelled.
type TimeoutError struct {
	Method string `json:"method"`
}

// Error implements error.
func (e *TimeoutError) Error() string { return e.Method + ": out of time" }

// PanicError reports a handler that panicked.
type PanicError struct {
	Method string `json:"method"`
}

// Error implements error.
func (e *PanicError) Error() string { return e.Method + ": handler failed" }

// TooLargeError reports a frame that exceeds the size limit.
type TooLargeError struct {
	Bytes int `json:"bytes"`
	Limit int `json:"limit"`
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, limit is %d", e.Bytes, e.Limit)
}

// FrameError reports a malformed frame or a body that cannot be encoded or
// decoded.
type FrameError struct {
	// Part is "header", "length" or "body".
	Part string
}

// Error implements error.
func (e *FrameError) Error() string { return "frame: bad " + e.Part }

// ClosedError reports a closed connection.
type ClosedError struct {
	// Cause is the reason, nil if this side closed the connection.
	Cause error
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("connection closed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// AcceptError reports a listener that was closed and accepts no more
// connections.
type AcceptError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *AcceptError) Error() string { return fmt.Sprintf("accept at %s: %v", e.Addr, e.Err) }

// Unwrap returns the error of the listener.
func (e *AcceptError) Unwrap() error { return e.Err }

// IdleError reports a connection closed because no frame was received for the
// duration After.
type IdleError struct{ After time.Duration }

// Error implements error.
func (e *IdleError) Error() string { return "no frame for " + e.After.String() }

// BackoffError reports that connecting to an address failed and that the backoff
// before the next attempt has not elapsed.
type BackoffError struct {
	Addr string
	// Until is the earliest time of the next attempt.
	Until time.Time
	// Last is the error of the last attempt.
	Last error
}

// Error implements error.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("%s: waiting to retry after: %v", e.Addr, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *BackoffError) Unwrap() error { return e.Last }
