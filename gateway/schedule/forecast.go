package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
)

const (
	// forecastSteps and forecastStep are how far ahead the memory of engines is
	// foreseen: as long as a stream takes, in steps of a few events.
	forecastSteps = 10
	forecastStep  = 300 * time.Millisecond
	// initialSpread is the spread of the logarithm of output length over its
	// estimate until it was measured.
	initialSpread = 0.5
	// spreadWeight is the weight of one stream in the measured spread.
	spreadWeight = 0.02
	// leastSpread keeps the forecast from trusting estimates wholly.
	leastSpread = 0.1
)

// Forecast is the memory that requests will take of an engine, in tokens, now and
// at each step of time from now. Forecasts of several instances add up.
type Forecast [forecastSteps]int

// add adds another forecast.
func (f *Forecast) add(o Forecast) {
	for i := range f {
		f[i] += o[i]
	}
}

// Add adds a forecast from a peer, which may have other steps in another version.
func (f *Forecast) Add(o []int) {
	for i := range min(len(f), len(o)) {
		f[i] += o[i]
	}
}

// peak is the most memory at any step.
func (f *Forecast) peak() int {
	most := 0
	for _, n := range f {
		most = max(most, n)
	}
	return most
}

// running is a request at a decode engine.
type running struct {
	prompt   int
	estimate int
	// produced is the output so far, in tokens; begun means that some of it came from
	// this engine, at when the last of it came.
	produced int
	begun    bool
	at       time.Time
	// hold is the memory that was reserved for it, which the engine keeps free for
	// it until it ends.
	hold int
}

// share is the part of an engine's memory that a request takes in the end.
func (r running) share(e *routing.Engine) float64 {
	return float64(r.prompt+r.estimate) / (usableMemory * float64(e.KVTokens))
}

// forecast foresees the memory of a request: it grows with the output and is free
// at its end.
func (r running) forecast(tokenTime, spread float64) Forecast {
	var f Forecast
	final := expectedOutput(float64(r.estimate), float64(r.produced), spread)
	for i := range f {
		at := float64(r.produced) + float64(i)*forecastStep.Seconds()/tokenTime
		if at > final && i > 0 {
			break
		}
		f[i] = max(r.hold, r.prompt+int(math.Min(at, final)))
	}
	return f
}

// expectedOutput is the mean length of an output that has reached produced tokens,
// when lengths spread around the estimate by a log-normal distribution whose
// median it is.
func expectedOutput(estimate, produced, spread float64) float64 {
	if estimate <= 0 {
		return produced
	}
	mean := estimate * math.Exp(spread*spread/2)
	if produced <= 0 {
		return mean
	}
	z := math.Log(produced/estimate) / spread
	beyond := upperTail(z)
	if beyond < 1e-6 {
		return produced * (1 + spread)
	}
	return math.Max(produced, mean*upperTail(z-spread)/beyond)
}

// EndsWithin returns how likely a stream of a service is to end within a time from its first
// event on; bound bounds its output in tokens, 0 for none.
func (b *Books) EndsWithin(service string, size Size, bound int, within time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if within <= 0 {
		return 0
	}
	r := b.rateOf(service)
	reached := float64(size.Produced) + within.Seconds()/r.tokenTime
	if bound > 0 && reached >= float64(bound) {
		return 1
	}
	estimate, spread := float64(size.Estimate), r.spread()
	going := shareLonger(float64(size.Produced), estimate, spread)
	return 1 - shareLonger(reached, estimate, spread)/max(going, leastTail)
}

// leastTail keeps shares of outputs that are far longer than estimated apart from zero.
const leastTail = 1e-6

// shareLonger is the share of outputs that are longer than tokens.
func shareLonger(tokens, estimate, spread float64) float64 {
	if tokens <= 0 {
		return 1
	}
	if estimate <= 0 {
		return 0
	}
	return upperTail(math.Log(tokens/estimate) / spread)
}

// upperTail is the share of a normal distribution above z.
func upperTail(z float64) float64 { return 0.5 * math.Erfc(z/math.Sqrt2) }

// learnSpread takes a stream's length into the measured spread.
func (r *rate) learnSpread(estimate, output int) {
	if estimate <= 0 || output <= 0 {
		return
	}
	off := math.Log(float64(output) / float64(estimate))
	r.variance += spreadWeight * (off*off - r.variance)
}

// spread is the measured spread.
func (r *rate) spread() float64 { return math.Max(leastSpread, math.Sqrt(r.variance)) }
