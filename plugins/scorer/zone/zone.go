// Package zone scores a placement by the number of availability-zone boundaries
// that it crosses, so that a request leaves its zone only if the gain elsewhere
// is larger than the cost of the crossing.
package zone

import (
	"time"

	"github.com/wardspool/wardspool/kernel"
)

const (
	// oneWayLatency is the one-way network latency between two zones. It is 0.5 to
	// 1.5 ms in deployments; the upper end is used to favour the local zone.
	oneWayLatency = 1500 * time.Microsecond
	// partitionRisk is the cost of the risk that the network between two zones
	// partitions while the request runs.
	partitionRisk = 2 * time.Millisecond
	// crossingCost is the cost, in seconds, of a call to another zone: the round
	// trip and the risk of a partition.
	crossingCost = float64(2*oneWayLatency+partitionRisk) / float64(time.Second)
)

// Scorer implements kernel.Scorer. It adds no cost for link bandwidth: an engine
// has a single link that carries all of its transfers, so a transfer to another
// zone takes no more link time than one inside the zone. scorer.first_output
// accounts for the time on the links.
type Scorer struct{}

// Prefill implements kernel.Scorer. The cost, in seconds, is that of the path
// from this instance to the prefill engine.
func (*Scorer) Prefill(d *kernel.Decision, u *kernel.Upstream) float64 {
	return pathCost(d.Self.Zone == u.Zone)
}

// Decode implements kernel.Scorer. The cost, in seconds, is that of the path
// from this instance to u.
func (*Scorer) Decode(d *kernel.Decision, u *kernel.Upstream) float64 {
	return pathCost(d.Self.Zone == u.Zone)
}

// Pair implements kernel.Scorer. The cost, in seconds, is that of the path from
// the prefill engine to the decode engine.
func (*Scorer) Pair(_ *kernel.Decision, prefill, decode *kernel.Upstream) float64 {
	return pathCost(prefill.Zone == decode.Zone)
}

// pathCost returns the cost, in seconds, of a path whose ends are in the same
// zone or in different zones.
func pathCost(sameZone bool) float64 {
	if sameZone {
		return 0
	}
	return crossingCost
}
