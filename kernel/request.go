package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Request is one caller's request, as the kernel needs to know it. The body
// stays with the driver.
type Request struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	// Kind is the kind of request as declared in the bundle.
	Kind  string
	Route config.Route
	// Model is set for config.RouteModel, Service for config.RouteService.
	Model   string
	Service string
	// PromptTokens and MaxOutputTokens are counted or declared at arrival.
	PromptTokens    int
	MaxOutputTokens int
	// Blocks are the chained hashes of the prompt's whole pieces, for prefix
	// reuse.
	Blocks []uint64
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Deduplicated says that the upstream itself runs this request's
	// idempotency key at most once, so that repeating it is harmless.
	Deduplicated bool
	Arrived      time.Time
	// FirstOutputBy is when the first output token is due under the kind's
	// target.
	FirstOutputBy time.Time
	// Pace is the target time between output tokens.
	Pace time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Priority is passed to the engines; lower runs earlier.
	Priority int
}

// MayRepeat reports whether a second run of the request is harmless.
func (r *Request) MayRepeat() bool { return r.Repeatable || r.Deduplicated }

// Pieces returns the KV memory the request needs, in pieces of pieceTokens
// tokens, when its output is as long as it may be.
func (r *Request) Pieces(pieceTokens int) int {
	if pieceTokens <= 0 {
		return 0
	}
	total := r.PromptTokens + r.MaxOutputTokens
	return (total + pieceTokens - 1) / pieceTokens
}
