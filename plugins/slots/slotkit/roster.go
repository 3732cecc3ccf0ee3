package slotkit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

// Roster determines from the current view which instance grants an upstream's
// slots, and each instance's share of them. Results are cached until the set of
// live instances changes. The zero value is ready for use.
type Roster struct {
	version uint64
	valid   bool
	live    []kernel.Instance
	next    []kernel.Instance
	// generation is the number of the current set of live instances, 1 for the
	// first.
	generation uint64
	grantors   table.Table[cachedGrantor]
	ranks      map[ident.UpstreamID]int
}

// cachedGrantor is the cached grantor of an upstream. It is valid for one set of
// live instances and for the zone in which the upstream was at that time.
type cachedGrantor struct {
	generation uint64
	zone       ident.Zone
	grantor    ident.InstanceID
}

// Update adopts the view and reports whether it differs from the one adopted
// before.
func (r *Roster) Update(v *kernel.View, self kernel.Self) bool {
	if r.Current(v) {
		return false
	}
	r.version, r.valid = v.Version, true
	r.next = liveInstances(r.next[:0], v, self)
	if r.generation > 0 && slices.Equal(r.next, r.live) {
		return true
	}
	r.live, r.next = r.next, r.live
	r.generation++
	r.ranks = make(map[ident.UpstreamID]int, len(r.ranks))
	return true
}

// Current reports whether v is the view that was adopted last.
func (r *Roster) Current(v *kernel.View) bool {
	return r.valid && r.version == v.Version
}

// Live returns the live instances, including this one unless it is leaving. The
// slice is valid until the next Update.
func (r *Roster) Live() []kernel.Instance { return r.live }

// Grantor returns the instance that grants u's slots. It is the first by
// rendezvous hashing among the live instances of u's zone, or among all live
// instances if the zone has none. It is empty if no instance is live.
func (r *Roster) Grantor(u *kernel.Upstream) ident.InstanceID {
	g := r.grantors.At(u)
	if g.generation == r.generation && g.zone == u.Zone {
		return g.grantor
	}
	id := first(r.live, u.ID, u.Zone)
	if id == "" {
		id = first(r.live, u.ID, "")
	}
	*g = cachedGrantor{generation: r.generation, zone: u.Zone, grantor: id}
	return id
}

// Share returns how many of the upstream's slots belong to self when they are
// divided among the live instances. The remainder of the division goes, one slot
// each, to the instances that rank first by rendezvous hashing, so that the
// shares of instances with the same view add up to slots. It returns slots if no
// instance is live.
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

// rank returns how many live instances rank before self for the upstream.
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

// liveInstances appends to the given slice the instances that can be responsible
// for upstreams. If the view does not list self, it is assumed to be older than
// self, and self is added as live.
func liveInstances(to []kernel.Instance, v *kernel.View, self kernel.Self) []kernel.Instance {
	listed := false
	for _, in := range v.Instances {
		if in.ID == self.Instance {
			listed = true
			if in.Liveness == kernel.Leaving {
				continue
			}
			in.Zone = self.Zone
		} else if in.Liveness != kernel.Live {
			continue
		}
		to = append(to, in)
	}
	if !listed {
		to = append(to, kernel.Instance{ID: self.Instance, Zone: self.Zone, Incarnation: self.Incarnation, Liveness: kernel.Live})
	}
	return to
}

// first returns the instance in the zone that ranks first for the upstream. An
// empty zone stands for all zones. The result is empty if there is no instance.
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

// before reports whether the instance id with weight w ranks before the instance
// other with weight otherWeight: by descending weight, then by ID.
func before(w uint64, id ident.InstanceID, otherWeight uint64, other ident.InstanceID) bool {
	if w != otherWeight {
		return w > otherWeight
	}
	return id < other
}

// weight returns the rendezvous hash of an instance and an upstream.
func weight(id ident.InstanceID, u ident.UpstreamID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest's WriteString never fails. The zero byte separates the names,
	// which contain none.
	_, _ = d.WriteString(string(id))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(u))
	return d.Sum64()
}
