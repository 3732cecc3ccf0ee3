// Package rendezvous chooses members for a key by rendezvous hashing (highest
// random weight). All processes that know the same members make the same choice,
// and when a member is removed, only the keys assigned to it move.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the k members with the highest weights for the key, highest first.
// If there are at most k members, it returns all of them in that order. It does
// not change members; duplicates in it count once.
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

// Contains reports whether self is among the k members that Top returns for the
// key. Instead of sorting, it counts the members that rank before self, and it
// does not allocate.
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

// compare orders rankings by descending weight, and by name if the weights are
// equal.
func (r ranking[M]) compare(o ranking[M]) int {
	if c := cmp.Compare(o.weight, r.weight); c != 0 {
		return c
	}
	return cmp.Compare(r.member, o.member)
}

// weigh combines the hash of the key with that of the member. The result is
// mixed with the finalizer of MurmurHash3, because a plain XOR would rank the
// members in the same order for many keys.
func weigh(seed uint64, member string) uint64 {
	x := seed ^ xxhash.Sum64String(member)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
