package carry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/kernel"
)

// stallFactor is the time that a running stream may send nothing before its engine is asked for
// a sign of life, as a multiple of the route's pace objective.
const stallFactor = 2

// notYet is the initial delay of a timer that has not been started yet.
const notYet = time.Hour

// guard monitors an engine to which a request was sent. It cancels the request's context when a
// newer incarnation of the engine appears. If nothing arrives for a time, it checks whether the
// engine is alive. If the engine does not answer, the context is canceled too; for a stream that
// has delivered events only if another engine was reserved for it.
type guard struct {
	// ctx is the context of the request. cancel cancels it with a *SilentError.
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   func()
	timer  *time.Timer
	after  time.Duration
	// signs counts the signs of life.
	signs atomic.Uint64
}

// watch returns a guard for a request to an engine. It checks the engine when nothing has
// arrived for the given time, and with a failover again each time that nothing has arrived for
// as long.
func (s *stream) watch(ctx context.Context, u dialect.Upstream, after time.Duration, f *failover) *guard {
	watched, cancel, end := s.c.underWay.track(ctx, u)
	g := &guard{ctx: watched, cancel: cancel, after: after}
	// The timer must be assigned before it can fire, so it is started by heard.
	g.timer = time.AfterFunc(notYet, func() {
		if s.ask(u, g, f) && f != nil {
			g.wait()
		}
	})
	g.stop = func() {
		g.timer.Stop()
		end()
	}
	g.heard()
	return g
}

// guardOf returns the guard for a running stream. The engine is checked only if the stream may
// continue elsewhere; a stream that may run at most once is left alone while its engine lives.
// Without the check, a stream whose zone is cut off stalls until its caller disconnects, and all
// of these callers retry at the same moment.
func (s *stream) guardOf(ctx context.Context, u dialect.Upstream) *guard {
	after := stallFactor * s.j.Route.PaceObjective
	if !s.j.Route.Repeatable() || after <= 0 {
		watched, cancel, end := s.c.underWay.track(ctx, u)
		return &guard{ctx: watched, cancel: cancel, stop: end}
	}
	return s.watch(ctx, u, after, s.failoverFrom(u))
}

// heard records a sign of life and restarts the timer.
func (g *guard) heard() {
	g.signs.Add(1)
	g.wait()
}

// wait restarts the timer for the next sign of life.
func (g *guard) wait() {
	if g.timer != nil && g.ctx.Err() == nil {
		g.timer.Reset(g.after)
	}
}

// cause returns the *SilentError for which the attempt was canceled, otherwise err. The result
// keeps the evidence of err on whether the request was sent: the unanswered liveness check was a
// separate call and says nothing about that.
func (g *guard) cause(err error) error {
	silent := silence(g.ctx)
	if err == nil || silent == nil {
		return err
	}
	return &adapter.CallError{Evidence: adapter.AsCallError(err).Evidence, Code: kernel.FailureBroken, Err: silent}
}
