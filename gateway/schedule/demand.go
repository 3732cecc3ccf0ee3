package schedule

import (
	"math"
	"time"
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
	// streams is in seconds of running streams.
	streams float64
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
	d.streams += seconds
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
	d.streams *= f
	d.at = now
}

// scale turns the decaying sums into rates a second, also while they still build up.
func (d *demand) scale(now time.Time) float64 {
	age := max(leastDemandAge, now.Sub(d.since))
	full := 1 - math.Exp2(-age.Seconds()/demandHalfLife.Seconds())
	return math.Ln2 / demandHalfLife.Seconds() / full
}

// Demand returns what this instance's callers ask of a service.
func (b *Books) Demand(now time.Time, service string) Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[service]
	if d == nil {
		return Need{}
	}
	d.decay(now)
	scale := d.scale(now)
	return Need{Prefill: d.prefill * scale, Memory: d.memory * scale, Streams: d.streams * scale, PrefillRate: b.rateOf(service).prefill}
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
