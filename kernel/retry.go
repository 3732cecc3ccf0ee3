package kernel

import "time"

// retryBudget limits retries to a share of the arriving requests, so that
// failures do not multiply the load. It is a token bucket: each arrival adds the
// share, each retry takes one token.
type retryBudget struct {
	tokens float64
	// filled is set once the bucket has got its initial content.
	filled bool
}

const (
	// maxRetryTokens is the capacity of the bucket.
	maxRetryTokens = 20.0
	// retryTokensAtStart is the initial content of the bucket, so that the first
	// failures after a start can be retried.
	retryTokensAtStart = 5.0
	// defaultRetryShare is used if the bundle sets no retry budget.
	defaultRetryShare = 0.1
	// defaultMaxAttempts is used if the bundle sets no maximum.
	defaultMaxAttempts = 4
	// defaultRetryBackoff is used if the bundle sets no backoff.
	defaultRetryBackoff = 50 * time.Millisecond
	// maxBackoffDoublings limits the exponential backoff.
	maxBackoffDoublings = 6
)

// arrived adds the share for an arriving request, and before the first one the
// initial content.
func (b *retryBudget) arrived(share float64) {
	if !b.filled {
		b.tokens, b.filled = retryTokensAtStart, true
	}
	b.tokens = min(b.tokens+share, maxRetryTokens)
}

// take takes a token for a retry and reports whether there was one.
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

// backoff returns the wait before the n-th repetition, n being at least 1: it
// doubles with n and is chosen at random from its upper half.
func (k *Kernel) backoff(n int) time.Duration {
	base := defaultRetryBackoff
	if c := k.catalog.content; c != nil && c.Policy.RetryBackoff > 0 {
		base = c.Policy.RetryBackoff
	}
	limit := base << min(n-1, maxBackoffDoublings)
	return limit/2 + time.Duration(k.rand.Int64N(int64(limit/2)+1))
}
