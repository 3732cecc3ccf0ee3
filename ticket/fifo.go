package ticket

// fifo is a first-in, first-out queue. Its zero value is empty.
type fifo[T any] struct {
	items []T
	head  int
}

// push adds an item at the end.
func (q *fifo[T]) push(item T) { q.items = append(q.items, item) }

// first returns the oldest item, or false if there is none.
func (q *fifo[T]) first() (T, bool) {
	if q.head == len(q.items) {
		var none T
		return none, false
	}
	return q.items[q.head], true
}

// pop removes the oldest item. The queue must not be empty.
func (q *fifo[T]) pop() {
	var none T
	q.items[q.head] = none // allow garbage collection of what it points to
	q.head++
	// The rest is moved only if it is no larger than the free part, which makes
	// the amortized cost of pop constant.
	if 2*q.head >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
}
