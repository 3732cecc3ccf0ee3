// Package tsf orders workspaces by task share fairness (W. Wang, B. Li, B. Liang
// and J. Li, "Towards Multi-Resource Fair Allocation with Placement
// Constraints", SIGMETRICS 2016, doi:10.1145/2896377.2901493). The task share of
// a workspace is the number of its running requests divided by the number that
// it could run if it had all engines to itself and could use each of them. The
// workspace with the smallest task share is served first.
//
// The resources are decode slots, KV memory and prefill time.
// docs/design/fairness.md compares this policy with the alternatives.
package tsf

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/maxmin"
)

const (
	// averageWeight is the weight of the newest request in the moving average
	// of the time for which a workspace's requests hold their slots.
	averageWeight = 0.1
	// maxSlotTimes limits the number of workspaces whose average is stored.
	maxSlotTimes = 8192
)

// Order implements kernel.QueueOrder and kernel.Observer.
type Order struct {
	maxmin.Order
	host kernel.Host
	// totals is the total of the resources of all engines.
	totals resources
	// slotTimes is the moving average of the time, in seconds, for which a
	// workspace's requests hold their slots.
	slotTimes map[ident.Workspace]float64
}

// resources is an amount of each of the resources.
type resources struct {
	// slots is the number of decode slots, and pieces the KV memory of the decode
	// engines in pieces.
	slots, pieces float64
	// prefillRate is the prefill rate in prompt tokens per second.
	prefillRate float64
}

// Attach implements kernel.Attacher.
func (o *Order) Attach(h kernel.Host) {
	o.host = h
	o.Share = o.share
	o.Completed = o.recordSlotTime
	o.slotTimes = map[ident.Workspace]float64{}
	o.Order.Attach(h)
}

// Configure implements kernel.Configurer. It adds up the engines' resources.
func (o *Order) Configure(c *config.Content) {
	o.Order.Configure(c)
	o.totals = resources{}
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		switch u.Role {
		case config.RoleDecode:
			o.totals.slots += float64(u.Slots)
			o.totals.pieces += float64(u.Pieces)
		case config.RolePrefill:
			o.totals.prefillRate += u.PrefillTokensPerSecond
		}
	}
}

// share returns the request's dominant share, that is its share of the resource
// of which it needs the largest share. This is 1 divided by the number of such
// requests that all engines together could run at once. Each call to a plain
// service counts as 1.
func (o *Order) share(r *kernel.Request) float64 {
	if r.Route == config.RouteService {
		return 1
	}
	return max(o.slotShare(), o.memoryShare(r), o.prefillShare(r))
}

// slotShare returns the share that one request takes of the decode slots.
func (o *Order) slotShare() float64 {
	if o.totals.slots <= 0 {
		return 0
	}
	return 1 / o.totals.slots
}

// memoryShare returns the share that the request takes of the KV memory of all
// decode engines, or 0 if the model is not known.
func (o *Order) memoryShare(r *kernel.Request) float64 {
	m := o.host.Model(r.Model)
	if m == nil || o.totals.pieces <= 0 {
		return 0
	}
	return float64(r.Pieces(m.PieceTokens)) / o.totals.pieces
}

// prefillShare returns the share that the request takes of the prefill rate,
// averaged over the time for which requests of its workspace hold their slots. It
// is 0 until a request of the workspace has completed.
func (o *Order) prefillShare(r *kernel.Request) float64 {
	slotTime := o.slotTimes[r.Workspace]
	if slotTime <= 0 || o.totals.prefillRate <= 0 {
		return 0
	}
	rate := float64(r.PromptTokens) / slotTime
	return min(rate/o.totals.prefillRate, 1)
}

// recordSlotTime updates the workspace's average with the time for which a
// request held its slot. At maxSlotTimes workspaces it discards all averages.
func (o *Order) recordSlotTime(r *kernel.Request, held time.Duration) {
	if r.Route == config.RouteService {
		return
	}
	old, seen := o.slotTimes[r.Workspace]
	if !seen {
		if len(o.slotTimes) >= maxSlotTimes {
			clear(o.slotTimes)
		}
		old = held.Seconds()
	}
	o.slotTimes[r.Workspace] = old + averageWeight*(held.Seconds()-old)
}
