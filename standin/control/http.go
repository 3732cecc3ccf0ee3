package control

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBody bounds the JSON documents that stand-ins read, in bytes.
const maxBody = 16 << 20

// ErrorBody is the JSON body of a stand-in's error response, in the format of
// OpenAI-compatible engines.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
	// HighestFence is the highest fencing number seen; it is set for CodeStaleFence only.
	HighestFence uint64 `json:"highest,omitempty"`
}

// ErrorDetail describes the error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
}

// Code is a machine-readable error code.
type Code string

// The codes. Those for which Attested returns true guarantee that nothing ran.
const (
	// CodeNotStarted: no capacity, or refused because of an injected fault.
	CodeNotStarted Code = "not_started"
	// CodeModelNotFound: the engine does not run the model.
	CodeModelNotFound Code = "model_not_found"
	// CodeDraining: the upstream is draining.
	CodeDraining Code = "draining"
	// CodeWrongRole: a decode request to a prefill engine, or vice versa.
	CodeWrongRole Code = "wrong_role"
	// CodeStaleFence: the fencing number is lower than one seen before.
	CodeStaleFence Code = "stale_fence"
	// CodeInvalid: the request is malformed.
	CodeInvalid Code = "invalid_request"
	// CodeContextLength: the request exceeds the engine's total KV memory.
	CodeContextLength Code = "context_length_exceeded"
	// CodeDuplicate: the attempt ID is in use already; this call started nothing.
	CodeDuplicate Code = "duplicate_attempt"
	// CodeAbortedEarly: the abort of the attempt arrived before the attempt.
	CodeAbortedEarly Code = "aborted_early"
	// CodeAborted: the attempt was aborted after it had been accepted.
	CodeAborted Code = "aborted"
	// CodeKVMissing: the prefill result no longer exists; no token was generated.
	CodeKVMissing Code = "kv_missing"
	// CodeTransferFailed: the prefill result couldn't be fetched; no token was
	// generated.
	CodeTransferFailed Code = "transfer_failed"
	// CodeNotFound: the attempt, stream or key does not exist.
	CodeNotFound Code = "not_found"
	// CodeUnavailable: the stand-in simulates being down.
	CodeUnavailable Code = "unavailable"
	// CodeRateLimited: the platform's call rate limit is exceeded.
	CodeRateLimited Code = "rate_limited"
	// CodeInternal: the request failed after its work had begun.
	CodeInternal Code = "internal"
)

// Attested reports whether the code guarantees that no part of the request ran on the
// upstream that sent the code.
func (c Code) Attested() bool {
	switch c {
	case CodeNotStarted, CodeModelNotFound, CodeDraining, CodeWrongRole,
		CodeStaleFence, CodeInvalid, CodeContextLength, CodeAbortedEarly:
		return true
	default:
		return false
	}
}

// OpenAI error types of the status classes 4xx and 5xx.
const (
	typeClient = "invalid_request_error"
	typeServer = "server_error"
)

// NewError returns the body of an error response with the given status.
func NewError(status int, code Code, message string) ErrorBody {
	kind := typeClient
	if status >= http.StatusInternalServerError {
		kind = typeServer
	}
	return ErrorBody{Error: ErrorDetail{Message: message, Type: kind, Code: code}}
}

// WriteJSON writes a JSON response.
func WriteJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the reader may have disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an ErrorBody as the response.
func WriteError(w http.ResponseWriter, status int, code Code, message string) {
	WriteJSON(w, status, NewError(status, code, message))
}

// ReadJSON decodes the request's body into v; an empty body leaves v as it is. If
// decoding fails, it responds with status 400 and returns false.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request, v *T) bool {
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(v); err != nil && err != io.EOF {
		WriteError(w, http.StatusBadRequest, CodeInvalid, err.Error())
		return false
	}
	return true
}

// AbortConnection aborts the handler without a response and closes the connection. It panics with
// http.ErrAbortHandler.
func AbortConnection() { panic(http.ErrAbortHandler) }
