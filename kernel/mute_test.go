package kernel_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// unresponsivePolicy is a joint policy that places prefills but never names a
// decode engine.
type unresponsivePolicy struct{ host kernel.JointHost }

const unresponsivePolicyID plugin.ID = "slots.mute"

func init() { plugin.Register(&unresponsivePolicy{}) }

func (*unresponsivePolicy) PluginInfo() plugin.Info {
	return plugin.Info{ID: unresponsivePolicyID, New: func() plugin.Plugin { return &unresponsivePolicy{} }}
}
func (m *unresponsivePolicy) Attach(h kernel.Host) { m.host = h.(kernel.JointHost) }
func (*unresponsivePolicy) Joint(string) bool      { return true }
func (m *unresponsivePolicy) Place(a kernel.PlacementRequest) {
	m.host.PlacementGranted(a.Reservation, kernel.Placement{Prefill: "p1"})
}
func (*unresponsivePolicy) Computed(ident.AttemptID) {}
func (*unresponsivePolicy) Reserve(kernel.SlotRequest) kernel.SlotAnswer {
	return kernel.SlotAnswer{Result: kernel.SlotReserved}
}
func (*unresponsivePolicy) Release(ident.AttemptID)  {}
func (*unresponsivePolicy) Started(ident.AttemptID)  {}
func (*unresponsivePolicy) Refused(ident.UpstreamID) {}
func (*unresponsivePolicy) Availability(*kernel.Upstream) kernel.Availability {
	return kernel.Availability{}
}

// TestSlotNeverNamed checks that a finished prefill is abandoned once its KV cache
// can no longer be imported, even if the slot policy never answers. Without this,
// the request would wait until its deadline.
func TestSlotNeverNamed(t *testing.T) {
	s := newSession(t)
	c := *s.content
	c.Policy.Slots = unresponsivePolicyID
	s.step(kernel.Configured{Version: 2, Content: &c})
	s.step(kernel.Arrive{Request: s.review("r1")})
	for range 4 {
		s.advance(100 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.advance(900 * time.Millisecond)
	}
	golden.Assert(t, s.transcript(), "slot_never_named.golden")
	assert.Equal(t, s.k.InFlight(), 0)
}
