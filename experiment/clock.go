package experiment

import (
	"container/heap"
	"time"
)

// epoch is the time of day at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock executes functions in the order of virtual time. Functions due at the
// same time run in the order in which they were added.
type clock struct {
	now   time.Duration
	queue eventQueue
	added uint64
}

// event is a function scheduled for a point in virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// time returns the current virtual time as a time of day.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// at schedules do for a point in virtual time. A time in the past is treated as
// now.
func (c *clock) at(at time.Duration, do func()) {
	c.added++
	heap.Push(&c.queue, event{at: max(at, c.now), order: c.added, run: do})
}

// after schedules do for the end of a delay.
func (c *clock) after(delay time.Duration, do func()) { c.at(c.now+delay, do) }

// run executes everything that is due up to a time and sets the clock to that
// time.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
