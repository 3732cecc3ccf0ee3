package carry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

// decode sends the request to the reserved decode engine and forwards its stream. The second
// result reports whether another pair of engines may be tried.
func (s *stream) decode(ctx context.Context, p *place, h *computed) (*Answer, bool, error) {
	u := p.decode.Upstream
	if err := s.admit(ctx); err != nil {
		s.giveUp(p, h)
		return nil, false, s.ended(err)
	}
	if s.evacuated(u) {
		return nil, s.releaseEvacuated(p, h), s.ended(&EvacuatedError{Upstream: u.ID, Zone: u.Zone})
	}
	start := clock.Now()
	var source *dialect.Handle
	if h != nil {
		source = &h.handle
	}
	g := s.guardOf(ctx, u)
	defer g.stop()
	resp, verdict, err := s.c.o.Dialect.Do(g.ctx, s.j.Call, dialect.Send{
		To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Source: source, Hold: p.hold, LastEvent: s.lastEvent,
	})
	if err != nil {
		err = g.cause(err)
		return nil, s.failedSend(ctx, p, h, start, err), s.sendError(ctx, err)
	}
	defer resp.Body.Close()
	if verdict != dialect.Success {
		return s.notServed(ctx, p, h, resp, verdict)
	}
	s.accepted(u, h)
	s.log.Info("stream accepted", "upstream", u.ID, "took_ms", clock.Since(start).Milliseconds(), "since_arrival_ms", clock.Since(s.j.Arrived).Milliseconds())
	return s.forward(ctx, g, p, resp, start)
}

// EvacuatedError reports an engine whose zone was evacuated after the engine was reserved.
type EvacuatedError struct {
	Upstream ident.UpstreamID
	Zone     ident.Zone
}

// Error implements the error interface.
func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("zone %s of engine %s was evacuated", e.Zone, e.Upstream)
}

// evacuated reports whether an engine's zone is evacuated.
func (s *stream) evacuated(u dialect.Upstream) bool { return s.c.o.View().Evacuation.Covers(u.Zone) }

// releaseEvacuated releases a reserved engine whose zone was evacuated, and reports whether
// another pair of engines may be tried. Nothing was sent to the engine, so the retry budget is
// not charged.
func (s *stream) releaseEvacuated(p *place, h *computed) bool {
	s.c.o.Count("reserved_engine_closed")
	s.log.Info("reserved engine released, zone evacuated", "upstream", p.decode.Upstream.ID, "zone", p.decode.Upstream.Zone)
	s.giveUp(p, nil)
	if s.starts >= maxStarts {
		if h != nil {
			s.free(h)
		}
		return false
	}
	s.kept = h
	return true
}

// failedSend handles an attempt that got no response, and reports whether another pair of
// engines may be tried.
func (s *stream) failedSend(ctx context.Context, p *place, h *computed, start time.Time, err error) bool {
	u := p.decode.Upstream
	s.c.note(u, &attempt{err: err}, 0, s.log)
	s.excluded = append(s.excluded, u.ID)
	s.log.Info("attempt", "upstream", u.ID, "number", s.starts, "error", logs.ErrorText(err))
	if adapter.AsCallError(err).Evidence == kernel.Ambiguous {
		s.runs++
		s.lost(ctx, u, start, false, 0, err)
		if !s.j.Route.Repeatable() || s.runs >= s.j.Route.MaxAttempts {
			return false
		}
	} else {
		s.giveUp(p, h)
	}
	return s.mayStart(ctx, err, sendsAnew)
}

// sendError returns the caller's error for an attempt that got no response.
func (s *stream) sendError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return s.ended(s.contextError(ctx))
	}
	return s.ended(err)
}

// accepted records that an engine runs the stream. If another engine refused the same prefill
// result before, that engine is at fault and not the result.
func (s *stream) accepted(u dialect.Upstream, h *computed) {
	s.c.o.Books.Kept(u)
	if h == nil {
		return
	}
	s.c.o.Books.Kept(h.engine)
	if h.refusedBy != nil {
		s.passOver(*h.refusedBy, "refused a request for which it had reserved memory")
	}
}

// passOver excludes an engine from scheduling for a time, also at peers, because it refused a
// request for which it had reserved memory or failed in a similar way.
func (s *stream) passOver(u dialect.Upstream, why string) {
	s.c.o.Books.Refuses(clock.Now(), u)
	s.c.o.Count("engine_passed_over")
	s.log.Warn("engine passed over", "upstream", u.ID, "stage", u.Stage, "why", why)
}

// notServed handles a response that is not a stream. It returns the engine's own failure if that
// is to be forwarded to the caller, and otherwise whether another pair of engines may be tried.
func (s *stream) notServed(ctx context.Context, p *place, h *computed, resp *http.Response, v dialect.Verdict) (*Answer, bool, error) {
	u := p.decode.Upstream
	a := readAnswer(ctx, resp, v, s.j.Memory)
	s.c.note(u, a, 0, s.log)
	s.excluded = append(s.excluded, u.ID)
	s.log.Info("attempt", "upstream", u.ID, "number", s.starts, "verdict", v.String(), "status", resp.StatusCode)
	err := &dialect.StatusError{Op: "decode", Status: resp.StatusCode}
	if a.evidence() != kernel.Ambiguous {
		s.c.o.Count("decode_refused")
		return nil, s.refused(ctx, p, h, err), s.ended(err)
	}
	s.runs++
	if v == dialect.Failure {
		// An engine that fails every request runs nothing, so it would always look like the
		// least loaded one.
		s.passOver(u, "answered with an error of its own instead of a stream")
	}
	if s.j.Route.Repeatable() && s.runs < s.j.Route.MaxAttempts && s.mayStart(ctx, err, sendsAnew) {
		return nil, true, err
	}
	if !s.begun && a.err == nil && v == dialect.Failure && passable(a.answer.Status) {
		return a.answer, false, nil
	}
	return nil, false, s.ended(err)
}

// refused handles the refusal of a request by a decode engine that had reserved memory for it,
// and reports whether another pair of engines may be tried. Either the engine is changing its
// stage or the prefill result is gone. A second engine is asked with the same prefill result to
// find out which, so that the prompt is not computed again.
func (s *stream) refused(ctx context.Context, p *place, h *computed, err error) bool {
	u := p.decode.Upstream
	switch {
	case h == nil:
		s.passOver(u, "refused a request for which it had reserved memory")
	case h.refusedBy == nil && h.fresh(s.j.Service.Engine.HandleTTL):
		s.giveUp(p, nil)
		if s.mayStart(ctx, err, sendsWithKept) {
			h.refusedBy = &u
			s.kept = h
			return true
		}
		s.free(h)
		return false
	case h.refusedBy != nil:
		s.passOver(h.engine, "two decode engines could not fetch its prefill result")
		s.excluded = append(s.excluded, h.engine.ID)
	}
	s.giveUp(p, h)
	return s.mayStart(ctx, err, sendsAnew)
}
