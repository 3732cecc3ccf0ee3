package admission

import "time"

// queue holds the waiting requests of a service at one instance, the first one first: by rank, then
// requests that can be on time, then by arrival.
type queue []*Waiter

// goesBefore reports whether w is ahead of o in a queue.
func (w *Waiter) goesBefore(o *Waiter) bool {
	switch {
	case w.rank != o.rank:
		return w.rank < o.rank
	case w.request.Late != o.request.Late:
		return o.request.Late
	default:
		return w.request.Arrived.Before(o.request.Arrived)
	}
}

// insert adds a request.
func (q *queue) insert(w *Waiter) {
	at := len(*q)
	for at > 0 && w.goesBefore((*q)[at-1]) {
		at--
	}
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

// remove removes a request and wakes the new head. It reports false if the request is not in the
// queue.
func (q *queue) remove(w *Waiter) bool {
	for i, o := range *q {
		if o == w {
			*q = append((*q)[:i], (*q)[i+1:]...)
			q.wakeFirst()
			return true
		}
	}
	return false
}

// first reports whether a request is at the head.
func (q queue) first(w *Waiter) bool { return len(q) > 0 && q[0] == w }

// before returns the number of requests ahead of one.
func (q queue) before(w *Waiter) int {
	for i, o := range q {
		if o == w {
			return i
		}
	}
	return len(q)
}

// wakeFirst wakes the head.
func (q queue) wakeFirst() {
	if len(q) == 0 {
		return
	}
	select {
	case q[0].wake <- struct{}{}:
	default:
	}
}

// waiting returns the number of requests by rank.
func (q queue) waiting() (n [Ranks]int) {
	for _, w := range q {
		n[w.rank]++
	}
	return n
}

// heldWithRoom reports whether the head is held back although an engine has room for it.
func (q queue) heldWithRoom(now time.Time) bool { return len(q) > 0 && q[0].heldWithRoom(now) }
