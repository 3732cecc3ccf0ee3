package driver

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// cancelTimeout limits one cancel request to an upstream. The kernel repeats a
// cancel that failed.
const cancelTimeout = 2 * time.Second

// cancelAttempt ends the local call of an attempt and asks its upstream to
// release the resources held for it.
func (d *Driver) cancelAttempt(c kernel.CancelAttempt) {
	a := d.attempts[c.Attempt]
	if a != nil {
		d.removeAttempt(a)
		a.cancel(&CancelledError{})
	}
	target, role := d.cancelTarget(c, a)
	if target == nil {
		d.backlog = append(d.backlog, kernel.CancelFailed{Attempt: c.Attempt})
		return
	}
	d.workers.Go(func() {
		if a != nil {
			// The cancel must not reach the engine before the attempt does.
			<-a.ended
		}
		d.Post(d.deliverCancel(target, role, a))
	})
}

// cancelTarget returns the upstream to send a cancel to and its role, or nil if
// the upstream is no longer known.
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

// deliverCancel sends a cancel to its upstream and returns the event that
// reports the result.
func (d *Driver) deliverCancel(t *adapter.Target, role config.Role, a *attempt) kernel.Event {
	acked := kernel.CancelAcked{Attempt: t.Attempt}
	if role == config.RoleService || a != nil && a.unsent {
		// Plain services have no cancel operation; the closed connection is the
		// cancel. An attempt that was not sent needs none.
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
