package kernel

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// A KV transfer that stalls tells that one of two engines, or what lies between
// them, does not move data. Which one shows only by comparison: an engine whose
// transfers stall with several others is at fault, and so is one whose transfers
// stall with an engine that does well with others meanwhile. Only engines of its
// own zone can testify alone: between zones it may be the network.

// minStalls is how many stalled transfers, without a good one since, an engine
// must have had to be at fault.
const minStalls = 2

// stallBook finds the engines at fault in stalled KV transfers.
type stallBook struct {
	ends map[ident.UpstreamID]*stallEnd
}

// stallEnd is what is known of one engine since its last good transfer.
type stallEnd struct {
	// since is when the first of the stalled transfers began.
	since time.Time
	// count is the number of stalled transfers.
	count int
	// partners are the engines at their other ends.
	partners []stallPartner
}

// stallPartner is an engine with which a transfer stalled. It is sound once it
// had a good transfer with another engine since.
type stallPartner struct {
	id      ident.UpstreamID
	ownZone bool
	sound   bool
}

// stalled notes a stalled transfer that began at the given time, and returns the
// end that is now taken for at fault, nil if there is none.
func (b *stallBook) stalled(x, y *Upstream, began time.Time) *Upstream {
	b.end(x.ID, began).add(y.ID, x.Zone == y.Zone)
	b.end(y.ID, began).add(x.ID, x.Zone == y.Zone)
	for _, u := range []*Upstream{x, y} {
		if b.ends[u.ID].atFault() {
			b.blame(u.ID)
			return u
		}
	}
	return nil
}

// moved notes a transfer that went well and began at the given time. It clears
// both ends, and makes them witnesses against others, unless it began before the
// stalled ones.
func (b *stallBook) moved(x, y ident.UpstreamID, began time.Time) {
	for id, e := range b.ends {
		if !began.After(e.since) {
			continue
		}
		if id == x || id == y {
			delete(b.ends, id)
			continue
		}
		for i := range e.partners {
			p := &e.partners[i]
			p.sound = p.sound || p.id == x || p.id == y
		}
	}
}

// blame forgets the stalls that an engine at fault explains. The engine itself
// stays on probation: until it has a good transfer, one more stall is enough.
func (b *stallBook) blame(id ident.UpstreamID) {
	b.ends[id].count = minStalls - 1
	for other, e := range b.ends {
		e.partners = slices.DeleteFunc(e.partners, func(p stallPartner) bool { return p.id == id })
		if len(e.partners) == 0 {
			delete(b.ends, other)
		}
	}
}

func (b *stallBook) end(id ident.UpstreamID, began time.Time) *stallEnd {
	e := b.ends[id]
	if e == nil {
		e = &stallEnd{since: began}
		b.ends[id] = e
	}
	if began.Before(e.since) {
		e.since = began
	}
	return e
}

func (e *stallEnd) add(partner ident.UpstreamID, ownZone bool) {
	e.count++
	known := func(p stallPartner) bool { return p.id == partner }
	if !slices.ContainsFunc(e.partners, known) {
		e.partners = append(e.partners, stallPartner{id: partner, ownZone: ownZone})
	}
}

func (e *stallEnd) atFault() bool {
	if e.count < minStalls {
		return false
	}
	several := len(e.partners) > 1
	return slices.ContainsFunc(e.partners, func(p stallPartner) bool { return p.ownZone && (several || p.sound) })
}

// TransferObserver is implemented by slot policies that want to know how the KV
// transfers of their reservations ended.
type TransferObserver interface {
	// TransferEnded reports that the transfer moved all data, or stalled.
	TransferEnded(reservation ident.AttemptID, stalled bool)
}

// transferEnded notes how the KV transfer of a call's decode ended.
func (k *Kernel) transferEnded(c *call, decode *attempt, stalled bool) {
	k.noteTransfer(c.prefill.upstream, decode.upstream, decode.sentAt, stalled)
	if o, ok := c.slot.policy.(TransferObserver); ok {
		o.TransferEnded(c.slot.id, stalled)
	}
}

// noteTransfer enters a transfer that ended, and ejects the end at fault.
// Transfers of ejected engines tell nothing new.
func (k *Kernel) noteTransfer(prefill, decode ident.UpstreamID, began time.Time, stalled bool) {
	if !stalled {
		k.stalls.moved(prefill, decode, began)
		return
	}
	p, d := k.fleet.upstream(prefill), k.fleet.upstream(decode)
	if p == nil || d == nil || k.ejected(p) || k.ejected(d) {
		return
	}
	if u := k.stalls.stalled(p, d, began); u != nil && k.sparable(u) {
		k.eject(u)
	}
}

// maxStallEjections is the largest share, in percent, of the engines of a model
// and role that stalls eject. When more stall, no engine is at fault but what
// they share, and leaving out the rest would only refuse what may go well again.
const maxStallEjections = 50

// sparable reports whether enough engines like u remain without it.
func (k *Kernel) sparable(u *Upstream) bool {
	total, ejected := 0, 1
	for i := range k.fleet.view.Upstreams {
		other := &k.fleet.view.Upstreams[i]
		if other.Life > Suspect || !alike(u, other) {
			continue
		}
		total++
		if other != u && k.ejected(other) {
			ejected++
		}
	}
	return 100*ejected <= maxStallEjections*total
}

// alike reports whether two engines can take each other's place for a model.
func alike(u, other *Upstream) bool {
	return u.Spec.Role == other.Spec.Role && slices.ContainsFunc(u.Spec.Models, other.Serves)
}
