package driver

import (
	"context"
	"errors"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// attempt is one try at one upstream, with its own goroutine.
type attempt struct {
	id       ident.AttemptID
	exchange *Exchange
	role     config.Role
	target   adapter.Target
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// ended is closed when the goroutine is over; unsent is final by then.
	ended chan struct{}
	// reattached says that the call reads on in an attempt that was sent before.
	reattached bool
	// unsent says that no byte of the attempt went to the upstream.
	unsent bool

	// over is set when the driver no longer wants the attempt's reports. It is
	// owned by the driver's goroutine.
	over bool
	// charged is the prompt work counted for it, in tokens; owned likewise.
	charged int

	// Results of the goroutine, set before it reports them.
	decoded adapter.Decoded
	served  *adapter.ServiceAnswer
}

// CancelledError ends an attempt that the kernel cancelled.
type CancelledError struct{}

// Error implements error.
func (*CancelledError) Error() string { return "attempt was cancelled" }

// AbandonedError ends an attempt whose upstream is dead.
type AbandonedError struct{}

// Error implements error.
func (*AbandonedError) Error() string { return "the upstream is dead" }

// StalledError ends an attempt that made no progress.
type StalledError struct{ After time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return "no progress for " + e.After.String() }

// begin makes an attempt of an exchange. It returns nil, and has the kernel
// told, when the upstream or the exchange is not known any more.
func (d *Driver) begin(id ident.AttemptID, request ident.RequestID, to ident.UpstreamID, role config.Role) *attempt {
	ex := d.exchanges[request]
	u := d.upstreams[to]
	if ex == nil || u == nil {
		d.backlog = append(d.backlog, kernel.AttemptFailed{
			Attempt: id, Upstream: to, Evidence: kernel.NotSent, Code: kernel.FailureConnect,
		})
		return nil
	}
	ctx, cancel := context.WithCancelCause(d.ctx)
	a := &attempt{
		id:       id,
		exchange: ex,
		role:     role,
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
		target: adapter.Target{
			Attempt:  id,
			Request:  request,
			Upstream: to,
			Address:  u.Address,
			Observe:  func(o adapter.Observation) { d.observed(to, o) },
		},
	}
	d.attempts[id] = a
	ex.live[a] = struct{}{}
	return a
}

// observed passes on what an upstream said of itself.
func (d *Driver) observed(upstream ident.UpstreamID, o adapter.Observation) {
	d.opts.Observer.Observed(upstream, o)
	d.offer(kernel.LoadReported{Upstream: upstream, Load: o.Load})
}

// run carries out an attempt in a goroutine of its own: carry makes the call
// and returns the event that reports it.
func (d *Driver) run(a *attempt, carry func() (kernel.Event, error)) {
	d.workers.Go(func() {
		ev, err := d.carry(a, carry)
		close(a.ended)
		a.cancel(nil)
		if err == nil {
			d.opts.Observer.Contact(a.target.Upstream, nil)
			d.send(message{event: ev, attempt: a})
			return
		}
		d.failed(a, err)
	})
}

// carry waits until the attempt may be sent and makes the call.
func (d *Driver) carry(a *attempt, call func() (kernel.Event, error)) (kernel.Event, error) {
	if err := d.gate.pass(a.ctx); err != nil {
		a.unsent = !a.reattached
		return nil, &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: err}
	}
	ev, err := call()
	if err != nil {
		a.unsent = !a.reattached && adapter.AsCallError(err).Evidence == kernel.NotSent
	}
	return ev, err
}

// failed reports an attempt that ended without its answer.
func (d *Driver) failed(a *attempt, err error) {
	var caller *CallerError
	if errors.As(err, &caller) {
		d.send(message{event: kernel.CallerGone{Request: a.target.Request}, attempt: a})
		return
	}
	e := adapter.AsCallError(err)
	if whole, ok := a.exchange.delivery.finished(); ok && a.role == config.RoleDecode {
		// Only the end mark is missing: the engine said itself that the last
		// token is the last.
		a.decoded = whole
		d.send(message{event: kernel.AttemptDone{Attempt: a.id, Tokens: whole.Tokens}, attempt: a})
		return
	}
	code := a.code(e)
	seen := *e
	seen.Code = code
	d.opts.Observer.Contact(a.target.Upstream, &seen)
	d.opts.Log.Debug("attempt failed", "attempt", a.id.String(), "upstream", a.target.Upstream, "error", err)
	d.send(message{attempt: a, event: kernel.AttemptFailed{
		Attempt:    a.id,
		Upstream:   a.target.Upstream,
		Evidence:   e.Evidence,
		Code:       code,
		Offset:     a.exchange.delivery.offset(),
		RetryAfter: e.RetryAfter,
	}})
}

// code classifies a failure, with what this instance knows of its cause.
func (a *attempt) code(e *adapter.CallError) kernel.FailureCode {
	cause := context.Cause(a.ctx)
	var stalled *StalledError
	var abandoned *AbandonedError
	switch {
	case errors.As(cause, &stalled):
		return kernel.FailureStalled
	case errors.As(cause, &abandoned):
		return kernel.FailureBroken
	default:
		return e.Code
	}
}

// report handles an event of an attempt's goroutine.
func (d *Driver) report(m message) {
	a := m.attempt
	if _, ok := m.event.(kernel.FirstOutput); ok {
		if !a.over {
			a.exchange.account.used()
			d.step(m.event)
		}
		return
	}
	if a.over {
		if e, ok := m.event.(kernel.AttemptFailed); ok && e.Code == kernel.FailureDraining {
			// What it says of the upstream counts all the same.
			d.step(m.event)
		}
		return
	}
	d.forget(a)
	d.settle(a, m.event)
	d.step(m.event)
}

// settle keeps the results that the final answer will need.
func (d *Driver) settle(a *attempt, ev kernel.Event) {
	switch e := ev.(type) {
	case kernel.AttemptDone:
		a.exchange.decoded = a.decoded
		a.exchange.served = a.served
	case kernel.PrefillDone:
		prompt := a.exchange.Request.PromptTokens
		a.exchange.account.computed(max(prompt-e.CachedTokens, 0))
	}
}

// forget drops an attempt whose reports are no longer wanted.
func (d *Driver) forget(a *attempt) {
	a.over = true
	d.discharge(a)
	delete(a.exchange.live, a)
	if d.attempts[a.id] == a {
		delete(d.attempts, a.id)
	}
}
