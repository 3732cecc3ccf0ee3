package schedule

import (
	"cmp"
	"math"
	"slices"

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
	// Capacities are the engines' relative capacities, nil if the engines do not differ. Engines
	// that are not in it have the capacity 1.
	Capacities map[ident.UpstreamID]EngineCapacity
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
	// equalCapacityRatio is the ratio of two engines' decode capacities up to which they count as
	// equal: one bucket of the time per token.
	equalCapacityRatio = tokenTimeRatio
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
// one after the other would take too long. Slow decode engines change to prefill first, and fast
// engines to decode, since a stream may not end in time at a slow one. busy returns the number of
// requests at an engine.
func PlanStages(list []dialect.Upstream, e *routing.Engine, n Need, busy func(ident.UpstreamID) int) []Switch {
	prefill := countStage(list, dialect.StagePrefill)
	before := n.maxLoad(n.stageCapacity(list, dialect.StagePrefill), n.stageCapacity(list, dialect.StageDecode), e)
	best, after := n.bestDivision(list, e)
	if before < minPeakLoad || after >= before*(1-minImprovement) {
		return nil
	}
	from, to := dialect.StagePrefill, dialect.StageDecode
	if best > prefill {
		from, to = to, from
	}
	var out []Switch
	for range max(best-prefill, prefill-best) {
		u, ok := leastBusy(list, from, busy, n.changesFirst(list, from))
		if !ok {
			break
		}
		out = append(out, Switch{Engine: u, To: to, Before: before, After: after})
		list = withStage(list, u.ID, to)
	}
	return out
}

// capacity returns an engine's relative capacity.
func (n Need) capacity(u dialect.Upstream) EngineCapacity {
	if c, ok := n.Capacities[u.ID]; ok {
		return c
	}
	return EngineCapacity{Prefill: 1, Decode: 1}
}

// stageCapacity returns the sum of the capacities of the engines of a stage that accept new
// requests.
func (n Need) stageCapacity(list []dialect.Upstream, s dialect.Stage) float64 {
	sum := 0.0
	for _, u := range list {
		if u.Stage != s || u.Leaving {
			continue
		}
		if c := n.capacity(u); s == dialect.StagePrefill {
			sum += c.Prefill
		} else {
			sum += c.Decode
		}
	}
	return sum
}

// bestDivision returns how many of the engines that accept new requests should prefill, and the
// load of the more loaded stage in that case.
func (n Need) bestDivision(list []dialect.Upstream, e *routing.Engine) (prefill int, load float64) {
	// With p prefill engines, these are the first p of the order: those that change to prefill
	// first follow those that change to decode last.
	order := slices.DeleteFunc(slices.Clone(list), func(u dialect.Upstream) bool {
		return u.Leaving || u.Stage != dialect.StagePrefill && u.Stage != dialect.StageDecode
	})
	slices.SortStableFunc(order, func(a, c dialect.Upstream) int {
		if a.Stage != c.Stage {
			return cmp.Compare(stageOrder(a.Stage), stageOrder(c.Stage))
		}
		return cmp.Compare(n.capacity(a).Decode, n.capacity(c).Decode)
	})
	prefillCapacity, decodeCapacity := 0.0, 0.0
	for _, u := range order {
		decodeCapacity += n.capacity(u).Decode
	}
	load = math.Inf(1)
	for i, u := range order {
		prefillCapacity += n.capacity(u).Prefill
		decodeCapacity -= n.capacity(u).Decode
		p := i + 1
		if p < minStageEngines || p > len(order)-minStageEngines {
			continue
		}
		if w := n.maxLoad(prefillCapacity, decodeCapacity, e); w < load {
			prefill, load = p, w
		}
	}
	return prefill, load
}

// stageOrder returns the position of a stage's engines in bestDivision.
func stageOrder(s dialect.Stage) int {
	if s == dialect.StagePrefill {
		return 0
	}
	return 1
}

// maxLoad returns the load of the more loaded stage with the given capacities, in engines of mean
// pace, as a ratio to the planned capacity.
func (n Need) maxLoad(prefill, decode float64, e *routing.Engine) float64 {
	if prefill <= 0 || decode <= 0 {
		return math.Inf(1)
	}
	p := n.Prefill / (prefill * usablePrefillShare * n.PrefillRate)
	d := n.Memory / (decode * usableMemoryShare * float64(e.KVTokens))
	if e.Slots > 0 {
		d = math.Max(d, n.Streams/(decode*float64(e.Slots)))
	}
	return math.Max(p, d)
}

// changesFirst returns a function that reports whether an engine is among those of a stage that
// change first by their pace: to prefill the slowest ones, to decode the fastest ones.
func (n Need) changesFirst(list []dialect.Upstream, from dialect.Stage) func(dialect.Upstream) bool {
	if n.Capacities == nil {
		return func(dialect.Upstream) bool { return true }
	}
	slowest, fastest := math.Inf(1), 0.0
	for _, u := range list {
		if u.Stage == from && !u.Leaving {
			c := n.capacity(u).Decode
			slowest, fastest = math.Min(slowest, c), math.Max(fastest, c)
		}
	}
	return func(u dialect.Upstream) bool {
		if from == dialect.StageDecode {
			return n.capacity(u).Decode <= slowest*equalCapacityRatio
		}
		return n.capacity(u).Decode >= fastest/equalCapacityRatio
	}
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
// engines of that stage, among those for which eligible reports true. It reports false if there is
// none.
func leastBusy(list []dialect.Upstream, from dialect.Stage, busy func(ident.UpstreamID) int, eligible func(dialect.Upstream) bool) (dialect.Upstream, bool) {
	zones := map[ident.Zone]int{}
	for _, u := range list {
		if u.Stage == from && !u.Leaving {
			zones[u.Zone]++
		}
	}
	var best *dialect.Upstream
	for i := range list {
		u := &list[i]
		if u.Stage != from || u.Leaving || !eligible(*u) {
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
