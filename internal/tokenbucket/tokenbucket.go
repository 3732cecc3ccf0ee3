// Package tokenbucket implements a token bucket whose rate and size may change. The caller
// passes in the time.
package tokenbucket

import "time"

// Bucket is a token bucket. The zero value is a bucket that has not been filled yet.
type Bucket struct {
	// Tokens is the number of tokens available. It is negative if more tokens were taken
	// than were available.
	Tokens   float64
	rate     float64
	filledAt time.Time
}

// Fill adds the tokens accrued since the last call, up to the given bucket size. The
// elapsed time counts at the lower of the previous and the new rate, because the rate may
// have fallen at any time in between. The first call sets the number of tokens to start.
func (b *Bucket) Fill(now time.Time, rate, size, start float64) {
	if b.filledAt.IsZero() {
		b.Tokens = start
	} else {
		elapsed := max(now.Sub(b.filledAt).Seconds(), 0)
		b.Tokens += elapsed * min(b.rate, rate)
	}
	b.Tokens = min(b.Tokens, size)
	b.rate = rate
	b.filledAt = now
}

// Filled reports whether Fill was called before.
func (b *Bucket) Filled() bool { return !b.filledAt.IsZero() }

// FilledAt returns the time of the last call to Fill.
func (b *Bucket) FilledAt() time.Time { return b.filledAt }
