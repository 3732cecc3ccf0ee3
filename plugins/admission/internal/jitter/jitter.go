// Package jitter spreads the times at which refused callers come back.
package jitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
)

// share is the part by which a time is prolonged at most.
const share = 0.5

// Prolong returns wait prolonged by up to half, evenly over requests and always
// the same for one request.
func Prolong(wait time.Duration, id ident.RequestID) time.Duration {
	return wait + time.Duration(share*unit(id)*float64(wait))
}

// unit maps a request to [0, 1).
func unit(id ident.RequestID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}
