// Package adapter defines the interfaces through which an entry instance calls
// its upstreams. Engines and plain services are called through plug-ins in the
// namespaces "engine" and "service"; package adapter/roundtrip provides them with
// an HTTP client whose errors state whether a failed request may have executed.
package adapter

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// Target identifies one attempt of a request and the upstream it is sent to.
type Target struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
	// Address is the upstream's "IP:port".
	Address string
	// Observe receives the load that the upstream reports in its responses. It
	// may be nil, must not block and may be called from any goroutine.
	Observe func(Observation)
}

// Report passes o to Observe, unless Observe is nil.
func (t *Target) Report(o Observation) {
	if t.Observe != nil {
		t.Observe(o)
	}
}

// Observation is the state that an upstream reported about itself in a response.
type Observation struct {
	Load kernel.Load
	// Draining is set if the upstream accepts no new work.
	Draining bool
}

// Endpoint identifies the OpenAI-compatible endpoint that a caller requested.
type Endpoint int

// The supported endpoints.
const (
	// Completions is POST /v1/completions.
	Completions Endpoint = iota + 1
	// Chat is POST /v1/chat/completions.
	Chat
)

// Field is one top-level member of a caller's JSON body, as received.
type Field struct {
	Name string
	Raw  json.RawMessage
}

// ModelRequest is a caller's request to a model. All attempts share it, so it
// must not be modified.
type ModelRequest struct {
	Endpoint Endpoint
	Model    string
	// MaxTokens is the maximum length of the output, in tokens.
	MaxTokens int
	Priority  int
	// Fields holds the caller's other members, such as "prompt" or
	// "temperature", except those that the engine adapter sets itself.
	Fields []Field
}

// PrefillCall makes a prefill engine compute a prompt's KV cache.
type PrefillCall struct {
	Target
	Model *ModelRequest
	// ContinueFrom is how many output tokens to append to the prompt.
	ContinueFrom int
}

// PrefillResult is the result of a prefill.
type PrefillResult struct {
	// Params are the transfer parameters for the decode engine.
	Params []byte
	// CachedTokens is the number of prompt tokens that the engine reused from its
	// cache.
	CachedTokens int
}

// DecodeCall makes a decode engine generate the output from token ContinueFrom
// on.
type DecodeCall struct {
	Target
	Model *ModelRequest
	// Params are the transfer parameters that the prefill returned.
	Params       []byte
	ContinueFrom int
}

// ReattachCall resumes reading the output stream of a running or finished decode
// attempt.
type ReattachCall struct {
	Target
	Endpoint Endpoint
	// Offset is the first token to deliver.
	Offset int
}

// Chunk is one output token.
type Chunk struct {
	// Offset is the token's index in the whole answer, from 0.
	Offset int
	// Text is the token's text.
	Text string
	// Choices is the chunk's "choices" member, the JSON as the engine sent it.
	Choices string
	// FinishReason is set on the last token of the output.
	FinishReason string
}

// Sink receives the tokens of a decode attempt in order of arrival.
type Sink interface {
	// Token handles one token. An error ends the attempt.
	Token(c Chunk) error
}

// DecodeResult describes a complete output.
type DecodeResult struct {
	// Tokens is the length of the answer, summed over all attempts.
	Tokens int
	// FinishReason is why the output ended, for example "stop".
	FinishReason string
	// Usage is the engine's "usage" member, nil if it sent none.
	Usage json.RawMessage
}

// Engine calls model engines. Failed calls return a *CallError. All methods
// return early when their context ends.
type Engine interface {
	plugin.Plugin
	Prefill(ctx context.Context, c *PrefillCall) (PrefillResult, error)
	Decode(ctx context.Context, c *DecodeCall, sink Sink) (DecodeResult, error)
	Reattach(ctx context.Context, c *ReattachCall, sink Sink) (DecodeResult, error)
	// Cancel makes the engine stop the attempt and release its resources. It
	// returns nil once the engine holds no resources for the attempt.
	Cancel(ctx context.Context, t *Target) error
}

// ServiceCall is a caller's request to a plain service.
type ServiceCall struct {
	Target
	Method string
	// Path is the path with the query, as the caller sent it. It begins with a
	// slash.
	Path string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	Body   []byte
	// IdempotencyKey is sent to the service if it is not empty.
	IdempotencyKey string
	// Timeout limits the duration of the call; 0 means that only the context does.
	Timeout time.Duration
	// ResponseLimit is the maximum size of the response body, in bytes.
	ResponseLimit int64
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int
	// Header holds the service's end-to-end headers.
	Header http.Header
	Body   []byte
}

// Service calls plain services. Failed calls return a *CallError.
type Service interface {
	plugin.Plugin
	Call(ctx context.Context, c *ServiceCall) (*ServiceResponse, error)
}
