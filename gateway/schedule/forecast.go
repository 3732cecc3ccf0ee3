package schedule

import (
	"math"
	"time"

	"github.com/wardspool/wardspool/gateway/routing"
)

const (
	// forecastSteps and forecastStep set how far ahead the memory use of engines is forecast:
	// about the duration of a stream, in steps of a few events.
	forecastSteps = 10
	forecastStep  = 300 * time.Millisecond
	// initialSpread is assumed for the standard deviation of the logarithm of the ratio of
	// output length to its estimate, until it has been measured.
	initialSpread = 0.5
	// spreadWeight is the weight of one stream in the measured spread.
	spreadWeight = 0.02
	// minSpread is the lower bound of the measured spread, so that the forecast never fully
	// relies on the estimates.
	minSpread = 0.1
)

// Forecast is the memory that requests are expected to take at an engine, in tokens, now and at
// each step of time from now. The forecasts of several instances can be added.
type Forecast [forecastSteps]int

// add adds another forecast.
func (f *Forecast) add(o Forecast) {
	for i := range f {
		f[i] += o[i]
	}
}

// Add adds a forecast from a peer. A peer of another version may send a different number of
// steps.
func (f *Forecast) Add(o []int) {
	for i := range min(len(f), len(o)) {
		f[i] += o[i]
	}
}

// peak returns the highest memory use of any step.
func (f *Forecast) peak() int {
	most := 0
	for _, n := range f {
		most = max(most, n)
	}
	return most
}

// runningStream is a request at a decode engine. Lengths are in tokens.
type runningStream struct {
	prompt   int
	estimate int
	// produced is the length of the output so far. started means that some of it came from this
	// engine, and lastEventAt is when its last event arrived.
	produced    int
	started     bool
	lastEventAt time.Time
	// reserved is the memory reserved for the request, which the engine does not give to others
	// until the request ends.
	reserved int
}

// finalMemoryShare returns the share of an engine's usable memory that the request takes at its
// end.
func (r runningStream) finalMemoryShare(e *routing.Engine) float64 {
	return float64(r.prompt+r.estimate) / (usableMemoryShare * float64(e.KVTokens))
}

// forecast returns the memory forecast of the request. Its memory grows with the output and is
// released at its expected end. tokenTime is in seconds.
func (r runningStream) forecast(tokenTime, spread float64) Forecast {
	var f Forecast
	final := expectedOutput(float64(r.estimate), float64(r.produced), spread)
	for i := range f {
		at := float64(r.produced) + float64(i)*forecastStep.Seconds()/tokenTime
		if at > final && i > 0 {
			break
		}
		f[i] = max(r.reserved, r.prompt+int(math.Min(at, final)))
	}
	return f
}

// expectedOutput returns the mean final length of an output that has reached produced tokens.
// Output lengths follow a log-normal distribution with the estimate as its median and spread as
// the standard deviation of the logarithm.
func expectedOutput(estimate, produced, spread float64) float64 {
	if estimate <= 0 {
		return produced
	}
	mean := estimate * math.Exp(spread*spread/2)
	if produced <= 0 {
		return mean
	}
	z := math.Log(produced/estimate) / spread
	tail := normalUpperTail(z)
	if tail < 1e-6 {
		return produced * (1 + spread)
	}
	return math.Max(produced, mean*normalUpperTail(z-spread)/tail)
}

// EndsWithin returns the probability that a stream of a service ends within a time after its
// first event. bound is the maximum output in tokens, 0 for none.
func (b *Scheduler) EndsWithin(service string, size Size, bound int, within time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if within <= 0 {
		return 0
	}
	r := b.performanceOf(service)
	return 1 - size.missProbability(r.tokenTime, r.spread(), bound, within)
}

// missProbability returns the probability that a stream does not end within a time after its first
// event at an engine with a time per token in seconds. bound is the maximum output in tokens, 0 for
// none.
func (s Size) missProbability(tokenTime, spread float64, bound int, within time.Duration) float64 {
	reached := float64(s.Produced) + within.Seconds()/tokenTime
	if bound > 0 && reached >= float64(bound) {
		return 0
	}
	estimate := float64(s.Estimate)
	remainingShare := probabilityLonger(float64(s.Produced), estimate, spread)
	return probabilityLonger(reached, estimate, spread) / max(remainingShare, minTailProbability)
}

// minTailProbability is the lower bound of the divisor in missProbability, for outputs that are far
// longer than estimated.
const minTailProbability = 1e-6

// probabilityLonger returns the share of outputs that are longer than the given number of
// tokens.
func probabilityLonger(tokens, estimate, spread float64) float64 {
	if tokens <= 0 {
		return 1
	}
	if estimate <= 0 {
		return 0
	}
	return normalUpperTail(math.Log(tokens/estimate) / spread)
}

// normalUpperTail returns the probability that a standard normal variable exceeds z.
func normalUpperTail(z float64) float64 { return 0.5 * math.Erfc(z/math.Sqrt2) }

// observeSpread records the estimated and the actual output length of a stream, in tokens.
func (r *enginePerformance) observeSpread(estimate, output int) {
	if estimate <= 0 || output <= 0 {
		return
	}
	deviation := math.Log(float64(output) / float64(estimate))
	r.lengthVariance += spreadWeight * (deviation*deviation - r.lengthVariance)
}

// spread returns the standard deviation of the logarithm of the ratio of output length to its
// estimate, at least minSpread.
func (r *enginePerformance) spread() float64 { return math.Max(minSpread, math.Sqrt(r.lengthVariance)) }
