package feasible

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/admission/internal/jitter"
)

const (
	// leastComeBack and mostComeBack bound the Retry-After time of a refused
	// request before jitter is applied.
	leastComeBack = 500 * time.Millisecond
	mostComeBack  = 20 * time.Second
	// returning is the fraction of refused callers that are expected to retry.
	returning = 0.5
	// firstInterval is the assumed time between placements until one has been
	// measured.
	firstInterval = 50 * time.Millisecond
	// mostInterval bounds one measured interval, so that an idle period is not
	// taken for a low rate of placements.
	mostInterval = time.Second
	// smoothing is the weight of the newest interval in the moving average.
	smoothing = 0.1
)

// comeBack computes Retry-After times. It schedules each refused caller after
// those refused before it, at the rate of placements, so that the time grows with
// the number of callers that were recently refused.
type comeBack struct {
	// until is the time at which the most recently refused caller is expected to
	// retry.
	until time.Time
	// interval is the moving average of the time between placements, and
	// lastPlaced the time of the last one.
	interval   time.Duration
	lastPlaced time.Time
}

// placed records a placement at time now.
func (b *comeBack) placed(now time.Time) {
	if !b.lastPlaced.IsZero() {
		took := min(now.Sub(b.lastPlaced), mostInterval)
		b.interval = b.pace() + time.Duration(smoothing*float64(took-b.pace()))
	}
	b.lastPlaced = now
}

// pace returns the mean time between placements.
func (b *comeBack) pace() time.Duration {
	if b.interval <= 0 {
		return firstInterval
	}
	return b.interval
}

// after returns the Retry-After time for a refused request whose first output
// would be late by excess, and adds its caller to the schedule.
func (b *comeBack) after(id ident.RequestID, excess time.Duration, now time.Time) time.Duration {
	if b.until.Before(now) {
		b.until = now
	}
	b.until = b.until.Add(time.Duration(returning * float64(b.pace())))
	if limit := now.Add(mostComeBack); b.until.After(limit) {
		b.until = limit
	}
	wait := max(excess, b.until.Sub(now), leastComeBack)
	return jitter.Prolong(min(wait, mostComeBack), id)
}
