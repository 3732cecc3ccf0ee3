package carry

import (
	"context"
	"errors"
	"time"

	"github.com/wardspool/wardspool/internal/clock"
)

const (
	// likelyToEnd is how likely a stream must be to end before its instance does. One that is
	// turned away costs its caller another connection, one that is cut the whole answer.
	likelyToEnd = 0.9
	// retryElsewhere is when a request may come back that this instance can't finish: another
	// one can serve it at once.
	retryElsewhere = 10 * time.Millisecond
)

// StoppedError is the cause of a request's context that ends because its instance stops.
type StoppedError struct{}

// Error implements error.
func (*StoppedError) Error() string { return "the instance stops" }

// Stopped reports whether a request's context ended because the instance stops.
func Stopped(ctx context.Context) bool {
	var stop *StoppedError
	return errors.As(context.Cause(ctx), &stop)
}

// reasonStopping is the reason of requests that their instance can't finish.
const reasonStopping = "stopping"

// outlasts reports whether a stream that nobody has begun to run would probably outlast this
// instance, which is stopping.
func (s *stream) outlasts() bool {
	end, stopping := s.c.o.Ends()
	if !stopping || s.begun || s.runs > 0 {
		return false
	}
	service := s.j.Service.Name
	prefill, _ := s.prefillWait()
	left := clock.Until(end) - prefill - s.c.o.Books.FirstEvent(service)
	return s.c.o.Books.EndsWithin(service, s.size(), s.j.Call.MaxOutputTokens, left) < likelyToEnd
}

// turnAway refuses a stream that would outlast this instance.
func (s *stream) turnAway() error {
	s.c.o.Count("refused_" + reasonStopping)
	s.log.Info("refused", "reason", reasonStopping, "estimate", s.output(), "bound", s.j.Call.MaxOutputTokens)
	return Stopping(NotRun)
}

// Stopping reports a request that its instance can't finish.
func Stopping(fate Fate) *Error {
	return &Error{Fate: fate, Reason: reasonStopping, RetryAfter: retryElsewhere, Err: &StoppedError{}}
}
