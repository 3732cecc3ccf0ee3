package lease

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/slots/slotkit"
)

// tidyInterval is the time between looks at leases that may have lapsed. It is
// also how soon a pause of this process is noticed.
const tidyInterval = 1 * time.Second

// NextWake implements kernel.Waker.
func (p *Policy) NextWake() (time.Time, bool) {
	now := p.host.Now()
	o := &p.holder
	if !p.roster.Current(p.host.View()) || len(o.answers) > 0 {
		return now, true
	}
	if o.nextRenew.IsZero() {
		o.nextRenew = now.Add(p.RenewInterval)
		o.nextTidy = now.Add(tidyInterval)
	}
	next := slotkit.Earlier(o.nextRenew, o.nextTidy)
	for _, h := range o.open {
		next = slotkit.Earlier(next, h.until)
	}
	for _, l := range p.grantor.ledgers {
		next = slotkit.Earlier(next, p.ledgerWake(l, next))
	}
	return next, true
}

// ledgerWake returns when a ledger needs attention if that is before next.
func (p *Policy) ledgerWake(l *ledger, next time.Time) time.Time {
	if !l.settled {
		next = slotkit.Earlier(next, l.since.Add(p.TakeOver))
	}
	for i := range l.queue {
		next = slotkit.Earlier(next, l.queue[i].lastCall())
	}
	return next
}

// Wake implements kernel.Waker.
func (p *Policy) Wake() {
	p.followView()
	now := p.host.Now()
	o := &p.holder
	if !o.nextTidy.IsZero() && now.Sub(o.nextTidy) > pauseGap {
		p.unsettle()
	}
	p.timeOut(now)
	if !now.Before(o.nextRenew) {
		o.nextRenew = now.Add(p.RenewInterval)
		p.renewAll()
	}
	if !now.Before(o.nextTidy) {
		o.nextTidy = now.Add(tidyInterval)
		p.tidy(now)
	}
	for _, l := range p.grantor.ledgers {
		p.wakeLedger(l, now)
	}
	p.flush()
}

// timeOut gives up asks that were not answered in time.
func (p *Policy) timeOut(now time.Time) {
	for i := 0; i < len(p.holder.open); {
		h := p.holder.open[i]
		switch {
		case h.until.After(now):
			i++
		case h.grantor == p.self():
			p.denied(h.key, p.shareRetryAt())
			p.tellReleased(h, 0)
		default:
			p.unanswered(h.grantor)
			i = 0
		}
	}
}

// wakeLedger lets leases lapse and answers what can be answered by now.
func (p *Policy) wakeLedger(l *ledger, now time.Time) {
	u := p.host.Upstream(l.upstream)
	if u == nil {
		return
	}
	l.expire(now, slotkit.Slots(u))
	p.settle(l)
	p.drain(l, u)
}

// tidy drops the leases of instances that cannot give them back, once the engine
// shows that their slots are free.
func (p *Policy) tidy(now time.Time) {
	instances := p.host.View().Instances
	reached := make(map[ident.InstanceID]ident.Incarnation, len(instances))
	for i := range instances {
		in := &instances[i]
		reached[in.ID] = in.Incarnation
		if in.Life == kernel.Dead || in.Life == kernel.Unreachable {
			reached[in.ID]++
		}
	}
	for _, l := range p.grantor.ledgers {
		if u := p.host.Upstream(l.upstream); u != nil {
			l.dropOrphans(u, reached, now)
		}
	}
}

// dropOrphans ends leases of earlier lives than those reached, as many as the
// engine's load shows to be unused.
func (l *ledger) dropOrphans(u *kernel.Upstream, reached map[ident.InstanceID]ident.Incarnation, now time.Time) {
	if u.Load.At.IsZero() {
		return
	}
	unused := l.usedBefore(u.Load.At) - u.Load.Running - u.Load.Waiting
	for i := len(l.leases) - 1; i >= 0 && unused > 0; i-- {
		x := &l.leases[i]
		if x.usedAt.After(u.Load.At) || x.key.Incarnation >= reached[x.key.Instance] {
			continue
		}
		l.end(i, now, slotkit.Slots(u))
		unused--
	}
}
