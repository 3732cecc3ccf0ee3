package journal

// ring is a ring buffer that keeps the latest items.
type ring[T any] struct {
	items []T
	next  int
}

// newRing returns a ring for size items. It allocates all of its memory at
// once.
func newRing[T any](size int) ring[T] { return ring[T]{items: make([]T, 0, size)} }

// add adds an item and discards the oldest one if the ring is full.
func (r *ring[T]) add(item T) {
	if len(r.items) < cap(r.items) {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % len(r.items)
}

// find returns the items that match, oldest first.
func (r *ring[T]) find(match func(*T) bool) []T {
	var found []T
	for i := range r.items {
		item := &r.items[(r.next+i)%len(r.items)]
		if match(item) {
			found = append(found, *item)
		}
	}
	return found
}
