package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Fault names what goes wrong in a run. Several are joined by "+". Each happens
// at a third of the measured time, or as long after the start of the run as
// follows its name, for example "decode_kill@12s+zone_cut@15s".
type Fault string

// The faults.
const (
	FaultNone Fault = "none"
	// FaultInstanceKill kills an entry instance; it is replaced later.
	FaultInstanceKill Fault = "instance_kill"
	// FaultInstanceFreeze stops an entry instance, which wakes late with an
	// old view.
	FaultInstanceFreeze Fault = "instance_freeze"
	// FaultDecodeKill kills a decode engine; it is replaced later.
	FaultDecodeKill Fault = "decode_kill"
	// FaultPrefillKill kills a prefill engine; it is replaced later.
	FaultPrefillKill Fault = "prefill_kill"
	// FaultServiceKill kills a plain service; it is replaced later.
	FaultServiceKill Fault = "service_kill"
	// FaultTransferStall stops all transfers out of a prefill engine.
	FaultTransferStall Fault = "transfer_stall"
	// FaultZoneCut separates a zone from the others.
	FaultZoneCut Fault = "zone_cut"
	// FaultPeerCut separates one instance from its peers, but from nothing else.
	FaultPeerCut Fault = "peer_cut"
	// FaultSurge raises the load to surgeLoad for a while.
	FaultSurge Fault = "surge"
	// FaultPlatformDown keeps the platform's list as it was.
	FaultPlatformDown Fault = "platform_down"
)

// SingleFaults lists the faults that can happen alone.
var SingleFaults = []Fault{
	FaultInstanceKill, FaultInstanceFreeze, FaultDecodeKill, FaultPrefillKill,
	FaultServiceKill, FaultTransferStall, FaultZoneCut, FaultPeerCut, FaultPlatformDown,
}

// DoubleFaults lists the pairs of faults that the matrix runs.
var DoubleFaults = []Fault{
	FaultInstanceKill + "+" + FaultDecodeKill,
	FaultInstanceFreeze + "+" + FaultZoneCut,
	FaultPlatformDown + "+" + FaultDecodeKill,
	FaultTransferStall + "+" + FaultPeerCut,
}

// Lengths of the faults.
const (
	killLength  = 8 * time.Second
	freezeTime  = 6 * time.Second
	stallLength = 5 * time.Second
	cutLength   = 10 * time.Second
)

// scheduleFaults plans the cell's faults. It returns a *FaultError if it doesn't
// know one of them.
func (w *world) scheduleFaults() error {
	for _, part := range strings.Split(string(w.cell.Fault), "+") {
		name, after, timed := strings.Cut(part, "@")
		f := Fault(name)
		if f != FaultNone && f != FaultSurge && !slices.Contains(SingleFaults, f) {
			return &FaultError{Fault: f}
		}
		at := w.cell.Warmup + w.cell.Duration/3
		if timed {
			offset, err := time.ParseDuration(after)
			if err != nil {
				return &FaultError{Fault: Fault(part)}
			}
			at = offset
		}
		w.clock.at(at, func() { w.bringAbout(f) })
	}
	return nil
}

// FaultError reports a fault that the experiment doesn't have.
type FaultError struct{ Fault Fault }

// Error implements error.
func (e *FaultError) Error() string { return fmt.Sprintf("no fault %q", string(e.Fault)) }

// bringAbout makes one fault happen now.
func (w *world) bringAbout(f Fault) {
	switch f {
	case FaultInstanceKill:
		w.withInstance(w.killInstance)
	case FaultInstanceFreeze:
		w.withInstance(w.freezeInstance)
	case FaultDecodeKill:
		w.killUpstream(w.pick(config.RoleDecode))
	case FaultPrefillKill:
		w.killUpstream(w.pick(config.RolePrefill))
	case FaultServiceKill:
		w.killUpstream(w.pick(config.RoleService))
	case FaultTransferStall:
		w.stallTransfers()
	case FaultZoneCut:
		w.cutZone()
	case FaultPeerCut:
		w.withInstance(w.cutPeer)
	case FaultSurge:
		w.callers.surge()
	case FaultPlatformDown:
		w.platformDown = true
		w.clock.after(2*cutLength, func() {
			w.platformDown = false
			w.disturbedAt = w.clock.now
			w.viewsChange()
		})
	}
}

// withInstance does something to the instance that has received most peer
// messages, on which the others depend most, or to one drawn at random if there
// were none. The ideal has no instance that could fail.
func (w *world) withInstance(do func(*instance)) {
	if len(w.instances) == 0 {
		return
	}
	chosen := w.instances[w.rng.IntN(len(w.instances))]
	for _, inst := range w.instances {
		if inst.peerMessages > chosen.peerMessages {
			chosen = inst
		}
	}
	do(chosen)
}

// pick draws an upstream of a role.
func (w *world) pick(role config.Role) backend {
	var list []backend
	for _, id := range w.order {
		if w.backends[id].base().spec.Role == role {
			list = append(list, w.backends[id])
		}
	}
	return list[w.rng.IntN(len(list))]
}

// killInstance ends an instance's life and starts the next one later.
func (w *world) killInstance(inst *instance) {
	l := inst.life
	if l.dead {
		return
	}
	l.dead = true
	inst.downAt = w.clock.now
	for _, id := range sortedKeys(l.subs) {
		sub := l.subs[id]
		if sub.over {
			continue
		}
		sub.end(w.clock.now)
		w.clock.after(w.clientDelay(), func() { w.callers.broken(sub) })
	}
	w.viewsChange()
	w.clock.after(killLength, func() {
		if err := w.start(inst); err != nil {
			w.judge.rejected = err
		}
		w.viewsChange()
	})
}

// freezeInstance stops a process and lets it run on later.
func (w *world) freezeInstance(inst *instance) {
	l := inst.life
	if l.dead || l.frozen {
		return
	}
	l.frozen, l.frozenAt = true, w.clock.now
	w.viewsChange()
	w.clock.after(freezeTime, func() { w.thaw(l) })
}

// thaw lets a process run on: it meets what arrived meanwhile, with a view as
// old as its sleep.
func (w *world) thaw(l *life) {
	if l.dead {
		return
	}
	l.frozen = false
	w.disturbedAt = w.clock.now
	inbox := l.inbox
	l.inbox = nil
	l.step(kernel.Paused{Gap: w.clock.now - l.frozenAt})
	for _, ev := range inbox {
		l.step(ev)
	}
	w.clock.after(heartbeatLag/2, func() { w.refresh(l) })
	w.viewsChange()
}

// killUpstream kills a back end and starts its next life later.
func (w *world) killUpstream(b backend) {
	if !b.base().alive {
		return
	}
	b.kill()
	w.viewsChange()
	w.clock.after(killLength, func() {
		b.base().revive()
		w.viewsChange()
	})
}

// stallTransfers stops the link of one prefill engine for a while.
func (w *world) stallTransfers() {
	e, ok := w.pick(config.RolePrefill).(*prefillEngine)
	if !ok {
		return
	}
	e.setStalled(true)
	w.clock.after(stallLength, func() { e.setStalled(false) })
}

// cutZone separates one zone from the others for a while. It doesn't touch the
// ideal, which is everywhere at once.
func (w *world) cutZone() {
	if w.ideal != nil {
		return
	}
	zones := w.zones()
	lone := zones[w.rng.IntN(len(zones))]
	for _, z := range zones {
		if z != lone {
			w.net.cut[pairOf(lone, z)] = true
		}
	}
	w.breakAcrossCuts()
	w.viewsChange()
	w.clock.after(cutLength, func() {
		clear(w.net.cut)
		w.disturbedAt = w.clock.now
		w.viewsChange()
	})
}

// breakAcrossCuts breaks what is in flight between zones now separated.
func (w *world) breakAcrossCuts() {
	for _, id := range w.order {
		if e, ok := w.backends[id].(*prefillEngine); ok {
			e.stallCut()
		}
	}
	for _, inst := range w.instances {
		for _, id := range sortedAttempts(inst.life.attempts) {
			a := inst.life.attempts[id]
			if !a.over && !w.net.connected(inst.zone, a.upstream.base().zone) {
				w.breakOff(a, streamTimeout)
			}
		}
	}
}

// cutPeer separates one instance from its peers for a while.
func (w *world) cutPeer(inst *instance) {
	w.net.isolated[inst.id] = true
	w.viewsChange()
	w.clock.after(cutLength, func() {
		delete(w.net.isolated, inst.id)
		w.disturbedAt = w.clock.now
		w.viewsChange()
	})
}
