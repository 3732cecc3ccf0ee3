// Package zone rates a placement by the availability-zone borders it crosses,
// so that a border is crossed only when that pays.
package zone

import (
	"time"

	"github.com/wardspool/wardspool/kernel"
)

const (
	// oneWay is the time across a border, one way. Deployments have 0.5 to
	// 1.5 ms; the larger value leans towards the own zone.
	oneWay = 1500 * time.Microsecond
	// cutRisk is the cost of depending on a border that may be cut while the
	// request runs.
	cutRisk = 2 * time.Millisecond
	// crossing is the cost of one border, there and back, in seconds.
	crossing = float64(2*oneWay+cutRisk) / float64(time.Second)
)

// Scorer implements kernel.Scorer. All of an engine's transfers run over its
// one link whether or not they cross a border, so that a crossing costs no more
// link time; scorer.first_output counts the links.
type Scorer struct{}

// Prefill implements kernel.Scorer.
func (*Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	return between(d.Self.Zone == u.Zone)
}

// Decode implements kernel.Scorer.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	return between(d.Self.Zone == u.Zone)
}

// Pair implements kernel.Scorer.
func (*Scorer) Pair(_ *kernel.Decision, prefill, decode *kernel.Upstream) float64 {
	return between(prefill.Zone == decode.Zone)
}

// between is the cost between two places.
func between(same bool) float64 {
	if same {
		return 0
	}
	return crossing
}
