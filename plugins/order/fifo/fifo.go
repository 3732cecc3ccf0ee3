// Package fifo serves waiting requests in order of arrival. It serves as the
// baseline for comparisons with other policies.
package fifo

import (
	"iter"
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Order implements kernel.QueueOrder.
type Order struct {
	waiting []*kernel.QueuedRequest
}

// Attach implements kernel.Attacher.
func (*Order) Attach(kernel.Host) {}

// Add implements kernel.QueueOrder.
func (o *Order) Add(w *kernel.QueuedRequest) { o.waiting = append(o.waiting, w) }

// Remove implements kernel.QueueOrder.
func (o *Order) Remove(id ident.RequestID) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w *kernel.QueuedRequest) bool {
		return w.Request.ID == id
	})
}

// All implements kernel.QueueOrder.
func (o *Order) All() iter.Seq[*kernel.QueuedRequest] { return slices.Values(o.waiting) }

// Len implements kernel.QueueOrder.
func (o *Order) Len() int { return len(o.waiting) }

// Served implements kernel.QueueOrder. It does nothing, because the order does not
// depend on past usage.
func (*Order) Served(*kernel.Request, float64) {}
