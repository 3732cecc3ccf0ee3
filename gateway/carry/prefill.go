package carry

import (
	"context"
	"errors"
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

// computed is a prefill result and the engine that holds it.
type computed struct {
	handle dialect.Handle
	engine dialect.Upstream
	at     time.Time
	// refusedBy is the decode engine that refused to fetch the result.
	refusedBy *dialect.Upstream
}

// keptShare is the share of a prefill result's lifetime in which it is still offered to another
// engine.
const keptShare = 0.6

// fresh reports whether a prefill result can still be fetched. It is false for a nil result.
func (h *computed) fresh(ttl time.Duration) bool {
	return h != nil && clock.Since(h.at) < time.Duration(keptShare*float64(ttl))
}

// compute returns the prefill result for the decode engine: the retained one if it can still be
// fetched, otherwise a new one. It returns nil if the decode engine computes the prompt itself.
func (s *stream) compute(ctx context.Context, p *place) (*computed, error) {
	h := s.kept
	s.kept = nil
	if p.self {
		if h != nil {
			s.free(h)
		}
		return nil, nil
	}
	if h.fresh(s.j.Service.Engine.HandleTTL) {
		return h, nil
	}
	if h != nil {
		s.free(h)
	}
	return s.prefill(ctx, p)
}

// prefill has the prompt computed at a prefill engine. If that engine crashes, the prompt is
// given to another one, on trial: the requests that waited there, about five, would be late if
// their callers had to retry, and a prompt that crashes engines takes down two of them either
// way. A nil result without an error means that no prefill engine is available and the decode
// engine has to compute the prompt.
func (s *stream) prefill(ctx context.Context, p *place) (*computed, error) {
	var tried []ident.UpstreamID
	for {
		t, ok := s.c.o.Books.PlacePrefill(clock.Now(), s.c.eligible(s.j), s.j.Call.PromptTokens, p.decode.Upstream.Zone, append(tried, s.excluded...))
		if !ok {
			return nil, nil
		}
		if err := s.admit(ctx); err != nil {
			s.c.o.Books.Done(t)
			return nil, err
		}
		h, err := s.prefillAt(ctx, t)
		if err == nil {
			return &computed{handle: h, engine: t.Upstream, at: clock.Now()}, nil
		}
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		tried = append(tried, t.Upstream.ID)
		if !s.c.mayResend(s.j.Service.Name, sendsAfterPrefill, s.begun, s.log) {
			return nil, err
		}
	}
}

// prefillAt has the prompt computed at one engine.
func (s *stream) prefillAt(ctx context.Context, t schedule.Ticket) (dialect.Handle, error) {
	defer s.c.o.Books.Done(t)
	s.prefills++
	u := t.Upstream
	expected, _ := s.prefillWait()
	start := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, s.patience(start, expected))
	defer cancel()
	g := s.watch(ctx, u, max(leastDoubt, doubtFactor*expected), nil)
	defer g.stop()
	h, err := s.c.o.Dialect.Prefill(g.ctx, s.j.Call, dialect.Send{To: u, Deadline: s.j.Deadline.Add(-deadlineMargin)})
	took := clock.Since(start)
	err = g.cause(err)
	s.notePrefill(u, err, start, took)
	if err != nil && adapter.AsCallError(err).Evidence == kernel.Ambiguous && adapter.AsCallError(err).Status == 0 && ctx.Err() == nil {
		s.caution.weigh(u, s.c.o.Books.AnsweredSince(u, start), 0, err)
	}
	if err == nil {
		s.c.o.Books.PrefillDone(s.j.Service.Name, s.j.Call.PromptTokens, took)
		s.c.o.Books.ObservePrefillPace(clock.Now(), u, s.j.Call.PromptTokens, took)
	}
	s.log.Info("prefill", "upstream", u.ID, "tokens", s.j.Call.PromptTokens, "number", s.prefills, "took_ms", took.Milliseconds(), "error", logs.ErrorText(err))
	return h, err
}

// patience returns the time limit of a prefill that starts now. An engine that is alive gets all
// the time in which the first event can still be on time. Canceling earlier discards its work,
// and another engine has to start over.
func (s *stream) patience(start time.Time, expected time.Duration) time.Duration {
	first := s.c.o.Books.FirstEvent(s.j.Service.Name)
	onTime := s.j.Arrived.Add(s.j.Route.Objective - first).Sub(start)
	return max(leastPrefill, prefillPatience*expected, onTime)
}

// notePrefill records in the scheduler's records what a prefill revealed about its engine.
func (s *stream) notePrefill(u dialect.Upstream, err error, start time.Time, took time.Duration) {
	var silent *SilentError
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case errors.As(err, &silent):
		s.c.failed(u, Unreached(silent.Err), err, took, s.log)
	case late && s.c.o.Books.AnsweredSince(u, start):
		// The engine responded to other requests meanwhile, so it is busy.
	case late:
		// Nothing arrived from the engine, so it is down or unreachable.
		s.c.failed(u, schedule.Unreachable, err, took, s.log)
	case err != nil && adapter.AsCallError(err).Status == http.StatusMisdirectedRequest:
		s.c.failed(u, schedule.Misdirected, err, took, s.log)
	case err != nil && adapter.AsCallError(err).Status != 0:
		s.c.failed(u, schedule.Soft, err, took, s.log)
	default:
		s.c.note(u, &attempt{err: err, verdict: dialect.Success}, took, s.log)
	}
}
