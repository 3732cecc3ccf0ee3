// Package fair shares engine time between workspaces by weight and serves each
// workspace's requests in the order in which their first output is due.
package fair

import (
	"cmp"
	"iter"
	"slices"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Order implements kernel.QueueOrder.
type Order struct {
	waiting []*kernel.Waiting
	weight  map[ident.Workspace]float64
	used    map[ident.Workspace]float64
}

// Attach implements kernel.Attacher.
func (o *Order) Attach(kernel.Host) { o.used = map[ident.Workspace]float64{} }

// Configure implements kernel.Configurer.
func (o *Order) Configure(c *config.Content) {
	o.weight = map[ident.Workspace]float64{}
	for _, w := range c.Workspaces {
		o.weight[w.Name] = w.Weight
	}
}

// Add implements kernel.QueueOrder.
func (o *Order) Add(w *kernel.Waiting) { o.waiting = append(o.waiting, w) }

// Remove implements kernel.QueueOrder.
func (o *Order) Remove(id ident.RequestID) {
	o.waiting = slices.DeleteFunc(o.waiting, func(w *kernel.Waiting) bool {
		return w.Request.ID == id
	})
}

// All implements kernel.QueueOrder.
func (o *Order) All() iter.Seq[*kernel.Waiting] {
	sorted := slices.Clone(o.waiting)
	slices.SortStableFunc(sorted, func(a, b *kernel.Waiting) int {
		if c := cmp.Compare(o.used[a.Request.Workspace], o.used[b.Request.Workspace]); c != 0 {
			return c
		}
		return a.Request.FirstOutputBy.Compare(b.Request.FirstOutputBy)
	})
	return slices.Values(sorted)
}

// Len implements kernel.QueueOrder.
func (o *Order) Len() int { return len(o.waiting) }

// Served implements kernel.QueueOrder.
func (o *Order) Served(r *kernel.Request, engineSeconds float64) {
	weight := o.weight[r.Workspace]
	if weight <= 0 {
		weight = 1
	}
	o.used[r.Workspace] += engineSeconds / weight
}
