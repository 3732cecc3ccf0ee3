package carry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
)

// stallFactor is the time for which a running stream may deliver nothing before the liveness of
// its engine is checked, as a multiple of the route's pace objective.
const stallFactor = 2

// timerNotStarted is the initial delay of a timer that has not been started yet.
const timerNotStarted = time.Hour

// silenceHandler decides what happens to a request whose engine does not answer a liveness check.
type silenceHandler interface {
	// onUnresponsive reports whether to cancel the request. err is the error of the check, start when
	// it began. heard reports whether the engine has sent anything since.
	onUnresponsive(u dialect.Upstream, err error, start time.Time, heard func() bool) bool
}

// watchdog monitors an engine to which a request was sent. It cancels the request's context when
// a newer incarnation of the engine appears. If nothing arrives for a time, it checks whether
// the engine is alive. If the engine does not answer, the handler decides whether the context is
// canceled.
type watchdog struct {
	// ctx is the context of the request. cancel cancels it, usually with an *UnresponsiveError.
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   func()
	timer  *time.Timer
	// answerTimer cancels a stream that has no answer shortly before its deadline; nil if there is
	// none.
	answerTimer *time.Timer
	interval    time.Duration
	// signsOfLife counts the calls of heard.
	signsOfLife atomic.Uint64

	mu sync.Mutex
	// handler is nil if the request is canceled in any case.
	handler silenceHandler
	// checksOn means that an engine that has answered is checked again after the interval.
	checksOn bool
}

// handleSilence sets the handler.
func (wd *watchdog) handleSilence(h silenceHandler) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.handler = h
}

// silenceHandler returns the handler.
func (wd *watchdog) silenceHandler() silenceHandler {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.handler
}

// newWatchdog returns a watchdog for a request to an engine. It checks the engine when nothing
// has arrived for the given time. h handles an engine that does not answer; it may be nil. Such an
// engine is checked again after the same time, and with checksOn one that has answered too.
func (s *stream) newWatchdog(ctx context.Context, u dialect.Upstream, after time.Duration, h silenceHandler, checksOn bool) *watchdog {
	watched, cancel, end := s.c.inFlight.track(ctx, u)
	wd := &watchdog{ctx: watched, cancel: cancel, interval: after, handler: h, checksOn: checksOn}
	// The timer must be assigned before it can fire, so it is started by heard.
	wd.timer = time.AfterFunc(timerNotStarted, func() {
		switch s.checkLiveness(u, wd) {
		case engineSilent:
			wd.resetTimer()
		case engineAnswered:
			if wd.checksOn {
				wd.resetTimer()
			}
		}
	})
	wd.stop = func() {
		wd.timer.Stop()
		end()
	}
	wd.heard()
	return wd
}

// streamWatchdog returns the watchdog for a running stream. The engine is checked only if the
// stream may continue elsewhere; a stream that may run at most once is canceled only if its
// engine restarts. Without the check, a stream that crosses a network partition between zones
// stalls until its caller disconnects, and the callers of all such streams retry at the same
// moment. h handles an engine that does not answer; if it is nil, the request is canceled.
func (s *stream) streamWatchdog(ctx context.Context, u dialect.Upstream, h silenceHandler) *watchdog {
	after := stallFactor * s.j.Route.PaceObjective
	if !s.j.Route.Repeatable() || after <= 0 {
		watched, cancel, end := s.c.inFlight.track(ctx, u)
		return &watchdog{ctx: watched, cancel: cancel, stop: end}
	}
	return s.newWatchdog(ctx, u, after, h, true)
}

// limitAnswer cancels the request at the given time if stopLimit was not called before.
func (wd *watchdog) limitAnswer(at time.Time) {
	wd.answerTimer = time.AfterFunc(clock.Until(at), func() { wd.cancel(context.DeadlineExceeded) })
}

// stopLimit ends the limit of limitAnswer.
func (wd *watchdog) stopLimit() {
	if wd.answerTimer != nil {
		wd.answerTimer.Stop()
	}
}

// heard records that the engine has sent something and restarts the timer.
func (wd *watchdog) heard() {
	wd.signsOfLife.Add(1)
	wd.resetTimer()
}

// resetTimer restarts the timer unless the request has been canceled.
func (wd *watchdog) resetTimer() {
	if wd.timer != nil && wd.ctx.Err() == nil {
		wd.timer.Reset(wd.interval)
	}
}

// attemptError returns the *UnresponsiveError or the passed deadline for which the attempt was
// canceled, otherwise err. The result keeps the evidence of err on whether the request was sent,
// because the unanswered liveness check was a separate call and is no evidence of that.
func (wd *watchdog) attemptError(err error) error {
	if err == nil {
		return nil
	}
	evidence := adapter.AsCallError(err).Evidence
	// An *UnresponsiveError may wrap the deadline of a liveness check, so it comes first.
	if silent := unresponsiveCause(wd.ctx); silent != nil {
		return &adapter.CallError{Evidence: evidence, Code: kernel.FailureBroken, Err: silent}
	}
	if errors.Is(context.Cause(wd.ctx), context.DeadlineExceeded) {
		return &adapter.CallError{Evidence: evidence, Code: kernel.FailureTimeout, Err: context.DeadlineExceeded}
	}
	return err
}
