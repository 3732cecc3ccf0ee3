package schedule

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of past demand. It matches how fast the memory use of a
	// decode engine follows the demand, with streams of 2.7 to 3.5 s, so that a burst of 4 s is
	// visible. Peaks retains the demand of bursts for longer.
	demandHalfLife = 2 * time.Second
	// minDemandAge is the shortest time over which demand is averaged. It keeps the first
	// request from counting as a high rate.
	minDemandAge = time.Second
	// defaultTokenTime is assumed until the second event of the first stream arrives. Known
	// engines take 0.6 to 5.3 ms per token.
	defaultTokenTime = 650 * time.Microsecond
	// tokenTimeWeight is the weight of one event in the moving average of the time per token.
	// With 100 events per second at an instance, two thirds of the average come from the last
	// 0.5 s.
	tokenTimeWeight = 0.02
)

// enginePerformance holds the measured performance of a service's engines.
type enginePerformance struct {
	// prefill is the estimated performance of prefill engines.
	prefill prefillEstimate
	// tokenTime is the mean time per output token, in seconds. tokenMeasured is false while it
	// is the default.
	tokenTime     float64
	tokenMeasured bool
	// firstEvent is the mean time until a stream's first event, in seconds.
	firstEvent float64
	// lengthVariance is that of the logarithm of the ratio of output length to its estimate.
	lengthVariance float64
}

// demand is the exponentially decaying sum of the work that callers requested from a service.
type demand struct {
	// firstRequest is when the first request arrived.
	firstRequest time.Time
	updatedAt    time.Time
	// work holds memory as tokens held multiplied by output tokens generated meanwhile, and
	// streams as output tokens. Both are converted with the time per token when they are read,
	// since that is known more precisely by then.
	work Work
}

// performanceOf returns the measured performance of a service, with defaults before any
// measurement. The caller holds mu.
func (b *Scheduler) performanceOf(service string) *enginePerformance {
	r := b.performances[service]
	if r == nil {
		r = &enginePerformance{tokenTime: defaultTokenTime.Seconds(), firstEvent: 0.1, lengthVariance: initialSpread * initialSpread}
		b.performances[service] = r
	}
	return r
}

// PrefillDone records how long a prefill engine took for a prompt.
func (b *Scheduler) PrefillDone(service string, tokens int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.performanceOf(service).prefill.observe(tokens, took)
}

// StreamStarted records how long a decode engine took until the first event.
func (b *Scheduler) StreamStarted(service string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.performanceOf(service)
	r.firstEvent += latencyWeight * (took.Seconds() - r.firstEvent)
}

// StreamDone records the estimated and the actual output length of a completed stream, in
// tokens.
func (b *Scheduler) StreamDone(service string, estimate, output int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.performanceOf(service).observeSpread(estimate, output)
}

// observeTokenTime records how long a running stream took for a number of tokens. Completed
// streams alone would give the value too late, since it is needed for the first stage changes
// after a start.
func (r *enginePerformance) observeTokenTime(took time.Duration, tokens int) {
	if took <= 0 || tokens <= 0 {
		return
	}
	measured := took.Seconds() / float64(tokens)
	if !r.tokenMeasured {
		r.tokenTime, r.tokenMeasured = measured, true
		return
	}
	r.tokenTime += tokenTimeWeight * (measured - r.tokenTime)
}

// FirstEvent returns how long a decode engine is expected to take until the first event.
func (b *Scheduler) FirstEvent(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.performanceOf(service).firstEvent * float64(time.Second))
}

// RecordRequest adds a caller's request to the demand of a service. prompt and output are in
// tokens, output being an estimate.
func (b *Scheduler) RecordRequest(now time.Time, service string, prompt, output int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[service]
	if d == nil {
		d = &demand{firstRequest: now, updatedAt: now}
		b.demands[service] = d
	}
	d.decay(now)
	d.work.Requests++
	d.work.Prefill += float64(prompt)
	d.work.Streams += float64(output)
	d.work.Memory += (float64(prompt) + float64(output)/2) * float64(output)
}

// decay reduces the sums according to the time that has passed.
func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	f := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	d.work = d.work.times(f)
	d.updatedAt = now
}

// scale returns the factor that converts the decaying sums into rates per second. It accounts
// for sums that still build up after the first request.
func (d *demand) scale(now time.Time) float64 {
	age := max(minDemandAge, now.Sub(d.firstRequest))
	steadyShare := 1 - math.Exp2(-age.Seconds()/demandHalfLife.Seconds())
	return math.Ln2 / demandHalfLife.Seconds() / steadyShare
}

// Demand returns the demand of this instance's callers for a service.
func (b *Scheduler) Demand(now time.Time, service string) Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demands[service]
	if d == nil {
		return Need{}
	}
	d.decay(now)
	scale := d.scale(now)
	r := b.performanceOf(service)
	n := Need{Work: d.work.times(scale)}
	n.Memory *= r.tokenTime
	n.Streams *= r.tokenTime
	if r.tokenMeasured {
		// Only long prompts count. Their fixed time is included, as it is in the demand.
		n.Throughputs = r.prefill.long.histogram()
	}
	return n
}

// DemandServices returns the services with demand.
func (b *Scheduler) DemandServices() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name := range b.demands {
		names = append(names, name)
	}
	return names
}
