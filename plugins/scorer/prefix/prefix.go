// Package prefix assigns each prompt prefix a home among the prefill engines by
// rendezvous hashing. Instances therefore send equal prefixes to the same engine
// without exchanging messages, and a prefix is computed only once.
//
// scorer.first_output accounts for the time that a cached prefix saves for the
// current request. This scorer accounts for the later cost of one more copy: the
// engine memory that it takes from other prefixes and the computation of the
// copy itself.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

const (
	// keyBlocks is the number of leading blocks that determine the home. With
	// more blocks, prompts that share a long prefix would be spread over
	// several engines.
	keyBlocks = 2
	// homeValue is the value of placing a request at the home, as a fraction of the
	// time to compute the key blocks. It is below 1 so that waiting in the
	// home's queue never costs more than computing the prefix elsewhere.
	homeValue = 0.5
)

// Scorer implements kernel.Scorer. Only prefill placements have a cost.
type Scorer struct {
	kernel.ZeroCost
	// hashes caches the hash of each upstream's ID; 0 means not computed yet.
	hashes       table.Table[uint64]
	engineCounts engineCounter
}

// Prefill implements kernel.Scorer. The cost, in seconds, is 0 if u has the
// prefix in its cache. Otherwise it grows with the number of engines that are
// expected to rank before u as the prefix's home.
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
	value := homeValue * float64(keyed*d.Model.PieceTokens) / rate
	return value * before / (before + 1)
}

// expectedBefore returns the expected number of engines whose rendezvous hash
// for the key is higher than that of u. It orders the engines in the same way as
// their exact ranks, without sorting them.
func (s *Scorer) expectedBefore(d *kernel.Decision, u *kernel.Upstream, key uint64) float64 {
	h := s.hashes.At(u)
	if *h == 0 {
		*h = xxhash.Sum64String(string(u.ID)) | 1
	}
	others := float64(s.engineCounts.prefillEngines(d) - 1)
	return max(others, 0) * (1 - toUnitInterval(mix(*h^key)))
}

// mix is the finalizer of SplitMix64, a hash function for integers.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// toUnitInterval maps x uniformly to [0, 1).
func toUnitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }
