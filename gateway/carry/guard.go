package carry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/kernel"
)

// stallFactor is how many pace objectives a running stream may send nothing before its
// engine is asked whether it lives.
const stallFactor = 2

// notYet is the time of a timer that is not started yet.
const notYet = time.Hour

// guard watches an engine that a request was sent to: the request's context ends when the
// engine has started again. If nothing comes for a time, the engine is asked whether it
// lives; without an answer the context ends too, that of a run under way only for another
// engine.
type guard struct {
	// ctx is the request's, canceled with a *SilentError by cancel.
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   func()
	timer  *time.Timer
	after  time.Duration
	// signs counts the signs of life.
	signs atomic.Uint64
}

// watch returns a guard of a request to an engine, which asks after the given time; with a
// failover, once more whenever nothing has come for as long.
func (s *stream) watch(ctx context.Context, u dialect.Upstream, after time.Duration, f *failover) *guard {
	watched, cancel, end := s.c.underWay.track(ctx, u)
	g := &guard{ctx: watched, cancel: cancel, after: after}
	// The timer must be in place when it fires: it is started by heard.
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

// guardOf returns the guard of a running stream: of one that may go on elsewhere the engine
// is asked, streams that run at most once are left alone while their engine lives. Without
// it a stream across a cut between zones stands still until its caller leaves, and all of
// them come back at the same moment.
func (s *stream) guardOf(ctx context.Context, u dialect.Upstream) *guard {
	after := stallFactor * s.j.Route.PaceObjective
	if !s.j.Route.Repeatable() || after <= 0 {
		watched, cancel, end := s.c.underWay.track(ctx, u)
		return &guard{ctx: watched, cancel: cancel, stop: end}
	}
	return s.watch(ctx, u, after, s.failoverFrom(u))
}

// heard takes in a sign of life.
func (g *guard) heard() {
	g.signs.Add(1)
	g.wait()
}

// wait begins the wait for the next sign of life.
func (g *guard) wait() {
	if g.timer != nil && g.ctx.Err() == nil {
		g.timer.Reset(g.after)
	}
}

// cause returns the silence for which an attempt was given up, otherwise its own error.
// Whether the request was sent is the attempt's to say: the question was another call.
func (g *guard) cause(err error) error {
	silent := silence(g.ctx)
	if err == nil || silent == nil {
		return err
	}
	return &adapter.CallError{Evidence: adapter.AsCallError(err).Evidence, Code: kernel.FailureBroken, Err: silent}
}
