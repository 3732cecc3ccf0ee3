package schedule

import (
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// rest is the time until which an upstream wants no requests from this instance.
type rest struct {
	incarnation ident.Incarnation
	until       time.Time
}

// ObserveRest records that an upstream wants no requests from this instance for a time, and reports
// whether that begins a rest. Each response counts from its own arrival, so a later one does not
// shorten the rest.
func (b *Scheduler) ObserveRest(now time.Time, u dialect.Upstream, lasts time.Duration) bool {
	if lasts <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rests[u.ID]
	if r != nil && u.Restarted(r.incarnation) {
		return false
	}
	if r == nil || r.incarnation != u.Incarnation {
		r = &rest{incarnation: u.Incarnation}
		b.rests[u.ID] = r
	}
	begins := !now.Before(r.until)
	if until := now.Add(lasts); until.After(r.until) {
		r.until = until
	}
	return begins
}

// Resting reports whether an upstream has asked this instance for rest that has not ended.
func (b *Scheduler) Resting(now time.Time, u dialect.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resting(now, u)
}

// resting is Resting for a caller that holds mu.
func (b *Scheduler) resting(now time.Time, u dialect.Upstream) bool {
	r := b.rests[u.ID]
	return r != nil && r.incarnation == u.Incarnation && now.Before(r.until)
}
