package carry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// doubtFactor is how many times its expected time a prefill may take before the
	// engine is asked whether it lives, at least leastDoubt: a cut or a crash is then
	// known after some 350 ms, while a busy engine is not taken for a dead one and
	// ejected.
	doubtFactor = 2
	leastDoubt  = 150 * time.Millisecond
	// watchTimeout bounds the asking; engines answer it in a few ms however busy.
	watchTimeout = 200 * time.Millisecond
)

// SilentError reports an upstream that answered neither a request nor the question
// whether it lives.
type SilentError struct {
	Upstream ident.UpstreamID
	Err      error
}

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("%s is silent: %v", e.Upstream, e.Err) }

// Unwrap returns the question's error.
func (e *SilentError) Unwrap() error { return e.Err }

// watch asks an engine for a sign of life if a request to it takes longer than after,
// and cancels the request's context with a *SilentError if there is none.
func (s *stream) watch(ctx context.Context, u dialect.Upstream, after time.Duration) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(after, func() { s.ask(watched, u, cancel) })
	return watched, func() {
		timer.Stop()
		cancel(nil)
	}
}

// stallFactor is how many pace objectives a running stream may send nothing before its
// engine is asked whether it lives.
const stallFactor = 2

// notYet is the time of a timer that is not started yet.
const notYet = time.Hour

// guard watches the engine of a running stream that may go on elsewhere. Without it a
// stream across a cut between zones stood still until its caller left after 3.6 s, and
// all of them came back at the same moment.
type guard struct {
	// ctx is the attempt's, canceled with a *SilentError.
	ctx   context.Context
	stop  func()
	timer *time.Timer
	after time.Duration
}

// guardOf returns the guard of an attempt at an engine; streams that run at most once are
// left alone.
func (s *stream) guardOf(ctx context.Context, u dialect.Upstream) *guard {
	g := &guard{ctx: ctx, stop: func() {}, after: stallFactor * s.j.Route.PaceObjective}
	if !s.j.Route.Repeatable() || g.after <= 0 {
		return g
	}
	watched, cancel := context.WithCancelCause(ctx)
	g.ctx = watched
	// The timer must be in place when it fires: it is started by heard.
	g.timer = time.AfterFunc(notYet, func() {
		if s.ask(watched, u, cancel) {
			g.heard()
		}
	})
	g.heard()
	g.stop = func() {
		g.timer.Stop()
		cancel(nil)
	}
	return g
}

// heard begins the wait anew.
func (g *guard) heard() {
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

// ask asks an engine for a sign of life, and cancels with a *SilentError if there is none.
func (s *stream) ask(watched context.Context, u dialect.Upstream, cancel context.CancelCauseFunc) bool {
	asking, done := context.WithTimeout(watched, watchTimeout)
	defer done()
	_, err := s.c.o.Dialect.Report(asking, u)
	switch {
	case err == nil:
		s.c.o.Books.Heard(time.Now(), u)
	case watched.Err() == nil:
		cancel(&SilentError{Upstream: u.ID, Err: err})
	}
	return err == nil
}

// silence returns the *SilentError for which a watched context was canceled, if any.
func silence(watched context.Context) error {
	var silent *SilentError
	if errors.As(context.Cause(watched), &silent) {
		return silent
	}
	return nil
}
