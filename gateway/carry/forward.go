package carry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// readBytes is how much is read of a stream at once; an event takes some
	// hundred bytes.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// EventSizeError reports an event beyond its bound.
type EventSizeError struct{}

// Error implements error.
func (*EventSizeError) Error() string { return "an event is too long" }

// CallerError reports a response that could not be written to the caller.
type CallerError struct{ Err error }

// Error implements error.
func (e *CallerError) Error() string { return "caller: " + e.Err.Error() }

// Unwrap returns the network's error.
func (e *CallerError) Unwrap() error { return e.Err }

// forward sends a stream on as it comes, in whole events.
func (s *stream) forward(ctx context.Context, g *guard, p *place, resp *http.Response, start time.Time) (*Answer, bool, error) {
	u := p.decode.Upstream
	before := s.events.Load()
	started := time.Time{}
	s.heardAt = clock.Now()
	s.migration.arrive()
	s.c.enter(p.decode, s)
	err := g.cause(s.copyEvents(g, p, resp, func() { started = clock.Now() }))
	s.c.exit(p.decode)
	next, ambiguous := s.moved(p)
	if next != nil && ctx.Err() == nil && !callerLeft(err) {
		return s.goOn(ctx, p, next)
	}
	if next != nil {
		s.free(&computed{handle: next.source, engine: u})
		s.endPlacements(next.at)
	}
	err = endOf(resp, err, ambiguous)
	took := clock.Since(start)
	made := int(s.events.Load() - before)
	if !started.IsZero() {
		s.c.o.Books.StreamStarted(s.j.Service.Name, started.Sub(start))
	}
	if err == nil {
		s.caution.ended()
		s.c.note(u, &attempt{verdict: dialect.Success}, took, s.log)
		s.c.o.Books.StreamDone(s.j.Service.Name, s.output(), s.produced())
		s.log.Info("stream complete", "upstream", u.ID, "events", s.events.Load(), "took_ms", took.Milliseconds(),
			"first_ms", s.firstAt.Sub(s.j.Arrived).Milliseconds(), "longest_pause_ms", s.longestPause.Milliseconds(),
			"prompt", s.j.Call.PromptTokens, "estimate", s.output(), "bound", s.j.Call.MaxOutputTokens)
		return nil, false, nil
	}
	return nil, s.brokenOff(ctx, p, err, made, cutBy(ctx, err)), s.streamError(ctx, err)
}

// callerLeft reports whether a stream ended because its caller can't be written to.
func callerLeft(err error) bool {
	var caller *CallerError
	return errors.As(err, &caller)
}

// brokenOff takes in a stream that ended early, and reports whether it may go on
// at another engine.
func (s *stream) brokenOff(ctx context.Context, p *place, err error, made int, by Cut) bool {
	u := p.decode.Upstream
	s.runs++
	s.cut = by
	s.log.Info("stream broke off", "upstream", u.ID, "by", string(by), "events", s.events.Load(), "here", made, "last_event", s.lastEvent,
		"quiet_ms", clock.Since(s.heardAt).Milliseconds(), "left_ms", clock.Until(s.j.Deadline).Milliseconds(), "error", logs.ErrorText(err))
	if ctx.Err() != nil || callerLeft(err) {
		if clock.Since(s.heardAt) >= silentAfter {
			s.caution.abandoned(u, made)
		}
		return false
	}
	s.c.note(u, &attempt{err: err}, 0, s.log)
	s.lost(ctx, u, s.heardAt, true, made, err)
	s.excluded = append(s.excluded, u.ID)
	if !s.j.Route.Repeatable() || s.runs >= s.j.Route.MaxAttempts {
		return false
	}
	return s.mayStart(ctx, err, sendsAnew)
}

// streamError is what the caller is told of a stream that ended early.
func (s *stream) streamError(ctx context.Context, err error) error {
	if callerLeft(err) {
		return &AbandonedError{}
	}
	if ctx.Err() != nil && !s.begun {
		return s.ended(s.contextError(ctx))
	}
	return s.ended(err)
}

// copyEvents sends whole events on until the stream's end.
func (s *stream) copyEvents(g *guard, p *place, resp *http.Response, first func()) error {
	var pending []byte
	started := false
	before := s.events.Load()
	buf := make([]byte, readBytes)
	for {
		n, err := resp.Body.Read(buf)
		g.heard()
		if n > 0 {
			s.heardAt = clock.Now()
		}
		pending = append(pending, buf[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			if !started {
				started = true
				s.c.o.Books.Computed(p.decode)
				first()
			}
			s.notePause(clock.Now())
			s.c.o.Books.Progress(clock.Now(), p.decode, s.produced())
			if werr := s.deliver(resp, pending[:end]); werr != nil {
				return &CallerError{Err: werr}
			}
			s.caution.progressed(int(s.events.Load() - before))
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.finish(resp, pending)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return &EventSizeError{}
		}
	}
}

// notePause keeps the longest pause between two events.
func (s *stream) notePause(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	if !s.lastAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// finish sends what is left at a stream's clean end.
func (s *stream) finish(resp *http.Response, rest []byte) error {
	if s.begun && len(rest) == 0 {
		return nil
	}
	if err := s.deliver(resp, rest); err != nil {
		return &CallerError{Err: err}
	}
	return nil
}

// deliver sends whole events to the caller.
func (s *stream) deliver(resp *http.Response, events []byte) error {
	if !s.begun {
		s.w.Head(resp.StatusCode, roundtrip.EndToEnd(resp.Header))
		s.begun = true
	}
	if err := s.w.Write(events); err != nil {
		return err
	}
	s.note(events)
	return nil
}

// note counts events and keeps the number of the last.
func (s *stream) note(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastEvent = string(bytes.TrimSpace(id))
			s.events.Add(1)
		}
	}
}

// lastEventEnd returns the end of the last whole event, 0 if there is none.
func lastEventEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}
