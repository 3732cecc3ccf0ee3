package schedule

import (
	"github.com/wardspool/wardspool/gateway/routing"
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
	return computing/(selfSpeed*r.prefill)+event <= size.MaxPause.Seconds()
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
