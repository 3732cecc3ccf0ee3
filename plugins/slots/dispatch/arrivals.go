package dispatch

import (
	"iter"
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// fifoQueue is a first-in, first-out queue order. It replaces the bundle's queue
// order if that cannot be loaded, so that requests are still served.
type fifoQueue struct {
	requests []*kernel.QueuedRequest
}

// PluginInfo implements plugin.Plugin; fifoQueue is not registered.
func (*fifoQueue) PluginInfo() plugin.Info { return plugin.Info{} }

// Attach implements kernel.Attacher.
func (*fifoQueue) Attach(kernel.Host) {}

// Add implements kernel.QueueOrder.
func (a *fifoQueue) Add(w *kernel.QueuedRequest) { a.requests = append(a.requests, w) }

// Remove implements kernel.QueueOrder.
func (a *fifoQueue) Remove(id ident.RequestID) {
	a.requests = slices.DeleteFunc(a.requests, func(w *kernel.QueuedRequest) bool { return w.Request.ID == id })
}

// All implements kernel.QueueOrder.
func (a *fifoQueue) All() iter.Seq[*kernel.QueuedRequest] { return slices.Values(a.requests) }

// Len implements kernel.QueueOrder.
func (a *fifoQueue) Len() int { return len(a.requests) }

// Served implements kernel.QueueOrder; it changes nothing.
func (*fifoQueue) Served(*kernel.Request, float64) {}
