package api

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ProblemType is the "type" member of a problem document. The constants below
// are all of its values.
type ProblemType string

// Problem types. docs/callers.md explains each one under the same name.
const (
	ProblemMalformed        ProblemType = "urn:wardspool:problem:malformed-request"
	ProblemTooLarge         ProblemType = "urn:wardspool:problem:body-too-large"
	ProblemSlowSender       ProblemType = "urn:wardspool:problem:slow-sender"
	ProblemUnknownModel     ProblemType = "urn:wardspool:problem:unknown-model"
	ProblemUnknownService   ProblemType = "urn:wardspool:problem:unknown-service"
	ProblemUnknownWorkspace ProblemType = "urn:wardspool:problem:unknown-workspace"
	ProblemUnknownKind      ProblemType = "urn:wardspool:problem:unknown-kind"
	ProblemOverloaded       ProblemType = "urn:wardspool:problem:overloaded"
	ProblemInfeasible       ProblemType = "urn:wardspool:problem:deadline-infeasible"
	ProblemLimit            ProblemType = "urn:wardspool:problem:workspace-limit"
	ProblemNoUpstream       ProblemType = "urn:wardspool:problem:no-upstream"
	ProblemUpstreamFailed   ProblemType = "urn:wardspool:problem:upstream-failed"
	ProblemUpstreamRefused  ProblemType = "urn:wardspool:problem:upstream-refused"
	ProblemDeadline         ProblemType = "urn:wardspool:problem:deadline-passed"
	ProblemStopping         ProblemType = "urn:wardspool:problem:instance-stopping"
	ProblemNotReady         ProblemType = "urn:wardspool:problem:instance-not-ready"
	ProblemTicketRequired   ProblemType = "urn:wardspool:problem:ticket-required"
	ProblemTicketInvalid    ProblemType = "urn:wardspool:problem:ticket-invalid"
	ProblemTicketExpired    ProblemType = "urn:wardspool:problem:ticket-expired"
	ProblemTicketReused     ProblemType = "urn:wardspool:problem:ticket-reused"
	ProblemExecutorGone     ProblemType = "urn:wardspool:problem:executor-unreachable"
	ProblemCallerGone       ProblemType = "urn:wardspool:problem:caller-gone"
	ProblemInternal         ProblemType = "urn:wardspool:problem:internal"
)

// problemStatus maps each problem type to its HTTP status.
var problemStatus = map[ProblemType]int{
	ProblemMalformed:        http.StatusBadRequest,
	ProblemTooLarge:         http.StatusRequestEntityTooLarge,
	ProblemSlowSender:       http.StatusRequestTimeout,
	ProblemUnknownModel:     http.StatusNotFound,
	ProblemUnknownService:   http.StatusNotFound,
	ProblemUnknownWorkspace: http.StatusForbidden,
	ProblemUnknownKind:      http.StatusBadRequest,
	ProblemOverloaded:       http.StatusServiceUnavailable,
	ProblemInfeasible:       http.StatusServiceUnavailable,
	ProblemLimit:            http.StatusTooManyRequests,
	ProblemNoUpstream:       http.StatusServiceUnavailable,
	ProblemUpstreamFailed:   http.StatusBadGateway,
	ProblemUpstreamRefused:  http.StatusServiceUnavailable,
	ProblemDeadline:         http.StatusGatewayTimeout,
	ProblemStopping:         http.StatusServiceUnavailable,
	ProblemNotReady:         http.StatusServiceUnavailable,
	ProblemTicketRequired:   http.StatusPreconditionRequired,
	ProblemTicketInvalid:    http.StatusBadRequest,
	ProblemTicketExpired:    http.StatusGone,
	ProblemTicketReused:     http.StatusConflict,
	ProblemExecutorGone:     http.StatusBadGateway,
	ProblemCallerGone:       499,
	ProblemInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status of the problem type, 500 if the type is not
// known.
func (t ProblemType) Status() int {
	if s, ok := problemStatus[t]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Problem is the final answer to a failed request: an RFC 9457 problem document
// with wardspool's extension members. It is also the error type that carries
// such an answer within the process.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Outcome states whether the request ran.
	Outcome Outcome `json:"outcome"`
	// RequestID is the value of HeaderRequestID.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMS is the delay before a retry, in milliseconds; 0 means that
	// a retry cannot succeed.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// BundleVersion is the bundle version in force, 0 if none.
	BundleVersion uint64 `json:"bundle_version,omitempty"`
	// OpenAI repeats the problem in the error format of OpenAI's API, so that
	// OpenAI client libraries recognise it, also inside a stream. It is set only
	// on answers to callers.
	OpenAI *OpenAIError `json:"error,omitempty"`
}

// OpenAIError is the error object of OpenAI's API.
type OpenAIError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// WithOpenAI sets the OpenAI member and returns p. The message is the detail,
// or the title if there is no detail.
func (p *Problem) WithOpenAI() *Problem {
	message := p.Detail
	if message == "" {
		message = p.Title
	}
	p.OpenAI = &OpenAIError{Message: message, Type: string(p.Type), Code: string(p.Outcome)}
	return p
}

// NewProblem returns a problem of the given type and outcome.
func NewProblem(t ProblemType, o Outcome, detail string) *Problem {
	return &Problem{
		Type:    t,
		Title:   http.StatusText(t.Status()),
		Status:  t.Status(),
		Detail:  detail,
		Outcome: o,
	}
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Type, p.Outcome, p.Detail)
}

// WithRetryAfter sets the delay before a retry and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = d.Milliseconds()
	return p
}

// ProblemContentType is the media type of a problem document.
const ProblemContentType = "application/problem+json"

// Write writes the problem as a complete HTTP response: headers, status and
// body. The Retry-After header is in whole seconds, rounded up.
func (p *Problem) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", ProblemContentType)
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RequestID != "" {
		h.Set(HeaderRequestID, p.RequestID)
	}
	if p.RetryAfterMS > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMS) / float64(time.Second.Milliseconds()))
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if p.BundleVersion > 0 {
		h.Set(HeaderBundleVersion, strconv.FormatUint(p.BundleVersion, 10))
	}
	w.WriteHeader(p.Status)
	return json.NewEncoder(w).Encode(p)
}
