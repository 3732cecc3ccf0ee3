package carry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

// decode sends the request to the reserved decode engine and forwards its stream. The second
// result reports whether another pair of engines may be tried.
func (s *stream) decode(ctx context.Context, p *placement, h *prefillResult) (*Response, bool, error) {
	u := p.decode.Upstream
	if again, err := s.maySend(ctx, p, h); err != nil {
		return nil, again, s.callerError(err)
	}
	r, verdict, err := s.send(ctx, p, h, s.newFailover(ctx, u))
	defer r.close()
	s.sentAt = r.sentAt
	if err != nil {
		r.close()
		// The failure is recorded first: a takeover that is under way must know of a crash.
		mayRunElsewhere := s.recordSendFailure(ctx, p, h, r.sentAt, err)
		next := s.nextRun(ctx, err)
		s.countFailedTakeovers()
		if next != nil {
			s.leavePlacement(p)
			return s.continueAt(ctx, next)
		}
		return nil, mayRunElsewhere && s.mayRestart(ctx, err, sendsFullRestart), s.sendError(ctx, err)
	}
	if verdict != dialect.Success {
		refused := &dialect.StatusError{Op: "decode", Status: r.resp.StatusCode}
		if next := s.nextRun(ctx, refused); next != nil {
			s.recordRefusal(ctx, p, h, r, verdict)
			return s.continueAt(ctx, next)
		}
		s.countFailedTakeovers()
		return s.handleErrorResponse(ctx, p, h, r.resp, verdict)
	}
	s.recordAccepted(u, h)
	s.log.Info("stream accepted", "upstream", u.ID, "software_version", u.SoftwareVersion, "took_ms", r.age().Milliseconds(), "since_arrival_ms", clock.Since(s.j.Arrived).Milliseconds())
	return s.forward(ctx, r)
}

// maySend checks just before a send whether a reserved decode engine may get the request, and releases
// it if not. again reports whether another pair of engines may be tried.
func (s *stream) maySend(ctx context.Context, p *placement, h *prefillResult) (again bool, err error) {
	u := p.decode.Upstream
	if err := s.admit(ctx); err != nil {
		s.releaseUnused(p, h)
		return false, err
	}
	if reason := s.closedReason(u); reason != "" {
		return s.releaseClosed(p, h, reason), &EngineClosedError{Upstream: u.ID, Reason: reason}
	}
	return false, nil
}

// send sends the request to a reserved decode engine for which maySend returned no error. silence
// handles an engine that does not answer; if it is nil, the request is canceled then. The run must be
// closed, also after an error; it has no response then.
func (s *stream) send(ctx context.Context, p *placement, h *prefillResult, silence silenceHandler) (*run, dialect.Verdict, error) {
	u := p.decode.Upstream
	s.sends++
	r := &run{s: s, placement: p, sentAt: clock.Now(), watchdog: s.streamWatchdog(ctx, u, silence)}
	if !s.headSent {
		r.watchdog.limitAnswer(s.j.answerBy())
	}
	var source *dialect.Handle
	if h != nil {
		source = &h.handle
	}
	var verdict dialect.Verdict
	var err error
	r.resp, verdict, err = s.c.o.Dialect.Do(r.watchdog.ctx, s.j.Call, dialect.Send{
		To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Source: source, Reservation: p.reservation, LastEvent: s.lastEvent,
	})
	return r, verdict, r.watchdog.attemptError(err)
}

// recordRefusal records an error response of an engine from which another run has taken the stream over.
func (s *stream) recordRefusal(ctx context.Context, p *placement, h *prefillResult, r *run, v dialect.Verdict) {
	a := s.c.readResponse(ctx, s.j, p.decode.Upstream, r.resp, v, s.j.Memory)
	r.close()
	s.c.recordAttempt(p.decode.Upstream, a, 0, s.log)
	s.countFailedTakeovers()
	s.excluded = append(s.excluded, p.decode.Upstream.ID)
	s.log.Info("attempt", "upstream", p.decode.Upstream.ID, "number", s.starts, "verdict", v.String(), "status", r.resp.StatusCode)
	if a.evidence() == kernel.Ambiguous {
		s.runs++
	} else {
		s.releaseUnused(p, h)
	}
	if v == dialect.Invalid {
		s.leaveRun(p.decode.Upstream, 0)
	}
	s.leavePlacement(p)
}

// The reasons why an engine gets no requests any more.
const (
	reasonEvacuated = "zone_evacuated"
	reasonLeaving   = "leaving"
	reasonResting   = string(schedule.Resting)
	// reasonVersion means that the engine's software is not of the version that began the stream.
	reasonVersion = "other_software_version"
)

// EngineClosedError reports an engine that gets no requests any more since it was reserved.
type EngineClosedError struct {
	Upstream ident.UpstreamID
	// Reason is a short name for logs.
	Reason string
}

// Error implements the error interface.
func (e *EngineClosedError) Error() string {
	return fmt.Sprintf("engine %s gets no requests any more: %s", e.Upstream, e.Reason)
}

// closedReason returns why a reserved engine gets no requests any more, "" if it does.
func (s *stream) closedReason(u dialect.Upstream) string {
	view := s.c.o.View()
	listed, found := view.Find(u.Service, u.ID)
	switch {
	case view.Evacuation.Covers(u.Zone):
		return reasonEvacuated
	case found && listed.Leaving && listed.Incarnation == u.Incarnation:
		return reasonLeaving
	case !s.software.allows(u) || found && !s.software.allows(listed):
		return reasonVersion
	case s.c.o.Scheduler.Resting(clock.Now(), u):
		return reasonResting
	default:
		return ""
	}
}

// releaseClosed releases a reserved engine that gets no requests any more, and reports whether
// another pair of engines may be tried. Nothing was sent to the engine, so the retry budget is
// not charged.
func (s *stream) releaseClosed(p *placement, h *prefillResult, reason string) bool {
	s.c.o.Count("reserved_engine_closed")
	s.log.Info("reserved engine released", "reason", reason, "upstream", p.decode.Upstream.ID, "zone", p.decode.Upstream.Zone)
	s.releaseUnused(p, nil)
	if s.starts >= maxStarts {
		if h != nil {
			s.freeResult(h)
		}
		return false
	}
	s.retained = h
	return true
}

// recordSendFailure records an attempt that got no response, and reports whether the request may run
// at another engine.
func (s *stream) recordSendFailure(ctx context.Context, p *placement, h *prefillResult, start time.Time, err error) bool {
	u := p.decode.Upstream
	s.c.recordAttempt(u, &attempt{err: err}, 0, s.log)
	s.excluded = append(s.excluded, u.ID)
	s.log.Info("attempt", "upstream", u.ID, "number", s.starts, "error", logs.ErrorText(err))
	if adapter.AsCallError(err).Evidence == kernel.Ambiguous {
		s.readBy.bind(u.SoftwareVersion)
		s.runs++
		s.leaveRun(u, 0)
		s.recordInterruption(ctx, interruption{upstream: u, sentAt: start, wasAlive: s.c.o.Scheduler.AnsweredSince(u, start), begunBefore: s.resumed(), cause: err})
		if !s.j.Route.Repeatable() || s.runs >= s.j.Route.MaxAttempts {
			return false
		}
	} else {
		s.releaseUnused(p, h)
	}
	return true
}

// sendError returns the caller's error for an attempt that got no response.
func (s *stream) sendError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return s.callerError(s.contextError(ctx))
	}
	return s.callerError(err)
}

// recordAccepted records that an engine runs the stream. If another engine rejected the same
// prefill result before, that engine is at fault and not the result.
func (s *stream) recordAccepted(u dialect.Upstream, h *prefillResult) {
	s.readBy.bind(u.SoftwareVersion)
	s.c.o.Scheduler.RecordAcceptance(u)
	if h == nil {
		return
	}
	s.c.o.Scheduler.RecordAcceptance(h.engine)
	if h.rejectedBy != nil {
		s.skipEngine(*h.rejectedBy, "rejected a request for which it had reserved memory")
	}
}

// skipEngine excludes an engine from scheduling for a time, also at peers, because it rejected a
// request for which it had reserved memory or failed in a similar way.
func (s *stream) skipEngine(u dialect.Upstream, why string) {
	s.c.o.Scheduler.RecordRejection(clock.Now(), u)
	s.c.o.Count("engine_passed_over")
	s.log.Warn("engine passed over", "upstream", u.ID, "stage", u.Stage, "why", why)
}

// handleErrorResponse handles a response that is not a stream. It returns the engine's own
// failure if that is to be forwarded to the caller, and otherwise whether another pair of
// engines may be tried.
func (s *stream) handleErrorResponse(ctx context.Context, p *placement, h *prefillResult, resp *http.Response, v dialect.Verdict) (*Response, bool, error) {
	u := p.decode.Upstream
	a := s.c.readResponse(ctx, s.j, u, resp, v, s.j.Memory)
	s.c.recordAttempt(u, a, 0, s.log)
	s.excluded = append(s.excluded, u.ID)
	s.log.Info("attempt", "upstream", u.ID, "number", s.starts, "verdict", v.String(), "status", resp.StatusCode)
	err := &dialect.StatusError{Op: "decode", Status: resp.StatusCode}
	if a.evidence() != kernel.Ambiguous {
		s.c.o.Count("decode_refused")
		return nil, s.handleRejection(ctx, p, h, err), s.callerError(err)
	}
	s.readBy.bind(u.SoftwareVersion)
	s.runs++
	if v == dialect.Invalid {
		s.leaveRun(u, 0)
	}
	if v == dialect.Failure {
		// An engine that fails every request runs nothing, so it would always look like the
		// least loaded one.
		s.skipEngine(u, "answered with an error of its own instead of a stream")
	}
	if s.j.Route.Repeatable() && s.runs < s.j.Route.MaxAttempts && s.mayRestart(ctx, err, sendsFullRestart) {
		return nil, true, err
	}
	if !s.headSent && a.err == nil && v == dialect.Failure && forwardable(a.response.Status) {
		return a.response, false, nil
	}
	return nil, false, s.callerError(err)
}

// handleRejection handles the rejection of a request by a decode engine that had reserved memory
// for it, and reports whether another pair of engines may be tried. Either the engine is changing
// its stage or the prefill result is gone. A second engine is asked with the same prefill result to
// find out which, so that the prompt is not computed again.
func (s *stream) handleRejection(ctx context.Context, p *placement, h *prefillResult, err error) bool {
	u := p.decode.Upstream
	switch {
	case h == nil:
		s.skipEngine(u, "rejected a request for which it had reserved memory")
	case h.rejectedBy == nil && h.fetchable(s.j.Service.Engine.HandleTTL):
		s.releaseUnused(p, nil)
		if s.mayRestart(ctx, err, sendsDecodeOnly) {
			h.rejectedBy = &u
			s.retained = h
			return true
		}
		s.freeResult(h)
		return false
	case h.rejectedBy != nil:
		s.skipEngine(h.engine, "two decode engines could not fetch its prefill result")
		s.excluded = append(s.excluded, h.engine.ID)
	}
	s.releaseUnused(p, h)
	return s.mayRestart(ctx, err, sendsFullRestart)
}
