package feasible

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which what was learned counts half. It bounds
	// how long a lesson of an overload outlives it.
	halfLife = 3 * time.Second
	// trust is the weight of the uncorrected prediction, in seconds of
	// predictions seen.
	trust = 1.0
	// leastFactor and mostFactor bound the correction.
	leastFactor = 0.7
	mostFactor  = 3.0
)

// correction learns by what factor the times to first output differ from their
// predictions. With no news it returns to 1, so that requests refused by a
// lesson that is out of date are admitted again and teach a new one.
type correction struct {
	// predicted and took are sums in seconds that fade with halfLife.
	predicted, took float64
	at              time.Time
}

// fade lets time pass.
func (c *correction) fade(now time.Time) {
	if now.After(c.at) && !c.at.IsZero() {
		left := math.Exp2(-now.Sub(c.at).Seconds() / halfLife.Seconds())
		c.predicted *= left
		c.took *= left
	}
	c.at = now
}

// learn takes in one request.
func (c *correction) learn(predicted, took time.Duration, now time.Time) {
	c.fade(now)
	c.predicted += predicted.Seconds()
	// A request cannot teach more than the bound, or one that was held up for
	// a reason of its own would refuse many others.
	c.took += min(took.Seconds(), mostFactor*predicted.Seconds())
}

// factor is the correction at the given time.
func (c *correction) factor(now time.Time) float64 {
	c.fade(now)
	f := (c.took + trust) / (c.predicted + trust)
	return min(max(f, leastFactor), mostFactor)
}

// apply corrects a prediction.
func (c *correction) apply(predicted time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(predicted) * c.factor(now))
}
