// Package deadline serves waiting requests in the order in which their first
// output is due. Requests that resume an interrupted response come first, and
// requests whose first output is overdue come last.
package deadline

import (
	"iter"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/due"
)

// Order implements kernel.QueueOrder.
type Order struct {
	host  kernel.Host
	queue due.Queue
}

// Attach implements kernel.Attacher.
func (o *Order) Attach(h kernel.Host) { o.host = h }

// Add implements kernel.QueueOrder.
func (o *Order) Add(w *kernel.QueuedRequest) { o.queue.Add(w) }

// Remove implements kernel.QueueOrder.
func (o *Order) Remove(id ident.RequestID) { o.queue.Remove(id) }

// All implements kernel.QueueOrder.
func (o *Order) All() iter.Seq[*kernel.QueuedRequest] { return o.queue.All(o.host.Now()) }

// Len implements kernel.QueueOrder.
func (o *Order) Len() int { return o.queue.Len() }

// Served implements kernel.QueueOrder. It does nothing, because the order does not
// depend on past usage.
func (*Order) Served(*kernel.Request, float64) {}
