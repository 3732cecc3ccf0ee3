package carry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// doubtFactor is the time that a prefill may take before the engine is checked for a sign of
	// life, as a multiple of the expected time; at least leastDoubt. A network cut or a crash is
	// then detected after about 350 ms, while a busy engine is not mistaken for a dead one and
	// ejected.
	doubtFactor = 2
	leastDoubt  = 150 * time.Millisecond
	// watchTimeout limits the check. Engines answer it in a few ms, however busy they are.
	watchTimeout = 200 * time.Millisecond
)

// SilentError reports an upstream that answered neither a request nor a liveness check, or that
// was replaced by a newer incarnation.
type SilentError struct {
	Upstream ident.UpstreamID
	Err      error
}

// Error implements the error interface.
func (e *SilentError) Error() string {
	return fmt.Sprintf("upstream %s stopped responding: %v", e.Upstream, e.Err)
}

// Unwrap returns the error of the liveness check.
func (e *SilentError) Unwrap() error { return e.Err }

// ask requests a sign of life from an engine. It cancels the guard's context with a *SilentError
// if the engine has crashed, or if it does not answer and the run is canceled in favor of
// another engine. It reports whether the run continues.
func (s *stream) ask(u dialect.Upstream, g *guard, f *failover) bool {
	asking, done := context.WithTimeout(g.ctx, watchTimeout)
	defer done()
	signs := g.signs.Load()
	start := clock.Now()
	r, err := s.c.o.Dialect.Report(asking, u)
	switch {
	case err == nil && !s.c.Reported(u, r), err != nil && g.ctx.Err() != nil:
		return false
	case err == nil:
		s.c.o.Books.Heard(clock.Now(), u)
		return true
	}
	s.log.Warn("upstream silent", "upstream", u.ID, "asked_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
	heard := func() bool { return g.signs.Load() != signs }
	if f != nil && endingOf(err) != endedCrashed && !f.onSilence(g.ctx, u, err, start, heard) {
		return true
	}
	g.cancel(&SilentError{Upstream: u.ID, Err: err})
	return false
}

// silence returns the *SilentError for which a watched context was canceled, or nil.
func silence(watched context.Context) error {
	var silent *SilentError
	if errors.As(context.Cause(watched), &silent) {
		return silent
	}
	return nil
}
