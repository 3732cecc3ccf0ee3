// Package deadline serves waiting requests in the order in which their first
// output is due. Requests whose target has passed go after all others.
package deadline

import (
	"iter"
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Order implements kernel.QueueOrder.
type Order struct {
	host    kernel.Host
	waiting []*kernel.Waiting
}

// Attach implements kernel.Attacher.
func (o *Order) Attach(h kernel.Host) { o.host = h }

// Add implements kernel.QueueOrder.
func (o *Order) Add(w *kernel.Waiting) {
	i, _ := slices.BinarySearchFunc(o.waiting, w, compare)
	o.waiting = slices.Insert(o.waiting, i, w)
}

// compare orders by due time, then by ID so that the order is total.
func compare(a, b *kernel.Waiting) int {
	if c := a.Request.FirstOutputBy.Compare(b.Request.FirstOutputBy); c != 0 {
		return c
	}
	if a.Request.ID < b.Request.ID {
		return -1
	}
	if a.Request.ID > b.Request.ID {
		return 1
	}
	return 0
}

// Remove implements kernel.QueueOrder.
func (o *Order) Remove(id ident.RequestID) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w *kernel.Waiting) bool {
		return w.Request.ID == id
	})
}

// All implements kernel.QueueOrder.
func (o *Order) All() iter.Seq[*kernel.Waiting] {
	return func(yield func(*kernel.Waiting) bool) {
		now := o.host.Now()
		for _, late := range []bool{false, true} {
			for _, w := range o.waiting {
				if now.After(w.Request.FirstOutputBy) == late && !yield(w) {
					return
				}
			}
		}
	}
}

// Len implements kernel.QueueOrder.
func (o *Order) Len() int { return len(o.waiting) }

// Served implements kernel.QueueOrder; it changes nothing.
func (*Order) Served(*kernel.Request, float64) {}
