package intake

import (
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/tokens"
)

// defaultOutputTokens is used if neither the request nor its kind limits the
// output.
const defaultOutputTokens = 256

// Model returns the kernel's and the engine adapter's representation of a request
// to a model.
func (c *Catalog) Model(h Headers, endpoint adapter.Endpoint, b *ModelBody, now time.Time) (*kernel.Request, *adapter.ModelRequest, *api.Problem) {
	kind, problem := c.kind(h.Kind, config.RouteModel)
	if problem != nil {
		return nil, nil, problem
	}
	r := newRequest(h, kind, now)
	r.Model = b.Model
	r.PromptTokens = max(tokens.Count(b.Prompt), 1)
	r.MaxOutputTokens = outputTokens(b, kind)
	// Engines ignore idempotency keys.
	if m := c.models[b.Model]; m != nil {
		r.Blocks = blocks(b.Prompt, m.PieceTokens)
	}
	return r, &adapter.ModelRequest{
		Endpoint:  endpoint,
		Model:     b.Model,
		MaxTokens: r.MaxOutputTokens,
		Priority:  kind.Priority,
		Fields:    b.Fields,
	}, nil
}

// Service returns the kernel's representation of a call to a plain service.
func (c *Catalog) Service(h Headers, service string, now time.Time) (*kernel.Request, *api.Problem) {
	kind, problem := c.kind(h.Kind, config.RouteService)
	if problem != nil {
		return nil, problem
	}
	r := newRequest(h, kind, now)
	r.Service = service
	r.Deduplicated = h.IdempotencyKey != "" && c.deduplicates[service]
	return r, nil
}

// newRequest returns a request with the fields that both routes have in common.
func newRequest(h Headers, kind *config.Kind, now time.Time) *kernel.Request {
	r := &kernel.Request{
		ID:         h.RequestID,
		Workspace:  h.Workspace,
		Kind:       kind.Name,
		Route:      kind.Route,
		Repeatable: kind.Repeatable,
		Arrived:    now,
		Pace:       kind.Pace,
		Deadline:   now.Add(deadline(h, kind)),
		Priority:   kind.Priority,
	}
	if h.Repeatable != nil {
		r.Repeatable = *h.Repeatable
	}
	if kind.FirstOutput > 0 {
		r.FirstOutputBy = now.Add(kind.FirstOutput)
	} else {
		r.FirstOutputBy = r.Deadline
	}
	return r
}

// deadline returns how long the caller waits for the answer.
func deadline(h Headers, kind *config.Kind) time.Duration {
	switch {
	case h.Deadline > 0:
		return h.Deadline
	case kind.Deadline > 0:
		return kind.Deadline
	default:
		return api.DefaultDeadline
	}
}

// outputTokens returns the maximum length of the output, in tokens.
func outputTokens(b *ModelBody, kind *config.Kind) int {
	switch {
	case b.MaxTokens > 0:
		return b.MaxTokens
	case kind.DefaultOutputTokens > 0:
		return kind.DefaultOutputTokens
	default:
		return defaultOutputTokens
	}
}

// blocks returns the chained hashes of the prompt's complete blocks, each of
// pieceTokens tokens.
func blocks(prompt string, pieceTokens int) []uint64 {
	hashes := tokens.BlockHashes(prompt, pieceTokens)
	out := make([]uint64, len(hashes))
	for i, h := range hashes {
		out[i] = uint64(h)
	}
	return out
}
