package schedule

import (
	"math"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// Work is the load on a service's engines from all instances.
type Work struct {
	// Prefill is in prompt tokens per second.
	Prefill float64
	// Memory is the KV cache memory in use, in tokens. Streams is the number of concurrent
	// streams.
	Memory  float64
	Streams float64
	// Requests is in requests per second.
	Requests float64
}

// Need is the load on a service's engines and the throughput of one prefill engine.
type Need struct {
	Work
	// Throughputs is the histogram of recent prompts' throughput. PrefillRate is the throughput of
	// an engine derived from it, in prompt tokens per second; 0 while there are too few prompts.
	Throughputs ThroughputHistogram
	PrefillRate float64
}

const (
	// minImprovement is the relative reduction in load of the more loaded stage that justifies
	// stage changes. An engine is out of service for several seconds while it changes.
	minImprovement = 0.12
	// minPeakLoad is the peak load below which no engine changes its stage, since the current
	// assignment suffices.
	minPeakLoad = 0.8
	// usablePrefillShare is the share of the prefill throughput that is planned with. Prompts
	// arrive at random, and one queued behind four others is late.
	usablePrefillShare = 0.9
	// minStageEngines is the minimum number of engines of each stage. With only one, its
	// failure would stop the service.
	minStageEngines = 2
)

// Switch is a recommended change of an engine's stage.
type Switch struct {
	Engine dialect.Upstream
	To     dialect.Stage
	// Before and After are the load of the more loaded stage, now and after all recommended
	// changes.
	Before, After float64
}

// PlanStages returns the stage changes recommended for the engines of a service, if any. It
// finds the division of engines between the stages with the lowest load on the more loaded
// stage at peak demand, and returns the changes that lead to it if they lower that load enough.
// All engines change at once: they come from the stage with spare capacity, and changing them
// one after the other would take too long. busy returns the number of requests at an engine.
func PlanStages(list []dialect.Upstream, e *routing.Engine, n Need, busy func(ident.UpstreamID) int) []Switch {
	prefill, decode := countStage(list, dialect.StagePrefill), countStage(list, dialect.StageDecode)
	before := n.maxLoad(prefill, decode, e)
	best, after := n.bestDivision(prefill+decode, e)
	if before < minPeakLoad || after >= before*(1-minImprovement) {
		return nil
	}
	from, to := dialect.StagePrefill, dialect.StageDecode
	if best > prefill {
		from, to = to, from
	}
	var out []Switch
	for range max(best-prefill, prefill-best) {
		u, ok := leastBusy(list, from, busy)
		if !ok {
			break
		}
		out = append(out, Switch{Engine: u, To: to, Before: before, After: after})
		list = withStage(list, u.ID, to)
	}
	return out
}

// bestDivision returns how many of the given number of engines should prefill, and the load of
// the more loaded stage in that case.
func (n Need) bestDivision(engines int, e *routing.Engine) (prefill int, load float64) {
	load = math.Inf(1)
	for p := minStageEngines; p <= engines-minStageEngines; p++ {
		if w := n.maxLoad(p, engines-p, e); w < load {
			prefill, load = p, w
		}
	}
	return prefill, load
}

// maxLoad returns the load of the more loaded stage with the given numbers of engines, as a
// ratio to the planned capacity.
func (n Need) maxLoad(prefill, decode int, e *routing.Engine) float64 {
	if prefill <= 0 || decode <= 0 {
		return math.Inf(1)
	}
	p := n.Prefill / (float64(prefill) * usablePrefillShare * n.PrefillRate)
	d := n.Memory / (float64(decode) * usableMemoryShare * float64(e.KVTokens))
	if e.Slots > 0 {
		d = math.Max(d, n.Streams/float64(decode*e.Slots))
	}
	return math.Max(p, d)
}

// countStage returns how many engines of a stage accept new requests.
func countStage(list []dialect.Upstream, s dialect.Stage) int {
	n := 0
	for _, u := range list {
		if u.Stage == s && !u.Leaving {
			n++
		}
	}
	return n
}

// leastBusy returns the engine of a stage with the fewest requests, in the zone with the most
// engines of that stage. It reports false if there is none.
func leastBusy(list []dialect.Upstream, from dialect.Stage, busy func(ident.UpstreamID) int) (dialect.Upstream, bool) {
	zones := map[ident.Zone]int{}
	for _, u := range list {
		if u.Stage == from && !u.Leaving {
			zones[u.Zone]++
		}
	}
	var best *dialect.Upstream
	for i := range list {
		u := &list[i]
		if u.Stage != from || u.Leaving {
			continue
		}
		if best == nil || zones[u.Zone] > zones[best.Zone] ||
			zones[u.Zone] == zones[best.Zone] && busy(u.ID) < busy(best.ID) {
			best = u
		}
	}
	if best == nil {
		return dialect.Upstream{}, false
	}
	return *best, true
}

// withStage returns a copy of list in which one engine has another stage.
func withStage(list []dialect.Upstream, id ident.UpstreamID, s dialect.Stage) []dialect.Upstream {
	out := append([]dialect.Upstream(nil), list...)
	for i := range out {
		if out[i].ID == id {
			out[i].Stage = s
		}
	}
	return out
}
