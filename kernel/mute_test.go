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

// mutePolicy is a joint policy that places prefills but never names a decode
// engine.
type mutePolicy struct{ host kernel.JointHost }

const mutePolicyID plugin.ID = "slots.mute"

func init() { plugin.Register(&mutePolicy{}) }

func (*mutePolicy) PluginInfo() plugin.Info {
	return plugin.Info{ID: mutePolicyID, New: func() plugin.Plugin { return &mutePolicy{} }}
}
func (m *mutePolicy) Attach(h kernel.Host) { m.host = h.(kernel.JointHost) }
func (*mutePolicy) Joint(string) bool      { return true }
func (m *mutePolicy) Place(a kernel.PlacementAsk) {
	m.host.PlacementGranted(a.Reservation, kernel.Placement{Prefill: "p1"})
}
func (*mutePolicy) Computed(ident.AttemptID) {}
func (*mutePolicy) Reserve(kernel.SlotAsk) kernel.SlotAnswer {
	return kernel.SlotAnswer{Verdict: kernel.SlotHeld}
}
func (*mutePolicy) Release(ident.AttemptID)                           {}
func (*mutePolicy) Started(ident.AttemptID)                           {}
func (*mutePolicy) Refused(ident.UpstreamID)                          {}
func (*mutePolicy) Availability(*kernel.Upstream) kernel.Availability { return kernel.Availability{} }

// TestSlotNeverNamed checks that a finished prefill is given up once its KV cache
// can no longer be imported, even if the slot policy never answers. Without this,
// the request would wait until its deadline.
func TestSlotNeverNamed(t *testing.T) {
	s := newSession(t)
	c := *s.content
	c.Policy.Slots = mutePolicyID
	s.step(kernel.Configured{Version: 2, Content: &c})
	s.step(kernel.Arrive{Request: s.review("r1")})
	for range 4 {
		s.after(100 * time.Millisecond)
		s.step(kernel.PrefillDone{Attempt: s.prefill, KV: kvFrom("p1")})
		s.after(900 * time.Millisecond)
	}
	golden.Assert(t, s.transcript(), "slot_never_named.golden")
	assert.Equal(t, s.k.InFlight(), 0)
}
