package feasible

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of an observation halves. It
	// bounds the time for which observations from an overload affect admission
	// after the overload has ended.
	halfLife = 3 * time.Second
	// priorWeight is the weight of the uncorrected prediction. It is equivalent
	// to that many seconds of predicted time observed without an error.
	priorWeight = 1.0
	// minFactor and maxFactor bound the correction factor.
	minFactor = 0.7
	maxFactor = 3.0
)

// correction estimates the ratio of measured to predicted times to first output.
// Without new observations the factor returns to 1. Otherwise an outdated factor
// could refuse all requests, and no request would be left to correct it.
type correction struct {
	// predicted and measured are sums in seconds that decay with halfLife.
	predicted, measured float64
	// at is the time up to which the decay has been applied.
	at time.Time
}

// decay applies the decay up to time now.
func (c *correction) decay(now time.Time) {
	if now.After(c.at) && !c.at.IsZero() {
		left := math.Exp2(-now.Sub(c.at).Seconds() / halfLife.Seconds())
		c.predicted *= left
		c.measured *= left
	}
	c.at = now
}

// observe adds the predicted and the measured time of one request.
func (c *correction) observe(predicted, measured time.Duration, now time.Time) {
	c.decay(now)
	c.predicted += predicted.Seconds()
	// The measured time is bounded. Otherwise a single request that was delayed
	// for an unrelated reason could cause many others to be refused.
	c.measured += min(measured.Seconds(), maxFactor*predicted.Seconds())
}

// factor returns the correction factor at time now.
func (c *correction) factor(now time.Time) float64 {
	c.decay(now)
	f := (c.measured + priorWeight) / (c.predicted + priorWeight)
	return min(max(f, minFactor), maxFactor)
}

// apply returns the prediction multiplied by the correction factor.
func (c *correction) apply(predicted time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(predicted) * c.factor(now))
}
