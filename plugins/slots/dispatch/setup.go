package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// ID is the policy's plug-in ID.
const ID plugin.ID = "slots.dispatch"

func init() { plugin.Register(&Policy{}) }

var (
	_ kernel.JointPolicy = (*Policy)(nil)
	_ kernel.Configurer  = (*Policy)(nil)
	_ kernel.Waker       = (*Policy)(nil)
	_ kernel.PeerHandler = (*Policy)(nil)

	_ kernel.TransferObserver = (*Policy)(nil)
)

// Policy is the slot policy of one instance: the holder of its own requests'
// placements and, for the models that fall to it, the dispatcher of all
// instances' requests.
type Policy struct {
	host   kernel.JointHost
	roster slotkit.Roster
	holder holder
	groups map[string]*group
	order  plugin.ID
	// regions says which region a zone lies in, by the bundle.
	regions map[ident.Zone]ident.Region
	// kvUsable is how long after its prefill a KV cache may be imported.
	kvUsable time.Duration
	// movedAfter is how long after its decode engine was named a placement that
	// is still in use has had its KV transfer.
	movedAfter time.Duration
}

// PluginInfo implements plugin.Plugin.
func (*Policy) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Policy{} }}
}

// Attach implements kernel.Attacher. The host must be a kernel.JointHost.
func (p *Policy) Attach(h kernel.Host) {
	p.host = h.(kernel.JointHost)
	p.groups = map[string]*group{}
	p.holder.init()
}

// Defaults for what a bundle may leave out.
const (
	defaultKVLifetime = 900 * time.Millisecond
	// kvUsablePercent is the part of a KV cache's lifetime in which an import
	// may still be begun.
	kvUsablePercent = 70
	// defaultTransferStall is used where the bundle sets no time after which a
	// transfer counts as stalled.
	defaultTransferStall = 3 * time.Second
	// movedPercent is the part of that time which a placement must have been in
	// use for its transfer to be taken for done.
	movedPercent = 150
	// defaultOrder is used until a bundle names an order.
	defaultOrder plugin.ID = "order.deadline"
)

// Configure implements kernel.Configurer.
func (p *Policy) Configure(c *config.Content) {
	lifetime := c.Policy.KVLifetime
	if lifetime <= 0 {
		lifetime = defaultKVLifetime
	}
	p.kvUsable = lifetime * kvUsablePercent / 100
	stall := c.Policy.TransferStall
	if stall <= 0 {
		stall = defaultTransferStall
	}
	p.movedAfter = stall * movedPercent / 100
	p.regions = map[ident.Zone]ident.Region{}
	for _, r := range c.Policy.Regions {
		for _, z := range r.Zones {
			p.regions[z] = r.Name
		}
	}
	p.order = c.Policy.Order
	if p.order == "" {
		p.order = defaultOrder
	}
}

// near reports whether a zone lies in this instance's region.
func (p *Policy) near(z ident.Zone) bool {
	return p.regions[z] == p.regions[p.host.Self().Zone]
}

// MessageKinds implements kernel.PeerHandler.
func (*Policy) MessageKinds() []string {
	return []string{KindAsk, KindQueued, KindPlaced, KindDecode, KindDeny, KindComputed, KindRelease, KindRenew, KindResync}
}

// Receive implements kernel.PeerHandler.
func (p *Policy) Receive(from ident.InstanceID, m kernel.PeerMessage) {
	p.refresh()
	switch m := m.(type) {
	case *Ask:
		p.groupOf(m.Model).ask(from, *m)
	case *Computed:
		p.groupOf(m.Model).computed(m.Reservation.Key(), m.KV)
	case *Release:
		p.groupOf(m.Model).release(m.Reservation.Key(), m.Transfer)
	case *Renew:
		p.groupOf(m.Model).renewed(from, *m)
	default:
		p.receiveAnswer(from, m)
	}
}

// receiveAnswer handles the messages that come from a dispatcher.
func (p *Policy) receiveAnswer(from ident.InstanceID, m kernel.PeerMessage) {
	p.heard(from)
	switch m := m.(type) {
	case *Queued:
		p.queued(m)
	case *Placed:
		p.placed(m)
	case *Decode:
		p.decodeNamed(m.Reservation.Key(), m.Decode)
	case *Deny:
		p.denied(m)
	case *Resync:
		p.renewAll(from, m.Model)
	}
}

// Undelivered implements kernel.PeerHandler.
func (p *Policy) Undelivered(to ident.InstanceID, m kernel.PeerMessage) {
	p.refresh()
	switch m := m.(type) {
	case *Ask, *Computed, *Renew:
		p.unreachable(to)
	case *Placed:
		p.groupOf(m.Model).undelivered(m.Reservation.Key())
	case *Decode:
		p.groupOf(m.Model).undelivered(m.Reservation.Key())
	}
}

// refresh follows the view: who is live, and so who dispatches what.
func (p *Policy) refresh() {
	if !p.roster.Update(p.host.View(), p.host.Self()) {
		return
	}
	for _, model := range slices.Sorted(maps.Keys(p.groups)) {
		p.groups[model].viewChanged()
	}
	p.moveHoldings()
}

// dispatcher returns the instance that places the model's requests in this
// region.
func (p *Policy) dispatcher(model string) ident.InstanceID {
	return p.roster.Chosen("model/"+model, func(in *kernel.Instance) bool {
		return p.near(in.Zone) && !p.isSilent(in.ID)
	})
}

// isSilent reports whether an instance did not answer lately.
func (p *Policy) isSilent(d ident.InstanceID) bool {
	return p.host.Now().Before(p.holder.silent[d])
}

// groupOf returns the dispatcher's state for a model. An instance that is asked
// as a dispatcher acts as one, whatever its own view says: the asker's view may
// be newer.
func (p *Policy) groupOf(model string) *group {
	g, ok := p.groups[model]
	if !ok {
		g = newGroup(p, model)
		p.groups[model] = g
	}
	return g
}

// NextWake implements kernel.Waker.
func (p *Policy) NextWake() (time.Time, bool) {
	at, ok := p.holder.nextWake()
	for _, g := range p.groups {
		t, has := g.nextWake()
		if has && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Wake implements kernel.Waker.
func (p *Policy) Wake() {
	p.refresh()
	p.wakeHolder()
	for _, model := range slices.Sorted(maps.Keys(p.groups)) {
		p.groups[model].wake()
	}
}
