// Package perf is the performance model of a stand-in model engine: the duration and memory
// use of prefill, KV transfer and decode steps. It does no I/O and reads no clock, so that
// experiments in virtual time can use the same model as the stand-in processes.
package perf

import "time"

// Params are the performance parameters of one engine.
type Params struct {
	// Slots is the number of requests that a decode engine can hold at once.
	Slots int `json:"slots"`
	// Pieces is the size of the KV memory for requests, in pieces.
	Pieces int `json:"pieces"`
	// PieceTokens is the size of a piece, in tokens.
	PieceTokens int `json:"piece_tokens"`
	// PrefillTokensPerSecond is the rate at which prompt tokens are computed.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// PrefillChunk bounds the number of prompt tokens computed in one step, so that a
	// prefill on a decode engine delays its streams only briefly.
	PrefillChunk int `json:"prefill_chunk"`
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// LinkBytesPerSecond is the rate of the engine's outgoing KV link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	// DecodeStep is the duration of a decode step for one request.
	DecodeStep time.Duration `json:"decode_step_ns"`
	// DecodeStepPerRequest is added to a decode step for each additional request in
	// the batch.
	DecodeStepPerRequest time.Duration `json:"decode_step_per_request_ns"`
	// KVLifetime is how long a prefill result is kept for transfer to its decode engine.
	KVLifetime time.Duration `json:"kv_lifetime_ns"`
	// CachePieces is the capacity of the prefix cache, in pieces. It is not part of
	// Pieces.
	CachePieces int `json:"cache_pieces"`
}

// Defaults returns the parameters of a typical engine: 20 slots, and a prefill of one piece
// that takes about as long as seven decode steps.
func Defaults() Params {
	return Params{
		Slots:                  20,
		Pieces:                 200,
		PieceTokens:            2000,
		PrefillTokensPerSecond: 10_000,
		PrefillChunk:           500,
		KVBytesPerToken:        128 << 10,
		LinkBytesPerSecond:     5e9,
		DecodeStep:             25 * time.Millisecond,
		DecodeStepPerRequest:   500 * time.Microsecond,
		KVLifetime:             900 * time.Millisecond,
		CachePieces:            100,
	}
}

// PrefillDuration returns how long an idle engine takes to compute the given number of
// prompt tokens that are not in its prefix cache.
func (p Params) PrefillDuration(uncached int) time.Duration {
	return seconds(float64(uncached) / p.PrefillTokensPerSecond)
}

// TransferBytes returns the size of the KV cache of the given number of tokens.
func (p Params) TransferBytes(tokens int) int64 {
	return int64(tokens) * p.KVBytesPerToken
}

// TransferDuration returns how long it takes to transfer the KV cache of the given number of
// tokens over a link that is shared equally. sharing is the number of transfers in flight,
// including this one; values below 1 count as 1.
func (p Params) TransferDuration(tokens, sharing int) time.Duration {
	rate := p.LinkBytesPerSecond / float64(max(sharing, 1))
	return seconds(float64(p.TransferBytes(tokens)) / rate)
}

// StepTime returns the duration of one decode step for a batch of the given number of
// requests, 0 for an empty batch.
func (p Params) StepTime(batch int) time.Duration {
	if batch <= 0 {
		return 0
	}
	return p.DecodeStep + time.Duration(batch-1)*p.DecodeStepPerRequest
}

// PiecesFor returns the number of pieces needed to hold the given number of tokens.
func (p Params) PiecesFor(tokens int) int {
	return (tokens + p.PieceTokens - 1) / p.PieceTokens
}

// Uncached returns how many tokens of a prompt must be computed if the given number of
// leading blocks is cached. It is at least 1: the last token is always computed, because the
// next token is predicted from it.
func (p Params) Uncached(promptTokens, cachedBlocks int) int {
	return max(promptTokens-cachedBlocks*p.PieceTokens, 1)
}

// seconds converts seconds to a duration, rounded to the nearest nanosecond.
func seconds(s float64) time.Duration {
	return time.Duration(s*float64(time.Second) + 0.5)
}
