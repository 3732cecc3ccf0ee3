// Package zone rates a placement by the availability-zone borders it crosses.
package zone

import (
	"github.com/wardspool/wardspool/kernel"
)

// crossing is the cost of one crossing, in seconds: the time one way.
const crossing = 0.0015

// Scorer implements kernel.Scorer.
type Scorer struct{}

// Prefill implements kernel.Scorer.
func (*Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	return cost(d, u)
}

// Decode implements kernel.Scorer.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	return cost(d, u)
}

// Pair implements kernel.Scorer.
func (*Scorer) Pair(_ *kernel.Decision, prefill, decode *kernel.Upstream) float64 {
	if prefill.Zone == decode.Zone {
		return 0
	}
	return 2 * crossing
}

// cost is that of a request and its answer between here and u.
func cost(d *kernel.Decision, u *kernel.Upstream) float64 {
	if u.Zone == d.Self.Zone {
		return 0
	}
	return 2 * crossing
}
