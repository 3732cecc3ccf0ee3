package control

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBody bounds the JSON documents that stand-ins read, in bytes.
const maxBody = 16 << 20

// ErrorBody is the JSON answer of a stand-in that refuses or fails, in the form
// that OpenAI-compatible engines use.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
	// Highest is the highest fencing number seen, for code "stale_fence".
	Highest uint64 `json:"highest,omitempty"`
}

// ErrorDetail describes the failure.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Code   `json:"code"`
}

// Code is a failure's machine-readable name.
type Code string

// The codes. Those of which Attested is true promise that nothing ran.
const (
	// CodeNotStarted: no capacity, or told to refuse.
	CodeNotStarted Code = "not_started"
	// CodeModelNotFound: the engine doesn't have the model.
	CodeModelNotFound Code = "model_not_found"
	// CodeDraining: the upstream leaves.
	CodeDraining Code = "draining"
	// CodeWrongRole: a decode for a prefill engine or the other way round.
	CodeWrongRole Code = "wrong_role"
	// CodeStaleFence: an older fencing number than one seen before.
	CodeStaleFence Code = "stale_fence"
	// CodeInvalid: a malformed request.
	CodeInvalid Code = "invalid_request"
	// CodeContextLength: the request can never fit the engine's memory.
	CodeContextLength Code = "context_length_exceeded"
	// CodeDuplicate: the attempt ID is known already; this call started nothing.
	CodeDuplicate Code = "duplicate_attempt"
	// CodeAbortedEarly: the attempt's abort arrived before the attempt.
	CodeAbortedEarly Code = "aborted_early"
	// CodeAborted: the attempt was aborted after it had been taken in.
	CodeAborted Code = "aborted"
	// CodeKVMissing: the prefill result is gone; no token was generated.
	CodeKVMissing Code = "kv_missing"
	// CodeTransferFailed: the prefill result couldn't be fetched; no token was
	// generated.
	CodeTransferFailed Code = "transfer_failed"
	// CodeNotFound: no such attempt, stream or key.
	CodeNotFound Code = "not_found"
	// CodeUnavailable: the stand-in plays dead.
	CodeUnavailable Code = "unavailable"
	// CodeRateLimited: more calls than the platform allows.
	CodeRateLimited Code = "rate_limited"
	// CodeInternal: a failure after the work began.
	CodeInternal Code = "internal"
)

// Attested reports whether the code promises that nothing of the request ran
// on the upstream that sent it.
func (c Code) Attested() bool {
	switch c {
	case CodeNotStarted, CodeModelNotFound, CodeDraining, CodeWrongRole,
		CodeStaleFence, CodeInvalid, CodeContextLength, CodeAbortedEarly:
		return true
	default:
		return false
	}
}

// errorTypes gives the OpenAI error type of each status class.
const (
	typeClient = "invalid_request_error"
	typeServer = "server_error"
)

// NewError returns the body of a failure with the given status.
func NewError(status int, code Code, message string) ErrorBody {
	kind := typeClient
	if status >= http.StatusInternalServerError {
		kind = typeServer
	}
	return ErrorBody{Error: ErrorDetail{Message: message, Type: kind, Code: code}}
}

// WriteJSON answers with a JSON document.
func WriteJSON[T any](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A reader that has left is not the stand-in's concern.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError answers with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code Code, message string) {
	WriteJSON(w, status, NewError(status, code, message))
}

// ReadJSON decodes the request's body into v. If that fails it answers 400 and
// returns false.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request, v *T) bool {
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(v); err != nil && err != io.EOF {
		WriteError(w, http.StatusBadRequest, CodeInvalid, err.Error())
		return false
	}
	return true
}

// Drop ends the exchange without an answer and closes the connection.
func Drop() { panic(http.ErrAbortHandler) }
