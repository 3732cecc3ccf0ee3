// Package tokenbucket implements a token bucket whose rate and size may change. The caller
// passes in the time.
package tokenbucket

import "time"

// Bucket is a token bucket. The zero value is a bucket that has not been filled yet.
type Bucket struct {
	// Tokens is the number of tokens available. It is negative if more tokens were taken
	// than were available.
	Tokens float64
	rate   float64
	at     time.Time
}

// Fill adds the tokens accrued since the last call, up to the bucket's size, most. The
// elapsed time counts at the lower of the previous and the new rate, because the rate may
// have fallen at any time in between. The first call sets the number of tokens to start.
func (b *Bucket) Fill(now time.Time, rate, most, start float64) {
	if b.at.IsZero() {
		b.Tokens = start
	} else {
		passed := max(now.Sub(b.at).Seconds(), 0)
		b.Tokens += passed * min(b.rate, rate)
	}
	b.Tokens = min(b.Tokens, most)
	b.rate = rate
	b.at = now
}

// Filled reports whether Fill was called before.
func (b *Bucket) Filled() bool { return !b.at.IsZero() }

// FilledAt returns the time of the last call to Fill.
func (b *Bucket) FilledAt() time.Time { return b.at }
