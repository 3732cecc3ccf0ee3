package driver

import (
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/kernel"
)

// sink receives the tokens of one decode attempt.
type sink struct {
	d       *Driver
	a       *attempt
	watch   *watchdog
	started bool
}

func (d *Driver) newSink(a *attempt, p progressLimits) *sink {
	return &sink{d: d, a: a, watch: d.newWatch(a, p)}
}

// newWatch starts a watchdog that cancels the attempt when it stalls.
func (d *Driver) newWatch(a *attempt, p progressLimits) *watchdog {
	stalled := func(after time.Duration) { a.cancel(&StalledError{After: after}) }
	return newWatchdog(p, d.opts.PauseAfter, stalled)
}

// Token implements adapter.Sink.
func (s *sink) Token(c adapter.Chunk) error {
	s.watch.pause()
	v, err := s.a.exchange.delivery.writeToken(s.a.id, c)
	s.watch.progress()
	if v == tokenDropped {
		s.d.opts.Observer.TokenDropped()
	}
	if err != nil {
		return err
	}
	if !s.started && v == tokenSent {
		s.started = true
		s.d.send(message{event: kernel.FirstOutput{Attempt: s.a.id}, attempt: s.a})
	}
	return nil
}
