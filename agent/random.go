package agent

import (
	"math/rand/v2"
	"time"
)

// random generates jitter. Only the loop uses it.
type random struct{ source *rand.Rand }

// newRandom returns a generator with the given seed, or with a random seed if it
// is 0.
func newRandom(seed uint64) random {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return random{source: rand.New(rand.NewPCG(seed, seed))}
}

// N returns a random duration from 0 up to d.
func (r random) N(d time.Duration) time.Duration {
	return time.Duration(r.source.Int64N(int64(max(d, 1))))
}

// choose returns a random number from 0 to n-1.
func (r random) choose(n int) int { return r.source.IntN(n) }

// jittered returns a random duration between d and 2d.
func (r random) jittered(d time.Duration) time.Duration { return d + r.N(d) }
