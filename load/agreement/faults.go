package main

import (
	"context"
	"strings"
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/experiment"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/testbed"
)

// Durations of the injected faults, equal to those of the experiment.
const (
	downTime   = 8 * time.Second
	freezeTime = 6 * time.Second
	stallTime  = 5 * time.Second
	cutTime    = 10 * time.Second
)

// UnknownFaultError reports a fault that cannot be injected into processes.
type UnknownFaultError struct{ Fault string }

// Error implements error.
func (e *UnknownFaultError) Error() string { return "unsupported process fault: " + e.Fault }

// injectFaults injects the cell's faults one after another, each preceded by a wait
// of a third of the cell's duration.
func (b *comparison) injectFaults(ctx context.Context, fleet *testbed.Fleet, cell experiment.Cell) error {
	for _, f := range strings.Split(string(cell.Fault), "+") {
		if experiment.Fault(f) == experiment.FaultNone {
			continue
		}
		if !pause.For(ctx, cell.Duration/3) {
			return nil
		}
		if err := b.injectFault(ctx, fleet, experiment.Fault(f)); err != nil {
			return err
		}
	}
	return nil
}

// injectFault injects one fault and ends it.
func (b *comparison) injectFault(ctx context.Context, fleet *testbed.Fleet, f experiment.Fault) error {
	switch f {
	case experiment.FaultDecodeKill:
		return b.engine(fleet, config.RoleDecode).Crash(ctx, control.Crash{DownMS: downTime.Milliseconds()})
	case experiment.FaultPrefillKill:
		return b.engine(fleet, config.RolePrefill).Crash(ctx, control.Crash{DownMS: downTime.Milliseconds()})
	case experiment.FaultTransferStall:
		return b.stallTransfers(ctx, fleet)
	case experiment.FaultInstanceKill:
		return b.killInstance(ctx, fleet)
	case experiment.FaultInstanceFreeze:
		return b.freezeInstance(ctx, fleet)
	case experiment.FaultZoneCut:
		zone := b.example.Zones[0]
		fleet.IsolateZone(zone)
		pause.For(ctx, cutTime)
		fleet.ReconnectZone(zone)
		return nil
	default:
		return &UnknownFaultError{Fault: string(f)}
	}
}

// engine returns a control client for the first engine of a role.
func (b *comparison) engine(fleet *testbed.Fleet, role config.Role) control.Client {
	for _, u := range b.example.Content.Upstreams {
		if u.Role == role {
			return control.Client{Address: fleet.Addresses[u.ID]}
		}
	}
	return control.Client{}
}

// stallTransfers stops all KV transfers out of one prefill engine for stallTime.
func (b *comparison) stallTransfers(ctx context.Context, fleet *testbed.Fleet) error {
	engine := b.engine(fleet, config.RolePrefill)
	if err := engine.SetEngineFaults(ctx, control.EngineFaults{StallTransfers: true}); err != nil {
		return err
	}
	pause.For(ctx, stallTime)
	return engine.SetEngineFaults(ctx, control.EngineFaults{})
}

// killInstance kills the dispatching instance, on which the others depend most,
// and restarts it after downTime.
func (b *comparison) killInstance(ctx context.Context, fleet *testbed.Fleet) error {
	victim := b.dispatcher(fleet)
	if err := fleet.KillInstance(victim); err != nil {
		return err
	}
	if !pause.For(ctx, downTime) {
		return nil
	}
	return fleet.StartInstance(victim)
}

// freezeInstance stops both processes of the dispatching instance for freezeTime.
func (b *comparison) freezeInstance(ctx context.Context, fleet *testbed.Fleet) error {
	victim := b.dispatcher(fleet)
	for _, p := range []*testbed.Process{victim.Agent, victim.Entry} {
		if err := p.Freeze(); err != nil {
			return err
		}
	}
	pause.For(ctx, freezeTime)
	for _, p := range []*testbed.Process{victim.Agent, victim.Entry} {
		if err := p.Thaw(); err != nil {
			return err
		}
	}
	return nil
}

// dispatcher returns the instance that dispatches the first model while all
// instances are live. The experiment injects its instance faults into the same
// one.
func (b *comparison) dispatcher(fleet *testbed.Fleet) *testbed.Instance {
	view := &kernel.View{Version: 1}
	for _, in := range fleet.Instances {
		view.Instances = append(view.Instances, kernel.Instance{ID: in.ID, Zone: in.Zone, Liveness: kernel.Live})
	}
	first := fleet.Instances[0]
	var roster slotkit.Roster
	roster.Update(view, kernel.Self{Instance: first.ID, Zone: first.Zone})
	name := "model/" + b.example.Content.Models[0].Name
	chosen := roster.Select(name, func(*kernel.Instance) bool { return true })
	for _, in := range fleet.Instances {
		if in.ID == chosen {
			return in
		}
	}
	return first
}
