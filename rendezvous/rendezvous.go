// Package rendezvous chooses members for a key by rendezvous hashing (highest
// random weight). Every process that knows the same members makes the same
// choice, and when a member goes only the keys that it held move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the k members with the highest weight for the key, the highest
// first. It returns all members, in that order, if there are no more than k.
// members is not changed; duplicates count once.
func Top[M ~string](key string, members []M, k int) []M {
	if k <= 0 || len(members) == 0 {
		return nil
	}
	ranked := make([]ranking[M], len(members))
	seed := xxhash.Sum64String(key)
	for i, m := range members {
		ranked[i] = ranking[M]{member: m, weight: weigh(seed, string(m))}
	}
	slices.SortFunc(ranked, ranking[M].compare)
	ranked = slices.Compact(ranked)
	top := make([]M, min(k, len(ranked)))
	for i := range top {
		top[i] = ranked[i].member
	}
	return top
}

// Contains reports whether self is among the k members chosen for the key: those
// with less than k others before them. It neither sorts nor allocates.
func Contains[M ~string](key string, members []M, k int, self M) bool {
	seed := xxhash.Sum64String(key)
	own := ranking[M]{member: self, weight: weigh(seed, string(self))}
	member, before := false, 0
	for i, m := range members {
		member = member || m == self
		r := ranking[M]{member: m, weight: weigh(seed, string(m))}
		// A member that is listed twice counts once.
		if r.compare(own) < 0 && !slices.Contains(members[:i], m) {
			before++
		}
		if before >= k {
			return false
		}
	}
	return member && k > 0
}

// ranking is a member and its weight for one key.
type ranking[M ~string] struct {
	member M
	weight uint64
}

// compare orders by falling weight; equal weights by name.
func (r ranking[M]) compare(o ranking[M]) int {
	if c := cmp.Compare(o.weight, r.weight); c != 0 {
		return c
	}
	return cmp.Compare(r.member, o.member)
}

// weigh mixes the key's hash with the member's. The mixing step is the finalizer
// of MurmurHash3: a plain exclusive or would rank members alike for many keys.
func weigh(seed uint64, member string) uint64 {
	x := seed ^ xxhash.Sum64String(member)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
