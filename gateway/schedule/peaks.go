package schedule

import (
	"math"
	"time"
)

const (
	// expectedBurst is the ratio by which demand is expected to rise above its mean before any
	// burst has been observed. Traffic doubles for 4 to 5 s on all known deployments.
	expectedBurst = 2.0
	// meanHalfLife is the half-life of the mean demand. A burst of 4 s raises the mean by a
	// third of the burst's height.
	meanHalfLife = 8 * time.Second
	// peakHalfLife is the half-life of the peak demand. Bursts occur about every 10 s.
	peakHalfLife = 60 * time.Second
)

// Peaks tracks the peak demand for a service, for plans that take longer to carry out than a
// burst lasts. With plans based on the mean, engines that had left the stage that was short in
// one burst returned to it only in the middle of the next. Peaks is not safe for concurrent
// use.
type Peaks struct {
	at   time.Time
	mean Work
	peak Work
	// observedShare is the share of the mean that is based on observations. The rest is the
	// initial zero.
	observedShare float64
}

// Observe records the current demand and returns the demand to plan for.
func (p *Peaks) Observe(now time.Time, n Need) Need {
	elapsed := now.Sub(p.at).Seconds()
	if p.at.IsZero() {
		elapsed = 1
	}
	p.at = now
	keep := math.Exp2(-elapsed / meanHalfLife.Seconds())
	p.observedShare = p.observedShare*keep + 1 - keep
	p.mean = p.mean.times(keep).plus(n.Work.times(1 - keep))
	p.peak = p.peak.times(math.Exp2(-elapsed / peakHalfLife.Seconds())).max(n.Work)
	n.Work = p.peak.max(p.mean.times(expectedBurst / p.observedShare))
	return n
}

// times returns the work multiplied by f.
func (w Work) times(f float64) Work {
	return Work{Prefill: w.Prefill * f, Memory: w.Memory * f, Streams: w.Streams * f, Requests: w.Requests * f}
}

// plus returns the sum of two demands.
func (w Work) plus(o Work) Work {
	return Work{
		Prefill: w.Prefill + o.Prefill, Memory: w.Memory + o.Memory, Streams: w.Streams + o.Streams,
		Requests: w.Requests + o.Requests,
	}
}

// max returns the maximum of two demands, separately for each component except Requests.
func (w Work) max(o Work) Work {
	return Work{
		Prefill: math.Max(w.Prefill, o.Prefill), Memory: math.Max(w.Memory, o.Memory),
		Streams: math.Max(w.Streams, o.Streams),
	}
}
