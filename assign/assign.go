// Package assign tells which instances of an availability zone look after which
// upstream, by rendezvous hashing over the instances believed to run. Instances
// whose views agree agree on it; for a moment after a change two may look after
// one upstream, or none.
package assign

import (
	"slices"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/rendezvous"
)

// NoRank is the rank of an instance that does not look after an upstream.
const NoRank = -1

// Table has the ranks of one instance. It keeps them from view to view, because
// ranking is much work and the members of a zone change rarely. It must be used
// from one goroutine at a time.
type Table struct {
	// depth is how many instances look after an upstream.
	depth int
	// borrow lets all instances look after a zone that has none.
	borrow bool
	self   ident.InstanceID
	zones  map[ident.Zone]*zone
}

// zone has the ranks at the upstreams of one availability zone.
type zone struct {
	members []ident.InstanceID
	// isMember says whether this instance is one of them.
	isMember bool
	ranks    map[ident.UpstreamID]int
}

// NewTable returns a table for depth instances to each upstream. With borrow,
// the upstreams of a zone without instances are looked after by all others.
func NewTable(depth int, borrow bool) *Table {
	return &Table{depth: depth, borrow: borrow}
}

// Update takes in a new view.
func (t *Table) Update(self kernel.Self, v *kernel.View) {
	old := t.zones
	t.self = self.Instance
	t.zones = make(map[ident.Zone]*zone, len(old))
	instances := running(self, v)
	for i := range v.Upstreams {
		z := v.Upstreams[i].Zone
		if t.zones[z] == nil {
			t.zones[z] = t.zone(old[z], t.members(instances, z))
		}
	}
}

// zone returns the ranks for the members, those that are known if the members
// are the same as before.
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

// members lists the instances that may look after a zone's upstreams.
func (t *Table) members(instances []kernel.Instance, z ident.Zone) []ident.InstanceID {
	var near, all []ident.InstanceID
	for _, in := range instances {
		all = append(all, in.ID)
		if in.Zone == z {
			near = append(near, in.ID)
		}
	}
	if len(near) == 0 && t.borrow {
		return all
	}
	return near
}

// running lists the instances believed to run and not to be leaving, this one
// included: a view may list only the others.
func running(self kernel.Self, v *kernel.View) []kernel.Instance {
	out := make([]kernel.Instance, 0, len(v.Instances)+1)
	listed := false
	for _, in := range v.Instances {
		listed = listed || in.ID == self.Instance
		if in.Life <= kernel.Suspect {
			out = append(out, in)
		}
	}
	if !listed {
		out = append(out, kernel.Instance{ID: self.Instance, Zone: self.Zone})
	}
	return out
}

// Rank returns this instance's place among those that look after the upstream,
// 0 for the first, or NoRank.
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
