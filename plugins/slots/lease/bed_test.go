package lease

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slottest"
)

// bed is a bed whose instances run this policy.
type bed struct{ *slottest.Bed }

func newBed(o slottest.Options, settings Settings) *bed {
	o.Policy = func() kernel.SlotPolicy { return &Policy{Settings: settings} }
	return &bed{slottest.NewBed(o)}
}

func policyOf(n *slottest.Node) *Policy { return n.Policy.(*Policy) }

// grantor returns the node that grants the engine's slots by n's view.
func (b *bed) grantor(n *slottest.Node, e *slottest.Engine) *slottest.Node {
	var id ident.InstanceID
	n.Do(func() {
		p := policyOf(n)
		p.followView()
		id = p.roster.Grantor(n.Upstream(e.ID))
	})
	return b.Node(id)
}
