package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// waitingAsk is an ask that is queued at the grantor until a slot is free.
type waitingAsk struct {
	ask    Ask
	key    slotkit.Key
	holder ident.InstanceID
	// dueAt is when the first output is due.
	dueAt time.Time
	// waitEnd is when the ask is denied if it has not been granted.
	waitEnd time.Time
	// overtakes counts the later asks that were granted first because they need
	// less memory.
	overtakes int
}

// feasible reports whether the first output can still meet its due time if a
// slot is leased now.
func (w *waitingAsk) feasible(now time.Time) bool {
	return !now.Add(w.ask.Lead.Duration()).After(w.dueAt)
}

// denyAt returns when the ask must be denied if it has not been granted: when
// its wait ends or just after it stops being feasible, whichever is earlier.
func (w *waitingAsk) denyAt() time.Time {
	start := w.dueAt.Add(-w.ask.Lead.Duration())
	return slotkit.Earlier(w.waitEnd, start.Add(time.Nanosecond))
}

// askQueue holds the waiting asks in the order of their due times.
type askQueue []waitingAsk

// insert adds an ask, behind those that have the same due time.
func (q *askQueue) insert(w waitingAsk) {
	at := len(*q)
	for at > 0 && w.dueAt.Before((*q)[at-1].dueAt) {
		at--
	}
	*q = append(*q, waitingAsk{})
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

// find returns the index of the ask, or -1 if there is none.
func (q askQueue) find(key slotkit.Key) int {
	for i := range q {
		if q[i].key == key {
			return i
		}
	}
	return -1
}

// remove removes and returns the ask at index i.
func (q *askQueue) remove(i int) waitingAsk {
	w := (*q)[i]
	*q = append((*q)[:i], (*q)[i+1:]...)
	return w
}
