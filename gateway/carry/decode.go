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

// decode runs the stream at its place.
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

// Error implements error.
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

// failedSend takes in a sending that brought no response, and reports whether
// another pair of engines may be tried.
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

// sendError is what the caller is told of a sending that brought no response.
func (s *stream) sendError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return s.ended(s.contextError(ctx))
	}
	return s.ended(err)
}

// accepted takes in that an engine runs the stream: whoever refused the prefill
// result before is to blame for that, not the result.
func (s *stream) accepted(u dialect.Upstream, h *computed) {
	s.c.o.Books.Kept(u)
	if h == nil {
		return
	}
	s.c.o.Books.Kept(h.engine)
	if h.refusedBy != nil {
		s.passOver(*h.refusedBy, "refused although reserved")
	}
}

// passOver has an engine passed over that refused what it had promised.
func (s *stream) passOver(u dialect.Upstream, why string) {
	s.c.o.Books.Refuses(clock.Now(), u)
	s.c.o.Count("engine_passed_over")
	s.log.Warn("engine passed over", "upstream", u.ID, "stage", u.Stage, "why", why)
}

// notServed takes in an answer that is no stream.
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
		// It runs nothing, so that it always looks emptiest.
		s.passOver(u, "its own failure in place of a stream")
	}
	if s.j.Route.Repeatable() && s.runs < s.j.Route.MaxAttempts && s.mayStart(ctx, err, sendsAnew) {
		return nil, true, err
	}
	if !s.begun && a.err == nil && v == dialect.Failure && passable(a.answer.Status) {
		return a.answer, false, nil
	}
	return nil, false, s.ended(err)
}

// refused takes in that a decode engine refused a request for which it had
// reserved memory, and reports whether another may be tried. The engine may be
// changing its stage, or the prefill result may be gone: a second engine tells,
// without computing the prompt again.
func (s *stream) refused(ctx context.Context, p *place, h *computed, err error) bool {
	u := p.decode.Upstream
	switch {
	case h == nil:
		s.passOver(u, "refused although reserved")
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
		s.passOver(h.engine, "two engines could not fetch its result")
		s.excluded = append(s.excluded, h.engine.ID)
	}
	s.giveUp(p, h)
	return s.mayStart(ctx, err, sendsAnew)
}
