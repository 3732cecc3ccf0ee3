// Package adapter defines how an entry instance speaks to its upstreams.
// Engines and plain services are reached through plug-ins in the namespaces
// "engine" and "service"; package adapter/roundtrip gives them an HTTP client
// that knows whether a failed request can have run.
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

// Target is where one attempt of one request goes.
type Target struct {
	Attempt  ident.AttemptID
	Request  ident.RequestID
	Upstream ident.UpstreamID
	// Address is the upstream's "IP:port".
	Address string
	// Observe receives the load that the upstream reports in-band. It may be
	// nil, must not block and may be called from any goroutine.
	Observe func(Observation)
}

// Report calls Observe, if there is one.
func (t *Target) Report(o Observation) {
	if t.Observe != nil {
		t.Observe(o)
	}
}

// Observation is what an upstream said of itself in a response.
type Observation struct {
	Load kernel.Load
	// Draining says that the upstream takes no new work.
	Draining bool
}

// Endpoint says which of the OpenAI-compatible requests a caller made.
type Endpoint int

// The endpoints.
const (
	// Completions is POST /v1/completions.
	Completions Endpoint = iota + 1
	// Chat is POST /v1/chat/completions.
	Chat
)

// Field is one top-level member of a caller's JSON body, kept as it came.
type Field struct {
	Name string
	Raw  json.RawMessage
}

// ModelRequest is a caller's request to a model, the same for all attempts. It
// must not be changed.
type ModelRequest struct {
	Endpoint Endpoint
	Model    string
	// MaxTokens is the length that the output may reach, in tokens.
	MaxTokens int
	Priority  int
	// Fields are the caller's other members, such as "prompt" or "temperature",
	// without those that the engine adapter sets.
	Fields []Field
}

// PrefillCall asks a prefill engine for a prompt's KV cache.
type PrefillCall struct {
	Target
	Model *ModelRequest
	// ContinueFrom is how many output tokens to append to the prompt.
	ContinueFrom int
}

// Prefilled is a prefill's result.
type Prefilled struct {
	// Params are the transfer parameters for the decode engine.
	Params []byte
	// CachedTokens is how much of the prompt the engine reused.
	CachedTokens int
}

// DecodeCall asks a decode engine for the output from token ContinueFrom on.
type DecodeCall struct {
	Target
	Model *ModelRequest
	// Params are the transfer parameters that the prefill returned.
	Params       []byte
	ContinueFrom int
}

// ReattachCall reads on in a decode attempt's stream.
type ReattachCall struct {
	Target
	Endpoint Endpoint
	// Offset is the first token wanted.
	Offset int
}

// Chunk is one output token.
type Chunk struct {
	// Offset counts the tokens of the whole answer from 0.
	Offset int
	// Text is the token's text.
	Text string
	// Choices is the chunk's "choices" member, in JSON, as the engine wrote it.
	Choices string
	// FinishReason is set on the output's last token.
	FinishReason string
}

// Sink takes the tokens of a decode attempt, in the order in which they come.
type Sink interface {
	// Token takes one token. An error ends the attempt.
	Token(c Chunk) error
}

// Decoded describes an output that came whole.
type Decoded struct {
	// Tokens is the length of the answer over all attempts.
	Tokens int
	// FinishReason is why the output ended, for example "stop".
	FinishReason string
	// Usage is the engine's "usage" member, nil if it sent none.
	Usage json.RawMessage
}

// Engine speaks to model engines. Failed calls return a *CallError. All
// methods end early when their context does.
type Engine interface {
	plugin.Plugin
	Prefill(ctx context.Context, c *PrefillCall) (Prefilled, error)
	Decode(ctx context.Context, c *DecodeCall, sink Sink) (Decoded, error)
	Reattach(ctx context.Context, c *ReattachCall, sink Sink) (Decoded, error)
	// Cancel makes the engine stop the attempt and release what it holds for
	// it. It returns nil when the engine holds nothing more.
	Cancel(ctx context.Context, t *Target) error
}

// ServiceCall is a caller's request to a plain service.
type ServiceCall struct {
	Target
	Method string
	// Path is the escaped path at the service, with its leading slash and its
	// query.
	Path string
	// Header holds the caller's end-to-end headers.
	Header http.Header
	Body   []byte
	// IdempotencyKey is passed on if it is not empty.
	IdempotencyKey string
	// Timeout bounds the call; 0 leaves it to the context.
	Timeout time.Duration
	// ResponseLimit bounds the answer's body, in bytes.
	ResponseLimit int64
}

// ServiceAnswer is a plain service's whole answer.
type ServiceAnswer struct {
	Status int
	// Header holds the service's end-to-end headers.
	Header http.Header
	Body   []byte
}

// Service speaks to plain services. Failed calls return a *CallError.
type Service interface {
	plugin.Plugin
	Call(ctx context.Context, c *ServiceCall) (*ServiceAnswer, error)
}
