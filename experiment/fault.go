package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Fault names the faults injected in a run, joined by "+". Each is injected
// after a third of the measured time, or at the offset from the start of the run
// that follows its name, for example "decode_kill@12s+zone_cut@15s".
type Fault string

// The faults that a Cell can name.
const (
	FaultNone Fault = "none"
	// FaultInstanceKill kills an entry instance, which restarts after
	// killLength.
	FaultInstanceKill Fault = "instance_kill"
	// FaultInstanceFreeze pauses an entry instance, which resumes with a stale
	// view.
	FaultInstanceFreeze Fault = "instance_freeze"
	// FaultDecodeKill kills a decode engine, which restarts after killLength.
	FaultDecodeKill Fault = "decode_kill"
	// FaultPrefillKill kills a prefill engine, which restarts after killLength.
	FaultPrefillKill Fault = "prefill_kill"
	// FaultServiceKill kills a plain service, which restarts after killLength.
	FaultServiceKill Fault = "service_kill"
	// FaultTransferStall stops all KV transfers out of a prefill engine.
	FaultTransferStall Fault = "transfer_stall"
	// FaultZoneCut partitions a zone from the others.
	FaultZoneCut Fault = "zone_cut"
	// FaultPeerCut partitions one instance from its peers, but from nothing
	// else.
	FaultPeerCut Fault = "peer_cut"
	// FaultSurge raises the load to surgeLoad for surgeLength.
	FaultSurge Fault = "surge"
	// FaultPlatformDown stops updates of the platform's list of running
	// processes.
	FaultPlatformDown Fault = "platform_down"
)

// SingleFaults lists the faults that the matrix injects alone.
var SingleFaults = []Fault{
	FaultInstanceKill, FaultInstanceFreeze, FaultDecodeKill, FaultPrefillKill,
	FaultServiceKill, FaultTransferStall, FaultZoneCut, FaultPeerCut, FaultPlatformDown,
}

// DoubleFaults lists the pairs of faults that the matrix injects together.
var DoubleFaults = []Fault{
	FaultInstanceKill + "+" + FaultDecodeKill,
	FaultInstanceFreeze + "+" + FaultZoneCut,
	FaultPlatformDown + "+" + FaultDecodeKill,
	FaultTransferStall + "+" + FaultPeerCut,
}

// Durations of the faults.
const (
	killLength  = 8 * time.Second
	freezeTime  = 6 * time.Second
	stallLength = 5 * time.Second
	cutLength   = 10 * time.Second
)

// scheduleFaults schedules the cell's faults. It returns a *FaultError if one of
// them doesn't exist.
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

// FaultError reports a fault that doesn't exist or that has an invalid offset.
type FaultError struct{ Fault Fault }

// Error implements error.
func (e *FaultError) Error() string { return fmt.Sprintf("no fault %q", string(e.Fault)) }

// bringAbout injects one fault now.
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

// withInstance applies a fault to the instance that has received the most peer
// messages, since the others depend on it most, or to a random one if there were
// none. The ideal scheduler has no instance that could fail.
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

// pick returns a random upstream of a role.
func (w *world) pick(role config.Role) backend {
	var list []backend
	for _, id := range w.order {
		if w.backends[id].base().spec.Role == role {
			list = append(list, w.backends[id])
		}
	}
	return list[w.rng.IntN(len(list))]
}

// killInstance kills an instance's process and starts a new one after
// killLength.
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

// freezeInstance pauses an instance's process for freezeTime.
func (w *world) freezeInstance(inst *instance) {
	l := inst.life
	if l.dead || l.frozen {
		return
	}
	l.frozen, l.frozenAt = true, w.clock.now
	w.viewsChange()
	w.clock.after(freezeTime, func() { w.thaw(l) })
}

// thaw resumes a paused process. It first handles what arrived meanwhile, with
// the view that it had when it was paused.
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

// killUpstream kills an upstream and restarts it after killLength.
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

// stallTransfers stalls the link of one prefill engine for stallLength.
func (w *world) stallTransfers() {
	e, ok := w.pick(config.RolePrefill).(*prefillEngine)
	if !ok {
		return
	}
	e.setStalled(true)
	w.clock.after(stallLength, func() { e.setStalled(false) })
}

// cutZone partitions one zone from the others for cutLength. It doesn't affect
// the ideal scheduler, which has no location.
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

// breakAcrossCuts interrupts transfers and streams between zones that are now
// partitioned.
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

// cutPeer partitions one instance from its peers for cutLength.
func (w *world) cutPeer(inst *instance) {
	w.net.isolated[inst.id] = true
	w.viewsChange()
	w.clock.after(cutLength, func() {
		delete(w.net.isolated, inst.id)
		w.disturbedAt = w.clock.now
		w.viewsChange()
	})
}
