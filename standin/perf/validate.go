package perf

import "fmt"

// ParamError reports a parameter with an invalid value.
type ParamError struct {
	// Name is the JSON name of the parameter.
	Name string
	// Value is the invalid value.
	Value float64
}

// Error implements error.
func (e *ParamError) Error() string {
	return fmt.Sprintf("performance model: %s can't be %g", e.Name, e.Value)
}

// Validate returns a *ParamError for the first parameter that must be positive but is not,
// or that must not be negative but is.
func (p Params) Validate() error {
	positive := []ParamError{
		{"slots", float64(p.Slots)},
		{"pieces", float64(p.Pieces)},
		{"piece_tokens", float64(p.PieceTokens)},
		{"prefill_tokens_per_second", p.PrefillTokensPerSecond},
		{"prefill_chunk", float64(p.PrefillChunk)},
		{"link_bytes_per_second", p.LinkBytesPerSecond},
		{"decode_step_ns", float64(p.DecodeStep)},
	}
	for _, e := range positive {
		if !(e.Value > 0) {
			return &e
		}
	}
	notNegative := []ParamError{
		{"kv_bytes_per_token", float64(p.KVBytesPerToken)},
		{"decode_step_per_request_ns", float64(p.DecodeStepPerRequest)},
		{"kv_lifetime_ns", float64(p.KVLifetime)},
		{"cache_pieces", float64(p.CachePieces)},
	}
	for _, e := range notNegative {
		if e.Value < 0 {
			return &e
		}
	}
	return nil
}
