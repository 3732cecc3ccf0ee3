// Package console shows operators the status that agents report of themselves
// and of the fleet.
package console

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/inquiry"
	"github.com/wardspool/wardspool/peer"
)

// Fleet holds the status of a set of agents at one time.
type Fleet struct {
	At          time.Time             `json:"at"`
	Agents      []wire.Status         `json:"agents"`
	Unreachable []inquiry.Unreachable `json:"unreached,omitempty"`
}

// QueryFleet requests the status of the agents at the given operators' addresses, all
// in parallel.
func QueryFleet(ctx context.Context, pool *peer.Pool, addresses []string) *Fleet {
	f := &Fleet{At: time.Now()}
	f.Agents, f.Unreachable = inquiry.CallAll[wire.Status](ctx, pool, addresses, wire.MethodStatus, wire.Empty{})
	slices.SortFunc(f.Agents, func(a, b wire.Status) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Instance, b.Instance))
	})
	slices.SortFunc(f.Unreachable, func(a, b inquiry.Unreachable) int { return cmp.Compare(a.Address, b.Address) })
	return f
}

// Versions returns the number of agents per bundle version in force, lowest
// version first.
func (f *Fleet) Versions() []VersionCount {
	var out []VersionCount
	for _, s := range f.Agents {
		i := slices.IndexFunc(out, func(c VersionCount) bool { return c.Version == s.Bundle.Version })
		if i < 0 {
			out = append(out, VersionCount{Version: s.Bundle.Version})
			i = len(out) - 1
		}
		out[i].Agents++
	}
	slices.SortFunc(out, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// VersionCount is the number of agents that have a bundle version in force.
type VersionCount struct {
	Version uint64 `json:"version"`
	Agents  int    `json:"agents"`
}

// Write writes the fleet as tables.
func (f *Fleet) Write(w io.Writer) error {
	fmt.Fprint(w, f.At.Format(time.TimeOnly))
	for _, c := range f.Versions() {
		fmt.Fprintf(w, "  version %s in force on %d", versionText(c.Version), c.Agents)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tZONE\tVERSION\tENTRY\tSTATUS\tROLL\tVIEW\tSEES\tPLATFORM\tCPU\tRSS\tSENT+RECEIVED")
	for i := range f.Agents {
		writeAgent(t, &f.Agents[i])
	}
	for i := range f.Agents {
		writeUnhealthy(t, &f.Agents[i])
	}
	for i := range f.Agents {
		for _, a := range f.Agents[i].Alarms {
			fmt.Fprintf(t, "ALARM on %s: %s\n", f.Agents[i].Instance, a.Text)
		}
	}
	inquiry.WriteUnreachable(t, f.Unreachable)
	return t.Flush()
}

// versionText formats a version, with "none" for 0.
func versionText(v uint64) string {
	if v == 0 {
		return "none"
	}
	return fmt.Sprint(v)
}

// writeAgent writes one agent's row of the table.
func writeAgent(w io.Writer, s *wire.Status) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d %s\t%s\t%s\t%s\t%s\t%s\t%s\n",
		s.Instance, s.Zone, versionText(s.Bundle.Version), entryText(&s.Entry), s.Bundle.Status,
		s.Bundle.RollSequence, s.Bundle.RollStage, viewText(&s.Fleet), aliveText(&s.Fleet),
		platformText(&s.Platform), cpuText(&s.Process), sizeText(s.Process.RSSBytes), trafficText(s))
}

// entryText returns the bundle version that the entry uses, or why it is unknown.
func entryText(e *wire.EntryStatus) string {
	switch {
	case e.Incarnation == 0:
		return "none"
	case !e.Answers:
		return "silent"
	case e.Stopping:
		return "stopping"
	default:
		return versionText(e.BundleVersion)
	}
}

// viewText returns whether the agent may act on its view of the fleet, or why not.
func viewText(f *wire.FleetStatus) string {
	switch {
	case f.Superseded:
		return "superseded"
	case f.Leaving:
		return "leaving"
	case !f.Trusted:
		return "not trusted"
	default:
		return "trusted"
	}
}

// aliveText returns how many of the known instances are alive and how many of the
// known upstreams are usable, as the agent believes.
func aliveText(f *wire.FleetStatus) string {
	alive, up := 0, 0
	for _, i := range f.Instances {
		if i.State == stateAlive && !i.Leaving {
			alive++
		}
	}
	for _, u := range f.Upstreams {
		if usable(&u) {
			up++
		}
	}
	return fmt.Sprintf("%d/%d instances %d/%d upstreams", alive, len(f.Instances), up, len(f.Upstreams))
}

// State names of package membership.
const (
	stateAlive   = "alive"
	stateSuspect = "suspect"
)

// usable reports whether an upstream is sent requests. A suspect upstream still is.
func usable(u *wire.UpstreamStatus) bool {
	return u.Listed && !u.Leaving && (u.State == stateAlive || u.State == stateSuspect)
}

// platformText returns the time since the last known response of the platform,
// and the number of watches that this instance holds.
func platformText(p *wire.PlatformStatus) string {
	if p.LastResponseAgeMS < 0 {
		return "never"
	}
	return fmt.Sprintf("%ds ago, %d watches", p.LastResponseAgeMS/1000, len(p.Watches))
}

// cpuText returns the average CPU usage since the start, as a percentage of one
// core.
func cpuText(p *wire.ProcessStatus) string {
	return fmt.Sprintf("%.2f%%", 100*float64(p.CPUMS)/float64(max(p.UptimeMS, 1)))
}

// sizeText formats a number of bytes in units of 2^20 bytes.
func sizeText(n uint64) string { return fmt.Sprintf("%.1f MB", float64(n)/(1<<20)) }

// trafficText returns the average control traffic since the start. Bytes per
// millisecond are KB/s. Traffic with the entry is over loopback and not included.
func trafficText(s *wire.Status) string {
	var total uint64
	for _, t := range []wire.Traffic{s.Traffic.Peers, s.Traffic.Upstreams, s.Traffic.Platform} {
		total += t.Sent + t.Received
	}
	return fmt.Sprintf("%.2f KB/s", float64(total)/float64(max(s.Process.UptimeMS, 1)))
}

// writeUnhealthy writes the instances and upstreams that an agent believes to be
// unhealthy or leaving, if any.
func writeUnhealthy(w io.Writer, s *wire.Status) {
	var unhealthy []string
	for _, i := range s.Fleet.Instances {
		if i.State != stateAlive || i.Leaving {
			unhealthy = append(unhealthy, unhealthyText(string(i.ID), i.State, i.Leaving))
		}
	}
	for _, u := range s.Fleet.Upstreams {
		if !usable(&u) {
			unhealthy = append(unhealthy, unhealthyText(string(u.ID), u.State, u.Leaving))
		}
	}
	if len(unhealthy) > 0 {
		fmt.Fprintf(w, "%s sees: %s\n", s.Instance, strings.Join(unhealthy, ", "))
	}
}

// unhealthyText formats one process that is unhealthy or leaving.
func unhealthyText(id, state string, leaving bool) string {
	if leaving {
		state = "leaving, " + state
	}
	return id + " (" + state + ")"
}
