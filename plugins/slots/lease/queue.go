package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// waitingAsk is an ask that waits at the grantor for a slot.
type waitingAsk struct {
	ask    Ask
	key    slotkit.Key
	holder ident.InstanceID
	// by is when the first output is due.
	by time.Time
	// until is when the ask must be answered at the latest.
	until time.Time
	// passed counts the later asks that went first because they need less
	// memory.
	passed int
}

// feasible reports whether a slot leased now still meets the due time.
func (w *waitingAsk) feasible(now time.Time) bool {
	return !now.Add(w.ask.Lead.Duration()).After(w.by)
}

// lastCall returns when the ask must be denied if it was not granted.
func (w *waitingAsk) lastCall() time.Time {
	start := w.by.Add(-w.ask.Lead.Duration())
	return slotkit.Earlier(w.until, start.Add(time.Nanosecond))
}

// askQueue holds the waiting asks, the one due first in front.
type askQueue []waitingAsk

// insert puts an ask in its place.
func (q *askQueue) insert(w waitingAsk) {
	at := len(*q)
	for at > 0 && w.by.Before((*q)[at-1].by) {
		at--
	}
	*q = append(*q, waitingAsk{})
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

// find returns the ask's place, -1 if there is none.
func (q askQueue) find(key slotkit.Key) int {
	for i := range q {
		if q[i].key == key {
			return i
		}
	}
	return -1
}

// take removes and returns the ask at place i.
func (q *askQueue) take(i int) waitingAsk {
	w := (*q)[i]
	*q = append((*q)[:i], (*q)[i+1:]...)
	return w
}
