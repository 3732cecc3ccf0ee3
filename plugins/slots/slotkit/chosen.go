package slotkit

import "github.com/wardspool/wardspool/ident"

// Chosen returns the live instance that is first by rendezvous hashing for a
// name, whatever its zone. It is empty when no instance is live.
func (r *Roster) Chosen(name string) ident.InstanceID {
	return first(r.live, ident.UpstreamID(name), "")
}
