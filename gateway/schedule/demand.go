package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

const (
	// demandHalfLife is how fast old demand is forgotten: long against bursts of
	// 4 s, short against the 15 s between orders.
	demandHalfLife = 8 * time.Second
	// leastDemandAge keeps a first request from counting as a high rate.
	leastDemandAge = time.Second
	// rateDecay keeps the prefill rate near the best that was seen: an engine
	// that has several prompts at once is slower for each.
	rateDecay = 0.995
	// defaultPrefillRate stands until a prefill was measured, in tokens a second.
	defaultPrefillRate = 50000
	// defaultTokenTime stands until a stream was measured.
	defaultTokenTime = 650 * time.Microsecond
)

// rate is what was measured of a service's engines.
type rate struct {
	// prefill is in tokens a second, of an engine with nothing else to do.
	prefill float64
	// tokenTime is the mean time of one output token.
	tokenTime float64
	// firstEvent is the mean time to a stream's first event, in seconds.
	firstEvent float64
	// variance is that of the logarithm of output length over its estimate.
	variance float64
}

// demand is the work that callers asked for, decaying.
type demand struct {
	// since is when the first request came.
	since   time.Time
	at      time.Time
	prefill float64
	memory  float64
}

// rateOf returns the measured rates of a service. The caller holds mu.
func (b *Books) rateOf(service string) *rate {
	r := b.rates[service]
	if r == nil {
		r = &rate{prefill: defaultPrefillRate, tokenTime: defaultTokenTime.Seconds(), firstEvent: 0.1, variance: initialSpread * initialSpread}
		b.rates[service] = r
	}
	return r
}

// PrefillDone takes in how long a prefill took.
func (b *Books) PrefillDone(service string, tokens int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rateOf(service)
	if took <= 0 || tokens <= 0 {
		return
	}
	r.prefill = math.Max(r.prefill*rateDecay, float64(tokens)/took.Seconds())
}

// StreamStarted takes in how long a decode engine took for the first event.
func (b *Books) StreamStarted(service string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rateOf(service)
	r.firstEvent += latencyWeight * (took.Seconds() - r.firstEvent)
}

// StreamDone takes in a stream that ended: what its length was estimated to be, what
// it was, and how long it took for the tokens that were generated at its last engine.
func (b *Books) StreamDone(service string, estimate, output, tokens int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens <= 0 || took <= 0 {
		return
	}
	r := b.rateOf(service)
	r.learnSpread(estimate, output)
	r.tokenTime += latencyWeight * (took.Seconds()/float64(tokens) - r.tokenTime)
}

// FirstEvent returns how long a decode engine is expected to take for the first
// event.
func (b *Books) FirstEvent(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rateOf(service).firstEvent * float64(time.Second))
}

// Asked counts a caller's request in the demand of a service.
func (b *Books) Asked(now time.Time, service string, prompt, output int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[service]
	if d == nil {
		d = &demand{since: now, at: now}
		b.demands[service] = d
	}
	d.decay(now)
	r := b.rateOf(service)
	seconds := float64(output) * r.tokenTime
	d.prefill += float64(prompt)
	d.memory += (float64(prompt) + float64(output)/2) * seconds
}

// decay forgets demand as time passes.
func (d *demand) decay(now time.Time) {
	passed := now.Sub(d.at)
	if passed <= 0 {
		return
	}
	f := math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
	d.prefill *= f
	d.memory *= f
	d.at = now
}

// scale turns the decaying sums into rates a second, also while they still build up.
func (d *demand) scale(now time.Time) float64 {
	age := max(leastDemandAge, now.Sub(d.since))
	full := 1 - math.Exp2(-age.Seconds()/demandHalfLife.Seconds())
	return math.Ln2 / demandHalfLife.Seconds() / full
}

// Demand returns the demand of a service as rates: prompt tokens a second, and
// tokens times seconds of memory a second.
func (b *Books) Demand(now time.Time, service string) (prefill, memory float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[service]
	if d == nil {
		return 0, 0
	}
	d.decay(now)
	return d.prefill * d.scale(now), d.memory * d.scale(now)
}

// DemandServices lists the services with demand.
func (b *Books) DemandServices() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name := range b.demands {
		names = append(names, name)
	}
	return names
}

// Need is the work of a service's engines, as rates over all instances.
type Need struct {
	// Prefill is in prompt tokens a second, Memory in tokens.
	Prefill float64
	Memory  float64
	// PrefillRate is what one engine computes, in tokens a second.
	PrefillRate float64
}

// PrefillRate returns what one engine of a service computes, in tokens a second.
func (b *Books) PrefillRate(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rateOf(service).prefill
}

const (
	// worthSwitching is the share by which the more loaded stage must get better
	// for an engine to change its stage: it is out for some seconds.
	worthSwitching = 0.12
	// leastLoad is the load below which no engine changes its stage.
	leastLoad = 0.15
	// leastEngines is how many engines of a stage are kept: with one, its loss
	// stops the service.
	leastEngines = 2
	// prefillWeight makes prefill engines look busier than the mean load says:
	// prompts come in bunches and each must be done within the latency objective,
	// while memory is shared evenly.
	prefillWeight = 1.3
)

// Switch is a change of an engine's stage that would help.
type Switch struct {
	Engine dialect.Upstream
	To     dialect.Stage
	// Before and After are the load of the more loaded stage.
	Before, After float64
}

// PlanStages says which engine of a service should change its stage, if any: the
// one change that lowers the load of the more loaded stage enough.
func PlanStages(list []dialect.Upstream, e *routing.Engine, n Need, busy func(ident.UpstreamID) int) (Switch, bool) {
	prefill, decode := count(list, dialect.StagePrefill), count(list, dialect.StageDecode)
	before := n.worst(prefill, decode, e)
	if before < leastLoad {
		return Switch{}, false
	}
	toDecode := n.worst(prefill-1, decode+1, e)
	toPrefill := n.worst(prefill+1, decode-1, e)
	switch {
	case prefill > leastEngines && toDecode < before*(1-worthSwitching) && toDecode <= toPrefill:
		return change(list, dialect.StagePrefill, dialect.StageDecode, before, toDecode, busy)
	case decode > leastEngines && toPrefill < before*(1-worthSwitching):
		return change(list, dialect.StageDecode, dialect.StagePrefill, before, toPrefill, busy)
	default:
		return Switch{}, false
	}
}

// worst is the load of the more loaded stage with so many engines each.
func (n Need) worst(prefill, decode int, e *routing.Engine) float64 {
	if prefill <= 0 || decode <= 0 {
		return math.Inf(1)
	}
	p := prefillWeight * n.Prefill / (float64(prefill) * n.PrefillRate)
	d := n.Memory / (float64(decode) * float64(e.KVTokens))
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

// change picks the least busy engine of a stage, in the zone that has most of
// them.
func change(list []dialect.Upstream, from, to dialect.Stage, before, after float64, busy func(ident.UpstreamID) int) (Switch, bool) {
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
		return Switch{}, false
	}
	return Switch{Engine: *best, To: to, Before: before, After: after}, true
}
