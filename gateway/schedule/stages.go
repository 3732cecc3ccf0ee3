package schedule

import (
	"math"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

// Need is the work of a service's engines, as rates over all instances.
type Need struct {
	// Prefill is in prompt tokens a second.
	Prefill float64
	// Memory is in tokens, Streams is how many run at once.
	Memory  float64
	Streams float64
	// PrefillRate is what one engine computes, in tokens a second.
	PrefillRate float64
}

const (
	// worthSwitching is the share by which the more loaded stage must get better
	// for engines to change their stage: they are out for some seconds.
	worthSwitching = 0.12
	// switchShare is the share of a service's engines that change their stage at
	// once, at least one. One at a time is no gain worth an order among 40 engines:
	// two fifths of them stayed idle for prompts while streams were refused.
	switchShare = 0.125
	// leastLoad is the load below which no engine changes its stage.
	leastLoad = 0.15
	// leastEngines is how many engines of a stage are kept: with one, its loss
	// stops the service.
	leastEngines = 2
	// bunching makes prefill engines look busier than the mean load says, by its
	// quotient with the root of their number: prompts come in bunches and each must
	// be done within the latency objective, while memory is shared evenly. The more
	// engines, the better bunches even out. 0.3 with three or four engines.
	bunching = 0.55
)

// Switch is a change of an engine's stage that would help.
type Switch struct {
	Engine dialect.Upstream
	To     dialect.Stage
	// Before and After are the load of the more loaded stage, now and once all
	// engines have the stages that suit the demand.
	Before, After float64
}

// PlanStages says which engines of a service should change their stage, if any: some
// of those that are too many for one stage, if the best division between the stages
// lowers the load of the more loaded one enough.
func PlanStages(list []dialect.Upstream, e *routing.Engine, n Need, busy func(ident.UpstreamID) int) []Switch {
	prefill, decode := count(list, dialect.StagePrefill), count(list, dialect.StageDecode)
	before := n.worst(prefill, decode, e)
	best, after := n.divide(prefill+decode, e)
	if before < leastLoad || after >= before*(1-worthSwitching) {
		return nil
	}
	from, to := dialect.StagePrefill, dialect.StageDecode
	if best > prefill {
		from, to = to, from
	}
	several := max(1, int(switchShare*float64(prefill+decode)))
	var out []Switch
	for range min(several, max(best-prefill, prefill-best)) {
		u, ok := spare(list, from, busy)
		if !ok {
			break
		}
		out = append(out, Switch{Engine: u, To: to, Before: before, After: after})
		list = restaged(list, u.ID, to)
	}
	return out
}

// divide returns how many of some engines should prefill, and the load of the more
// loaded stage then.
func (n Need) divide(engines int, e *routing.Engine) (prefill int, load float64) {
	load = math.Inf(1)
	for p := leastEngines; p <= engines-leastEngines; p++ {
		if w := n.worst(p, engines-p, e); w < load {
			prefill, load = p, w
		}
	}
	return prefill, load
}

// worst is the load of the more loaded stage with so many engines each.
func (n Need) worst(prefill, decode int, e *routing.Engine) float64 {
	if prefill <= 0 || decode <= 0 {
		return math.Inf(1)
	}
	p := n.Prefill / (float64(prefill) * n.PrefillRate)
	p *= 1 + bunching/math.Sqrt(float64(prefill))
	d := n.Memory / (float64(decode) * float64(e.KVTokens))
	if e.Slots > 0 {
		d = math.Max(d, n.Streams/float64(decode*e.Slots))
	}
	return math.Max(p, d)
}

// count returns how many engines of a stage take new work.
func count(list []dialect.Upstream, s dialect.Stage) int {
	n := 0
	for _, u := range list {
		if u.Stage == s && !u.Leaving {
			n++
		}
	}
	return n
}

// spare picks the least busy engine of a stage, in the zone that has most of them.
func spare(list []dialect.Upstream, from dialect.Stage, busy func(ident.UpstreamID) int) (dialect.Upstream, bool) {
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

// restaged returns a list in which one engine has another stage.
func restaged(list []dialect.Upstream, id ident.UpstreamID, s dialect.Stage) []dialect.Upstream {
	out := append([]dialect.Upstream(nil), list...)
	for i := range out {
		if out[i].ID == id {
			out[i].Stage = s
		}
	}
	return out
}
