package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"
)

// names draws distinct member names.
func names(t *rapid.T) []string {
	return rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 20, rapid.ID[string]).Draw(t, "members")
}

func TestTopDependsOnNeitherOrderNorDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names(t)
		key := rapid.String().Draw(t, "key")
		k := rapid.IntRange(0, 25).Draw(t, "k")
		want := Top(key, members, k)
		assert.Equal(t, len(want), min(k, len(members)))
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		assert.DeepEqual(t, Top(key, append(shuffled, members...), k), want)
	})
}

func TestTopMovesOnlyWhatTheGoneMemberHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names(t)
		key := rapid.String().Draw(t, "key")
		k := rapid.IntRange(1, 5).Draw(t, "k")
		gone := rapid.SampledFrom(members).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == gone })
		before, after := Top(key, members, k), Top(key, rest, k)
		kept := slices.DeleteFunc(before, func(m string) bool { return m == gone })
		assert.Assert(t, slices.Equal(after[:len(kept)], kept), "before %v, after %v", before, after)
	})
}

// TestContainsIsInTop checks that Contains, which counts, chooses the same
// members as Top, which sorts, also if members are listed twice.
func TestContainsIsInTop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names(t)
		members = append(members, rapid.SliceOf(rapid.SampledFrom(members)).Draw(t, "again")...)
		key := rapid.String().Draw(t, "key")
		k := rapid.IntRange(0, 25).Draw(t, "k")
		self := rapid.SampledFrom(append([]string{"stranger"}, members...)).Draw(t, "self")
		assert.Equal(t, Contains(key, members, k, self), slices.Contains(Top(key, members, k), self))
	})
}

func TestTopSpreadsKeys(t *testing.T) {
	members := make([]string, 10)
	for i := range members {
		members[i] = fmt.Sprintf("entry-%d", i)
	}
	held := map[string]int{}
	const keys = 10000
	for i := range keys {
		for _, m := range Top(fmt.Sprintf("upstream-%d", i), members, 2) {
			held[m]++
		}
	}
	for m, n := range held {
		// An even distribution gives 2,000; the bounds are five standard
		// deviations (of 40) away from it.
		assert.Assert(t, n > 1800 && n < 2200, "member %s was chosen for %d keys, want 1801 to 2199", m, n)
	}
}
