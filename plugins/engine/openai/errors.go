package openai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/kernel"
)

// errorBody is the body of an engine's error response in the OpenAI format.
type errorBody struct {
	Error struct {
		Code    errorCode `json:"code"`
		Message string    `json:"message"`
	} `json:"error"`
}

// errorCode is an engine's error code. The OpenAI format also allows numbers.
// They are read as the empty code, since they do not show whether the attempt
// ran.
type errorCode string

// UnmarshalJSON implements json.Unmarshaler.
func (c *errorCode) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) == nil {
		*c = errorCode(s)
	}
	return nil
}

// errorMeaning is the meaning of an error code for an attempt.
type errorMeaning struct {
	evidence kernel.Evidence
	code     kernel.FailureCode
}

// errorMeanings lists the error codes of the engine protocol. With those that
// have the evidence kernel.Refused the engine states that the attempt did not run
// on it.
var errorMeanings = map[errorCode]errorMeaning{
	"not_started":             {kernel.Refused, kernel.FailureCapacity},
	"draining":                {kernel.Refused, kernel.FailureDraining},
	"model_not_found":         {kernel.Refused, kernel.FailureModel},
	"wrong_role":              {kernel.Refused, kernel.FailureModel},
	"kv_missing":              {kernel.Refused, kernel.FailureKVMissing},
	"invalid_request":         {kernel.Refused, kernel.FailureRejected},
	"context_length_exceeded": {kernel.Refused, kernel.FailureRejected},
	"aborted_early":           {kernel.Refused, kernel.FailureRejected},
	"transfer_failed":         {kernel.Ambiguous, kernel.FailureStalled},
}

// responseError converts a response with an error status to a *adapter.CallError.
// An unknown code gives the evidence kernel.Ambiguous.
func responseError(resp *http.Response) *adapter.CallError {
	data, err := roundtrip.ReadBody(resp.Body, maxResponseBytes)
	var b errorBody
	if err == nil {
		// A body in another format leaves the code empty, and the evidence
		// ambiguous.
		_ = json.Unmarshal(data, &b)
	}
	v, known := errorMeanings[b.Error.Code]
	if !known {
		v = errorMeaning{kernel.Ambiguous, kernel.FailureUpstream}
	}
	return &adapter.CallError{
		Evidence:   v.evidence,
		Code:       v.code,
		RetryAfter: retryAfter(resp.Header),
		Status:     resp.StatusCode,
		Err:        &adapter.UpstreamError{Code: string(b.Error.Code), Message: b.Error.Message},
	}
}

// retryAfter returns the value of a Retry-After header that is given in seconds,
// or 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// unsentError returns the error of a request that could not be created and was
// therefore not sent.
func unsentError(err error) *adapter.CallError {
	return &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureRejected, Err: err}
}

// brokenError returns the error of a response that is truncated or cannot be
// parsed. The attempt may have run.
func brokenError(err error) *adapter.CallError {
	return &adapter.CallError{Evidence: kernel.Ambiguous, Code: kernel.FailureBroken, Err: err}
}
