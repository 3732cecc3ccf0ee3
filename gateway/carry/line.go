package carry

import (
	"context"
	"sync"
	"time"
)

const (
	// lineTick is how often the head of a line looks for room: peers' streams end
	// without a word to this instance.
	lineTick = 15 * time.Millisecond
)

// line is the queue of requests that wait for room at a service's decode engines,
// the most urgent first, of these the ones that can still be on time, then in order
// of arrival.
type line struct {
	mu      sync.Mutex
	waiting []*waiter
}

// waiter is a request in a line.
type waiter struct {
	priority int
	// late requests can't be on time any more, whatever they get: a stream that its
	// caller resumes has paused for longer than its pace objective.
	late    bool
	arrived time.Time
	// wake is signalled when room may have come.
	wake chan struct{}
}

// before reports whether w goes before o.
func (w *waiter) before(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	if w.late != o.late {
		return o.late
	}
	return w.arrived.Before(o.arrived)
}

// newWaiter returns a request that is in no line.
func newWaiter(priority int, late bool, arrived time.Time) *waiter {
	return &waiter{priority: priority, late: late, arrived: arrived, wake: make(chan struct{}, 1)}
}

// join adds a request.
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

// leave takes a request out and wakes the one that is first now.
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

// first reports whether nobody goes before the request.
func (l *line) first(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 && l.waiting[0] == w
}

// length returns how many requests wait.
func (l *line) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// roomCame wakes the first.
func (l *line) roomCame() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeFirst()
}

// wakeFirst wakes the first. The caller holds mu.
func (l *line) wakeFirst() {
	if len(l.waiting) == 0 {
		return
	}
	select {
	case l.waiting[0].wake <- struct{}{}:
	default:
	}
}

// wait waits for a wake-up, a tick or the end of ctx.
func (w *waiter) wait(ctx context.Context) {
	timer := time.NewTimer(lineTick)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lineOf returns the line of a service.
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
