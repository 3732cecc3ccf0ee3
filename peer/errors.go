package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Delivery says how far a failed call got.
type Delivery int

const (
	// Unknown means that the call was sent and may have run. It is the zero
	// value, so that nothing claims more by omission.
	Unknown Delivery = iota
	// NotSent means that the remote process cannot have received the whole
	// call.
	NotSent
	// Refused means that the remote process attested that it did not run the
	// call.
	Refused
)

// String returns the name used in logs.
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

// DeliveryOf returns the Delivery of an error from Call or Notify, and Unknown
// for any other error.
func DeliveryOf(err error) Delivery {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Delivery
	}
	return Unknown
}

// CallError is the error of every failed Call and Notify.
type CallError struct {
	// Addr is the address that was called.
	Addr   string
	Method string
	// Delivery says whether the call can have run.
	Delivery Delivery
	// Err is the cause: a type registered with RegisterError, a *RemoteError,
	// one of this package's errors, or the context's.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s (%s): %v", e.Method, e.Addr, e.Delivery, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Code identifies a kind of error on the wire. Negative codes are JSON-RPC's
// and this package's; other packages register positive ones.
type Code int64

// Codes of this package.
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

// RemoteError is an error answered by the remote process whose code has no
// registered type here.
type RemoteError struct {
	Code    Code
	Message string
	// Data is the JSON form of the remote error.
	Data json.RawMessage
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("remote error %d: %s", e.Code, e.Message)
}

// RefusalError marks an error of a handler as an attested refusal: nothing of
// the call ran.
type RefusalError struct{ Err error }

// Error implements error.
func (e *RefusalError) Error() string { return "refused: " + e.Err.Error() }

// Unwrap returns the reason.
func (e *RefusalError) Unwrap() error { return e.Err }

// Refuse returns err marked as a refusal. Handlers use it only when nothing of
// the call has run.
func Refuse(err error) error { return &RefusalError{Err: err} }

// HelloError reports a malformed hello.
type HelloError struct {
	// Field names the member at fault, "shape" for the whole.
	Field string `json:"field"`
}

// Error implements error.
func (e *HelloError) Error() string { return "hello: bad " + e.Field }

// VersionError reports a hello of a protocol version that is not spoken here.
type VersionError struct {
	Got       int `json:"got"`
	Supported int `json:"supported"`
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d, supported is %d", e.Got, e.Supported)
}

// IdentityError reports a peer whose certificate does not carry the instance ID
// that its hello claims.
type IdentityError struct {
	Claimed     ident.InstanceID `json:"claimed"`
	Certificate string           `json:"certificate"`
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("hello claims instance %q, certificate is of %q", e.Claimed, e.Certificate)
}

// NotAllowedError reports a peer that neither the settings nor the platform's
// list names.
type NotAllowedError struct {
	Instance ident.InstanceID `json:"instance"`
}

// Error implements error.
func (e *NotAllowedError) Error() string {
	return fmt.Sprintf("instance %q is not allowed", e.Instance)
}

// WrongInstanceError reports that another instance or incarnation than the
// expected one answers at an address.
type WrongInstanceError struct {
	Want Identity
	Got  Identity
}

// Error implements error.
func (e *WrongInstanceError) Error() string {
	return fmt.Sprintf("expected instance %s/%d, found %s/%d",
		e.Want.Instance, e.Want.Incarnation, e.Got.Instance, e.Got.Incarnation)
}

// HelloRequiredError reports a call before the hello.
type HelloRequiredError struct {
	Method string `json:"method"`
}

// Error implements error.
func (e *HelloRequiredError) Error() string { return "call of " + e.Method + " before the hello" }

// MethodError reports a method that has no handler.
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

// BusyError reports that a limit on calls, frames or bytes in progress is
// reached.
type BusyError struct {
	// What names the limit.
	What  string `json:"what"`
	Limit int    `json:"limit"`
}

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }

// StoppingError reports a process that is shutting down.
type StoppingError struct{}

// Error implements error.
func (e *StoppingError) Error() string { return "process is stopping" }

// TimeoutError reports a call that outlived its time.
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

// TooLargeError reports a frame beyond the limit.
type TooLargeError struct {
	Bytes int `json:"bytes"`
	Limit int `json:"limit"`
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, limit is %d", e.Bytes, e.Limit)
}

// FrameError reports bytes that are not a frame.
type FrameError struct {
	// Part is "header", "length" or "body".
	Part string
}

// Error implements error.
func (e *FrameError) Error() string { return "frame: bad " + e.Part }

// ClosedError reports a connection that closed.
type ClosedError struct {
	// Cause is why, nil when this side closed it.
	Cause error
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("connection closed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// AcceptError reports a listener that accepts no more connections.
type AcceptError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *AcceptError) Error() string { return fmt.Sprintf("accept at %s: %v", e.Addr, e.Err) }

// Unwrap returns the network's error.
func (e *AcceptError) Unwrap() error { return e.Err }

// IdleError reports a connection closed for lack of frames.
type IdleError struct{ After time.Duration }

// Error implements error.
func (e *IdleError) Error() string { return "no frame for " + e.After.String() }

// BackoffError reports that an address is not tried again yet.
type BackoffError struct {
	Addr string
	// Until is when the next attempt is allowed.
	Until time.Time
	// Last is why the last attempt failed.
	Last error
}

// Error implements error.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("%s: waiting to retry after: %v", e.Addr, e.Last)
}

// Unwrap returns why the last attempt failed.
func (e *BackoffError) Unwrap() error { return e.Last }
