package shares

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// NextWake implements kernel.Waker.
func (p *Policy) NextWake() (time.Time, bool) {
	now := p.host.Now()
	if !p.roster.Current(p.host.View()) || len(p.answers) > 0 {
		return now, true
	}
	if p.nextConfirm.IsZero() {
		p.nextConfirm = now.Add(p.Idle)
	}
	next := p.nextConfirm
	for _, h := range p.waiting {
		if h.denyAt.Before(next) {
			next = h.denyAt
		}
		if h.lender != "" && h.askUntil.Before(next) {
			next = h.askUntil
		}
	}
	return next, true
}

// Wake implements kernel.Waker.
func (p *Policy) Wake() {
	p.updateView()
	now := p.host.Now()
	p.timeOut(now)
	if !now.Before(p.nextConfirm) {
		p.nextConfirm = now.Add(p.Idle)
		for _, e := range p.engines {
			p.confirmAll(e, now)
			p.expireLoans(e, now)
			p.serveWaiting(e)
		}
	}
	p.flush()
}

// timeOut denies the reservations that have waited too long, and handles a
// Borrow that was not answered in time as if the answer were None.
func (p *Policy) timeOut(now time.Time) {
	for _, h := range slices.Clone(p.waiting) {
		switch {
		case !h.denyAt.After(now):
			p.deny(h)
		case h.lender != "" && !h.askUntil.After(now):
			p.receiveNone(h.lender, h.seq)
		}
	}
}

// confirmAll returns one borrowed slot to each owner whose slots have been idle
// for the time Idle, and sends the other owners a Confirm if one is due.
func (p *Policy) confirmAll(e *engine, now time.Time) {
	u := p.host.Upstream(e.id)
	for i := range e.credits {
		c := &e.credits[i]
		if u != nil && p.free(e, u) <= 0 {
			c.idleSince = now
		}
		if now.Sub(c.idleSince) >= p.Idle && c.count > 0 {
			c.count--
			c.idleSince = now
			p.confirm(e, c)
			continue
		}
		if c.count > 0 && now.UnixMilli()/p.Confirm.Milliseconds() != now.Add(-p.Idle).UnixMilli()/p.Confirm.Milliseconds() {
			p.confirm(e, c)
		}
	}
}

// expireLoans ends the loans that have not been confirmed for a long time.
func (p *Policy) expireLoans(e *engine, now time.Time) {
	for i := range e.loans {
		if now.Sub(e.loans[i].lastConfirmed) > maxMissedConfirms*p.Confirm {
			e.loans[i].count = 0
		}
	}
}

// updateView updates the policy to the host's current view. It removes the loans
// and credits of instances that are gone, and the records of engines that are
// gone and of which no slot is held.
func (p *Policy) updateView() {
	v := p.host.View()
	if !p.roster.Update(v, p.host.Self()) {
		return
	}
	dead := func(id ident.InstanceID) bool {
		i := slices.IndexFunc(v.Instances, func(in kernel.Instance) bool { return in.ID == id })
		return i < 0 || v.Instances[i].Liveness == kernel.Dead
	}
	for _, e := range p.engines {
		e.loans = slices.DeleteFunc(e.loans, func(l loan) bool { return dead(l.borrower) })
		e.credits = slices.DeleteFunc(e.credits, func(c credit) bool { return dead(c.owner) })
	}
	p.engines = slices.DeleteFunc(p.engines, func(e *engine) bool {
		return e.held == 0 && p.host.Upstream(e.id) == nil
	})
}
