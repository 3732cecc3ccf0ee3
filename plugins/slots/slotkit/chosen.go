package slotkit

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Select returns the live instance that ranks first for a name by rendezvous
// hashing, among those for which eligible returns true. It is empty if there is
// none.
func (r *Roster) Select(name string, eligible func(*kernel.Instance) bool) ident.InstanceID {
	var best ident.InstanceID
	var bestWeight uint64
	for i := range r.live {
		if !eligible(&r.live[i]) {
			continue
		}
		w := weight(r.live[i].ID, ident.UpstreamID(name))
		if best == "" || before(w, r.live[i].ID, bestWeight, best) {
			best, bestWeight = r.live[i].ID, w
		}
	}
	return best
}
