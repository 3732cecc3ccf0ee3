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
	// livenessDelayFactor is the time that a prefill may take before the engine's liveness is
	// checked, as a multiple of the expected time; at least minLivenessDelay. A network partition
	// or a crash is then detected after about 350 ms, while a busy engine is not mistaken for one
	// that has failed and ejected.
	livenessDelayFactor = 2
	minLivenessDelay    = 150 * time.Millisecond
	// livenessTimeout limits the check. Engines answer it in a few ms, however busy they are.
	livenessTimeout = 200 * time.Millisecond
)

// UnresponsiveError reports an upstream that answered neither a request nor a liveness check, or
// that was replaced by a newer incarnation.
type UnresponsiveError struct {
	Upstream ident.UpstreamID
	Err      error
}

// Error implements the error interface.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("upstream %s stopped responding: %v", e.Upstream, e.Err)
}

// Unwrap returns the error of the liveness check.
func (e *UnresponsiveError) Unwrap() error { return e.Err }

// liveness is the result of a liveness check.
type liveness int

const (
	// requestEnded means that the request has ended or was canceled.
	requestEnded liveness = iota
	// engineAnswered means that the engine answered, engineSilent that it did not and that the request
	// goes on all the same.
	engineAnswered
	engineSilent
)

// checkLiveness checks whether an engine is alive. It cancels the context of the watchdog
// with an *UnresponsiveError if the engine has crashed, or if it does not answer and the handler
// decides so.
func (s *stream) checkLiveness(u dialect.Upstream, wd *watchdog) liveness {
	checkCtx, done := context.WithTimeout(wd.ctx, livenessTimeout)
	defer done()
	before := wd.signsOfLife.Load()
	start := clock.Now()
	r, err := s.c.o.Dialect.Report(checkCtx, u)
	switch {
	case err == nil && !s.c.ObserveReport(u, r), err != nil && wd.ctx.Err() != nil:
		return requestEnded
	case err == nil:
		s.c.o.Scheduler.RecordContact(clock.Now(), u)
		return engineAnswered
	}
	s.log.Warn("upstream silent", "upstream", u.ID, "asked_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
	heard := func() bool { return wd.signsOfLife.Load() != before }
	if h := wd.silenceHandler(); h != nil && s.c.stateFromError(u, err) != stateCrashed && !h.onUnresponsive(u, err, start, heard) {
		return engineSilent
	}
	wd.cancel(&UnresponsiveError{Upstream: u.ID, Err: err})
	return requestEnded
}

// unresponsiveCause returns the *UnresponsiveError for which a watched context was canceled, or
// nil.
func unresponsiveCause(watched context.Context) error {
	var silent *UnresponsiveError
	if errors.As(context.Cause(watched), &silent) {
		return silent
	}
	return nil
}
