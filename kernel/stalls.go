package kernel

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// A stalled KV transfer shows that one of the two engines, or the network between
// them, does not move data. Which of them is at fault follows only from other
// transfers. An engine is at fault if its transfers stall with several partners,
// or with one partner that meanwhile completes transfers with other engines. At
// least one of the partners must be in the engine's own zone, because stalls
// between zones may be caused by the network between the zones.

// minStalls is the number of stalled transfers since its last successful one
// after which an engine can be at fault.
const minStalls = 2

// stallTracker determines which engines are at fault in stalled KV transfers.
type stallTracker struct {
	// engines holds the engines with stalled transfers since their last
	// successful one.
	engines map[ident.UpstreamID]*engineStalls
}

// engineStalls describes the stalled transfers of one engine since its last
// successful one.
type engineStalls struct {
	// earliest is the time at which the first of the stalled transfers began.
	earliest time.Time
	// count is the number of stalled transfers.
	count int
	// partners are the engines at the other ends of the stalled transfers.
	partners []stallPartner
}

// stallPartner is an engine with which a transfer stalled. It is healthy if it
// has completed a transfer with another engine since.
type stallPartner struct {
	id       ident.UpstreamID
	sameZone bool
	healthy  bool
}

// recordStall records a stalled transfer between x and y that began at the given
// time. It returns the one of the two engines that is now considered at fault,
// nil if neither is.
func (b *stallTracker) recordStall(x, y *Upstream, began time.Time) *Upstream {
	b.engine(x.ID, began).add(y.ID, x.Zone == y.Zone)
	b.engine(y.ID, began).add(x.ID, x.Zone == y.Zone)
	for _, u := range []*Upstream{x, y} {
		if b.engines[u.ID].atFault() {
			b.clearExplained(u.ID)
			return u
		}
	}
	return nil
}

// recordSuccess records a successful transfer between x and y that began at the
// given time. It removes the stalls of both engines and marks both as healthy
// in the stalls of other engines, except for stalls that began at the same time
// or later.
func (b *stallTracker) recordSuccess(x, y ident.UpstreamID, began time.Time) {
	for id, e := range b.engines {
		if !began.After(e.earliest) {
			continue
		}
		if id == x || id == y {
			delete(b.engines, id)
			continue
		}
		for i := range e.partners {
			p := &e.partners[i]
			p.healthy = p.healthy || p.id == x || p.id == y
		}
	}
}

// clearExplained removes the stalls that are explained by an engine at fault
// from the records of its partners. The engine itself keeps a count of
// minStalls-1, so that a single further stall before its next successful
// transfer puts it at fault again.
func (b *stallTracker) clearExplained(id ident.UpstreamID) {
	b.engines[id].count = minStalls - 1
	for other, e := range b.engines {
		e.partners = slices.DeleteFunc(e.partners, func(p stallPartner) bool { return p.id == id })
		if len(e.partners) == 0 {
			delete(b.engines, other)
		}
	}
}

// engine returns the record of an engine, creating it if there is none, and
// sets its earliest time to began if that is earlier.
func (b *stallTracker) engine(id ident.UpstreamID, began time.Time) *engineStalls {
	e := b.engines[id]
	if e == nil {
		e = &engineStalls{earliest: began}
		b.engines[id] = e
	}
	if began.Before(e.earliest) {
		e.earliest = began
	}
	return e
}

func (e *engineStalls) add(partner ident.UpstreamID, sameZone bool) {
	e.count++
	known := func(p stallPartner) bool { return p.id == partner }
	if !slices.ContainsFunc(e.partners, known) {
		e.partners = append(e.partners, stallPartner{id: partner, sameZone: sameZone})
	}
}

func (e *engineStalls) atFault() bool {
	if e.count < minStalls {
		return false
	}
	several := len(e.partners) > 1
	return slices.ContainsFunc(e.partners, func(p stallPartner) bool { return p.sameZone && (several || p.healthy) })
}

// TransferObserver is implemented by slot policies that need the results of the
// KV transfers of their reservations.
type TransferObserver interface {
	// TransferEnded reports that the reservation's transfer stalled or, if
	// stalled is false, was completed.
	TransferEnded(reservation ident.AttemptID, stalled bool)
}

// transferEnded records the result of the KV transfer for a run's decode and
// reports it to the slot policy.
func (k *Kernel) transferEnded(r *run, stalled bool) {
	k.recordTransfer(r.prefill.upstream, r.active.upstream, r.active.sentAt, stalled)
	if o, ok := r.slot.policy.(TransferObserver); ok {
		o.TransferEnded(r.slot.id, stalled)
	}
}

// recordTransfer records the result of a transfer and ejects the engine that is
// at fault, if there is one. Stalls of ejected engines are ignored, because the
// fault is already known.
func (k *Kernel) recordTransfer(prefill, decode ident.UpstreamID, began time.Time, stalled bool) {
	if !stalled {
		k.stalls.recordSuccess(prefill, decode, began)
		return
	}
	p, d := k.fleet.upstream(prefill), k.fleet.upstream(decode)
	if p == nil || d == nil || k.ejected(p) || k.ejected(d) {
		return
	}
	if u := k.stalls.recordStall(p, d, began); u != nil && k.mayEject(u) {
		k.eject(u)
	}
}

// maxStallEjections is the maximum share, in percent, of the engines of a model
// and role that may be ejected because of stalls. If more of them stall, the
// cause is something that they share, and ejecting the rest would only refuse
// requests that may succeed again.
const maxStallEjections = 50

// mayEject reports whether u may be ejected: at most maxStallEjections percent of
// the interchangeable engines, including u, would then be ejected.
func (k *Kernel) mayEject(u *Upstream) bool {
	total, ejected := 0, 1
	for i := range k.fleet.view.Upstreams {
		other := &k.fleet.view.Upstreams[i]
		if other.Liveness > Suspect || !interchangeable(u, other) {
			continue
		}
		total++
		if other != u && k.ejected(other) {
			ejected++
		}
	}
	return 100*ejected <= maxStallEjections*total
}

// interchangeable reports whether two engines have the same role and at least
// one model in common.
func interchangeable(u, other *Upstream) bool {
	return u.Spec.Role == other.Spec.Role && slices.ContainsFunc(u.Spec.Models, other.Serves)
}
