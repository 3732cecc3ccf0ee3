package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

// reasonUnreachable is the reason given for requests that neither this instance nor a peer can send
// to an upstream. unreachableRetryAfter is their Retry-After: a peer that reaches upstreams is found
// within about half a second, and other instances may serve the caller at once.
const (
	reasonUnreachable     = "upstreams_unreachable"
	unreachableRetryAfter = time.Second
)

// Relay sends requests to upstreams by way of a peer.
type Relay interface {
	// Needed reports whether this instance reaches no upstream of a service. Suspected reports
	// whether that is so or may be so, as several upstreams in a row could not be connected to.
	Needed(service string) bool
	Suspected(service string) bool
	// Send sends a request to a peer. Its errors are those of relay.Client.
	Send(ctx context.Context, q relay.Request, body []byte, deadline time.Time, regions routing.Regions) (*http.Response, error)
}

// declineRelayed returns the *Error for a request that a peer relayed to this instance, which reaches
// no upstream either. runs is the number of upstreams that may have run it. Another peer may serve it
// only if none of them was tried by this instance.
func declineRelayed(j *Job, runs int) *Error {
	return &Error{Outcome: outcomeAfter(runs), Reason: reasonUnreachable, RetryAfter: unreachableRetryAfter, Declined: runs == j.PriorRuns}
}

// progress is how far a request has got before a peer carries it out.
type progress struct {
	// runs is the number of upstreams that may have run it.
	runs int
	// lastEvent and receivedEvents are those of a stream that goes on, softwareVersion the version at
	// which it does, nil for any.
	lastEvent       string
	receivedEvents  int
	softwareVersion *string
}

// sendToPeer sends a request to a peer. The error is an *Error.
func (c *Forwarder) sendToPeer(ctx context.Context, j *Job, p progress, log *slog.Logger) (*http.Response, error) {
	q := relay.Request{Call: *j.Call, Service: j.Service.Name, Version: j.Version, WaitedMS: clock.Since(j.Arrived).Milliseconds(), Runs: p.runs, SoftwareVersion: p.softwareVersion}
	q.Call.Body = nil
	q.Call.LastEvent, q.Call.ReceivedEvents = p.lastEvent, p.receivedEvents
	start := clock.Now()
	resp, err := c.o.Relay.Send(ctx, q, j.Call.Body, j.Deadline, j.Regions)
	if err != nil {
		c.o.Count("relay_failed")
		log.Info("relayed", "outcome", "failed", "runs", p.runs, "took_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
		return nil, relayError(ctx, err, p.runs)
	}
	c.o.Count("relayed")
	log.Info("relayed", "outcome", "answered", "status", resp.StatusCode, "runs", p.runs, "took_ms", clock.Since(start).Milliseconds(), "error", "")
	return resp, nil
}

// relayError converts an error of Relay.Send to an *Error. runs is the number of upstreams that may
// have run the request before.
func relayError(ctx context.Context, err error, runs int) *Error {
	out := &Error{Outcome: outcomeAfter(runs), Reason: reasonUnreachable, RetryAfter: unreachableRetryAfter, Err: err}
	var failure *relay.Failure
	var lost *relay.LostError
	switch {
	case errors.As(err, &failure):
		out.Reason, out.RetryAfter = failure.Reason, failure.RetryAfter()
		switch failure.Outcome {
		case relay.NotRun:
		case relay.TimedOut:
			out.Outcome = TimedOut
		default:
			out.Outcome = Unknown
		}
	case errors.As(err, &lost):
		out.Outcome, out.Reason = Unknown, "peer_lost"
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			out.Outcome = TimedOut
		}
	}
	return out
}

// RelayFailure converts the error of a relayed request to the message for the instance that relayed
// it.
func RelayFailure(e *Error) relay.Failure {
	f := relay.Failure{Outcome: relay.Unknown, Declined: e.Declined, Reason: e.Reason, RetryAfterMS: e.RetryAfter.Milliseconds()}
	switch e.Outcome {
	case NotRun:
		f.Outcome = relay.NotRun
	case TimedOut:
		f.Outcome = relay.TimedOut
	}
	return f
}

// relay has a peer carry out the request, unless it came from a peer. The error is an *Error or an
// *AbandonedError.
func (p *plainRequest) relay(ctx context.Context) (*Response, error) {
	if p.j.Relayed {
		return p.refuse(declineRelayed(p.j, p.runs))
	}
	p.crashGuard.endTrial()
	ctx, cancel := context.WithTimeout(ctx, clock.Until(p.j.answerBy()))
	defer cancel()
	response, err := p.c.relayPlain(ctx, p.j, p.runs, p.j.Memory, p.log)
	if err != nil {
		return p.relayResult(ctx, err)
	}
	return response, nil
}

// relayPlain has a peer serve a plain request. runs is the number of upstreams that may have run it, and
// account accounts for the response. The error is an *Error.
func (c *Forwarder) relayPlain(ctx context.Context, j *Job, runs int, account *memory.Account, log *slog.Logger) (*Response, error) {
	resp, err := c.sendToPeer(ctx, j, progress{runs: runs, lastEvent: j.Call.LastEvent, receivedEvents: j.Call.ReceivedEvents}, log)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := readResponseBody(ctx, resp, account, peerLives)
	if err != nil {
		c.o.Count("relayed_answer_broke_off")
		log.Info("relayed answer broke off", "status", resp.StatusCode, "stopping", Stopped(ctx), "error", logs.ErrorText(err))
		return nil, &Error{Outcome: Unknown, Reason: "peer_lost", Err: err}
	}
	return &Response{Status: resp.StatusCode, Header: roundtrip.EndToEnd(resp.Header), Body: body}, nil
}

// relayResult returns the result of a relayed request without an answer.
func (p *plainRequest) relayResult(ctx context.Context, err error) (*Response, error) {
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) && !mayHaveRunAtPeer(ctx, err) {
		return nil, p.contextError(ctx)
	}
	return p.refuse(err)
}

// mayHaveRunAtPeer reports whether a relayed request whose context has ended may have run, while its caller still waits for
// the answer. err is the error of relaying it.
func mayHaveRunAtPeer(ctx context.Context, err error) bool {
	return mayHaveRun(err) && (Stopped(ctx) || errors.Is(ctx.Err(), context.DeadlineExceeded))
}

// sentNothing reports whether no byte of an attempt was sent.
func (a *attempt) sentNothing() bool {
	return a.err != nil && adapter.AsCallError(a.err).Evidence == kernel.NotSent
}

// relayNeededError reports that a stream got no engine because this instance reaches none.
type relayNeededError struct{}

// Error implements the error interface.
func (*relayNeededError) Error() string { return "instance reaches no upstream" }

// relay has a peer run the stream, or the rest of it, unless the stream came from a peer. The second
// result reports whether the stream may be started again.
func (s *stream) relay(ctx context.Context) (*Response, bool, error) {
	if s.j.Relayed {
		return nil, false, s.callerError(declineRelayed(s.j, s.runs))
	}
	s.crashGuard.endTrial()
	relayCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := s.limitRelay(cancel)
	defer limit.Stop()
	r, err := s.sendRelayed(relayCtx)
	if err != nil {
		if ctx.Err() != nil && !mayHaveRunAtPeer(ctx, err) {
			err = s.contextError(ctx)
		}
		return nil, false, s.callerError(err)
	}
	defer r.close()
	r.answerTimer = limit
	return s.forwardRelayed(ctx, r)
}

// limitRelay returns a timer that cancels a relayed stream without an event when the caller must be
// answered. It is stopped already if the caller has events.
func (s *stream) limitRelay(cancel context.CancelCauseFunc) *time.Timer {
	limit := time.AfterFunc(clock.Until(s.j.answerBy()), func() { cancel(context.DeadlineExceeded) })
	if s.headSent {
		limit.Stop()
	}
	return limit
}

// sendRelayed sends the stream, or the rest of it, to a peer. The error is an *Error.
func (s *stream) sendRelayed(ctx context.Context) (*run, error) {
	s.c.leftRuns.forget(s.j.Call.ID)
	r := &run{s: s, sentAt: clock.Now()}
	var err error
	r.resp, err = s.c.sendToPeer(ctx, s.j, progress{
		runs: s.runs, lastEvent: s.lastEvent, receivedEvents: s.j.Call.ReceivedEvents + int(s.events.Load()), softwareVersion: s.software.version.Load(),
	}, s.log)
	return r, err
}

// forwardRelayed copies a relayed stream to the caller. The second result reports whether the stream
// may be started again.
func (s *stream) forwardRelayed(ctx context.Context, r *run) (*Response, bool, error) {
	if r.resp.StatusCode != http.StatusOK {
		return s.relayedError(ctx, r.resp)
	}
	err := s.copyRelayed(ctx, r)
	if err == nil {
		return nil, false, nil
	}
	s.runs++
	s.cutReason = cutReason(ctx, err)
	s.log.Info("relayed stream broke off", "by", string(s.cutReason), "events", s.events.Load(), "last_event", s.lastEvent, "error", logs.ErrorText(err))
	again := !callerLeft(err) && s.j.Route.Repeatable() && s.runs < s.j.Route.MaxAttempts && s.mayRestart(ctx, err, sendsFullRestart)
	return nil, again, s.streamError(ctx, err)
}

// relayedError returns an upstream's own error response to a relayed stream.
func (s *stream) relayedError(ctx context.Context, resp *http.Response) (*Response, bool, error) {
	s.runs++
	body, err := readResponseBody(ctx, resp, s.j.Memory, peerLives)
	if err != nil || s.headSent {
		return nil, false, s.callerError(&Error{Outcome: Unknown, Reason: "engine_failed", Err: err})
	}
	return &Response{Status: resp.StatusCode, Header: roundtrip.EndToEnd(resp.Header), Body: body}, false, nil
}

// copyRelayed copies complete events of a relayed stream to the caller until the stream ends.
func (s *stream) copyRelayed(ctx context.Context, r *run) error {
	resp := r.resp
	s.eventsBefore = s.events.Load()
	version, known := relay.TakeSoftwareVersion(resp.Header)
	rest, err := readEvents(r.body(), s.j.Memory, func() {}, func(events []byte) error {
		if r.answerTimer != nil {
			r.answerTimer.Stop()
		}
		s.beganAtPeer(ctx, version, known)
		s.recordPause(clock.Now())
		return s.deliver(resp, events)
	})
	if err != nil {
		return err
	}
	return s.finish(resp, bodyEnd{rest: rest, senderLives: peerLives})
}
