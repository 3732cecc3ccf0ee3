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
	killLength   = 8 * time.Second
	freezeLength = 6 * time.Second
	stallLength  = 5 * time.Second
	cutLength    = 10 * time.Second
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
		w.clock.at(at, func() { w.inject(f) })
	}
	return nil
}

// FaultError reports a fault that doesn't exist or that has an invalid offset.
type FaultError struct{ Fault Fault }

// Error implements error.
func (e *FaultError) Error() string { return fmt.Sprintf("no fault %q", string(e.Fault)) }

// inject makes one fault happen now.
func (w *world) inject(f Fault) {
	switch f {
	case FaultInstanceKill:
		w.withTargetInstance(w.killInstance)
	case FaultInstanceFreeze:
		w.withTargetInstance(w.freezeInstance)
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
		w.withTargetInstance(w.cutPeer)
	case FaultSurge:
		w.callers.startSurge()
	case FaultPlatformDown:
		w.platformDown = true
		w.clock.after(2*cutLength, func() {
			w.platformDown = false
			w.recoveredAt = w.clock.now
			w.scheduleViewRefresh()
		})
	}
}

// withTargetInstance applies a fault to the instance that has received the most
// peer messages, since the others depend on it most, or to a random one if there
// were none. The ideal scheduler has no instance that could fail.
func (w *world) withTargetInstance(do func(*instance)) {
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
	for _, id := range w.upstreamOrder {
		if w.backends[id].base().spec.Role == role {
			list = append(list, w.backends[id])
		}
	}
	return list[w.rng.IntN(len(list))]
}

// killInstance kills an instance's process and starts a new one after
// killLength.
func (w *world) killInstance(inst *instance) {
	p := inst.process
	if p.dead {
		return
	}
	p.dead = true
	inst.downAt = w.clock.now
	for _, id := range sortedKeys(p.subs) {
		sub := p.subs[id]
		if sub.closed {
			continue
		}
		sub.close(w.clock.now)
		w.clock.after(w.clientDelay(), func() { w.callers.handleBrokenConnection(sub) })
	}
	w.scheduleViewRefresh()
	w.clock.after(killLength, func() {
		if err := w.startProcess(inst); err != nil {
			w.checker.rejected = err
		}
		w.scheduleViewRefresh()
	})
}

// freezeInstance pauses an instance's process for freezeLength.
func (w *world) freezeInstance(inst *instance) {
	p := inst.process
	if p.dead || p.frozen {
		return
	}
	p.frozen, p.frozenAt = true, w.clock.now
	w.scheduleViewRefresh()
	w.clock.after(freezeLength, func() { w.resume(p) })
}

// resume lets a paused process continue. It first handles what arrived
// meanwhile, with the view that it had when it was paused.
func (w *world) resume(p *process) {
	if p.dead {
		return
	}
	p.frozen = false
	w.recoveredAt = w.clock.now
	inbox := p.inbox
	p.inbox = nil
	p.step(kernel.Paused{Gap: w.clock.now - p.frozenAt})
	for _, ev := range inbox {
		p.step(ev)
	}
	w.clock.after(heartbeatLag/2, func() { w.refreshView(p) })
	w.scheduleViewRefresh()
}

// killUpstream kills an upstream and restarts it after killLength.
func (w *world) killUpstream(b backend) {
	if !b.base().alive {
		return
	}
	b.kill()
	w.scheduleViewRefresh()
	w.clock.after(killLength, func() {
		b.base().restart()
		w.scheduleViewRefresh()
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
	isolated := zones[w.rng.IntN(len(zones))]
	for _, z := range zones {
		if z != isolated {
			w.net.partitioned[newZonePair(isolated, z)] = true
		}
	}
	w.breakPartitioned()
	w.scheduleViewRefresh()
	w.clock.after(cutLength, func() {
		clear(w.net.partitioned)
		w.recoveredAt = w.clock.now
		w.scheduleViewRefresh()
	})
}

// breakPartitioned interrupts transfers and streams between zones that are now
// partitioned.
func (w *world) breakPartitioned() {
	for _, id := range w.upstreamOrder {
		if e, ok := w.backends[id].(*prefillEngine); ok {
			e.stallPartitioned()
		}
	}
	for _, inst := range w.instances {
		for _, id := range sortedAttempts(inst.process.attempts) {
			a := inst.process.attempts[id]
			if !a.ended && !w.net.connected(inst.zone, a.upstream.base().zone) {
				w.breakConnection(a, streamTimeout)
			}
		}
	}
}

// cutPeer partitions one instance from its peers for cutLength.
func (w *world) cutPeer(inst *instance) {
	w.net.isolated[inst.id] = true
	w.scheduleViewRefresh()
	w.clock.after(cutLength, func() {
		delete(w.net.isolated, inst.id)
		w.recoveredAt = w.clock.now
		w.scheduleViewRefresh()
	})
}
