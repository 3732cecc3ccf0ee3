package lease

import (
	"math"
	"time"
)

// holdModel learns how long slots are held, per token of output asked for, as a
// histogram in which older observations fade. The zero value is ready for use.
type holdModel struct {
	count [holdBuckets]float64
	// above[i] is the weight in the buckets from i on, kept by refresh.
	above [holdBuckets + 1]float64
	// average is the mean, in milliseconds a token, kept by refresh.
	average float64
	seen    int
	stale   bool
}

const (
	// holdBuckets buckets, holdPerOctave to each doubling, from holdSmallest
	// milliseconds a token on: up to about 16 minutes.
	holdBuckets   = 1920
	holdPerOctave = 64
	holdSmallest  = 0.001
	// holdFade is the factor by which an observation's weight falls with each
	// later one: about the last two hundred count.
	holdFade = 0.995
	// holdEnough observations are needed before the model is used.
	holdEnough = 20
)

// observe adds a slot that was held for d by a request that might have put out
// the given number of tokens.
func (m *holdModel) observe(d time.Duration, output int) {
	for i := range m.count {
		m.count[i] *= holdFade
	}
	m.count[bucketOf(perToken(d, output))]++
	m.seen++
	m.stale = true
}

// ready reports whether enough was observed for survival to mean something.
func (m *holdModel) ready() bool { return m.seen >= holdEnough }

// survival returns the chance that a slot which has been held for age is still
// held after age+more. It is 1 while the model is not ready.
func (m *holdModel) survival(age, more time.Duration, output int) float64 {
	if !m.ready() || more <= 0 {
		return 1
	}
	m.refresh()
	now := m.beyond(perToken(age, output))
	if now < holdLittle {
		// Held longer than almost all before: nothing is known of its end.
		return 1
	}
	return m.beyond(perToken(age+more, output)) / now
}

// holdLittle is the weight below which the histogram's tail says nothing.
const holdLittle = 0.5

// mean returns the mean time a slot is held for the given output, 0 while the
// model is not ready.
func (m *holdModel) mean(output int) time.Duration {
	if !m.ready() {
		return 0
	}
	m.refresh()
	return time.Duration(m.average * float64(max(output, 1)) * float64(time.Millisecond))
}

// beyond returns the weight of the observations above x, interpolated within
// x's bucket.
func (m *holdModel) beyond(x float64) float64 {
	b := bucketOf(x)
	low, high := holdBounds[b], holdBounds[b+1]
	part := min(max((x-low)/(high-low), 0), 1)
	return m.above[b] - part*m.count[b]
}

// holdBounds are the buckets' bounds, in milliseconds a token.
var holdBounds = func() (bounds [holdBuckets + 1]float64) {
	for i := range bounds {
		bounds[i] = holdSmallest * math.Exp2(float64(i)/holdPerOctave)
	}
	return bounds
}()

func (m *holdModel) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	sum := 0.0
	for i := holdBuckets - 1; i >= 0; i-- {
		m.above[i] = m.above[i+1] + m.count[i]
		sum += m.count[i] * (holdBounds[i] + holdBounds[i+1]) / 2
	}
	m.average = sum / m.above[0]
}

// perToken returns the milliseconds per token of output.
func perToken(d time.Duration, output int) float64 {
	return float64(d) / float64(time.Millisecond) / float64(max(output, 1))
}

func bucketOf(x float64) int {
	if x <= holdSmallest {
		return 0
	}
	b := int(math.Log2(x/holdSmallest) * holdPerOctave)
	return min(b, holdBuckets-1)
}
