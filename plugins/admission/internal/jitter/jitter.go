// Package jitter spreads the times at which refused callers retry, so that they
// do not all retry at once.
package jitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// maxFraction is the largest fraction by which a time is extended.
const maxFraction = 0.5

// Prolong returns wait extended by up to half. The extension is uniformly
// distributed over requests and always the same for one request ID.
func Prolong(wait time.Duration, id ident.RequestID) time.Duration {
	return wait + time.Duration(maxFraction*unit(id)*float64(wait))
}

// unit maps a request ID to a uniformly distributed number in [0, 1).
func unit(id ident.RequestID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}
