package driver

import (
	"context"
	"errors"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// attempt is one call to one upstream, executed in its own goroutine.
type attempt struct {
	id       ident.AttemptID
	exchange *Exchange
	role     config.Role
	target   adapter.Target
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// ended is closed when the goroutine's call has returned; unsent does not
	// change after that.
	ended chan struct{}
	// reattached is set if the call resumes reading the stream of an attempt
	// that was sent earlier.
	reattached bool
	// unsent is set if no byte of the attempt was sent to the upstream.
	unsent bool

	// detached is set when the driver ignores further reports of the attempt.
	// It is owned by the driver's goroutine.
	detached bool
	// prefillTokens is the number of prompt tokens counted as in flight for the
	// attempt. It is owned by the driver's goroutine.
	prefillTokens int

	// Results of the goroutine, set before it reports completion.
	decoded adapter.DecodeResult
	served  *adapter.ServiceResponse
}

// CancelledError is the cancellation cause of an attempt that the kernel
// cancelled.
type CancelledError struct{}

// Error implements error.
func (*CancelledError) Error() string { return "attempt was cancelled by the kernel" }

// AbandonedError is the cancellation cause of an attempt whose upstream is
// dead.
type AbandonedError struct{}

// Error implements error.
func (*AbandonedError) Error() string { return "attempt abandoned: upstream is dead" }

// begin creates an attempt for an exchange. If the exchange or the upstream is
// no longer known, it queues an AttemptFailed event for the kernel and returns
// nil.
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
			Observe:  func(o adapter.Observation) { d.handleObservation(to, o) },
		},
	}
	d.attempts[id] = a
	ex.live[a] = struct{}{}
	return a
}

// handleObservation passes an upstream's report about its own state to the
// observer and the kernel.
func (d *Driver) handleObservation(upstream ident.UpstreamID, o adapter.Observation) {
	d.opts.Observer.LoadObserved(upstream, o)
	d.tryPost(kernel.LoadReported{Upstream: upstream, Load: o.Load})
}

// run executes an attempt in a new goroutine. call makes the call and returns
// the event that reports its success.
func (d *Driver) run(a *attempt, call func() (kernel.Event, error)) {
	d.workers.Go(func() {
		ev, err := d.makeCall(a, call)
		close(a.ended)
		a.cancel(nil)
		if err == nil {
			d.opts.Observer.AttemptEnded(a.target.Upstream, nil)
			d.send(message{event: ev, attempt: a})
			return
		}
		d.reportFailure(a, err)
	})
}

// makeCall waits until the pause gate is open and makes the call.
func (d *Driver) makeCall(a *attempt, call func() (kernel.Event, error)) (kernel.Event, error) {
	if err := d.gate.wait(a.ctx); err != nil {
		a.unsent = !a.reattached
		return nil, &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureConnect, Err: err}
	}
	ev, err := call()
	if err != nil {
		a.unsent = !a.reattached && adapter.AsCallError(err).Evidence == kernel.NotSent
	}
	return ev, err
}

// reportFailure reports an attempt that ended with an error.
func (d *Driver) reportFailure(a *attempt, err error) {
	var caller *CallerError
	if errors.As(err, &caller) {
		d.send(message{event: kernel.CallerGone{Request: a.target.Request}, attempt: a})
		return
	}
	e := adapter.AsCallError(err)
	if whole, ok := a.exchange.delivery.finished(); ok && a.role == config.RoleDecode {
		// Only the end-of-stream marker is missing: the engine has already
		// marked the last token with a finish reason.
		a.decoded = whole
		d.send(message{event: kernel.AttemptDone{Attempt: a.id, Tokens: whole.Tokens}, attempt: a})
		return
	}
	code := a.code(e)
	seen := *e
	seen.Code = code
	d.opts.Observer.AttemptEnded(a.target.Upstream, &seen)
	d.opts.Log.Debug("attempt failed", "attempt", a.id.String(), "upstream", a.target.Upstream, "error", err)
	offset, origin := a.exchange.delivery.written()
	d.send(message{attempt: a, event: kernel.AttemptFailed{
		Attempt:    a.id,
		Upstream:   a.target.Upstream,
		Evidence:   e.Evidence,
		Code:       code,
		Offset:     offset,
		Origin:     origin,
		RetryAfter: e.RetryAfter,
	}})
}

// code returns the failure code of an attempt. The death of its upstream takes
// precedence over the code of the call error.
func (a *attempt) code(e *adapter.CallError) kernel.FailureCode {
	var abandoned *AbandonedError
	if errors.As(context.Cause(a.ctx), &abandoned) {
		return kernel.FailureBroken
	}
	return e.Code
}

// report handles an event from an attempt's goroutine.
func (d *Driver) report(m message) {
	a := m.attempt
	switch m.event.(type) {
	case kernel.FirstOutput:
		if !a.detached {
			a.exchange.prefillUsage.markOutput()
			d.step(m.event)
		}
		return
	case kernel.AttemptStalled, kernel.AttemptResumed:
		if !a.detached {
			d.step(m.event)
		}
		return
	}
	if a.detached {
		if e, ok := m.event.(kernel.AttemptFailed); ok && e.Code == kernel.FailureDraining {
			// Draining is a state of the upstream, so the kernel needs the
			// event even though the attempt itself no longer matters.
			d.step(m.event)
		}
		return
	}
	d.removeAttempt(a)
	d.storeResults(a, m.event)
	d.step(m.event)
}

// storeResults stores the results that the final answer needs.
func (d *Driver) storeResults(a *attempt, ev kernel.Event) {
	switch e := ev.(type) {
	case kernel.AttemptDone:
		a.exchange.decoded = a.decoded
		a.exchange.served = a.served
	case kernel.PrefillDone:
		prompt := a.exchange.Request.PromptTokens
		a.exchange.prefillUsage.addPrefill(max(prompt-e.CachedTokens, 0))
	}
}

// removeAttempt removes an attempt whose further reports are ignored.
func (d *Driver) removeAttempt(a *attempt) {
	a.detached = true
	d.removePrefillWork(a)
	delete(a.exchange.live, a)
	if d.attempts[a.id] == a {
		delete(d.attempts, a.id)
	}
}
