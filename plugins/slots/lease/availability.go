package lease

import (
	"slices"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Availability implements kernel.SlotPolicy. The grantor itself knows; other
// instances go by the newer of its last word and the engine's load report.
func (p *Policy) Availability(u *kernel.Upstream) kernel.Availability {
	p.followView()
	return p.available(u)
}

// available is Availability by the view that the policy follows already.
func (p *Policy) available(u *kernel.Upstream) kernel.Availability {
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
	w := p.holder.words.At(u)
	wait := guessHold / 4
	if w.nextFree > 0 {
		wait = w.nextFree
	}
	if !w.at.IsZero() && !w.at.Before(u.Load.At) {
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

// maxLooks bounds the engines that freeElsewhere looks at.
const maxLooks = 64

// freeElsewhere reports whether the given engine and also another one that could
// serve in its place are believed to have a free slot. Then it is not worth
// waiting for the first if the belief is wrong. An engine that is believed full
// is asked in order to wait for it.
func (p *Policy) freeElsewhere(u *kernel.Upstream) bool {
	if p.available(u).Free <= 0 {
		return false
	}
	all := p.host.View().Upstreams
	looks := 0
	for i := 1; i < len(all) && looks < maxLooks; i++ {
		other := &all[(u.Index+i)%len(all)]
		if other.Spec.Role != config.RoleDecode || !sameModels(u, other) {
			continue
		}
		looks++
		if p.available(other).Free > 0 {
			return true
		}
	}
	return false
}

// sameModels reports whether the engines run the same models.
func sameModels(a, b *kernel.Upstream) bool {
	return slices.Equal(a.Spec.Models, b.Spec.Models)
}
