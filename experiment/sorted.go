package experiment

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wardspool/wardspool/ident"
)

// sortedKeys returns a map's keys in order, for loops whose effects must not
// depend on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// sortedAttempts returns a map's keys ordered by instance, incarnation and
// sequence.
func sortedAttempts(m map[ident.AttemptID]*attempt) []ident.AttemptID {
	return slices.SortedFunc(maps.Keys(m), func(a, b ident.AttemptID) int {
		return cmp.Or(
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Sequence, b.Sequence),
		)
	})
}
