package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// decodePrefillSpeed is the throughput of decode engines when they compute prompts, relative to
// that of a prefill engine. They compute prompts between the output tokens of their streams.
const decodePrefillSpeed = 0.5

// tokensToCompute returns the number of tokens that the decode engine has to compute before it
// can continue the output.
func (s Size) tokensToCompute() int {
	switch {
	case s.KVCopied:
		return 0
	case s.ComputePrompt:
		return max(0, s.Prompt+s.Produced-s.CachedTokens)
	default:
		return s.Produced
	}
}

// mayCompute reports whether a decode engine may compute the tokens that a request needs: if
// its running streams are then not paused for longer than size.MaxPause, if there is no such
// limit, or if the engine has no requests. A longer computation would delay all of the engine's
// streams. tokenTime is the engine's time per token in seconds. The caller holds mu.
func (b *Scheduler) mayCompute(rec *upstreamRecord, e *routing.Engine, size Size, tokenTime float64) bool {
	if size.tokensToCompute() == 0 || size.MaxPause <= 0 || rec.requests+rec.peerRequests == 0 {
		return true
	}
	r := b.performanceOf(rec.up.Service)
	event := tokenTime * float64(e.TokensPerEvent)
	computing := float64(rec.tokens + rec.peerTokens + size.tokensToCompute())
	return computing/(decodePrefillSpeed*r.prefill.throughput())+event <= size.MaxPause.Seconds()
}

// OverflowTime returns how long a decode engine takes to compute a prompt. It reports false if
// this instance may not use any decode engine for prompts while prefill engines are busy.
func (b *Scheduler) OverflowTime(service string, tokens int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.overflow) == 0 {
		return 0, false
	}
	return time.Duration(float64(b.performanceOf(service).prefill.time(tokens)) / decodePrefillSpeed), true
}

// SetOverflow sets the decode engines on which this instance may have prompts computed while
// prefill engines are busy. Each engine is assigned to one instance only. A prompt takes 200 ms
// there, but the load of peers is known only after 300 ms, so that two instances could choose
// the same engine and pause its streams for longer than their limit.
func (b *Scheduler) SetOverflow(engines map[ident.UpstreamID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overflow = engines
}

// RecordPromptComputed records that a decode engine has finished computing a prompt itself.
func (b *Scheduler) RecordPromptComputed(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.records[t.Upstream.ID]
	if rec == nil || rec.computeTokens[t.number] == 0 {
		return
	}
	rec.tokens -= rec.computeTokens[t.number]
	delete(rec.computeTokens, t.number)
}
