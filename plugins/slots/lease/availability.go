package lease

import (
	"slices"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// Availability implements kernel.SlotPolicy. The grantor answers from its
// ledger. Other instances use the grantor's last message or the engine's load
// report, whichever is newer.
func (p *Policy) Availability(u *kernel.Upstream) kernel.Availability {
	p.updateView()
	return p.available(u)
}

// available is Availability without first updating the policy to the host's
// current view.
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
	case grantor == "" || p.inBackoff(grantor):
		return waitIfNone(kernel.Availability{Free: max(p.shareFree(u), 0), NextFree: shareRetry})
	}
	return p.remoteAvailability(u)
}

// remoteAvailability estimates the availability of an engine whose grantor is
// another instance. Without a message from the grantor and without a load
// report, it assumes that this instance's static share is free.
func (p *Policy) remoteAvailability(u *kernel.Upstream) kernel.Availability {
	r := p.holder.reports.At(u)
	wait := defaultHoldTime / 4
	if r.nextFree > 0 {
		wait = r.nextFree
	}
	if !r.at.IsZero() && !r.at.Before(u.Load.At) {
		return waitIfNone(kernel.Availability{Free: r.free, NextFree: wait})
	}
	if u.Load.At.IsZero() {
		return waitIfNone(kernel.Availability{Free: p.roster.Share(p.self(), u.ID, slotkit.Slots(u)), NextFree: wait})
	}
	free := slotkit.Slots(u) - u.Load.Running - u.Load.Waiting
	return waitIfNone(kernel.Availability{Free: max(free, 0), NextFree: wait})
}

// waitIfNone returns a with its wait set to zero if a slot is free.
func waitIfNone(a kernel.Availability) kernel.Availability {
	if a.Free > 0 {
		a.NextFree = 0
	}
	return a
}

// maxExamined is the maximum number of engines that freeElsewhere examines.
const maxExamined = 64

// freeElsewhere reports whether both the given engine and another decode engine
// with the same models appear to have a free slot. If so, the ask should not be
// queued when u turns out to be full, because the other engine can be tried
// instead. It returns false if u appears full: such an engine is asked only
// because the caller is prepared to wait for it.
func (p *Policy) freeElsewhere(u *kernel.Upstream) bool {
	if p.available(u).Free <= 0 {
		return false
	}
	all := p.host.View().Upstreams
	examined := 0
	for i := 1; i < len(all) && examined < maxExamined; i++ {
		other := &all[(u.Index+i)%len(all)]
		if other.Spec.Role != config.RoleDecode || !sameModels(u, other) {
			continue
		}
		examined++
		if p.available(other).Free > 0 {
			return true
		}
	}
	return false
}

// sameModels reports whether the engines list the same models in the same order.
func sameModels(a, b *kernel.Upstream) bool {
	return slices.Equal(a.Spec.Models, b.Spec.Models)
}
