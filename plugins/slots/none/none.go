package none

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Policy grants everything. It keeps no state.
type Policy struct{}

// Attach implements kernel.Attacher.
func (*Policy) Attach(kernel.Host) {}

// Reserve grants the slot.
func (*Policy) Reserve(kernel.SlotAsk) kernel.SlotAnswer {
	return kernel.SlotAnswer{Verdict: kernel.SlotHeld}
}

// Release does nothing.
func (*Policy) Release(ident.AttemptID) {}

// Started does nothing.
func (*Policy) Started(ident.AttemptID) {}

// Refused does nothing.
func (*Policy) Refused(ident.UpstreamID) {}

// Availability reports every engine as empty.
func (*Policy) Availability(u *kernel.Upstream) kernel.Availability {
	return kernel.Availability{Free: max(slotkit.Slots(u), 1)}
}
