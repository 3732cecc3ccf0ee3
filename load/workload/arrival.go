package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Arrival is one request of the workload, with what its caller will do.
type Arrival struct {
	// Number counts the arrivals from 0.
	Number int
	// At is the arrival time, counted from the start of the run.
	At        time.Duration
	Kind      *Kind
	Workspace ident.Workspace
	// PromptTokens and OutputTokens are the lengths of prompt and output of a
	// model request.
	PromptTokens int
	OutputTokens int
	// Family is the prefix family, or NoFamily if the prompt shares no prefix.
	Family int
	// CancelAfter is the time after which the caller cancels the request, or 0
	// if it does not.
	CancelAfter time.Duration
	// Retries reports whether the caller retries a refused request.
	Retries bool
	// Seed seeds the caller's further random choices, such as its targets.
	Seed uint64
}

// NoFamily is the family of prompts that share no prefix.
const NoFamily = -1

// Generator generates the arrivals of one run. It is not safe for concurrent
// use.
type Generator struct {
	spec *Spec
	rate float64
	rng  *rand.Rand

	now   time.Duration
	count int
	// burst reports whether the current phase, which lasts until phaseEnd, is a
	// burst.
	burst    bool
	phaseEnd time.Duration
}

// streamArrivals selects the generator's random stream, which is independent of
// other streams with the same seed.
const streamArrivals = 0x6172726976616c73

// NewGenerator returns a generator of arrivals at a mean rate per second. The
// same spec, rate and seed give the same arrivals.
func NewGenerator(spec *Spec, rate float64, seed uint64) *Generator {
	g := &Generator{spec: spec, rate: rate, rng: rand.New(rand.NewPCG(seed, streamArrivals))}
	if spec.Bursts.Factor > 1 {
		g.phaseEnd = g.drawExponential(spec.Bursts.Off)
	}
	return g
}

// Next returns the next arrival.
func (g *Generator) Next() Arrival {
	g.advance()
	kind := &g.spec.Kinds[g.drawIndex(len(g.spec.Kinds), func(i int) float64 { return g.spec.Kinds[i].Share })]
	workspace := g.drawIndex(len(g.spec.Workspaces), func(i int) float64 { return g.spec.Workspaces[i].Share })
	a := Arrival{
		Number:    g.count,
		At:        g.now,
		Kind:      kind,
		Workspace: g.spec.Workspaces[workspace].Name,
		Family:    NoFamily,
	}
	g.count++
	g.drawPrompt(&a)
	g.drawCaller(&a)
	return a
}

// drawPrompt draws the prompt length, output length and family of a model
// request.
func (g *Generator) drawPrompt(a *Arrival) {
	k := a.Kind
	if k.Model == "" {
		return
	}
	a.PromptTokens = g.drawLength(k.Prompt)
	a.OutputTokens = g.drawLength(k.Output)
	if k.Families.Count > 0 && g.rng.Float64() < k.Families.Share {
		a.Family = g.rng.IntN(k.Families.Count)
	}
}

// drawCaller draws whether and when the caller cancels, whether it retries, and
// its seed.
func (g *Generator) drawCaller(a *Arrival) {
	leaves := g.rng.Float64() < a.Kind.CancelShare
	when := g.rng.Float64()
	if leaves {
		a.CancelAfter = 1 + time.Duration(when*float64(a.Kind.expectedDuration(a.OutputTokens)))
	}
	a.Retries = g.rng.Float64() < g.spec.Caller.RetryShare
	a.Seed = g.rng.Uint64()
}

// expectedDuration returns the approximate duration of an answer that just meets
// its targets.
func (k *Kind) expectedDuration(outputTokens int) time.Duration {
	return k.FirstOutput + time.Duration(outputTokens)*k.Pace
}

// advance moves now to the time of the next arrival.
func (g *Generator) advance() {
	b := g.spec.Bursts
	if b.Factor <= 1 {
		g.now += g.drawGap(1)
		return
	}
	for {
		factor := b.offFactor()
		if g.burst {
			factor = b.Factor
		}
		next := g.now + g.drawGap(factor)
		if next < g.phaseEnd {
			g.now = next
			return
		}
		// The gaps are exponential and thus memoryless, so the next gap can be
		// drawn anew from the phase change on.
		g.now = g.phaseEnd
		g.burst = !g.burst
		length := b.Off
		if g.burst {
			length = b.On
		}
		g.phaseEnd += g.drawExponential(length)
	}
}

// offFactor returns the rate between bursts that keeps the mean rate, as a
// multiple of the mean rate.
func (b Bursts) offFactor() float64 {
	on, off := b.On.Seconds(), b.Off.Seconds()
	return (on + off - b.Factor*on) / off
}

// drawGap draws the time to the next arrival at a multiple of the mean rate.
func (g *Generator) drawGap(factor float64) time.Duration {
	if factor <= 0 {
		return math.MaxInt64 / 4
	}
	return g.drawExponential(time.Duration(float64(time.Second) / (g.rate * factor)))
}

// drawExponential draws a duration with the given mean.
func (g *Generator) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * float64(mean))
}

// drawLength draws a length in tokens.
func (g *Generator) drawLength(l Lengths) int {
	n := float64(l.Median) * math.Exp(g.rng.NormFloat64()*l.Sigma)
	return min(max(int(n), l.Min), l.Max)
}

// drawIndex draws an index below n with probability proportional to its weight.
func (g *Generator) drawIndex(n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := g.rng.Float64() * total
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}
