package perf

import (
	"math"
	"sort"
	"time"
)

// FlowID identifies a transfer over a Link.
type FlowID uint64

// Link models a KV transfer link whose rate is shared equally by the transfers in flight.
// Times are offsets from an arbitrary fixed start and must not decrease. A Link is not safe
// for concurrent use.
type Link struct {
	rate  float64 // bytes per second; 0 is a stalled link
	now   time.Duration
	flows map[FlowID]float64 // remaining bytes
}

// doneBytes is the remainder up to which a transfer counts as finished. It allows for the
// rounding of times to nanoseconds.
const doneBytes = 64

// NewLink returns an idle link with the given rate in bytes per second.
func NewLink(rate float64) *Link {
	return &Link{rate: rate, flows: make(map[FlowID]float64)}
}

// Len returns the number of transfers in flight.
func (l *Link) Len() int { return len(l.flows) }

// SetRate changes the rate at the given time; 0 stalls all transfers.
func (l *Link) SetRate(now time.Duration, rate float64) {
	l.advance(now)
	l.rate = rate
}

// Add starts a transfer at the given time.
func (l *Link) Add(now time.Duration, id FlowID, bytes int64) {
	l.advance(now)
	l.flows[id] = float64(bytes)
}

// Remove cancels a transfer. It does nothing if there is no such transfer.
func (l *Link) Remove(now time.Duration, id FlowID) {
	l.advance(now)
	delete(l.flows, id)
}

// Finished removes and returns the transfers that have finished at the given time, sorted
// by ID.
func (l *Link) Finished(now time.Duration) []FlowID {
	l.advance(now)
	var done []FlowID
	for id, left := range l.flows {
		if left <= doneBytes {
			done = append(done, id)
		}
	}
	for _, id := range done {
		delete(l.flows, id)
	}
	sort.Slice(done, func(i, j int) bool { return done[i] < done[j] })
	return done
}

// Next returns the time at which the next transfer finishes if nothing changes. It returns
// false if there is no transfer or the link is stalled.
func (l *Link) Next() (time.Duration, bool) {
	if len(l.flows) == 0 || l.rate <= 0 {
		return 0, false
	}
	least := math.Inf(1)
	for _, left := range l.flows {
		least = min(least, left)
	}
	left := max(least, 0) * float64(len(l.flows)) / l.rate
	return l.now + seconds(left), true
}

// advance moves the link's time forward. The rate is not redistributed when a transfer
// finishes during one advance: the unused rest of its share is lost. Because the user of the
// Link calls Finished at the time of Next, the loss is limited to the delay of that call's
// timer.
func (l *Link) advance(now time.Duration) {
	if now <= l.now {
		return
	}
	passed := (now - l.now).Seconds()
	l.now = now
	if len(l.flows) == 0 {
		return
	}
	share := passed * l.rate / float64(len(l.flows))
	for id := range l.flows {
		l.flows[id] -= share
	}
}
