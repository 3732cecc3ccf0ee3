package configservice

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wardspool/wardspool/internal/pause"
)

// Bounds of the jittered pause of a watch after a failure.
const (
	watchPauseMin = 200 * time.Millisecond
	watchPauseMax = 15 * time.Second
)

// minPoll is the least time between two polls of one watch: it bounds the calls
// if the service answers at once although it was asked to wait.
const minPoll = 100 * time.Millisecond

// Event is what a watch delivers: a newer value or an error.
type Event struct {
	Value Value
	// Err is one of Get's errors; then Value is zero and the watch goes on.
	Err error
}

// Watch implements Reader. Failed polls are repeated after a jittered pause.
func (c *Client) Watch(ctx context.Context, key string, since uint64) <-chan Event {
	c.noteIndex(key, since)
	w := &watch{client: c, key: key, index: since, events: make(chan Event), pause: newPause()}
	go w.run(ctx)
	return w.events
}

// newPause returns the pauses between failing polls.
func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = watchPauseMin
	b.MaxInterval = watchPauseMax
	b.Multiplier = 2
	return b
}

// watch is a watch in progress.
type watch struct {
	client *Client
	key    string
	index  uint64
	events chan Event
	pause  *backoff.ExponentialBackOff
}

// run polls until ctx ends.
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
		if !pause.For(ctx, max(w.rest(err, took), minPoll-took)) {
			return
		}
	}
}

// poll asks once for a newer value.
func (w *watch) poll(ctx context.Context) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, w.client.wait+w.client.timeout)
	defer cancel()
	return w.client.read(ctx, w.key, &poll{index: w.index, wait: w.client.wait})
}

// deliver passes on what a poll gave. It returns false if ctx ended.
func (w *watch) deliver(ctx context.Context, r reading, err error) bool {
	switch {
	case err != nil:
		return w.send(ctx, Event{Err: err})
	case r.unchanged, r.value.Index <= w.index:
		return true
	}
	w.index = r.value.Index
	return w.send(ctx, Event{Value: r.value})
}

// send delivers an event. It returns false if ctx ended first.
func (w *watch) send(ctx context.Context, e Event) bool {
	select {
	case w.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// rest returns the pause after a poll.
func (w *watch) rest(err error, took time.Duration) time.Duration {
	if err == nil || w.waited(err, took) {
		w.pause.Reset()
		return 0
	}
	rest := w.pause.NextBackOff()
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		// The jitter comes on top, so that readers don't return together.
		rest += limited.RetryAfter
	}
	return rest
}

// waited reports whether the service waited for a change before it answered that
// the key is absent or old. That was pause enough, and a further one would only
// delay the change.
func (w *watch) waited(err error, took time.Duration) bool {
	var absent *NotFoundError
	var old *StaleError
	answered := errors.As(err, &absent) || errors.As(err, &old)
	return answered && took >= w.client.wait/2
}
