package leftover

import (
	"slices"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/rendezvous"
)

// noRank is the rank of an instance that does not watch an engine.
const noRank = -1

// watchable reports whether the upstream is an engine that can be asked.
func watchable(u *kernel.Upstream) bool {
	isEngine := u.Spec.Role == config.RolePrefill || u.Spec.Role == config.RoleDecode
	return isEngine && u.Life != kernel.Dead
}

// candidates lists the instances that may watch the engines of a zone: those
// of the zone, or all if the zone has none left.
func (e *Evidence) candidates(z ident.Zone) []ident.InstanceID {
	var near, all []ident.InstanceID
	for _, in := range e.instances() {
		if in.Life > kernel.Suspect {
			continue
		}
		all = append(all, in.ID)
		if in.Zone == z {
			near = append(near, in.ID)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// instances lists all instances, this one included: a view may list only the
// others.
func (e *Evidence) instances() []kernel.Instance {
	isSelf := func(in kernel.Instance) bool { return in.ID == e.Self.Instance }
	if slices.ContainsFunc(e.View.Instances, isSelf) {
		return e.View.Instances
	}
	return append(slices.Clone(e.View.Instances), *e.owner(e.Self.Instance))
}

// ranking is this instance's place among the watchers of a zone's engines. It is
// kept from view to view, because ranking is much work and members change rarely.
type ranking struct {
	members []ident.InstanceID
	// isMember says whether this instance is one of them.
	isMember bool
	ranks    map[ident.UpstreamID]int
}

// rankings has the rankings of all zones that have engines.
type rankings map[ident.Zone]*ranking

// of returns the place of self among the watchers of the engine: 0 for the one
// that releases, 1 for the one that takes over first, noRank for none.
func (r *ranking) of(self ident.InstanceID, u ident.UpstreamID, watchers int) int {
	if !r.isMember {
		return noRank
	}
	rank, known := r.ranks[u]
	if !known {
		rank = slices.Index(rendezvous.Top(string(u), r.members, watchers), self)
		r.ranks[u] = rank
	}
	return rank
}

// update returns the rankings for the evidence, keeping those whose members are
// the same.
func (rs rankings) update(e *Evidence) rankings {
	out := make(rankings, len(rs))
	for i := range e.View.Upstreams {
		z := e.View.Upstreams[i].Zone
		if out[z] != nil {
			continue
		}
		members := e.candidates(z)
		if old := rs[z]; old != nil && slices.Equal(old.members, members) {
			out[z] = old
			continue
		}
		out[z] = &ranking{
			members:  members,
			isMember: slices.Contains(members, e.Self.Instance),
			ranks:    make(map[ident.UpstreamID]int),
		}
	}
	return out
}
