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

// newWatch starts a watchdog that reports to the kernel when the attempt stalls.
func (d *Driver) newWatch(a *attempt, p progressLimits) *watchdog {
	stalled := func(after time.Duration) {
		d.opts.Log.Debug("attempt stalled", "attempt", a.id.String(), "upstream", a.target.Upstream, "after", after)
		offset, origin := a.exchange.delivery.written()
		d.send(message{attempt: a, event: kernel.AttemptStalled{Attempt: a.id, Offset: offset, Origin: origin}})
	}
	return newWatchdog(p, d.opts.PauseAfter, stalled)
}

// Token implements adapter.Sink.
func (s *sink) Token(c adapter.Chunk) error {
	s.watch.pause()
	v, err := s.a.exchange.delivery.writeToken(s.a.id, c)
	resumed := s.watch.progress()
	if v == tokenDropped {
		s.d.opts.Observer.TokenDropped()
	}
	if err != nil {
		return err
	}
	if v != tokenSent {
		return nil
	}
	if resumed {
		s.d.send(message{event: kernel.AttemptResumed{Attempt: s.a.id}, attempt: s.a})
	}
	if !s.started {
		s.started = true
		s.d.send(message{event: kernel.FirstOutput{Attempt: s.a.id}, attempt: s.a})
	}
	return nil
}
