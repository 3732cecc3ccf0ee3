package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// maxRejections is the number of rejections by upstreams after which a request may still be
	// sent again. After one more, the caller is told that the service is full.
	maxRejections = 2
)

// Plain forwards a request of a plain service. The error is an *Error or an *AbandonedError.
func (c *Forwarder) Plain(ctx context.Context, j *Job) (*Response, error) {
	p := &plainRequest{c: c, j: j, log: j.log(c.o.Log), runs: j.PriorRuns, attempts: newPlainAttempts(&c.cleanup)}
	p.crashGuard = c.newCrashGuard(j, p.log)
	defer p.crashGuard.endTrial()
	defer p.attempts.close()
	return p.run(ctx)
}

// plainRequest is the state of a request of a plain service.
type plainRequest struct {
	c   *Forwarder
	j   *Job
	log *slog.Logger
	// tried lists the upstreams to which the request was sent. runs counts those that may have
	// run it, rejections those that did not.
	tried      []ident.UpstreamID
	runs       int
	rejections int
	// failure is an upstream's own error response, which is forwarded if no attempt succeeds.
	failure    *Response
	crashGuard crashGuard
	attempts   *plainAttempts
}

// run sends the request until an attempt succeeds or no further attempt is allowed.
func (p *plainRequest) run(ctx context.Context) (*Response, error) {
	for {
		if ctx.Err() != nil {
			return nil, p.contextError(ctx)
		}
		if p.c.o.Relay.Needed(p.j.Service.Name) {
			return p.relay(ctx)
		}
		if err := p.crashGuard.admit(ctx, p.outcomeUnserved()); err != nil {
			return p.refuse(err)
		}
		t, ok := p.pickUpstream(ctx)
		if !ok && p.c.o.Relay.Suspected(p.j.Service.Name) {
			return p.relay(ctx)
		}
		if !ok {
			return p.unplaced()
		}
		// Crash records may have arrived while the request waited for its upstream.
		if err := p.crashGuard.admit(ctx, p.outcomeUnserved()); err != nil {
			p.c.o.Scheduler.Done(t)
			return p.refuse(err)
		}
		p.start(ctx, t)
		a := p.await(ctx)
		if a == nil {
			return nil, p.contextError(ctx)
		}
		if a.succeeded() {
			p.crashGuard.recordCompletion()
			return a.result.response, nil
		}
		if ctx.Err() != nil {
			return nil, p.contextError(ctx)
		}
		if a.relayed && a.result.err == nil {
			return a.result.response, nil
		}
		if a.relayed {
			return p.relayResult(ctx, a.result.err)
		}
		if p.mayRetry(a.result) {
			continue
		}
		if a.result.sentNothing() && p.c.o.Relay.Suspected(p.j.Service.Name) {
			return p.relay(ctx)
		}
		return p.finalResult(a.result.err)
	}
}

// contextError returns the error for a request whose context ended.
func (p *plainRequest) contextError(ctx context.Context) error {
	if Stopped(ctx) {
		return NewStoppingError(p.outcomeUnserved())
	}
	return &AbandonedError{NotSent: len(p.tried) == 0}
}

// pickUpstream chooses the next upstream.
func (p *plainRequest) pickUpstream(ctx context.Context) (schedule.Ticket, bool) {
	t, ok := p.c.placePlain(ctx, p.j, p.tried, p.log)
	if ok {
		p.tried = append(p.tried, t.Upstream.ID)
	}
	return t, ok
}

// unplaced returns the final result of a request for which there is no upstream.
func (p *plainRequest) unplaced() (*Response, error) {
	if p.c.noOpenZone(p.j) {
		return p.refuse(p.c.refuseNoOpenZone(p.outcomeUnserved(), p.log))
	}
	wait, reason := p.c.o.Scheduler.HeldOff(clock.Now(), p.c.eligible(p.j), "", p.tried)
	if reason != "" {
		return p.refuse(p.c.refuseHeldOff(p.j, "", wait, reason, p.outcomeUnserved(), p.log))
	}
	return p.finalResult(&NoUpstreamError{Service: p.j.Service.Name})
}

// countFailure counts an attempt that did not succeed.
func (p *plainRequest) countFailure(a *attempt) {
	if a.err == nil && a.verdict == dialect.Failure {
		p.failure = a.response
	}
	if a.evidence() == kernel.Ambiguous {
		p.runs++
		return
	}
	p.rejections++
}

// mayRetry reports whether another attempt is allowed and worthwhile.
func (p *plainRequest) mayRetry(a *attempt) bool {
	if clock.Until(p.j.answerBy()) < minAttemptTime {
		return false
	}
	if a.evidence() == kernel.Ambiguous && (!p.j.Route.Repeatable() || p.runs >= p.j.Route.MaxAttempts) {
		return false
	}
	if p.rejections > maxRejections {
		return false
	}
	return p.c.mayResend(p.j.Service.Name, 1, false, p.log)
}

// outcomeUnserved returns the outcome of a request that is not sent to another upstream.
func (p *plainRequest) outcomeUnserved() Outcome { return outcomeAfter(p.runs) }

// refuse ends a request that may not be sent to another upstream. An upstream's own error
// response is preferred to err.
func (p *plainRequest) refuse(err error) (*Response, error) {
	if p.failure != nil && forwardable(p.failure.Status) {
		return p.failure, nil
	}
	return nil, err
}

// finalResult returns the final result of a request that did not succeed.
func (p *plainRequest) finalResult(cause error) (*Response, error) {
	if p.failure != nil && forwardable(p.failure.Status) {
		return p.failure, nil
	}
	switch {
	case p.runs == 0:
		return nil, &Error{Outcome: NotRun, Reason: "service_full", RetryAfter: plainRetryAfter, Err: cause}
	case errors.Is(cause, context.DeadlineExceeded):
		return nil, &Error{Outcome: TimedOut, Reason: "upstream_silent", Err: cause}
	default:
		return nil, &Error{Outcome: Unknown, Reason: "upstream_failed", Err: cause}
	}
}

// forwardable reports whether an upstream's error response may be forwarded unchanged. Some
// statuses would tell the caller that the request did not run.
func forwardable(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	default:
		return true
	}
}
