package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// orphanCheckInterval is the time between checks for leases whose holder cannot
// release them. A late check also shows that this process was paused, so this
// is the time within which a pause is noticed.
const orphanCheckInterval = 1 * time.Second

// NextWake implements kernel.Waker.
func (p *Policy) NextWake() (time.Time, bool) {
	now := p.host.Now()
	o := &p.holder
	if !p.roster.Current(p.host.View()) || len(o.answers) > 0 {
		return now, true
	}
	if o.nextRenew.IsZero() {
		o.nextRenew = now.Add(p.RenewInterval)
		o.nextOrphanCheck = now.Add(orphanCheckInterval)
	}
	next := slotkit.Earlier(o.nextRenew, o.nextOrphanCheck)
	for _, h := range o.open {
		next = slotkit.Earlier(next, h.timeoutAt)
	}
	for _, l := range p.grantor.ledgers {
		next = slotkit.Earlier(next, p.ledgerWake(l, next))
	}
	return next, true
}

// ledgerWake returns when the ledger's take-over or one of its queued asks times
// out, or next if that is earlier.
func (p *Policy) ledgerWake(l *ledger, next time.Time) time.Time {
	if !l.takeOverDone {
		next = slotkit.Earlier(next, l.takeOverStart.Add(p.TakeOver))
	}
	for i := range l.queue {
		next = slotkit.Earlier(next, l.queue[i].denyAt())
	}
	return next
}

// Wake implements kernel.Waker.
func (p *Policy) Wake() {
	p.updateView()
	now := p.host.Now()
	o := &p.holder
	if !o.nextOrphanCheck.IsZero() && now.Sub(o.nextOrphanCheck) > pauseThreshold {
		p.restartTakeOver()
	}
	p.timeOut(now)
	if !now.Before(o.nextRenew) {
		o.nextRenew = now.Add(p.RenewInterval)
		p.renewAll()
	}
	if !now.Before(o.nextOrphanCheck) {
		o.nextOrphanCheck = now.Add(orphanCheckInterval)
		p.dropOrphans(now)
	}
	for _, l := range p.grantor.ledgers {
		p.wakeLedger(l, now)
	}
	p.flush()
}

// timeOut handles open asks that were not answered in time. An ask to this
// instance itself is denied; for other grantors see grantorFailed.
func (p *Policy) timeOut(now time.Time) {
	for i := 0; i < len(p.holder.open); {
		h := p.holder.open[i]
		switch {
		case h.timeoutAt.After(now):
			i++
		case h.grantor == p.self():
			p.denied(h.key, p.shareRetryAt())
			p.notifyRelease(h, 0)
		default:
			p.grantorFailed(h.grantor)
			i = 0
		}
	}
}

// wakeLedger ends the expired leases of a ledger and answers the queued asks
// that can be granted or must be denied.
func (p *Policy) wakeLedger(l *ledger, now time.Time) {
	u := p.host.Upstream(l.upstream)
	if u == nil {
		return
	}
	l.expire(now, slotkit.Slots(u))
	p.endTakeOver(l)
	p.serveQueue(l, u)
}

// dropOrphans ends the leases of holders that have died, restarted or become
// unreachable and so cannot release them, once the engine's load report shows
// that their slots are free.
func (p *Policy) dropOrphans(now time.Time) {
	instances := p.host.View().Instances
	minIncarnations := make(map[ident.InstanceID]ident.Incarnation, len(instances))
	for i := range instances {
		in := &instances[i]
		minIncarnations[in.ID] = in.Incarnation
		if in.Liveness == kernel.Dead || in.Liveness == kernel.Unreachable {
			minIncarnations[in.ID]++
		}
	}
	for _, l := range p.grantor.ledgers {
		if u := p.host.Upstream(l.upstream); u != nil {
			l.dropOrphans(u, minIncarnations, now)
		}
	}
}

// dropOrphans ends leases whose holder's incarnation is lower than the one in
// minIncarnations. It ends at most as many as there are leases in use beyond
// the requests in the engine's load report.
func (l *ledger) dropOrphans(u *kernel.Upstream, minIncarnations map[ident.InstanceID]ident.Incarnation, now time.Time) {
	if u.Load.At.IsZero() {
		return
	}
	unused := l.inUseAt(u.Load.At) - u.Load.Running - u.Load.Waiting
	for i := len(l.leases) - 1; i >= 0 && unused > 0; i-- {
		x := &l.leases[i]
		if x.usedAt.After(u.Load.At) || x.key.Incarnation >= minIncarnations[x.key.Instance] {
			continue
		}
		l.end(i, now, slotkit.Slots(u))
		unused--
	}
}
