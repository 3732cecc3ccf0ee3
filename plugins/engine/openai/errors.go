package openai

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/kernel"
)

// errorBody is an engine's error answer, in OpenAI's form.
type errorBody struct {
	Error struct {
		Code    errorCode `json:"code"`
		Message string    `json:"message"`
	} `json:"error"`
}

// errorCode is an engine's error code. OpenAI's form allows numbers, which
// attest nothing.
type errorCode string

// UnmarshalJSON implements json.Unmarshaler.
func (c *errorCode) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) == nil {
		*c = errorCode(s)
	}
	return nil
}

// verdict is what an error code says of an attempt.
type verdict struct {
	evidence kernel.Evidence
	code     kernel.FailureCode
}

// verdicts lists the codes of the engines' protocol. Those with evidence
// kernel.Refused are the engine's word that the attempt did not run on it.
var verdicts = map[errorCode]verdict{
	"not_started":             {kernel.Refused, kernel.FailureCapacity},
	"draining":                {kernel.Refused, kernel.FailureDraining},
	"model_not_found":         {kernel.Refused, kernel.FailureModel},
	"wrong_role":              {kernel.Refused, kernel.FailureModel},
	"kv_missing":              {kernel.Refused, kernel.FailureKVGone},
	"invalid_request":         {kernel.Refused, kernel.FailureRejected},
	"context_length_exceeded": {kernel.Refused, kernel.FailureRejected},
	"aborted_early":           {kernel.Refused, kernel.FailureRejected},
	"transfer_failed":         {kernel.Ambiguous, kernel.FailureStalled},
}

// refusal turns an answer with an error status into a *adapter.CallError.
func refusal(resp *http.Response) *adapter.CallError {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	var b errorBody
	if err == nil {
		// A body of another form attests nothing.
		_ = json.Unmarshal(data, &b)
	}
	v, known := verdicts[b.Error.Code]
	if !known {
		v = verdict{kernel.Ambiguous, kernel.FailureUpstream}
	}
	return &adapter.CallError{
		Evidence:   v.evidence,
		Code:       v.code,
		RetryAfter: retryAfter(resp.Header),
		Status:     resp.StatusCode,
		Err:        &adapter.UpstreamError{Code: string(b.Error.Code), Message: b.Error.Message},
	}
}

// retryAfter reads a Retry-After header in seconds.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// unsent reports a request that could not even be made.
func unsent(err error) *adapter.CallError {
	return &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureRejected, Err: err}
}

// broken reports an answer that broke off or cannot be read.
func broken(err error) *adapter.CallError {
	return &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
}
