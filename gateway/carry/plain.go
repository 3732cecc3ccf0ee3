package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

const (
	// maxRefusals is the number of refusals by upstreams after which a request may still be sent
	// again. After one more, the caller is told that the service is full.
	maxRefusals = 2
	// attemptShare is the share of the remaining time that a repeatable request waits for one
	// upstream while another may still be tried.
	attemptShare = 0.45
)

// Plain forwards a request of a plain service. The error is an *Error or an *AbandonedError.
func (c *Carrier) Plain(ctx context.Context, j *Job) (*Answer, error) {
	p := &plain{c: c, j: j, log: j.log(c.o.Log)}
	p.caution = caution{c: c, j: j, log: p.log}
	defer p.caution.done()
	return p.run(ctx)
}

// plain is the state of a request of a plain service.
type plain struct {
	c   *Carrier
	j   *Job
	log *slog.Logger
	// tried lists the upstreams to which the request was sent. runs counts those that may have
	// run it, refusals those that did not.
	tried    []ident.UpstreamID
	runs     int
	refusals int
	// failure is an upstream's own error response, which is forwarded if no attempt succeeds.
	failure *Answer
	caution caution
}

// run sends the request until an attempt succeeds or no further attempt is allowed.
func (p *plain) run(ctx context.Context) (*Answer, error) {
	for {
		if ctx.Err() != nil {
			return nil, p.contextError(ctx)
		}
		if err := p.caution.admit(ctx, p.fateUnserved()); err != nil {
			return p.refused(err)
		}
		t, ok := p.place()
		if !ok && p.c.noOpenZone(p.j) {
			return p.refused(p.c.refuseNoOpenZone(p.fateUnserved(), p.log))
		}
		if !ok {
			return p.end(&NoUpstreamError{Service: p.j.Service.Name})
		}
		start := clock.Now()
		a := p.send(ctx, t)
		if a.err == nil && a.verdict == dialect.Success {
			p.caution.ended()
			return a.answer, nil
		}
		p.learn(a)
		if ctx.Err() != nil {
			return nil, p.contextError(ctx)
		}
		if a.err != nil && a.evidence() == kernel.Ambiguous {
			p.caution.lost(t.Upstream, start, false, 0, a.cause)
		}
		if !p.again(a) {
			return p.end(a.err)
		}
	}
}

// contextError returns the error for a request whose context ended.
func (p *plain) contextError(ctx context.Context) error {
	if Stopped(ctx) {
		return Stopping(p.fateUnserved())
	}
	return &AbandonedError{NotSent: len(p.tried) == 0}
}

// place chooses the next upstream.
func (p *plain) place() (schedule.Ticket, bool) {
	t, ok := p.c.o.Books.PickService(clock.Now(), p.c.eligible(p.j), p.j.Route.Repeatable(), p.tried)
	if ok {
		p.tried = append(p.tried, t.Upstream.ID)
	}
	return t, ok
}

// send makes one attempt and records its result.
func (p *plain) send(ctx context.Context, t schedule.Ticket) *attempt {
	defer p.c.o.Books.Done(t)
	start := clock.Now()
	ctx, _, end := p.c.underWay.track(ctx, t.Upstream)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, clock.Until(p.until(start)))
	defer cancel()
	a := p.exchange(ctx, t.Upstream)
	took := clock.Since(start)
	a.cause = a.err
	if silent := silence(ctx); silent != nil {
		a.cause = silent
	}
	p.c.note(t.Upstream, a, took, p.log)
	p.log.Info("attempt", "upstream", t.Upstream.ID, "number", len(p.tried), "verdict", a.verdict.String(),
		"took_ms", took.Milliseconds(), "left_ms", clock.Until(p.j.Deadline).Milliseconds(), "error", logs.ErrorText(a.err))
	return a
}

// until returns the time at which an attempt that starts at start is canceled.
func (p *plain) until(start time.Time) time.Time {
	left := p.j.Deadline.Sub(start)
	if p.j.Route.Repeatable() && p.runs+1 < p.j.Route.MaxAttempts {
		return start.Add(time.Duration(attemptShare * float64(left)))
	}
	return p.j.Deadline
}

// exchange sends the request and reads the complete response.
func (p *plain) exchange(ctx context.Context, u dialect.Upstream) *attempt {
	resp, verdict, err := p.c.o.Dialect.Do(ctx, p.j.Call, dialect.Send{
		To: u, Deadline: p.j.Deadline.Add(-deadlineMargin),
	})
	if err != nil {
		return &attempt{err: err}
	}
	defer resp.Body.Close()
	return readAnswer(ctx, resp, verdict, p.j.Memory)
}

// learn counts an attempt that did not succeed.
func (p *plain) learn(a *attempt) {
	if a.err == nil && a.verdict == dialect.Failure {
		p.failure = a.answer
	}
	if a.evidence() == kernel.Ambiguous {
		p.runs++
		return
	}
	p.refusals++
}

// again reports whether another attempt is allowed and worthwhile.
func (p *plain) again(a *attempt) bool {
	if clock.Until(p.j.Deadline) < leastTime {
		return false
	}
	if a.evidence() == kernel.Ambiguous && (!p.j.Route.Repeatable() || p.runs >= p.j.Route.MaxAttempts) {
		return false
	}
	if p.refusals > maxRefusals {
		return false
	}
	return p.c.mayResend(p.j.Service.Name, 1, false, p.log)
}

// fateUnserved returns the outcome of a request that is not sent to another upstream.
func (p *plain) fateUnserved() Fate { return fateAfter(p.runs) }

// refused ends a request that may not be sent to another upstream. An upstream's own error
// response is preferred to err.
func (p *plain) refused(err error) (*Answer, error) {
	if p.failure != nil && passable(p.failure.Status) {
		return p.failure, nil
	}
	return nil, err
}

// end returns the final result of a request that did not succeed.
func (p *plain) end(cause error) (*Answer, error) {
	if p.failure != nil && passable(p.failure.Status) {
		return p.failure, nil
	}
	switch {
	case p.runs == 0:
		return nil, &Error{Fate: NotRun, Reason: "service_full", RetryAfter: retryPlain, Err: cause}
	case errors.Is(cause, context.DeadlineExceeded):
		return nil, &Error{Fate: TimedOut, Reason: "upstream_silent", Err: cause}
	default:
		return nil, &Error{Fate: Unknown, Reason: "upstream_failed", Err: cause}
	}
}

// passable reports whether an upstream's error response may be forwarded unchanged. Some
// statuses would tell the caller that the request did not run.
func passable(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	default:
		return true
	}
}
