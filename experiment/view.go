package experiment

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Delays after which instances learn of changes.
const (
	// heartbeatLag is the time after which missing or returning heartbeats are
	// noticed.
	heartbeatLag = time.Second
	// platformLag is the time after which the platform's list shows that a
	// process has ended.
	platformLag = 3 * time.Second
	// sweepPeriod is the interval at which instances look for attempts left by
	// dead peers.
	sweepPeriod = time.Second
)

// scheduleViewRefresh schedules new views for all instances at the times at
// which they can have noticed the latest change.
func (w *world) scheduleViewRefresh() {
	for _, lag := range []time.Duration{heartbeatLag, platformLag} {
		w.clock.after(lag+time.Millisecond, func() {
			for _, inst := range w.instances {
				w.refreshView(inst.process)
			}
		})
	}
}

// refreshView sends one instance a new view.
func (w *world) refreshView(p *process) {
	p.receive(kernel.ViewChanged{View: w.viewOf(p.inst)})
}

// viewOf builds an instance's current view of the fleet.
func (w *world) viewOf(inst *instance) *kernel.View {
	w.viewVersion++
	v := &kernel.View{Version: w.viewVersion, Trusted: true}
	for _, other := range w.instances {
		v.Instances = append(v.Instances, kernel.Instance{
			ID: other.id, Zone: other.zone,
			Incarnation: w.knownIncarnation(other),
			Liveness:    w.instanceLiveness(inst, other),
		})
	}
	for _, id := range w.upstreamOrder {
		b := w.backends[id].base()
		v.Upstreams = append(v.Upstreams, kernel.Upstream{
			ID: id, Zone: b.zone, Incarnation: b.incarnation, Spec: b.spec,
			Liveness: w.upstreamLiveness(inst, b),
		})
	}
	return v
}

// knownIncarnation returns the last known incarnation of an instance.
func (w *world) knownIncarnation(other *instance) ident.Incarnation {
	if other.process == nil {
		return ident.NewIncarnation(w.clock.time())
	}
	return other.process.incarnation
}

func (w *world) instanceLiveness(viewer, other *instance) kernel.Liveness {
	now := w.clock.now
	switch {
	case viewer == other || other.process == nil:
		return kernel.Live
	case other.process.dead:
		return w.livenessAfterDeath(now - other.downAt)
	case !w.net.peersConnected(viewer, other):
		return kernel.Unreachable
	case other.process.frozen && now-other.process.frozenAt >= heartbeatLag:
		return kernel.Unreachable
	default:
		return kernel.Live
	}
}

func (w *world) upstreamLiveness(viewer *instance, u *upstream) kernel.Liveness {
	switch {
	case !u.alive:
		return w.livenessAfterDeath(w.clock.now - u.downAt)
	case !w.net.connected(viewer.zone, u.zone):
		return kernel.Unreachable
	default:
		return kernel.Live
	}
}

// livenessAfterDeath returns the liveness that is assumed at a given time after
// a death.
func (w *world) livenessAfterDeath(since time.Duration) kernel.Liveness {
	switch {
	case since >= platformLag && !w.platformDown:
		return kernel.Dead
	case since >= heartbeatLag:
		return kernel.Unreachable
	default:
		return kernel.Live
	}
}

// sweep makes the instances cancel what dead peers left on the upstreams that
// they can reach, and schedules itself again.
func (w *world) sweep() {
	w.clock.after(sweepPeriod, w.sweep)
	for _, inst := range w.instances {
		p := inst.process
		if p.dead || p.frozen || p.view == nil {
			continue
		}
		for _, id := range w.upstreamOrder {
			b := w.backends[id]
			if b.base().alive && w.net.connected(inst.zone, b.base().zone) {
				w.sweepUpstream(p, b)
			}
		}
	}
}

// sweepUpstream cancels the attempts whose owner an instance knows to be dead in
// the incarnation that sent them.
func (w *world) sweepUpstream(p *process, b backend) {
	for _, a := range b.heldAttempts() {
		for _, other := range p.view.Instances {
			if other.ID != a.id.Instance {
				continue
			}
			newer := other.Incarnation > a.id.Incarnation && other.Liveness == kernel.Live
			if newer || (other.Liveness == kernel.Dead && other.Incarnation >= a.id.Incarnation) {
				b.cancel(a.id)
			}
		}
	}
}
