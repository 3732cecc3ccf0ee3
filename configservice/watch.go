package configservice

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wardspool/wardspool/internal/pause"
)

// Bounds of the jittered backoff of a watch after a failed poll.
const (
	watchBackoffMin = 200 * time.Millisecond
	watchBackoffMax = 15 * time.Second
)

// minPollInterval is the minimum interval between two polls of one watch. It
// bounds the rate of calls if the service responds immediately although it was
// asked to wait.
const minPollInterval = 100 * time.Millisecond

// Event is delivered by a watch: a newer value or an error.
type Event struct {
	Value Value
	// Err is one of the errors of Get; then Value is zero and the watch
	// continues.
	Err error
}

// Watch implements Reader. Failed polls are repeated with jittered exponential
// backoff.
func (c *Client) Watch(ctx context.Context, key string, since uint64) <-chan Event {
	c.raiseIndex(key, since)
	w := &watch{client: c, key: key, index: since, events: make(chan Event), backoff: newBackoff()}
	go w.run(ctx)
	return w.events
}

// newBackoff returns the backoff between failing polls.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = watchBackoffMin
	b.MaxInterval = watchBackoffMax
	b.Multiplier = 2
	return b
}

// watch is the state of one call of Watch.
type watch struct {
	client  *Client
	key     string
	index   uint64
	events  chan Event
	backoff *backoff.ExponentialBackOff
}

// run polls until ctx is done.
func (w *watch) run(ctx context.Context) {
	defer close(w.events)
	for ctx.Err() == nil {
		start := time.Now()
		r, err := w.poll(ctx)
		took := time.Since(start)
		if ctx.Err() != nil {
			return
		}
		if !w.deliver(ctx, r, err) {
			return
		}
		if !pause.For(ctx, max(w.pauseAfter(err, took), minPollInterval-took)) {
			return
		}
	}
}

// poll sends one long poll for a newer value.
func (w *watch) poll(ctx context.Context) (readResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.client.wait+w.client.timeout)
	defer cancel()
	return w.client.read(ctx, w.key, &pollQuery{index: w.index, wait: w.client.wait})
}

// deliver sends the result of a poll as an event, unless nothing changed. It
// returns false if ctx is done.
func (w *watch) deliver(ctx context.Context, r readResult, err error) bool {
	switch {
	case err != nil:
		return w.send(ctx, Event{Err: err})
	case r.unchanged, r.value.Index <= w.index:
		return true
	}
	w.index = r.value.Index
	return w.send(ctx, Event{Value: r.value})
}

// send delivers an event. It returns false if ctx is done first.
func (w *watch) send(ctx context.Context, e Event) bool {
	select {
	case w.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// pauseAfter returns how long to pause after a poll.
func (w *watch) pauseAfter(err error, took time.Duration) time.Duration {
	if err == nil || w.wasLongPoll(err, took) {
		w.backoff.Reset()
		return 0
	}
	rest := w.backoff.NextBackOff()
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		// The jittered backoff is added to RetryAfter, so that readers do not
		// retry in lockstep.
		rest += limited.RetryAfter
	}
	return rest
}

// wasLongPoll reports whether the service waited for a change before it responded
// that the key is absent or its value stale. That wait already limits the rate of
// polls, and a further pause would only delay the next change.
func (w *watch) wasLongPoll(err error, took time.Duration) bool {
	var absent *NotFoundError
	var old *StaleError
	answered := errors.As(err, &absent) || errors.As(err, &old)
	return answered && took >= w.client.wait/2
}
