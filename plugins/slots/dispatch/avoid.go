package dispatch

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
)

// enginesToExclude returns the engines to exclude when a request is placed on
// one of engines. avoid lists the engines that failed the request before,
// prefill and decode engines mixed, with the newest failure last. If excluding
// all of them would leave no engine, the oldest failures are dropped until one
// remains.
func enginesToExclude[E any](avoid []ident.UpstreamID, engines []E, id func(*E) ident.UpstreamID) []ident.UpstreamID {
	if len(engines) == 0 {
		return avoid
	}
	for from := range avoid {
		rest := avoid[from:]
		if anyRemaining(rest, engines, id) {
			return rest
		}
	}
	return nil
}

// anyRemaining reports whether at least one of engines is not in avoid.
func anyRemaining[E any](avoid []ident.UpstreamID, engines []E, id func(*E) ident.UpstreamID) bool {
	for i := range engines {
		if !slices.Contains(avoid, id(&engines[i])) {
			return true
		}
	}
	return false
}
