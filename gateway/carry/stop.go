package carry

import "time"

// retryElsewhere is when a request may come back that this instance can't finish: another
// one can serve it at once.
const retryElsewhere = 10 * time.Millisecond

// reasonStopping is the reason of requests that their instance can't finish.
const reasonStopping = "stopping"

// Stopping reports a request that its instance can't finish.
func Stopping(fate Fate) *Error {
	return &Error{Fate: fate, Reason: reasonStopping, RetryAfter: retryElsewhere, Err: &StoppedError{}}
}
