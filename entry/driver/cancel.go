package driver

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// cancelTimeout bounds one delivery of a cancel; the kernel repeats it.
const cancelTimeout = 2 * time.Second

// cancelAttempt ends an attempt here and has its upstream release what it holds
// for it.
func (d *Driver) cancelAttempt(c kernel.CancelAttempt) {
	a := d.attempts[c.Attempt]
	if a != nil {
		d.forget(a)
		a.cancel(&CancelledError{})
	}
	target, role := d.cancelTarget(c, a)
	if target == nil {
		d.backlog = append(d.backlog, kernel.CancelFailed{Attempt: c.Attempt})
		return
	}
	d.workers.Go(func() {
		if a != nil {
			// The engine must not meet the cancel before the attempt.
			<-a.ended
		}
		d.Post(d.deliverCancel(target, role, a))
	})
}

// cancelTarget returns where a cancel goes, nil if that is not known any more.
func (d *Driver) cancelTarget(c kernel.CancelAttempt, a *attempt) (*adapter.Target, config.Role) {
	if a != nil {
		return &a.target, a.role
	}
	u := d.upstreams[c.Upstream]
	if u == nil {
		return nil, ""
	}
	role := config.Role("")
	if spec := d.specs[c.Upstream]; spec != nil {
		role = spec.Role
	}
	return &adapter.Target{
		Attempt:  c.Attempt,
		Upstream: c.Upstream,
		Address:  u.Address,
	}, role
}

// deliverCancel delivers a cancel and returns the event that reports it.
func (d *Driver) deliverCancel(t *adapter.Target, role config.Role, a *attempt) kernel.Event {
	acked := kernel.CancelAcked{Attempt: t.Attempt}
	if role == config.RoleService || a != nil && a.unsent {
		// Plain services know no cancel but the closed connection.
		return acked
	}
	ctx, stop := context.WithTimeout(d.ctx, cancelTimeout)
	defer stop()
	if err := d.opts.Engine.Cancel(ctx, t); err != nil {
		d.opts.Log.Debug("cancel failed", "attempt", t.Attempt.String(), "upstream", t.Upstream, "error", err)
		return kernel.CancelFailed{Attempt: t.Attempt}
	}
	return acked
}
