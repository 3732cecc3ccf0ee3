package kernel

import "time"

// retryBudget bounds retries to a share of the requests that arrive, so that
// failures do not multiply the load.
type retryBudget struct {
	tokens float64
}

const (
	// maxRetryTokens bounds what can be saved up.
	maxRetryTokens = 20.0
	// retryTokensAtStart lets the first failures after a start be retried.
	retryTokensAtStart = 5.0
	// defaultRetryShare is used where the bundle sets no budget.
	defaultRetryShare = 0.1
	// defaultMaxAttempts is used where the bundle sets no bound.
	defaultMaxAttempts = 4
	// defaultRetryBackoff is used where the bundle sets none.
	defaultRetryBackoff = 50 * time.Millisecond
	// maxBackoffDoublings bounds the exponential backoff.
	maxBackoffDoublings = 6
)

func (b *retryBudget) arrived(share float64) {
	if b.tokens == 0 {
		b.tokens = retryTokensAtStart
	}
	b.tokens = min(b.tokens+share, maxRetryTokens)
}

// take reports whether a retry may be made, and counts it.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (k *Kernel) retryBudgetShare() float64 {
	if c := k.catalog.content; c != nil && c.Policy.RetryBudget > 0 {
		return c.Policy.RetryBudget
	}
	return defaultRetryShare
}

func (k *Kernel) maxAttempts() int {
	if c := k.catalog.content; c != nil && c.Policy.MaxAttempts > 0 {
		return c.Policy.MaxAttempts
	}
	return defaultMaxAttempts
}

// backoff is the jittered wait before try number n (from 1).
func (k *Kernel) backoff(n int) time.Duration {
	base := defaultRetryBackoff
	if c := k.catalog.content; c != nil && c.Policy.RetryBackoff > 0 {
		base = c.Policy.RetryBackoff
	}
	limit := base << min(n-1, maxBackoffDoublings)
	return limit/2 + time.Duration(k.rand.Int64N(int64(limit/2)+1))
}
