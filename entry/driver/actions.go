package driver

import (
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/kernel"
)

// execute executes one kernel action. It never blocks and never calls the kernel.
func (d *Driver) execute(a kernel.Action) {
	switch a := a.(type) {
	case kernel.StartPrefill:
		d.startPrefill(a)
	case kernel.StartDecode:
		d.startDecode(a)
	case kernel.ReattachDecode:
		d.reattachDecode(a)
	case kernel.CallService:
		d.callService(a)
	case kernel.CancelAttempt:
		d.cancelAttempt(a)
	case kernel.AbandonAttempt:
		if live := d.attempts[a.Attempt]; live != nil {
			live.cancel(&AbandonedError{})
		}
	case kernel.Answer:
		d.answer(a)
	case kernel.SendPeer:
		d.sendPeer(a)
	case kernel.ConfigRejected:
		d.rejected.Store(&a)
		d.logAsync(slog.LevelError, "bundle rejected", "bundle_version", a.Version, "error", a.Err)
	case kernel.Log:
		d.opts.Observer.Decided(a.Record)
	}
}

// admit registers a new request and passes it to the kernel. A request whose ID
// is already in flight is refused here.
func (d *Driver) admit(ex *Exchange) {
	id := ex.Request.ID
	if _, taken := d.exchanges[id]; taken {
		version := d.opts.Kernel.Version()
		d.opts.Observer.Decided(duplicateRecord(ex.Request, version))
		ex.finish(duplicateResult(version))
		return
	}
	d.exchanges[id] = ex
	d.step(kernel.Arrive{Request: ex.Request})
}

// ReasonDuplicateID is the reason of a refusal for a request ID that is already
// in flight. It is the only refusal reason that does not come from the kernel.
const ReasonDuplicateID kernel.Reason = "duplicate_request_id"

// duplicateRecord returns the decision record for a request with a duplicate
// ID. The kernel never sees such a request.
func duplicateRecord(r *kernel.Request, version uint64) kernel.Record {
	return kernel.Record{
		Time:          time.Now(),
		Request:       r.ID,
		Workspace:     r.Workspace,
		Kind:          r.Kind,
		Step:          kernel.StepRefused,
		Reason:        ReasonDuplicateID,
		BundleVersion: version,
		Outcome:       api.NotRun,
	}
}

// answer ends an exchange with the kernel's final answer.
func (d *Driver) answer(a kernel.Answer) {
	ex, ok := d.exchanges[a.Request]
	if !ok {
		return
	}
	delete(d.exchanges, a.Request)
	for live := range ex.live {
		// The kernel issues its own cancels to the upstreams. Here it is enough
		// to end the local calls, since their output is no longer read.
		d.removeAttempt(live)
		live.cancel(&CancelledError{})
	}
	r := Result{
		Outcome:       a.Outcome,
		Problem:       a.Problem,
		BundleVersion: d.opts.Kernel.Version(),
		Decoded:       ex.decoded,
		Service:       ex.served,
	}
	ex.delivery.close()
	d.finishedExchanges = append(d.finishedExchanges, finishedExchange{ex, r})
	d.opts.Observer.Ended(ex.summary(r, time.Now()))
}

func (d *Driver) startPrefill(s kernel.StartPrefill) {
	a := d.begin(s.Attempt, s.Request, s.Upstream, config.RolePrefill)
	if a == nil {
		return
	}
	call := &adapter.PrefillCall{
		Target:       a.target,
		Model:        a.exchange.Model,
		ContinueFrom: s.ContinueFrom,
	}
	limits := d.prefillLimits(a, s.ContinueFrom)
	d.addPrefillWork(a, a.exchange.Request.PromptTokens+s.ContinueFrom)
	d.run(a, func() (kernel.Event, error) {
		watch := d.newWatch(a, limits)
		defer watch.stop()
		got, err := d.opts.Engine.Prefill(a.ctx, call)
		if err != nil {
			return nil, err
		}
		return kernel.PrefillDone{
			Attempt:      a.id,
			KV:           kernel.KVHandle{Engine: call.Upstream, Params: got.Params},
			CachedTokens: got.CachedTokens,
		}, nil
	})
}

func (d *Driver) startDecode(s kernel.StartDecode) {
	a := d.begin(s.Attempt, s.Request, s.Upstream, config.RoleDecode)
	if a == nil {
		return
	}
	a.setWriter(s.ContinueFrom)
	call := &adapter.DecodeCall{
		Target:       a.target,
		Model:        a.exchange.Model,
		Params:       s.KV.Params,
		ContinueFrom: s.ContinueFrom,
	}
	limits := d.decodeLimits(a, s.KV.Engine)
	d.run(a, func() (kernel.Event, error) {
		sink := d.newSink(a, limits)
		defer sink.watch.stop()
		got, err := d.opts.Engine.Decode(a.ctx, call, sink)
		return a.checkComplete(got, err)
	})
}

func (d *Driver) reattachDecode(s kernel.ReattachDecode) {
	a := d.begin(s.Attempt, s.Request, s.Upstream, config.RoleDecode)
	if a == nil {
		return
	}
	a.reattached = true
	a.setWriter(s.Offset)
	call := &adapter.ReattachCall{
		Target:   a.target,
		Endpoint: a.exchange.Model.Endpoint,
		Offset:   s.Offset,
	}
	limits := d.decodeLimits(a, "")
	d.run(a, func() (kernel.Event, error) {
		if s.Wait > 0 && !pause.For(a.ctx, s.Wait) {
			return nil, a.ctx.Err()
		}
		sink := d.newSink(a, limits)
		defer sink.watch.stop()
		got, err := d.opts.Engine.Reattach(a.ctx, call, sink)
		return a.checkComplete(got, err)
	})
}

// setWriter lets a decode attempt write to the caller from the given token on.
// While another decode of the exchange is live, which is then silent, the attempt
// takes its place with its first token.
func (a *attempt) setWriter(from int) {
	for other := range a.exchange.live {
		if other != a && other.role == config.RoleDecode {
			a.exchange.delivery.setCandidate(a.id, from, other.id)
			return
		}
	}
	a.exchange.delivery.setCurrent(a.id)
}

// checkComplete checks that the caller received every token of the output.
func (a *attempt) checkComplete(got adapter.DecodeResult, err error) (kernel.Event, error) {
	if err != nil {
		return nil, err
	}
	if have := a.exchange.delivery.offset(); have != got.Tokens {
		return nil, &GapError{Want: have, Got: got.Tokens}
	}
	a.decoded = got
	return kernel.AttemptDone{Attempt: a.id, Tokens: got.Tokens}, nil
}

func (d *Driver) callService(s kernel.CallService) {
	a := d.begin(s.Attempt, s.Request, s.Upstream, config.RoleService)
	if a == nil {
		return
	}
	call := *a.exchange.Service
	call.Target = a.target
	if service := d.services[a.exchange.Request.Service]; service != nil {
		call.Timeout = service.Timeout
	}
	d.run(a, func() (kernel.Event, error) {
		got, err := d.opts.Service.Call(a.ctx, &call)
		if err != nil {
			return nil, err
		}
		a.served = got
		return kernel.AttemptDone{Attempt: a.id}, nil
	})
}
