package engine

import "container/heap"

// prefillQueue holds the waiting prefills, ordered by priority number (lowest
// first), then by arrival.
type prefillQueue struct {
	items  queueItems
	tokens int // total prompt tokens of all items
}

// len returns the number of waiting prefills.
func (q *prefillQueue) len() int { return len(q.items) }

// push adds an attempt.
func (q *prefillQueue) push(a *attempt) {
	heap.Push(&q.items, a)
	q.tokens += a.promptTokens
}

// head returns the attempt to run next, or nil if the queue is empty.
func (q *prefillQueue) head() *attempt {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// remove removes an attempt from the queue, if it is queued.
func (q *prefillQueue) remove(a *attempt) {
	for i, other := range q.items {
		if other == a {
			heap.Remove(&q.items, i)
			q.tokens -= a.promptTokens
			return
		}
	}
}

// queueItems implements heap.Interface.
type queueItems []*attempt

func (q queueItems) Len() int { return len(q) }

func (q queueItems) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queueItems) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queueItems) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop implements heap.Interface.
func (q *queueItems) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
