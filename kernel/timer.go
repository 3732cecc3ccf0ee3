package kernel

import (
	"container/heap"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// timerKind is the purpose of a timer.
type timerKind int

const (
	// timerDeadline ends a request whose deadline has passed.
	timerDeadline timerKind = iota + 1
	// timerCancel repeats an unacknowledged cancel.
	timerCancel
	// timerLate refuses a request that has waited so long that it can no longer
	// meet its first-output target.
	timerLate
	// timerKick runs the scheduler again.
	timerKick
	// timerKV releases a KV cache that can no longer be imported because its
	// call has waited too long for a decode slot.
	timerKV
)

// timer is one entry of the timer heap. Timers are never removed before they
// expire. Instead, the function that handles an expired timer checks whether it
// still applies.
type timer struct {
	at      time.Time
	kind    timerKind
	request ident.RequestID
	attempt ident.AttemptID
	// order is the order of creation. It decides between timers with the same
	// time, so that runs are repeatable.
	order uint64
}

// timers is a min-heap of timers, ordered by time.
type timers struct {
	entries []timer
	order   uint64
}

func (t *timers) Len() int { return len(t.entries) }

func (t *timers) Less(i, j int) bool {
	a, b := t.entries[i], t.entries[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

func (t *timers) Swap(i, j int) { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }

// Push implements heap.Interface; use add.
func (t *timers) Push(x any) { t.entries = append(t.entries, x.(timer)) }

// Pop implements heap.Interface; use due.
func (t *timers) Pop() any {
	last := t.entries[len(t.entries)-1]
	t.entries = t.entries[:len(t.entries)-1]
	return last
}

func (t *timers) add(at time.Time, kind timerKind, id ident.RequestID) {
	t.push(timer{at: at, kind: kind, request: id})
}

func (t *timers) addCancel(at time.Time, id ident.AttemptID) {
	t.push(timer{at: at, kind: timerCancel, attempt: id})
}

func (t *timers) addKV(at time.Time, reservation ident.AttemptID) {
	t.push(timer{at: at, kind: timerKV, attempt: reservation})
}

func (t *timers) push(e timer) {
	t.order++
	e.order = t.order
	heap.Push(t, e)
}

// next returns the time of the earliest timer, false if there is none.
func (t *timers) next() (time.Time, bool) {
	if len(t.entries) == 0 {
		return time.Time{}, false
	}
	return t.entries[0].at, true
}

// due removes and returns the earliest timer if it has expired at the time now.
func (t *timers) due(now time.Time) (timer, bool) {
	if len(t.entries) == 0 || t.entries[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// kick arranges for the scheduler to run again at the given time. If an earlier
// run is already pending, it does nothing, since that run calls kick again if
// necessary.
func (k *Kernel) kick(at time.Time) {
	if !k.kickAt.IsZero() && !at.Before(k.kickAt) {
		return
	}
	k.kickAt = at
	k.timers.add(at, timerKick, "")
}

func (k *Kernel) runTimers() {
	for {
		t, ok := k.timers.due(k.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerDeadline:
			k.deadlinePassed(t.request)
		case timerCancel:
			k.cancelDue(t.attempt)
		case timerLate:
			k.lateDue(t.request)
		case timerKick:
			k.dirty = true
			k.kickAt = time.Time{}
		case timerKV:
			k.kvDue(t.attempt)
		}
	}
}
