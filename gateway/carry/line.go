package carry

import (
	"context"
	"sync"
	"time"
)

const (
	// queuePollInterval is how often the head of a queue checks for capacity. The streams of
	// other instances end without a notification to this one.
	queuePollInterval = 15 * time.Millisecond
)

// waitQueue is the queue of requests that wait for capacity at the decode engines of a service.
// It is ordered by priority, then requests that can still meet their objective before those that
// cannot, then by arrival.
type waitQueue struct {
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

// insert inserts a request.
func (q *waitQueue) insert(priority int, late bool, arrived time.Time) *waiter {
	w := newWaiter(priority, late, arrived)
	q.mu.Lock()
	defer q.mu.Unlock()
	at := len(q.waiting)
	for at > 0 && w.before(q.waiting[at-1]) {
		at--
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = w
	return w
}

// remove removes a request and wakes the new head of the queue.
func (q *waitQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, o := range q.waiting {
		if o == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.wakeHead()
}

// isHead reports whether the request is at the head of the queue.
func (q *waitQueue) isHead(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.waiting[0] == w
}

// length returns the number of waiting requests.
func (q *waitQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// capacityFreed wakes the head of the queue when capacity may have become available.
func (q *waitQueue) capacityFreed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeHead()
}

// wakeHead wakes the head of the queue. The caller must hold mu.
func (q *waitQueue) wakeHead() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].wake <- struct{}{}:
	default:
	}
}

// wait blocks until the waiter is woken, queuePollInterval has passed, or ctx ends.
func (w *waiter) wait(ctx context.Context) {
	timer := time.NewTimer(queuePollInterval)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// queueOf returns the queue of a service.
func (c *Forwarder) queueOf(service string) *waitQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[service]
	if q == nil {
		q = &waitQueue{}
		c.queues[service] = q
	}
	return q
}
