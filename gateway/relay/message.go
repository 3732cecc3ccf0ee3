// Package relay lets peers serve the requests of an instance that reaches no upstream. The instance
// asks peers for offers, sends each request to one of them over HTTP, and passes the answer on to
// its caller. A relayed request is not relayed again.
//
// A request is sent as one line of JSON, a message, followed by the caller's body. The response is
// the upstream's, with headerResult set to resultAnswer, or a Failure as JSON.
package relay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// MethodOffer asks a peer whether it serves relayed requests for a service.
const MethodOffer = "gateway.relay-offer"

// OfferRequest is the request of MethodOffer.
type OfferRequest struct {
	Service string `json:"service"`
}

// Offer says whether an instance serves relayed requests for a service.
type Offer struct {
	// Accepts means that the instance is ready, not stopping, and reaches upstreams of the service.
	Accepts bool `json:"accepts"`
	// Address is where it accepts relayed requests, "IP:port".
	Address string `json:"address,omitempty"`
	// Version is the version of its configuration.
	Version int64 `json:"version,omitempty"`
}

// Request is a caller's request, without its body, as one instance relays it to another.
type Request struct {
	Call dialect.Call `json:"call"`
	// Service is the service that was chosen for the request.
	Service string `json:"service"`
	// Version is the version of the configuration that admitted the request. A peer with an older
	// one declines it.
	Version int64 `json:"version"`
	// RemainingMS is the time until the request's deadline, WaitedMS the time since its arrival, in
	// milliseconds.
	RemainingMS int64 `json:"remaining_ms"`
	WaitedMS    int64 `json:"waited_ms"`
	// Runs is the number of upstreams that may have run the request.
	Runs int `json:"runs,omitempty"`
	// SoftwareVersion is the version of the engine that began a stream, nil if it has not begun.
	SoftwareVersion *string `json:"software_version,omitempty"`
}

// Outcome says whether a request that got no answer has run.
type Outcome string

// The outcomes.
const (
	// NotRun means that the request has not run at the peer and will not.
	NotRun Outcome = "not_run"
	// Unknown means that it may have run, TimedOut that its deadline has passed besides.
	Unknown  Outcome = "unknown"
	TimedOut Outcome = "timed_out"
)

// Failure is the error of a relayed request that got no answer from an upstream.
type Failure struct {
	Outcome Outcome `json:"outcome"`
	// Declined means that the peer serves no relayed requests at present, or not this one, but
	// another peer may. The outcome is NotRun.
	Declined bool `json:"declined,omitempty"`
	// Reason is a short name for logs and metrics.
	Reason string `json:"reason"`
	// RetryAfterMS is how long the caller should wait before it retries, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return "peer: " + f.Reason }

// RetryAfter returns how long the caller should wait before it retries.
func (f *Failure) RetryAfter() time.Duration { return time.Duration(f.RetryAfterMS) * time.Millisecond }

// NoPeerError reports that no peer serves a request.
type NoPeerError struct {
	// Asked is the number of peers that were sent the request and declined it.
	Asked int
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("no peer reaches the upstreams (%d declined the request)", e.Asked)
}

// LostError reports that the connection to a peer broke before the answer began. The request may
// have run.
type LostError struct {
	Peer ident.InstanceID
	Err  error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("no answer from peer %s: %v", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// headerResult is set in each response: resultAnswer for an upstream's response, resultFailure for a
// Failure.
const (
	headerResult  = "Wardspool-Relay-Result"
	resultAnswer  = "answer"
	resultFailure = "failure"
)

// headerSoftwareVersion is the software version of the engine that sent a stream.
const headerSoftwareVersion = "Wardspool-Software-Version"

// SetSoftwareVersion states the software version of the engine that sent a relayed stream.
func SetSoftwareVersion(h http.Header, version string) { h.Set(headerSoftwareVersion, version) }

// TakeSoftwareVersion returns the software version that a peer states, and removes it from the header. known
// is false if the peer states none.
func TakeSoftwareVersion(h http.Header) (version string, known bool) {
	values := h.Values(headerSoftwareVersion)
	h.Del(headerSoftwareVersion)
	if len(values) == 0 {
		return "", false
	}
	return values[0], true
}

// requestPath is the path of relayed requests.
const requestPath = "/requests"

const (
	// maxHeadBytes bounds the line with the Request. The headers of callers take up to 64 KiB.
	maxHeadBytes = 256 << 10
	// maxFailureBytes bounds an encoded Failure.
	maxFailureBytes = 16 << 10
)

// InvalidRequestError reports a relayed request that cannot be decoded.
type InvalidRequestError struct{ Err error }

// Error implements error.
func (e *InvalidRequestError) Error() string { return "decode relayed request: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidRequestError) Unwrap() error { return e.Err }

// errHeadTooLong is the cause of an InvalidRequestError.
var errHeadTooLong = errors.New("the head is too long")

// ReadRequest reads a relayed request, and returns it with a reader of the caller's body and the
// body's length in bytes. The error is an *InvalidRequestError.
func ReadRequest(r *http.Request) (*Request, io.Reader, int64, error) {
	in := bufio.NewReader(r.Body)
	var head []byte
	for {
		part, err := in.ReadSlice('\n')
		head = append(head, part...)
		if len(head) > maxHeadBytes {
			return nil, nil, 0, &InvalidRequestError{errHeadTooLong}
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, nil, 0, &InvalidRequestError{err}
		}
	}
	q, err := decodeHead(head)
	if err != nil {
		return nil, nil, 0, &InvalidRequestError{err}
	}
	return q, in, r.ContentLength - int64(len(head)), nil
}

// MarkAnswer marks a response as an upstream's.
func MarkAnswer(h http.Header) { h.Set(headerResult, resultAnswer) }

// WriteFailure writes a Failure as the response.
func WriteFailure(w http.ResponseWriter, f Failure) error {
	w.Header().Set(headerResult, resultFailure)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	return json.NewEncoder(w).Encode(f)
}
