package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// selfSpeed is the speed at which decode engines compute prompts, as a share of a
// prefill engine's; they do it in between their streams' tokens.
const selfSpeed = 0.5

// compute is what the decode engine has to compute before it can go on.
func (s Size) compute() int {
	switch {
	case s.Copied:
		return 0
	case s.Self:
		return max(0, s.Prompt+s.Produced-s.Kept)
	default:
		return s.Produced
	}
}

// mayCompute reports whether a decode engine may compute what a request needs itself:
// only if its running streams stay within their pace objective, or it has none. More
// than that at once makes all of its streams late. The caller holds mu.
func (b *Books) mayCompute(k *book, e *routing.Engine, size Size) bool {
	if size.compute() == 0 || size.MaxPause <= 0 || k.requests+k.peerRequests == 0 {
		return true
	}
	r := b.rateOf(k.up.Service)
	event := r.tokenTime * float64(e.Stride)
	computing := float64(k.tokens + k.peerTokens + size.compute())
	return computing/(selfSpeed*r.prefill.rate())+event <= size.MaxPause.Seconds()
}

// OverflowTime is how long a decode engine takes for a prompt; false if none falls to this
// instance while prefill engines are busy.
func (b *Books) OverflowTime(service string, tokens int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.overflow) == 0 {
		return 0, false
	}
	return time.Duration(float64(b.rateOf(service).prefill.time(tokens)) / selfSpeed), true
}

// SetOverflow says at which decode engines this instance may have prompts computed while
// prefill engines are busy. Each falls to one instance: a prompt takes 200 ms there, and
// what peers do is known after 300, so that two would meet at one engine and pause its
// streams for longer than their pace objective.
func (b *Books) SetOverflow(engines map[ident.UpstreamID]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overflow = engines
}

// Computed takes in that a decode engine is done with a prompt that it computed
// itself.
func (b *Books) Computed(t Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.books[t.Upstream.ID]
	if k == nil || k.computing[t.number] == 0 {
		return
	}
	k.tokens -= k.computing[t.number]
	delete(k.computing, t.number)
}
