// Package prefix gives each prompt prefix a home among the prefill engines, so
// that instances which exchange no messages send equal prefixes to the same
// engine and it is computed once.
//
// What a cached prefix saves now is counted by scorer.first_output; this scorer
// counts what a further copy costs later: engine memory taken from other
// prefixes, and the copy's own computation.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

const (
	// keyBlocks is how many leading blocks choose the home. More would scatter
	// prompts that share a long beginning.
	keyBlocks = 2
	// worth is the value of the home, as a share of the time to compute the key
	// blocks. Below 1, so that queueing for the home never costs more than
	// computing the prefix elsewhere.
	worth = 0.5
)

// Scorer implements kernel.Scorer.
type Scorer struct {
	kernel.NoCost
	hashes table.Table[uint64]
	count  counter
}

// Prefill implements kernel.Scorer: nothing where the prefix is cached already,
// else the more the further u is from being the prefix's home.
func (s *Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	blocks := d.Request.Blocks
	rate := u.Spec.PrefillTokensPerSecond
	if len(blocks) == 0 || d.Model == nil || rate <= 0 {
		return 0
	}
	keyed := min(len(blocks), keyBlocks)
	if d.Prefix != nil && d.Prefix.CachedBlocks(u, blocks) >= keyed {
		return 0
	}
	before := s.expectedBefore(d, u, blocks[keyed-1])
	value := worth * float64(keyed*d.Model.PieceTokens) / rate
	return value * before / (before + 1)
}

// expectedBefore is how many engines are expected to have a higher rendezvous
// hash than u. It orders the engines as exact ranks would, without sorting.
func (s *Scorer) expectedBefore(d *kernel.Decision, u *kernel.Upstream, key uint64) float64 {
	h := s.hashes.At(u)
	if *h == 0 {
		*h = xxhash.Sum64String(string(u.ID)) | 1
	}
	others := float64(s.count.of(d) - 1)
	return max(others, 0) * (1 - unit(mix(*h^key)))
}

// mix scrambles x; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x evenly to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }
