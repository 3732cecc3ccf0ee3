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
	// timerFirstOutput refuses a request that has waited so long that it can no
	// longer meet its first-output target.
	timerFirstOutput
	// timerSchedule runs the scheduler again.
	timerSchedule
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
	// sequence numbers the timers in the order of their creation. It decides
	// between timers with the same time, so that runs are repeatable.
	sequence uint64
}

// timers is a min-heap of timers, ordered by time.
type timers struct {
	entries  []timer
	sequence uint64
}

func (t *timers) Len() int { return len(t.entries) }

func (t *timers) Less(i, j int) bool {
	a, b := t.entries[i], t.entries[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}

func (t *timers) Swap(i, j int) { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }

// Push implements heap.Interface; use add.
func (t *timers) Push(x any) { t.entries = append(t.entries, x.(timer)) }

// Pop implements heap.Interface; use popExpired.
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
	t.sequence++
	e.sequence = t.sequence
	heap.Push(t, e)
}

// next returns the time of the earliest timer, false if there is none.
func (t *timers) next() (time.Time, bool) {
	if len(t.entries) == 0 {
		return time.Time{}, false
	}
	return t.entries[0].at, true
}

// popExpired removes and returns the earliest timer if it has expired at the
// time now.
func (t *timers) popExpired(now time.Time) (timer, bool) {
	if len(t.entries) == 0 || t.entries[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// scheduleAt arranges for the scheduler to run again at the given time. If an
// earlier run is already pending, it does nothing, since that run calls
// scheduleAt again if necessary.
func (k *Kernel) scheduleAt(at time.Time) {
	if !k.nextScheduleAt.IsZero() && !at.Before(k.nextScheduleAt) {
		return
	}
	k.nextScheduleAt = at
	k.timers.add(at, timerSchedule, "")
}

func (k *Kernel) runTimers() {
	for {
		t, ok := k.timers.popExpired(k.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerDeadline:
			k.deadlinePassed(t.request)
		case timerCancel:
			k.repeatCancel(t.attempt)
		case timerFirstOutput:
			k.refuseIfLate(t.request)
		case timerSchedule:
			k.dirty = true
			k.nextScheduleAt = time.Time{}
		case timerKV:
			k.kvExpired(t.attempt)
		}
	}
}
