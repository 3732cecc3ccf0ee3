package slotkit

import "github.com/wardspool/wardspool/kernel"

// Slots returns how many requests u runs at once: what the bundle declares, or
// else what the engine reports; 0 if neither is known.
func Slots(u *kernel.Upstream) int {
	if u.Spec.Slots > 0 {
		return u.Spec.Slots
	}
	return u.Load.Slots
}

// Pieces returns u's KV memory in pieces, found like Slots. 0 means that memory
// is not counted.
func Pieces(u *kernel.Upstream) int {
	if u.Spec.Pieces > 0 {
		return u.Spec.Pieces
	}
	return u.Load.PiecesTotal
}

// Usable reports whether new work may go to u.
func Usable(u *kernel.Upstream) bool {
	return u != nil && u.Life != kernel.Leaving && u.Life != kernel.Dead
}
