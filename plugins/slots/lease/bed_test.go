package lease

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// testBed is a simulated system (see slottest) whose instances use this policy.
type testBed struct{ *slottest.TestBed }

// newTestBed creates a test bed. Zero settings are replaced by the defaults.
func newTestBed(o slottest.Options, settings Settings) *testBed {
	o.Policy = func() kernel.SlotPolicy { return &Policy{Settings: settings} }
	return &testBed{slottest.NewTestBed(o)}
}

func policyOf(n *slottest.Node) *Policy { return n.Policy.(*Policy) }

// grantor returns the node that is the engine's grantor according to n's view.
func (b *testBed) grantor(n *slottest.Node, e *slottest.Engine) *slottest.Node {
	var id ident.InstanceID
	n.Do(func() {
		p := policyOf(n)
		p.updateView()
		id = p.roster.Grantor(n.Upstream(e.ID))
	})
	return b.Node(id)
}
