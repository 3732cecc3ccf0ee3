package carry

import (
	"context"
	"sync"
	"time"
)

const (
	// lineTick is how often the head of a queue checks for capacity. The streams of other
	// instances end without a notification to this one.
	lineTick = 15 * time.Millisecond
)

// line is the queue of requests that wait for capacity at the decode engines of a service. It is
// ordered by priority, then requests that can still meet their objective before those that
// cannot, then by arrival.
type line struct {
	mu      sync.Mutex
	waiting []*waiter
}

// waiter is a request that waits in a queue.
type waiter struct {
	priority int
	// late means that the request cannot meet its objective any more: a stream that its caller
	// resumes has already paused for longer than its pace objective.
	late    bool
	arrived time.Time
	// wake receives a value when capacity may have become available.
	wake chan struct{}
}

// before reports whether w is ahead of o in the queue.
func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	if w.late != o.late {
		return o.late
	}
	return w.arrived.Before(o.arrived)
}

// newWaiter returns a waiter that is in no queue.
func newWaiter(priority int, late bool, arrived time.Time) *waiter {
	return &waiter{priority: priority, late: late, arrived: arrived, wake: make(chan struct{}, 1)}
}

// join inserts a request.
func (l *line) join(priority int, late bool, arrived time.Time) *waiter {
	w := newWaiter(priority, late, arrived)
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.waiting)
	for at > 0 && w.before(l.waiting[at-1]) {
		at--
	}
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = w
	return w
}

// leave removes a request and wakes the new head of the queue.
func (l *line) leave(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.waiting {
		if o == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	l.wakeFirst()
}

// first reports whether the request is at the head of the queue.
func (l *line) first(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 && l.waiting[0] == w
}

// length returns the number of waiting requests.
func (l *line) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// roomCame wakes the head of the queue when capacity may have become available.
func (l *line) roomCame() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeFirst()
}

// wakeFirst wakes the head of the queue. The caller must hold mu.
func (l *line) wakeFirst() {
	if len(l.waiting) == 0 {
		return
	}
	select {
	case l.waiting[0].wake <- struct{}{}:
	default:
	}
}

// wait blocks until the waiter is woken, lineTick has passed, or ctx ends.
func (w *waiter) wait(ctx context.Context) {
	timer := time.NewTimer(lineTick)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lineOf returns the queue of a service.
func (c *Carrier) lineOf(service string) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lines[service]
	if l == nil {
		l = &line{}
		c.lines[service] = l
	}
	return l
}
