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
	// platformLag is the time after which the platform's list shows a death.
	platformLag = 3 * time.Second
	// sweepPeriod is the interval at which instances look for attempts left by
	// dead peers.
	sweepPeriod = time.Second
)

// viewsChange schedules new views for all instances at the times at which they
// can have noticed the latest change.
func (w *world) viewsChange() {
	for _, lag := range []time.Duration{heartbeatLag, platformLag} {
		w.clock.after(lag+time.Millisecond, func() {
			for _, inst := range w.instances {
				w.refresh(inst.life)
			}
		})
	}
}

// refresh sends one instance a new view.
func (w *world) refresh(l *life) {
	l.receive(kernel.ViewChanged{View: w.viewOf(l.inst)})
}

// viewOf builds an instance's current view of the fleet.
func (w *world) viewOf(inst *instance) *kernel.View {
	w.viewVersion++
	v := &kernel.View{Version: w.viewVersion, Trusted: true}
	for _, other := range w.instances {
		v.Instances = append(v.Instances, kernel.Instance{
			ID: other.id, Zone: other.zone,
			Incarnation: w.incarnationSeen(other),
			Liveness:    w.lifeOfInstance(inst, other),
		})
	}
	for _, id := range w.order {
		b := w.backends[id].base()
		v.Upstreams = append(v.Upstreams, kernel.Upstream{
			ID: id, Zone: b.zone, Incarnation: b.incarnation, Spec: b.spec,
			Liveness: w.lifeOfUpstream(inst, b),
		})
	}
	return v
}

// incarnationSeen returns the last known incarnation of an instance.
func (w *world) incarnationSeen(other *instance) ident.Incarnation {
	if other.life == nil {
		return ident.NewIncarnation(w.clock.time())
	}
	return other.life.incarnation
}

func (w *world) lifeOfInstance(viewer, other *instance) kernel.Liveness {
	now := w.clock.now
	switch {
	case viewer == other || other.life == nil:
		return kernel.Live
	case other.life.dead:
		return w.lifeAfter(now - other.downAt)
	case !w.net.peers(viewer, other):
		return kernel.Unreachable
	case other.life.frozen && now-other.life.frozenAt >= heartbeatLag:
		return kernel.Unreachable
	default:
		return kernel.Live
	}
}

func (w *world) lifeOfUpstream(viewer *instance, u *upstream) kernel.Liveness {
	switch {
	case !u.alive:
		return w.lifeAfter(w.clock.now - u.downAt)
	case !w.net.connected(viewer.zone, u.zone):
		return kernel.Unreachable
	default:
		return kernel.Live
	}
}

// lifeAfter returns the liveness that is assumed at a given time after a death.
func (w *world) lifeAfter(since time.Duration) kernel.Liveness {
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
		l := inst.life
		if l.dead || l.frozen || l.view == nil {
			continue
		}
		for _, id := range w.order {
			b := w.backends[id]
			if b.base().alive && w.net.connected(inst.zone, b.base().zone) {
				w.sweepUpstream(l, b)
			}
		}
	}
}

// sweepUpstream cancels the attempts whose owner an instance knows to be dead in
// the incarnation that sent them.
func (w *world) sweepUpstream(l *life, b backend) {
	for _, a := range b.heldAttempts() {
		for _, other := range l.view.Instances {
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
