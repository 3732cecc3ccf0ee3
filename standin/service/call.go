package service

import (
	"io"
	"net/http"
	"strconv"

	"github.com/wardspool/wardspool/standin/control"
)

// Request headers.
const (
	// HeaderAttempt carries the attempt ID.
	HeaderAttempt = "X-Request-Id"
	// HeaderCorrelation carries the request ID, the same for all attempts.
	HeaderCorrelation = "X-Correlation-Id"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderFence carries the fencing token, a decimal number.
	HeaderFence = "X-Fencing-Token"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 1 << 20

// Answer is the JSON answer to a call that ran.
type Answer struct {
	Service string `json:"service"`
	// RunNumber counts the runs of this upstream, from 1.
	RunNumber int    `json:"run_number"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Echo is the body of the call.
	Echo string `json:"echo"`
	// AttemptID and CorrelationID repeat the call's headers.
	AttemptID     string `json:"attempt_id"`
	CorrelationID string `json:"correlation_id"`
	// Replayed is true for the stored answer to a repeated idempotency key.
	Replayed bool `json:"replayed"`
}

// call is one call, read from its request.
type call struct {
	attempt, correlation, key string
	method, path, body        string
	fence                     uint64
	fenced                    bool
}

// refusal is an attested refusal.
type refusal struct {
	status  int
	code    control.Code
	message string
	highest uint64
}

// Error implements error.
func (r *refusal) Error() string { return string(r.code) + ": " + r.message }

// write answers with the refusal.
func (r *refusal) write(w http.ResponseWriter) {
	body := control.NewError(r.status, r.code, r.message)
	body.Highest = r.highest
	control.WriteJSON(w, r.status, body)
}

// readCall reads a call. It returns a refusal if the call is malformed.
func readCall(w http.ResponseWriter, r *http.Request) (call, *refusal) {
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
