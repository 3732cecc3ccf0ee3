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

// Policy is the slot policy of one instance. It is the holder of the placements
// of its own requests and, for the models assigned to it, the dispatcher for the
// requests of all instances.
type Policy struct {
	host   kernel.JointHost
	roster slotkit.Roster
	holder holder
	// dispatchers holds, for each model that this instance dispatches or has
	// dispatched, the dispatcher's state.
	dispatchers map[string]*modelDispatcher
	// order is the plug-in that sorts the dispatchers' queues.
	order plugin.ID
	// regions maps each zone to its region, as configured in the bundle.
	regions map[ident.Zone]ident.Region
	// kvUsable is how long after the end of its prefill a KV cache may be
	// imported.
	kvUsable time.Duration
	// transferDoneAfter is how long a placement must have had its decode engine
	// before its KV transfer is considered done.
	transferDoneAfter time.Duration
}

// PluginInfo implements plugin.Plugin.
func (*Policy) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return &Policy{} }}
}

// Attach implements kernel.Attacher. The host must be a kernel.JointHost.
func (p *Policy) Attach(h kernel.Host) {
	p.host = h.(kernel.JointHost)
	p.dispatchers = map[string]*modelDispatcher{}
	p.holder.init()
}

// Defaults for settings that the bundle leaves out, and constants derived from
// its settings.
const (
	// defaultKVLifetime is used if the bundle sets no KV lifetime.
	defaultKVLifetime = 900 * time.Millisecond
	// kvUsablePercent is the share, in percent, of a KV cache's lifetime during
	// which an import may still begin.
	kvUsablePercent = 70
	// defaultTransferStall is used if the bundle does not set the time after
	// which a transfer counts as stalled.
	defaultTransferStall = 3 * time.Second
	// transferDonePercent is transferDoneAfter in percent of the time after
	// which a transfer counts as stalled.
	transferDonePercent = 150
	// defaultOrder is used if the bundle names no queue order.
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
	p.transferDoneAfter = stall * transferDonePercent / 100
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

// inRegion reports whether a zone is in this instance's region.
func (p *Policy) inRegion(z ident.Zone) bool {
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
		p.dispatcherFor(m.Model).handleAsk(from, *m)
	case *Computed:
		p.dispatcherFor(m.Model).handleComputed(m.Reservation.Key(), m.KV)
	case *Release:
		p.dispatcherFor(m.Model).handleRelease(m.Reservation.Key(), m.Transfer)
	case *Renew:
		p.dispatcherFor(m.Model).handleRenew(from, *m)
	default:
		p.receiveAnswer(from, m)
	}
}

// receiveAnswer handles the messages that a dispatcher sends to a holder.
func (p *Policy) receiveAnswer(from ident.InstanceID, m kernel.PeerMessage) {
	p.markResponsive(from)
	switch m := m.(type) {
	case *Queued:
		p.handleQueued(m)
	case *Placed:
		p.handlePlaced(m)
	case *Decode:
		p.handleDecode(m.Reservation.Key(), m.Decode)
	case *Deny:
		p.handleDeny(m)
	case *Resync:
		p.renewAll(from, m.Model)
	}
}

// Undelivered implements kernel.PeerHandler.
func (p *Policy) Undelivered(to ident.InstanceID, m kernel.PeerMessage) {
	p.refresh()
	switch m := m.(type) {
	case *Ask, *Computed, *Renew:
		p.markUnreachable(to)
	case *Placed:
		p.dispatcherFor(m.Model).handleUndelivered(m.Reservation.Key())
	case *Decode:
		p.dispatcherFor(m.Model).handleUndelivered(m.Reservation.Key())
	}
}

// refresh adopts the current view. If the view has changed, it ends placements
// of dead holders and moves this instance's placements to new dispatchers.
func (p *Policy) refresh() {
	if !p.roster.Update(p.host.View(), p.host.Self()) {
		return
	}
	for _, model := range slices.Sorted(maps.Keys(p.dispatchers)) {
		p.dispatchers[model].viewChanged()
	}
	p.movePlacements()
}

// dispatcherID returns the instance that dispatches the model in this region,
// among those that answer. It is empty if there is none.
func (p *Policy) dispatcherID(model string) ident.InstanceID {
	return p.roster.Select("model/"+model, func(in *kernel.Instance) bool {
		return p.inRegion(in.Zone) && !p.isSilent(in.ID)
	})
}

// isSilent reports whether an instance did not answer a request within the last
// silencePeriod.
func (p *Policy) isSilent(d ident.InstanceID) bool {
	return p.host.Now().Before(p.holder.silent[d])
}

// dispatcherFor returns the dispatcher's state for a model and creates it if
// necessary. An instance that receives a placement request acts as dispatcher
// even if its own view names another one, because the sender's view may be
// newer.
func (p *Policy) dispatcherFor(model string) *modelDispatcher {
	md, ok := p.dispatchers[model]
	if !ok {
		md = newModelDispatcher(p, model)
		p.dispatchers[model] = md
	}
	return md
}

// NextWake implements kernel.Waker.
func (p *Policy) NextWake() (time.Time, bool) {
	at, ok := p.holder.nextWake()
	for _, md := range p.dispatchers {
		t, has := md.nextWake()
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
	for _, model := range slices.Sorted(maps.Keys(p.dispatchers)) {
		p.dispatchers[model].wake()
	}
}
