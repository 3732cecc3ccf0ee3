package feasible

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/admission/internal/jitter"
)

const (
	// leastComeBack and mostComeBack bound what a refused caller is told, before
	// it is spread.
	leastComeBack = 500 * time.Millisecond
	mostComeBack  = 20 * time.Second
	// returning is the share of refused callers that are expected to come back.
	returning = 0.5
	// firstInterval is the time between placements before any was seen.
	firstInterval = 50 * time.Millisecond
	// mostInterval bounds one measured interval, so that an idle time does not
	// count as slowness.
	mostInterval = time.Second
	// smoothing is the weight of the newest interval.
	smoothing = 0.1
)

// comeBack schedules refused callers. Each takes its turn after those refused
// before it, at the pace of placements, so that the time told grows with the
// number of callers that were sent away.
type comeBack struct {
	// until is when the last caller sent away is expected.
	until time.Time
	// interval is the mean time between placements, lastPlaced the last one.
	interval   time.Duration
	lastPlaced time.Time
}

// placed notes a placement.
func (b *comeBack) placed(now time.Time) {
	if !b.lastPlaced.IsZero() {
		took := min(now.Sub(b.lastPlaced), mostInterval)
		b.interval = b.pace() + time.Duration(smoothing*float64(took-b.pace()))
	}
	b.lastPlaced = now
}

// pace is the mean time between placements.
func (b *comeBack) pace() time.Duration {
	if b.interval <= 0 {
		return firstInterval
	}
	return b.interval
}

// after is what to tell the caller of a request that would be late by excess.
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
