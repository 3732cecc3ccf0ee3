package none

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Policy grants every reservation. It keeps no state.
type Policy struct{}

// Attach implements kernel.Attacher.
func (*Policy) Attach(kernel.Host) {}

// Reserve implements kernel.SlotPolicy. It always grants the slot.
func (*Policy) Reserve(kernel.SlotRequest) kernel.SlotAnswer {
	return kernel.SlotAnswer{Result: kernel.SlotReserved}
}

// Release implements kernel.SlotPolicy. It does nothing.
func (*Policy) Release(ident.AttemptID) {}

// Started implements kernel.SlotPolicy. It does nothing.
func (*Policy) Started(ident.AttemptID) {}

// Refused implements kernel.SlotPolicy. It does nothing.
func (*Policy) Refused(ident.UpstreamID) {}

// Availability implements kernel.SlotPolicy. It reports all of an engine's slots
// as free, at least one.
func (*Policy) Availability(u *kernel.Upstream) kernel.Availability {
	return kernel.Availability{Free: max(slotkit.Slots(u), 1)}
}
