package dispatch

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
)

// leftOut returns the engines that a request is not given to: those that failed
// it, but for the oldest failures where no engine would remain otherwise. avoid
// lists the failures, newest last, of prefill and decode engines alike.
func leftOut[E any](avoid []ident.UpstreamID, engines []E, id func(*E) ident.UpstreamID) []ident.UpstreamID {
	if len(engines) == 0 {
		return avoid
	}
	for from := range avoid {
		rest := avoid[from:]
		if someRemains(rest, engines, id) {
			return rest
		}
	}
	return nil
}

func someRemains[E any](avoid []ident.UpstreamID, engines []E, id func(*E) ident.UpstreamID) bool {
	for i := range engines {
		if !slices.Contains(avoid, id(&engines[i])) {
			return true
		}
	}
	return false
}
