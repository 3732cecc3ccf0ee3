package carry

import (
	"context"
	"errors"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

const (
	// minCompletionProbability is the minimum probability that a stream ends before its instance
	// does, for the stream to be accepted. A refused stream costs its caller another connection,
	// an interrupted one the whole response.
	minCompletionProbability = 0.9
	// minOnceCompletionProbability is the same for a stream that may run once: an interrupted one can't be resumed.
	minOnceCompletionProbability = 0.99
	// stoppingRetryAfter is the Retry-After of a request that this instance cannot finish.
	// Another instance can serve it at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// StoppedError is the cause with which a request's context is canceled when its instance stops.
type StoppedError struct{}

// Error implements the error interface.
func (*StoppedError) Error() string { return "instance is stopping" }

// Stopped reports whether a request's context ended because the instance stops.
func Stopped(ctx context.Context) bool {
	var stop *StoppedError
	return errors.As(context.Cause(ctx), &stop)
}

// reasonStopping is the reason given for requests that their instance cannot finish.
const reasonStopping = "stopping"

// wouldOutliveInstance reports whether this instance is shutting down and would probably
// terminate before the stream ends. It is false for a stream that has started to run.
func (s *stream) wouldOutliveInstance() bool {
	end, stopping := s.c.o.StopDeadline()
	if !stopping || s.headSent || s.runs > 0 {
		return false
	}
	service := s.j.Service.Name
	prefill, _ := s.prefillWait()
	left := clock.Until(end) - prefill - s.c.o.Scheduler.FirstEvent(service)
	required := minCompletionProbability
	if !s.j.Route.Repeatable() {
		required = minOnceCompletionProbability
	}
	return s.c.o.Scheduler.EndsWithin(service, s.size(), s.j.Call.MaxOutputTokens, left) < required
}

// refuseStopping logs and counts the refusal of a stream that would outlast this instance, and
// returns its *Error.
func (s *stream) refuseStopping() error {
	s.c.o.Count("refused_" + reasonStopping)
	s.log.Info("refused", "reason", reasonStopping, "estimate", s.output(), "bound", s.j.Call.MaxOutputTokens)
	return NewStoppingError(NotRun)
}

// NewStoppingError returns the error for a request that its instance cannot finish.
func NewStoppingError(outcome Outcome) *Error {
	return &Error{Outcome: outcome, Reason: reasonStopping, RetryAfter: stoppingRetryAfter, Err: &StoppedError{}}
}
