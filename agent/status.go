package agent

import (
	"context"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/wardspool/wardspool/agent/meter"
	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/peer"
)

// handleStatus registers the methods for operators' tools.
func (a *Agent) handleStatus(s *peer.Server) {
	peer.Handle(s, wire.MethodStatus, func(ctx context.Context, _ peer.Identity, _ wire.Empty) (wire.Status, error) {
		return a.Status(ctx)
	})
}

// Status describes the agent. Errors are the context's and *peer.StoppingError.
func (a *Agent) Status(ctx context.Context) (wire.Status, error) {
	s, err := callLoop(ctx, a, a.loopStatus)
	if err != nil {
		return wire.Status{}, err
	}
	s.Traffic = a.traffic()
	s.Process = a.process()
	return s, nil
}

// loopStatus returns the part of the status that the loop owns.
func (a *Agent) loopStatus() wire.Status {
	return wire.Status{
		Instance: a.self.Instance, Zone: a.self.Zone, Incarnation: a.self.Incarnation,
		Version:  a.options.Version,
		Bundle:   a.bundleStatus(),
		Alarms:   a.alarmStatus(),
		Entry:    a.entryStatus(),
		Fleet:    a.fleetStatus(),
		Platform: a.platformStatus(),
		Counters: a.counters,
	}
}

// bundleStatus returns the status of the ledger.
func (a *Agent) bundleStatus() wire.BundleStatus {
	s := a.ledger.Summary()
	out := wire.BundleStatus{
		Status: s.Status, RollSequence: s.RollSequence, Newest: s.Newest.Version, MissingParts: a.ledger.Missing(),
	}
	if roll := a.ledger.Roll(); roll != nil {
		out.RollStage = string(roll.Roll.Stage)
	}
	if !s.InForce.IsZero() {
		out.Version, out.Digest = s.InForce.Version, s.InForce.Digest.String()
		out.InForceSinceMS = a.inForceAt.UnixMilli()
	}
	return out
}

// alarmStatus returns the active alarms.
func (a *Agent) alarmStatus() []wire.AlarmStatus {
	var out []wire.AlarmStatus
	for _, al := range a.ledger.Alarms() {
		out = append(out, wire.AlarmStatus{Type: al.Type, Text: al.String(), Step: al.Type.Remedy()})
	}
	return out
}

// entryStatus returns the status of the entry.
func (a *Agent) entryStatus() wire.EntryStatus {
	r := a.feed.reply
	return wire.EntryStatus{
		Incarnation: r.Incarnation, BundleVersion: r.BundleVersion, Answers: a.feed.responding,
		Stopping: r.Stopping, InFlight: r.InFlight,
	}
}

// fleetStatus returns the status of the membership view.
func (a *Agent) fleetStatus() wire.FleetStatus {
	v := a.machine.View(a.now)
	out := wire.FleetStatus{
		ViewVersion: v.Version, Trusted: v.Trusted, Leaving: v.Leaving, Superseded: v.Superseded,
		IntervalMS: a.machine.Interval().Milliseconds(), Partners: a.countPartners(),
	}
	for _, in := range v.Instances {
		out.Instances = append(out.Instances, wire.InstanceStatus{
			ID: in.ID, Zone: in.Zone, Incarnation: in.Incarnation, State: in.State.String(),
			Leaving: in.Leaving, Reachable: in.Reachable, Listed: in.Listed, AgeMS: ageMS(in.Age),
		})
	}
	for _, u := range v.Upstreams {
		out.Upstreams = append(out.Upstreams, wire.UpstreamStatus{
			ID: u.ID, Zone: u.Zone, Incarnation: u.Incarnation, State: u.State.String(),
			Leaving: u.Leaving, Listed: u.Listed, LoadAgeMS: ageMS(u.ReportAge),
		})
	}
	return out
}

// countPartners returns the number of instances with which heartbeats are
// exchanged.
func (a *Agent) countPartners() int {
	n := 0
	for _, p := range a.partners {
		if !p.lastAt.IsZero() && a.now.Sub(p.lastAt) < partnerIntervals*a.machine.Interval() {
			n++
		}
	}
	return n
}

// ageMS returns an age in milliseconds, -1 if there is none.
func ageMS(age time.Duration) int64 {
	if age == membership.NoAge {
		return -1
	}
	return age.Milliseconds()
}

// platformStatus returns the status of reading the platform.
func (a *Agent) platformStatus() wire.PlatformStatus {
	s := a.platformAdapter.Stats()
	out := wire.PlatformStatus{
		Watches:   slices.Sorted(maps.Keys(a.platform.watches)),
		Instances: a.directory.lists.instances.index, Upstreams: a.directory.lists.upstreams.index,
		LastResponseAgeMS: -1, Calls: s.Calls, Unavailable: s.Unavailable, Stale: s.Stale, RateLimited: s.RateLimited,
	}
	if !a.platform.lastSeen.IsZero() {
		out.LastResponseAgeMS = a.now.Sub(a.platform.lastSeen).Milliseconds()
	}
	return out
}

// traffic returns the byte counts of all connections.
func (a *Agent) traffic() wire.TrafficStatus {
	out := wire.TrafficStatus{
		Upstreams: meterTraffic(a.engines.Meter()),
		Platform:  meterTraffic(&a.platformMeter),
		Peers:     connTraffic(a.peers.Stats().Total),
		Entry:     connTraffic(a.feedPool.Stats().Total),
	}
	if s := a.servers.peers; s != nil {
		served := connTraffic(s.rpc.Stats().Total)
		out.Peers.Sent += served.Sent
		out.Peers.Received += served.Received
	}
	return out
}

// meterTraffic converts a meter's counts to the wire form.
func meterTraffic(m *meter.Meter) wire.Traffic {
	return wire.Traffic{Sent: m.Sent(), Received: m.Received()}
}

// connTraffic converts the counts of JSON-RPC connections to the wire form.
func connTraffic(t peer.Traffic) wire.Traffic {
	return wire.Traffic{Sent: t.Sent, Received: t.Received}
}

// process returns the resource usage of the process.
func (a *Agent) process() wire.ProcessStatus {
	p := meter.ReadProcess()
	return wire.ProcessStatus{
		UptimeMS: clock.Since(a.started).Milliseconds(), CPUMS: p.CPU.Milliseconds(),
		RSSBytes: p.RSS, PeakRSSBytes: p.PeakRSS, Goroutines: runtime.NumGoroutine(),
	}
}
