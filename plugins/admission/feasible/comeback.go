package feasible

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/admission/internal/jitter"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refused
	// request before jitter is applied.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 20 * time.Second
	// retryFraction is the fraction of refused callers that are expected to
	// retry.
	retryFraction = 0.5
	// initialInterval is the assumed time between placements until one has been
	// measured.
	initialInterval = 50 * time.Millisecond
	// maxInterval bounds one measured interval, so that an idle period is not
	// taken for a low rate of placements.
	maxInterval = time.Second
	// smoothing is the weight of the newest interval in the moving average.
	smoothing = 0.1
)

// retrySchedule computes Retry-After times. It schedules each refused caller
// after those refused before it, at the rate of placements, so that the time
// grows with the number of callers that were recently refused.
type retrySchedule struct {
	// until is the time at which the most recently refused caller is expected to
	// retry.
	until time.Time
	// interval is the moving average of the time between placements, and
	// lastPlacement the time of the last one.
	interval      time.Duration
	lastPlacement time.Time
}

// recordPlacement records a placement at time now.
func (b *retrySchedule) recordPlacement(now time.Time) {
	if !b.lastPlacement.IsZero() {
		interval := min(now.Sub(b.lastPlacement), maxInterval)
		b.interval = b.meanInterval() + time.Duration(smoothing*float64(interval-b.meanInterval()))
	}
	b.lastPlacement = now
}

// meanInterval returns the mean time between placements.
func (b *retrySchedule) meanInterval() time.Duration {
	if b.interval <= 0 {
		return initialInterval
	}
	return b.interval
}

// retryAfter returns the Retry-After time for a refused request whose first
// output would be late by excess, and adds its caller to the schedule.
func (b *retrySchedule) retryAfter(id ident.RequestID, excess time.Duration, now time.Time) time.Duration {
	if b.until.Before(now) {
		b.until = now
	}
	b.until = b.until.Add(time.Duration(retryFraction * float64(b.meanInterval())))
	if limit := now.Add(maxRetryAfter); b.until.After(limit) {
		b.until = limit
	}
	wait := max(excess, b.until.Sub(now), minRetryAfter)
	return jitter.Prolong(min(wait, maxRetryAfter), id)
}
