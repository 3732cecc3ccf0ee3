// Package fair shares the decode slots between workspaces by weight. The
// workspace that holds the fewest slots in relation to its weight is served
// first, and within a workspace the request whose first output is due first.
// docs/design/fairness.md compares this policy with the alternatives.
package fair

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/order/internal/maxmin"
)

// Order implements kernel.QueueOrder and kernel.Observer.
type Order struct{ maxmin.Order }

// Attach implements kernel.Attacher. It sets the share function of the embedded
// order.
func (o *Order) Attach(h kernel.Host) {
	o.Share = oneSlot
	o.Order.Attach(h)
}

// oneSlot returns the same share for every request. The properties that a request
// declares, such as its output length, therefore do not change its position.
func oneSlot(*kernel.Request) float64 { return 1 }
