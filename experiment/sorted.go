package experiment

import (
	"cmp"
	"slices"

	"github.com/wardspool/wardspool/ident"
)

// sortedKeys lists a map's keys in order, for loops whose effects must not
// depend on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// sortedAttempts lists a map's keys by instance, incarnation and sequence.
func sortedAttempts(m map[ident.AttemptID]*attempt) []ident.AttemptID {
	keys := make([]ident.AttemptID, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b ident.AttemptID) int {
		return cmp.Or(
			cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Sequence, b.Sequence),
		)
	})
	return keys
}
