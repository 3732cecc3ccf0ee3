package dispatch

import (
	"iter"
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// arrivals is a first-in, first-out queue order. It replaces the bundle's queue
// order if that cannot be loaded, so that requests are still served.
type arrivals struct {
	list []*kernel.Waiting
}

// PluginInfo implements plugin.Plugin; arrivals is not registered.
func (*arrivals) PluginInfo() plugin.Info { return plugin.Info{} }

// Attach implements kernel.Attacher.
func (*arrivals) Attach(kernel.Host) {}

// Add implements kernel.QueueOrder.
func (a *arrivals) Add(w *kernel.Waiting) { a.list = append(a.list, w) }

// Remove implements kernel.QueueOrder.
func (a *arrivals) Remove(id ident.RequestID) {
	a.list = slices.DeleteFunc(a.list, func(w *kernel.Waiting) bool { return w.Request.ID == id })
}

// All implements kernel.QueueOrder.
func (a *arrivals) All() iter.Seq[*kernel.Waiting] { return slices.Values(a.list) }

// Len implements kernel.QueueOrder.
func (a *arrivals) Len() int { return len(a.list) }

// Served implements kernel.QueueOrder; it changes nothing.
func (*arrivals) Served(*kernel.Request, float64) {}
