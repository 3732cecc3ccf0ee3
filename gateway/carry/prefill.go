package carry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

// prefillResult is a prefill result and the engine that holds it.
type prefillResult struct {
	handle    dialect.Handle
	engine    dialect.Upstream
	createdAt time.Time
	// rejectedBy is the decode engine that rejected the result.
	rejectedBy *dialect.Upstream
}

// resultReuseShare is the share of a prefill result's lifetime in which it is still offered to
// another engine.
const resultReuseShare = 0.6

// fetchable reports whether a prefill result can still be fetched. It is false for a nil result.
func (h *prefillResult) fetchable(ttl time.Duration) bool {
	return h != nil && clock.Since(h.createdAt) < time.Duration(resultReuseShare*float64(ttl))
}

// obtainPrefill returns the prefill result for the decode engine: the retained one if it can
// still be fetched, otherwise a new one. It returns nil if the decode engine computes the prompt
// itself.
func (s *stream) obtainPrefill(ctx context.Context, p *placement) (*prefillResult, error) {
	h := s.retained
	s.retained = nil
	if p.selfPrefill {
		if h != nil {
			s.freeResult(h)
		}
		return nil, nil
	}
	if h.fetchable(s.j.Service.Engine.HandleTTL) {
		return h, nil
	}
	if h != nil {
		s.freeResult(h)
	}
	return s.prefill(ctx, p)
}

// prefill has the prompt computed at a prefill engine. If that engine crashes, the prompt is
// given to another one, on trial: the requests that waited there, about five, would be late if
// their callers had to retry, and a prompt that crashes engines takes down two of them either
// way. A nil result without an error means that no prefill engine is available and the decode
// engine has to compute the prompt.
func (s *stream) prefill(ctx context.Context, p *placement) (*prefillResult, error) {
	var tried []ident.UpstreamID
	for {
		t, ok := s.placePrefill(ctx, p.decode.Upstream.Zone, append(tried, s.excluded...))
		if !ok {
			return nil, nil
		}
		if err := s.admit(ctx); err != nil {
			s.c.o.Scheduler.Done(t)
			return nil, err
		}
		silence := &prefillSilence{s: s, startedAt: clock.Now(), resumed: s.resumed(), headSent: s.headSent}
		h, err := s.prefillAt(ctx, t, silence)
		if err == nil {
			return &prefillResult{handle: h, engine: t.Upstream, createdAt: clock.Now()}, nil
		}
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		tried = append(tried, t.Upstream.ID)
		if !s.headSent && clock.Until(s.j.answerBy()) < minAttemptTime {
			return nil, err
		}
		if !silence.charged.Load() && !s.c.mayResend(s.j.Service.Name, sendsAfterPrefill, s.headSent, s.log) {
			return nil, err
		}
	}
}

// prefillSilence handles a prefill engine that does not respond. The prompt is left there while the
// retry budget does not allow another prefill.
type prefillSilence struct {
	s         *stream
	startedAt time.Time
	// resumed and headSent are those of the stream at the start: a timer that fires late asks for them when
	// the stream goes on already.
	resumed, headSent bool
	// suspect records that the engine may have crashed, once.
	suspect sync.Once
	// charged means that the next prefill was charged to the retry budget.
	charged atomic.Bool
}

// onUnresponsive implements silenceHandler.
func (p *prefillSilence) onUnresponsive(u dialect.Upstream, err error, start time.Time, heard func() bool) bool {
	s := p.s
	s.c.recordFailure(u, ClassifyUnreachable(err), err, clock.Since(start), s.log)
	if !heard() && p.charge() {
		return true
	}
	p.suspect.Do(func() {
		s.crashGuard.startCheck(interruption{
			upstream: u, sentAt: p.startedAt, wasAlive: s.c.o.Scheduler.AnsweredSince(u, p.startedAt), begunBefore: p.resumed,
			cause: &UnresponsiveError{Upstream: u.ID, Err: err},
		})
	})
	s.c.o.Count("silent_prefill_kept")
	s.log.Info("prompt stays at a silent engine", "upstream", u.ID, "heard", heard(), "left_ms", clock.Until(s.j.Deadline).Milliseconds())
	return false
}

// charge charges another prefill to the retry budget and reports whether that is allowed.
func (p *prefillSilence) charge() bool {
	if p.charged.Load() {
		return true
	}
	s := p.s
	allowed := s.c.mayResend(s.j.Service.Name, sendsAfterPrefill, p.headSent, s.log)
	p.charged.Store(allowed)
	return allowed
}

// prefillAt has the prompt computed at one engine.
func (s *stream) prefillAt(ctx context.Context, t schedule.Ticket, silence *prefillSilence) (dialect.Handle, error) {
	defer s.c.o.Scheduler.Done(t)
	s.prefills++
	u := t.Upstream
	expected, _ := s.prefillWait()
	start := clock.Now()
	wd := s.newWatchdog(ctx, u, max(minLivenessDelay, livenessDelayFactor*expected), silence, false)
	defer wd.stop()
	limit := time.AfterFunc(s.prefillTimeout(start, expected), func() {
		// A stream that is under way is late in any case: it gains nothing from an end without another
		// prefill.
		if !silence.resumed || silence.charge() {
			wd.cancel(context.DeadlineExceeded)
		}
	})
	defer limit.Stop()
	if !s.headSent {
		wd.limitAnswer(s.j.answerBy())
		defer wd.stopLimit()
	}
	h, err := s.c.o.Dialect.Prefill(wd.ctx, s.j.Call, dialect.Send{To: u, Deadline: s.j.Deadline.Add(-deadlineMargin)})
	took := clock.Since(start)
	err = wd.attemptError(err)
	s.recordPrefill(u, err, start, took)
	if err != nil && adapter.AsCallError(err).Evidence == kernel.Ambiguous && adapter.AsCallError(err).Status == 0 && ctx.Err() == nil && context.Cause(wd.ctx) != context.DeadlineExceeded {
		s.crashGuard.awaitCheck(interruption{upstream: u, sentAt: start, wasAlive: s.c.o.Scheduler.AnsweredSince(u, start), begunBefore: s.resumed(), cause: err})
	}
	if err == nil {
		s.c.o.Scheduler.PrefillDone(s.j.Service.Name, s.j.Call.PromptTokens, took)
		s.c.o.Scheduler.ObservePrefillThroughput(clock.Now(), u, s.j.Call.PromptTokens, took)
	}
	s.log.Info("prefill", "upstream", u.ID, "tokens", s.j.Call.PromptTokens, "number", s.prefills, "took_ms", took.Milliseconds(), "error", logs.ErrorText(err))
	return h, err
}

// prefillTimeout returns the time limit of a prefill that starts at start. A responsive engine
// gets at least the time in which the first event can still be on time, because canceling
// earlier discards its work and makes another engine start over.
func (s *stream) prefillTimeout(start time.Time, expected time.Duration) time.Duration {
	first := s.c.o.Scheduler.FirstEvent(s.j.Service.Name)
	onTime := s.j.Arrived.Add(s.j.Route.Objective - first).Sub(start)
	return max(minPrefillTimeout, prefillTimeoutFactor*expected, onTime)
}

// recordPrefill records in the scheduler's records what a prefill revealed about its engine.
func (s *stream) recordPrefill(u dialect.Upstream, err error, start time.Time, took time.Duration) {
	var silent *UnresponsiveError
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case errors.As(err, &silent):
		s.c.recordFailure(u, ClassifyUnreachable(silent.Err), err, took, s.log)
	case late && s.c.o.Scheduler.AnsweredSince(u, start):
		// The engine responded to other requests meanwhile, so it is busy.
	case late:
		// Nothing arrived from the engine, so it is down or unreachable.
		s.c.recordFailure(u, schedule.Unreachable, err, took, s.log)
	case err != nil && adapter.AsCallError(err).Status == http.StatusMisdirectedRequest:
		s.c.recordFailure(u, schedule.Misdirected, err, took, s.log)
	case err != nil && adapter.AsCallError(err).Status != 0:
		s.c.recordFailure(u, schedule.Soft, err, took, s.log)
	default:
		s.c.recordAttempt(u, &attempt{err: err, verdict: dialect.Success}, took, s.log)
	}
}
