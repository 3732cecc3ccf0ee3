package service

import (
	"io"
	"net/http"
	"strconv"

	"github.com/wardspool/wardspool/standin/control"
)

// Request headers.
const (
	// HeaderAttempt is the attempt ID.
	HeaderAttempt = "X-Request-Id"
	// HeaderCorrelation is the request ID, which all attempts of a request share.
	HeaderCorrelation = "X-Correlation-Id"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderFence is the fencing token, a decimal number.
	HeaderFence = "X-Fencing-Token"
)

// maxBody is the maximum size of the body of a call, in bytes.
const maxBody = 1 << 20

// CallResponse is the JSON response to a call that ran.
type CallResponse struct {
	Service string `json:"service"`
	// RunNumber is the number of the run on this upstream, counted from 1.
	RunNumber int    `json:"run_number"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Echo repeats the body of the call.
	Echo string `json:"echo"`
	// AttemptID and CorrelationID repeat the headers of the call.
	AttemptID     string `json:"attempt_id"`
	CorrelationID string `json:"correlation_id"`
	// Replayed is true if this is the stored response to a repeated idempotency key.
	Replayed bool `json:"replayed"`
}

// call is a call, parsed from its HTTP request.
type call struct {
	attempt, correlation, key string
	method, path, body        string
	fence                     uint64
	fenced                    bool
}

// refusal is an error response that guarantees that the call did not run.
type refusal struct {
	status  int
	code    control.Code
	message string
	highest uint64
}

// Error implements error.
func (r *refusal) Error() string { return string(r.code) + ": " + r.message }

// write sends the refusal as the response.
func (r *refusal) write(w http.ResponseWriter) {
	body := control.NewError(r.status, r.code, r.message)
	body.HighestFence = r.highest
	control.WriteJSON(w, r.status, body)
}

// parseCall parses a call. It returns a refusal if the call is malformed.
func parseCall(w http.ResponseWriter, r *http.Request) (call, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return call{}, &refusal{status: http.StatusBadRequest, code: control.CodeInvalid, message: err.Error()}
	}
	c := call{
		attempt:     r.Header.Get(HeaderAttempt),
		correlation: r.Header.Get(HeaderCorrelation),
		key:         r.Header.Get(HeaderKey),
		method:      r.Method,
		path:        r.URL.Path,
		body:        string(body),
	}
	if token := r.Header.Get(HeaderFence); token != "" {
		c.fenced = true
		if c.fence, err = strconv.ParseUint(token, 10, 64); err != nil {
			return call{}, &refusal{status: http.StatusBadRequest, code: control.CodeInvalid, message: err.Error()}
		}
	}
	return c, nil
}
