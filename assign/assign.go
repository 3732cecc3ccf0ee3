// Package assign assigns each upstream to instances of its availability zone, by
// rendezvous hashing over the instances that are presumed to run. Instances with
// the same view compute the same assignment. Shortly after a change, while views
// differ, an upstream may be assigned to two instances at the same rank, or to
// none.
package assign

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/rendezvous"
)

// NoRank is the rank of an instance to which an upstream is not assigned.
const NoRank = -1

// Table holds the ranks of one instance for all upstreams. It keeps them across
// views, because computing them is expensive and the members of a zone change
// rarely. It must be used from one goroutine at a time.
type Table struct {
	// depth is the number of instances to which each upstream is assigned.
	depth int
	// useOtherZones allows the upstreams of a zone without instances to be
	// assigned to the instances of all zones.
	useOtherZones bool
	self          ident.InstanceID
	zones         map[ident.Zone]*zone
}

// zone holds the ranks of this instance for the upstreams of one availability
// zone.
type zone struct {
	// members are the instances to which the zone's upstreams are assigned.
	members []ident.InstanceID
	// isMember reports whether this instance is one of the members.
	isMember bool
	// ranks are the ranks computed so far.
	ranks map[ident.UpstreamID]int
}

// NewTable returns a table that assigns each upstream to depth instances. With
// useOtherZones, the upstreams of a zone without running instances are assigned
// to the instances of all other zones; otherwise they are assigned to none.
func NewTable(depth int, useOtherZones bool) *Table {
	return &Table{depth: depth, useOtherZones: useOtherZones}
}

// Update replaces the view on which the assignment is based.
func (t *Table) Update(self kernel.Self, v *kernel.View) {
	old := t.zones
	t.self = self.Instance
	t.zones = make(map[ident.Zone]*zone, len(old))
	instances := runningInstances(self, v)
	for i := range v.Upstreams {
		z := v.Upstreams[i].Zone
		if t.zones[z] == nil {
			t.zones[z] = t.zone(old[z], t.members(instances, z))
		}
	}
}

// zone returns the zone for the given members: the old one, with its ranks, if
// the members are the same, otherwise a new one.
func (t *Table) zone(old *zone, members []ident.InstanceID) *zone {
	if old != nil && slices.Equal(old.members, members) {
		return old
	}
	return &zone{
		members:  members,
		isMember: slices.Contains(members, t.self),
		ranks:    make(map[ident.UpstreamID]int),
	}
}

// members returns the instances to which the upstreams of a zone are assigned.
func (t *Table) members(instances []kernel.Instance, z ident.Zone) []ident.InstanceID {
	var inZone, all []ident.InstanceID
	for _, in := range instances {
		all = append(all, in.ID)
		if in.Zone == z {
			inZone = append(inZone, in.ID)
		}
	}
	if len(inZone) == 0 && t.useOtherZones {
		return all
	}
	return inZone
}

// runningInstances returns the instances that are presumed to run and not to be
// leaving. It adds this instance if the view does not list it, since a view may
// list only the other instances.
func runningInstances(self kernel.Self, v *kernel.View) []kernel.Instance {
	out := make([]kernel.Instance, 0, len(v.Instances)+1)
	listed := false
	for _, in := range v.Instances {
		listed = listed || in.ID == self.Instance
		if in.Liveness <= kernel.Suspect {
			out = append(out, in)
		}
	}
	if !listed {
		out = append(out, kernel.Instance{ID: self.Instance, Zone: self.Zone})
	}
	return out
}

// Rank returns this instance's rank among the instances to which the upstream
// is assigned, 0 for the first one. It returns NoRank if the upstream is not
// assigned to this instance.
func (t *Table) Rank(u *kernel.Upstream) int {
	z := t.zones[u.Zone]
	if z == nil || !z.isMember {
		return NoRank
	}
	rank, known := z.ranks[u.ID]
	if !known {
		rank = slices.Index(rendezvous.Top(string(u.ID), z.members, t.depth), t.self)
		z.ranks[u.ID] = rank
	}
	return rank
}
