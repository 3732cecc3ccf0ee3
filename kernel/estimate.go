package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
)

// The functions here predict an upstream's times from the bundle's rates, its
// newest load report and this instance's own requests in flight.

// QueuedPrefillTokens is the prompt work ahead of a new prefill on u, in
// tokens: the reported queue less what was computed since the report, and
// never less than this instance's own share of it.
func QueuedPrefillTokens(u *Upstream, now time.Time) float64 {
	reported := float64(u.Load.QueuedTokens)
	if age := now.Sub(u.Load.At); age > 0 {
		reported -= age.Seconds() * u.Spec.PrefillTokensPerSecond
	}
	return max(reported, float64(u.Own.Tokens), 0)
}

// PrefillWait is the expected time before a new prefill on u starts.
func PrefillWait(u *Upstream, now time.Time) time.Duration {
	return tokensTime(u, QueuedPrefillTokens(u, now))
}

// PrefillTime is the time to compute the given number of uncached tokens on u.
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

// TransferTime is the time to move a prompt's KV cache from one engine to the
// other when nothing else uses their links.
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

// DecodePace is the time between output tokens on u when it runs the given
// number of requests.
func DecodePace(u *Upstream, running int) time.Duration {
	further := max(running-1, 0)
	return u.Spec.DecodeStep + time.Duration(further)*u.Spec.DecodeStepPerRequest
}

// UncachedTokens is how much of the decision's prompt u would have to compute.
func UncachedTokens(d *Decision, u *Upstream) int {
	if d.Prefix == nil || d.Model == nil {
		return d.PromptTokens
	}
	cached := d.Prefix.CachedBlocks(u, d.Request.Blocks) * d.Model.PieceTokens
	return max(d.PromptTokens-cached, 1)
}
