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

// ask asks an engine for a sign of life, and ends the guard's context with a *SilentError if it
// has ended, or if there is none and the run is given up for it. It reports whether the run
// goes on.
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

// silence returns the *SilentError for which a watched context was canceled, if any.
func silence(watched context.Context) error {
	var silent *SilentError
	if errors.As(context.Cause(watched), &silent) {
		return silent
	}
	return nil
}
