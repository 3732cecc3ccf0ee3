package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Request holds the properties of a caller's request that the kernel needs for
// its decisions. The driver keeps the body.
type Request struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	// Kind is the kind of request as declared in the bundle.
	Kind  string
	Route config.Route
	// Model is set for config.RouteModel, Service for config.RouteService.
	Model   string
	Service string
	// PromptTokens and MaxOutputTokens are counted by the driver or declared by
	// the caller.
	PromptTokens    int
	MaxOutputTokens int
	// Blocks are the chained hashes of the prompt's complete blocks of one piece
	// each, for prefix reuse; see package tokens.
	Blocks []uint64
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// Deduplicated means that the upstream itself runs a request with the same
	// idempotency key at most once, so that sending it again is safe.
	Deduplicated bool
	Arrived      time.Time
	// FirstOutputBy is the time by which the first output token is due according
	// to the target of the request's kind.
	FirstOutputBy time.Time
	// Pace is the target time between output tokens.
	Pace time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Priority is passed to the engines; lower values run earlier.
	Priority int
}

const (
	// maxAnswerMargin and answerMarginPercent limit the time before a caller's
	// deadline at which an unfinished request is answered, so that the caller
	// is still there.
	maxAnswerMargin     = 30 * time.Millisecond
	answerMarginPercent = 10
)

// answerBy returns the time by which the request must have been answered.
func (r *Request) answerBy() time.Time {
	share := r.Deadline.Sub(r.Arrived) * answerMarginPercent / 100
	return r.Deadline.Add(-min(max(share, 0), maxAnswerMargin))
}

// MayRepeat reports whether the request may be sent again after it may have run.
func (r *Request) MayRepeat() bool { return r.Repeatable || r.Deduplicated }

// Pieces returns the KV memory that the request needs for its prompt and the
// maximum output, in pieces of pieceTokens tokens. It returns 0 if pieceTokens is
// not positive.
func (r *Request) Pieces(pieceTokens int) int {
	if pieceTokens <= 0 {
		return 0
	}
	total := r.PromptTokens + r.MaxOutputTokens
	return (total + pieceTokens - 1) / pieceTokens
}
