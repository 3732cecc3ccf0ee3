package slotkit

import "github.com/wardspool/wardspool/kernel"

// Slots returns how many requests u runs at once, as declared in the bundle or
// otherwise as reported by the engine. It returns 0 if neither is known.
func Slots(u *kernel.Upstream) int {
	if u.Spec.Slots > 0 {
		return u.Spec.Slots
	}
	return u.Load.Slots
}

// Pieces returns the size of u's KV memory in pieces, as declared in the bundle
// or otherwise as reported by the engine. It returns 0 if neither is known;
// memory is then not limited.
func Pieces(u *kernel.Upstream) int {
	if u.Spec.Pieces > 0 {
		return u.Spec.Pieces
	}
	return u.Load.PiecesTotal
}

// Usable reports whether new work may be sent to u. It returns false if u is
// nil.
func Usable(u *kernel.Upstream) bool {
	return u != nil && u.Liveness != kernel.Leaving && u.Liveness != kernel.Dead
}
