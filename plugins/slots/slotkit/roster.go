package slotkit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

// Roster answers, for the view in force, which instance grants an upstream's
// slots and what share of them falls to each. It remembers its answers until
// the set of live instances changes. The zero value is ready for use.
type Roster struct {
	version uint64
	known   bool
	live    []kernel.Instance
	next    []kernel.Instance
	// set numbers the sets of live instances, from 1 on.
	set      uint64
	grantors table.Table[granting]
	ranks    map[ident.UpstreamID]int
}

// granting is an upstream's grantor, chosen from one set of live instances for
// the zone the upstream was in.
type granting struct {
	set     uint64
	zone    ident.Zone
	grantor ident.InstanceID
}

// Update adopts the view and reports whether it is another than the one before.
func (r *Roster) Update(v *kernel.View, self kernel.Self) bool {
	if r.Current(v) {
		return false
	}
	r.version, r.known = v.Version, true
	r.next = liveInstances(r.next[:0], v, self)
	if r.set > 0 && slices.Equal(r.next, r.live) {
		return true
	}
	r.live, r.next = r.next, r.live
	r.set++
	r.ranks = make(map[ident.UpstreamID]int, len(r.ranks))
	return true
}

// Current reports whether the view is the one last adopted.
func (r *Roster) Current(v *kernel.View) bool {
	return r.known && r.version == v.Version
}

// Live returns the live instances, this one included unless it is leaving. The
// slice is valid until the next Update.
func (r *Roster) Live() []kernel.Instance { return r.live }

// Grantor returns the instance that grants u's slots: the first by rendezvous
// hashing among the live instances of u's zone, or of all when its zone has
// none. It is empty when no instance is live.
func (r *Roster) Grantor(u *kernel.Upstream) ident.InstanceID {
	g := r.grantors.At(u)
	if g.set == r.set && g.zone == u.Zone {
		return g.grantor
	}
	id := first(r.live, u.ID, u.Zone)
	if id == "" {
		id = first(r.live, u.ID, "")
	}
	*g = granting{set: r.set, zone: u.Zone, grantor: id}
	return id
}

// Share returns how many of the upstream's slots fall to self when they are
// divided among the live instances. What does not divide goes one each to the
// first by rendezvous hashing, so that the shares of instances with the same
// view add up to slots.
func (r *Roster) Share(self ident.InstanceID, u ident.UpstreamID, slots int) int {
	n := len(r.live)
	if n == 0 {
		return slots
	}
	share := slots / n
	if r.rank(self, u) < slots%n {
		share++
	}
	return share
}

// rank returns how many live instances come before self for the upstream.
func (r *Roster) rank(self ident.InstanceID, u ident.UpstreamID) int {
	if rank, ok := r.ranks[u]; ok {
		return rank
	}
	own := weight(self, u)
	rank := 0
	for i := range r.live {
		id := r.live[i].ID
		if id != self && before(weight(id, u), id, own, self) {
			rank++
		}
	}
	r.ranks[u] = rank
	return rank
}

// liveInstances appends the instances that may answer for upstreams. A view
// that does not list self yet is taken to be older than self.
func liveInstances(to []kernel.Instance, v *kernel.View, self kernel.Self) []kernel.Instance {
	listed := false
	for _, in := range v.Instances {
		if in.ID == self.Instance {
			listed = true
			if in.Life == kernel.Leaving {
				continue
			}
			in.Zone = self.Zone
		} else if in.Life != kernel.Live {
			continue
		}
		to = append(to, in)
	}
	if !listed {
		to = append(to, kernel.Instance{ID: self.Instance, Zone: self.Zone, Incarnation: self.Incarnation, Life: kernel.Live})
	}
	return to
}

// first returns the instance of the zone, or of any zone if it is empty, that
// has the highest weight for the upstream.
func first(live []kernel.Instance, u ident.UpstreamID, zone ident.Zone) ident.InstanceID {
	var best ident.InstanceID
	var bestWeight uint64
	for i := range live {
		if zone != "" && live[i].Zone != zone {
			continue
		}
		w := weight(live[i].ID, u)
		if best == "" || before(w, live[i].ID, bestWeight, best) {
			best, bestWeight = live[i].ID, w
		}
	}
	return best
}

// before orders instances by falling weight, ties by ID.
func before(w uint64, id ident.InstanceID, than uint64, other ident.InstanceID) bool {
	if w != than {
		return w > than
	}
	return id < other
}

// weight is the rendezvous hash of an instance and an upstream.
func weight(id ident.InstanceID, u ident.UpstreamID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest's WriteString never fails; names contain no zero byte.
	_, _ = d.WriteString(string(id))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(u))
	return d.Sum64()
}
