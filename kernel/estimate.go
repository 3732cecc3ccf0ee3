package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
)

// The functions in this file predict wait and execution times on an upstream
// from the rates declared in the bundle, the upstream's newest load report and
// this instance's own requests in flight.

// QueuedPrefillTokens returns the number of prompt tokens that u must compute
// before a new prefill starts: the queue in the last load report less the tokens
// computed since then, but at least the tokens that this instance itself has in
// flight on u.
func QueuedPrefillTokens(u *Upstream, now time.Time) float64 {
	reported := float64(u.Load.QueuedTokens)
	if age := now.Sub(u.Load.At); age > 0 {
		reported -= age.Seconds() * u.Spec.PrefillTokensPerSecond
	}
	return max(reported, float64(u.LocalLoad.Tokens), 0)
}

// PrefillWait returns the expected time before a new prefill on u starts.
func PrefillWait(u *Upstream, now time.Time) time.Duration {
	return tokensTime(u, QueuedPrefillTokens(u, now))
}

// PrefillTime returns the time to compute the given number of uncached tokens on
// u, 0 if the bundle declares no rate for u.
func PrefillTime(u *Upstream, tokens int) time.Duration {
	return tokensTime(u, float64(tokens))
}

func tokensTime(u *Upstream, tokens float64) time.Duration {
	rate := u.Spec.PrefillTokensPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(tokens / rate * float64(time.Second))
}

// TransferTime returns the time to move the KV cache of the given number of
// tokens between two engines when nothing else uses their links. The slower of
// the two links counts. It returns 0 if neither declares a rate.
func TransferTime(m *config.Model, tokens int, from, to *Upstream) time.Duration {
	rate := from.Spec.LinkBytesPerSecond
	if to.Spec.LinkBytesPerSecond > 0 && (rate <= 0 || to.Spec.LinkBytesPerSecond < rate) {
		rate = to.Spec.LinkBytesPerSecond
	}
	if rate <= 0 || m == nil {
		return 0
	}
	bytes := float64(m.KVBytesPerToken) * float64(tokens)
	return time.Duration(bytes / rate * float64(time.Second))
}

// DecodePace returns the time between output tokens on u when it runs the given
// number of requests at once.
func DecodePace(u *Upstream, running int) time.Duration {
	further := max(running-1, 0)
	return u.Spec.DecodeStep + time.Duration(further)*u.Spec.DecodeStepPerRequest
}

// UncachedTokens returns the number of prompt tokens that u would have to
// compute because they are not in its prefix cache.
func UncachedTokens(d *Decision, u *Upstream) int {
	if d.Prefix == nil || d.Model == nil {
		return d.PromptTokens
	}
	cached := d.Prefix.CachedBlocks(u, d.Request.Blocks) * d.Model.PieceTokens
	return max(d.PromptTokens-cached, 1)
}
