package lease

import (
	"slices"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Availability implements kernel.SlotPolicy. The grantor itself knows; other
// instances go by the newer of its last word and the engine's load report.
func (p *Policy) Availability(u *kernel.Upstream) kernel.Availability {
	p.followView()
	if !slotkit.Usable(u) {
		return kernel.Availability{NextFree: retryUnusable}
	}
	grantor := p.roster.Grantor(u)
	switch {
	case slotkit.Slots(u) == 0:
		return kernel.Availability{Free: 1}
	case grantor == p.self():
		l := p.ledgerOf(u)
		return waitIfNone(kernel.Availability{Free: p.free(l, u), NextFree: l.wait()})
	case grantor == "" || p.down(grantor):
		return waitIfNone(kernel.Availability{Free: max(p.shareFree(u), 0), NextFree: shareRetry})
	}
	return p.believed(u)
}

// believed returns what a holder believes of an engine that another instance
// grants.
func (p *Policy) believed(u *kernel.Upstream) kernel.Availability {
	w, known := p.holder.words[u.ID]
	wait := guessHold / 4
	if w.nextFree > 0 {
		wait = w.nextFree
	}
	if known && !w.at.Before(u.Load.At) {
		return waitIfNone(kernel.Availability{Free: w.free, NextFree: wait})
	}
	if u.Load.At.IsZero() {
		return waitIfNone(kernel.Availability{Free: p.roster.Share(p.self(), u.ID, slotkit.Slots(u)), NextFree: wait})
	}
	free := slotkit.Slots(u) - u.Load.Running - u.Load.Waiting
	return waitIfNone(kernel.Availability{Free: max(free, 0), NextFree: wait})
}

// waitIfNone clears the wait when there are free slots.
func waitIfNone(a kernel.Availability) kernel.Availability {
	if a.Free > 0 {
		a.NextFree = 0
	}
	return a
}

// freeElsewhere reports whether the given engine and also another one that could
// serve in its place are believed to have a free slot. Then it is not worth
// waiting for the first if the belief is wrong. An engine that is believed full
// is asked in order to wait for it.
func (p *Policy) freeElsewhere(id ident.UpstreamID) bool {
	u := p.host.Upstream(id)
	if p.Availability(u).Free <= 0 {
		return false
	}
	v := p.host.View()
	for i := range v.Upstreams {
		other := &v.Upstreams[i]
		if other.ID == id || other.Spec.Role != config.RoleDecode || !sameModels(u, other) {
			continue
		}
		if p.Availability(other).Free > 0 {
			return true
		}
	}
	return false
}

// sameModels reports whether the engines run the same models.
func sameModels(a, b *kernel.Upstream) bool {
	return slices.Equal(a.Spec.Models, b.Spec.Models)
}
