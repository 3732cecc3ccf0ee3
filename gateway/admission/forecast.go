package admission

import (
	"math"
	"time"
)

const (
	// maxWait is the longest wait that is searched for. No caller of a service of engines considers a
	// first event after that time useful.
	maxWait = 5 * time.Second
	// waitStep is the resolution of an expected wait.
	waitStep = 25 * time.Millisecond
	// maxCorrection bounds the correction of expected waits in either direction, so that errors in
	// one overload neither refuse nor admit all requests of the next.
	maxCorrection = 250 * time.Millisecond
	// correctionHalfLife is the half-life of the correction without new observations. Refused
	// requests show nothing about the wait, so a correction that causes refusals has to fade.
	correctionHalfLife = 3 * time.Second
	// correctionWeight is the weight of one observed wait.
	correctionWeight = 0.2
)

// Supply is the room for requests like the asking one that the engines of a service are expected to have.
type Supply struct {
	// Places is how many requests the engines could take now and after each Step, if none were placed
	// meanwhile.
	Places []float64
	Step   time.Duration
	// Rate is how many requests per second the engines can take after that time.
	Rate float64
	// PrefillRate is how many prompts per second the prefill engines can compute; 0 if unknown.
	PrefillRate float64
}

// times returns a share of the supply.
func (s Supply) times(f float64) Supply {
	out := Supply{Step: s.Step, Rate: f * s.Rate, PrefillRate: f * s.PrefillRate, Places: make([]float64, len(s.Places))}
	for i, n := range s.Places {
		out.Places[i] = f * n
	}
	return out
}

// after returns the supply as of a later time, if requests are placed meanwhile at the given rate per
// second as far as places become free.
func (s Supply) after(d time.Duration, rate float64) Supply {
	out := Supply{Step: s.Step, Rate: s.Rate, PrefillRate: s.PrefillRate, Places: make([]float64, len(s.Places))}
	// Fewer places than now mean that running streams grow, not that placements end.
	placed := math.Max(0, math.Min(rate*d.Seconds(), s.placesBy(d)-s.placesBy(0)))
	for i := range s.Places {
		out.Places[i] = s.placesBy(d+time.Duration(i)*s.Step) - placed
	}
	return out
}

// placesBy returns how many requests the engines could take within a time.
func (s Supply) placesBy(t time.Duration) float64 {
	if len(s.Places) == 0 {
		return s.Rate * t.Seconds()
	}
	last := len(s.Places) - 1
	if s.Step <= 0 || last == 0 {
		return s.Places[0] + s.Rate*t.Seconds()
	}
	at := t.Seconds() / s.Step.Seconds()
	i := int(at)
	if i >= last {
		return s.Places[last] + s.Rate*(t.Seconds()-float64(last)*s.Step.Seconds())
	}
	return s.Places[i] + (at-float64(i))*(s.Places[i+1]-s.Places[i])
}

// Demand is what goes before a request.
type Demand struct {
	// Ahead is the number of requests that wait.
	Ahead float64
	// Rate is how many more requests per second arrive that go first.
	Rate float64
	// Returns is how many callers were told to return in each returnSlot from now.
	Returns [ReturnSlots]float64
}

// by returns how many requests go first within a time.
func (d *Demand) by(t time.Duration) float64 {
	n := d.Ahead + d.Rate*t.Seconds()
	for i, count := range d.Returns {
		elapsed := t - time.Duration(i)*returnSlot
		if elapsed <= 0 {
			break
		}
		n += count * math.Min(1, elapsed.Seconds()/returnSlot.Seconds())
	}
	return n
}

// addReturns adds the promises of a ledger to callers of up to the given rank. share is the share of
// the promises that callers keep.
func (d *Demand) addReturns(now time.Time, l ledger, rank int, share float64) {
	first := slotOf(now)
	for slot, counts := range l {
		i := slot - first
		if i < 0 || i >= ReturnSlots {
			continue
		}
		for r := range rank + 1 {
			d.Returns[i] += share * counts[r]
		}
	}
}

// expectedWait returns the time until the engines have room for one more request after those that go
// first, at most maxWait.
func expectedWait(s Supply, d Demand) time.Duration {
	prefill := time.Duration(0)
	if s.PrefillRate > 0 {
		prefill = time.Duration(math.Min(d.Ahead/s.PrefillRate, maxWait.Seconds()) * float64(time.Second))
	}
	for t := time.Duration(0); t < maxWait; t += waitStep {
		if s.placesBy(t)-d.by(t) >= 1 {
			return max(t, prefill)
		}
	}
	return maxWait
}

const (
	// onTimeShare is the share of requests that are to be on time if they are placed as expected. A
	// request that is placed and then late has taken the room of one that would have been on time.
	onTimeShare = 0.75
	// marginStep is how far one observation moves the margin, and initialMargin the margin before any.
	marginStep    = 20 * time.Millisecond
	initialMargin = 100 * time.Millisecond
	// maxMargin bounds the margin, so that slow engines do not stop all waiting.
	maxMargin = 300 * time.Millisecond
)

// leadMargin estimates by how much the time from the placement to the first event exceeds the
// expected one in all but onTimeShare of the requests.
type leadMargin struct {
	// offset is the difference to initialMargin.
	offset time.Duration
}

// value returns the margin.
func (m *leadMargin) value() time.Duration { return initialMargin + m.offset }

// observe records by how much the time exceeded the expected one.
func (m *leadMargin) observe(excess time.Duration) {
	step := -(1 - onTimeShare)
	if excess > m.value() {
		step = onTimeShare
	}
	m.offset += time.Duration(step * float64(marginStep))
	m.offset = max(-initialMargin, min(maxMargin-initialMargin, m.offset))
}

// correction is the mean difference between observed and expected waits.
type correction struct {
	seconds   float64
	updatedAt time.Time
}

// at returns the correction at a time.
func (k *correction) at(now time.Time) time.Duration {
	faded := k.seconds * math.Exp2(-max(0, now.Sub(k.updatedAt).Seconds())/correctionHalfLife.Seconds())
	return time.Duration(faded * float64(time.Second))
}

// observe records the wait of a placed request.
func (k *correction) observe(now time.Time, expected, waited time.Duration) {
	faded := k.at(now).Seconds()
	// The expected wait already includes the correction of its time.
	difference := max(-maxCorrection, min(maxCorrection, waited-expected))
	bound := maxCorrection.Seconds()
	k.seconds, k.updatedAt = math.Max(-bound, math.Min(bound, faded+correctionWeight*difference.Seconds())), now
}
