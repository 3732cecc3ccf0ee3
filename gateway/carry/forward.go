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
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/relay"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

// CallerWriteError reports that the response could not be written to the caller.
type CallerWriteError struct{ Err error }

// Error implements the error interface.
func (e *CallerWriteError) Error() string { return "write to caller: " + e.Err.Error() }

// Unwrap returns the error of the write.
func (e *CallerWriteError) Unwrap() error { return e.Err }

// forward copies the stream from an engine to the caller, event by event, and continues it
// elsewhere if it was migrated or another run has taken it over. The second result reports whether
// another pair of engines may be tried.
func (s *stream) forward(ctx context.Context, r *run) (*Response, bool, error) {
	p, resp := r.placement, r.resp
	u := p.decode.Upstream
	s.eventsBefore = s.events.Load()
	started := time.Time{}
	s.lastReadAt = clock.Now()
	if f, ok := r.watchdog.silenceHandler().(*failover); ok {
		f.accepted.Store(true)
	}
	s.migration.recordStart()
	s.c.addStream(p.decode, s)
	rest, err := s.copyEvents(r, func() { started = clock.Now() })
	err = r.watchdog.attemptError(err)
	r.watchdog.stop()
	s.c.removeStream(p.decode)
	var cont *continuation
	var ambiguous bool
	if stop := s.migration.recordEnd(); s.takeover.won() {
		s.c.cleanup.Go(func() { s.discardMigration(p, stop) })
	} else {
		cont, ambiguous = s.migrationResult(p, stop)
	}
	if cont != nil && ctx.Err() == nil && !callerLeft(err) {
		return s.continueStopped(ctx, p, cont)
	}
	if cont != nil {
		s.discard(cont, u)
	}
	if err == nil {
		err = s.finish(resp, bodyEnd{rest: rest, stopped: ambiguous, senderLives: func() bool { return s.c.lives(s.j, u) }})
	}
	took := r.age()
	eventCount := int(s.events.Load() - s.eventsBefore)
	if !started.IsZero() {
		s.c.o.Scheduler.StreamStarted(s.j.Service.Name, started.Sub(r.sentAt))
	}
	s.framing, s.restBytes = framingOf(resp), len(rest)
	if s.takeover.won() {
		return s.continueAt(ctx, s.supersede(ctx, p, err, eventCount))
	}
	if err == nil {
		s.crashGuard.recordCompletion()
		s.c.recordAttempt(u, &attempt{verdict: dialect.Success}, took, s.log)
		s.c.o.Scheduler.StreamDone(s.j.Service.Name, s.output(), s.produced())
		s.log.Info("stream complete", "upstream", u.ID, "events", s.events.Load(), "took_ms", took.Milliseconds(),
			"first_ms", s.firstAt.Sub(s.j.Arrived).Milliseconds(), "longest_pause_ms", s.longestPause.Milliseconds(),
			"framing", string(framingOf(resp)), "rest_bytes", len(rest),
			"prompt", s.j.Call.PromptTokens, "estimate", s.output(), "bound", s.j.Call.MaxOutputTokens)
		return nil, false, nil
	}
	mayRunElsewhere := s.recordStreamEnd(ctx, p, err, eventCount, cutReason(ctx, err))
	next := s.nextRun(ctx, err)
	s.countFailedTakeovers()
	if next != nil {
		s.leavePlacement(p)
		return s.continueAt(ctx, next)
	}
	return nil, mayRunElsewhere && s.mayRestart(ctx, err, sendsFullRestart), s.streamError(ctx, err)
}

// callerLeft reports whether a stream ended because writing to its caller failed.
func callerLeft(err error) bool {
	var caller *CallerWriteError
	return errors.As(err, &caller)
}

// handleStreamEnd handles a stream that ended early, and reports whether it may continue at
// another engine.
func (s *stream) handleStreamEnd(ctx context.Context, p *placement, err error, eventCount int, reason CutReason) bool {
	return s.recordStreamEnd(ctx, p, err, eventCount, reason) && s.mayRestart(ctx, err, sendsFullRestart)
}

// supersede records the end of a run from which another one has taken the stream over, and returns that
// one.
func (s *stream) supersede(ctx context.Context, p *placement, err error, eventCount int) *run {
	u := p.decode.Upstream
	next := s.takeover.result(ctx)
	s.runs++
	s.countFailedTakeovers()
	s.leavePlacement(p)
	s.leaveRun(u, eventCount)
	s.excluded = append(s.excluded, u.ID)
	var superseded *SupersededError
	var silent *UnresponsiveError
	s.cutReason = CutByEngine
	if errors.As(err, &superseded) || errors.As(err, &silent) {
		s.cutReason = CutBySilence
	}
	s.logStreamEnd(u, err, eventCount)
	if err == nil || errors.As(err, &superseded) {
		// The engine went on, too late.
		return next
	}
	s.c.recordAttempt(u, &attempt{err: err}, 0, s.log)
	s.crashGuard.startCheck(interruption{upstream: u, sentAt: s.sentAt, wasAlive: true, eventCount: eventCount, begunBefore: s.begunBefore(eventCount), cause: err})
	return next
}

// recordStreamEnd records a stream that ended early, and reports whether it may run at another engine.
func (s *stream) recordStreamEnd(ctx context.Context, p *placement, err error, eventCount int, reason CutReason) bool {
	u := p.decode.Upstream
	s.runs++
	s.cutReason = reason
	s.logStreamEnd(u, err, eventCount)
	if ctx.Err() != nil || callerLeft(err) {
		if s.j.Relayed {
			s.leaveRunForPeer(u)
		}
		if clock.Since(s.lastReadAt) >= unresponsiveAfter {
			s.crashGuard.startCheck(interruption{upstream: u, sentAt: s.sentAt, wasAlive: true, eventCount: eventCount, begunBefore: s.begunBefore(eventCount), cause: &AbandonedError{}})
		}
		return false
	}
	s.leaveRun(u, eventCount)
	s.c.recordAttempt(u, &attempt{err: err}, 0, s.log)
	s.recordDisorder(u, err)
	s.recordInterruption(ctx, interruption{upstream: u, sentAt: s.sentAt, wasAlive: true, eventCount: eventCount, begunBefore: s.begunBefore(eventCount), cause: err})
	s.excluded = append(s.excluded, u.ID)
	return s.j.Route.Repeatable() && s.runs < s.j.Route.MaxAttempts
}

// recordDisorder excludes an engine from scheduling for a time if it sent an event out of order. The number
// of the last event that a caller states may be wrong, so it is no evidence.
func (s *stream) recordDisorder(u dialect.Upstream, err error) {
	var disorder *EventOrderError
	if errors.As(err, &disorder) && s.events.Load() > 0 {
		s.skipEngine(u, disorder.Error())
	}
}

// logStreamEnd logs a run that ended early.
func (s *stream) logStreamEnd(u dialect.Upstream, err error, eventCount int) {
	s.log.Info("stream broke off", "upstream", u.ID, "software_version", u.SoftwareVersion, "by", string(s.cutReason), "events", s.events.Load(), "here", eventCount, "last_event", s.lastEvent,
		"framing", string(s.framing), "rest_bytes", s.restBytes,
		"quiet_ms", clock.Since(s.lastReadAt).Milliseconds(), "left_ms", clock.Until(s.j.Deadline).Milliseconds(), "error", logs.ErrorText(err))
}

// begunBefore reports whether the stream had begun in an attempt before the last one, in which the
// given number of events arrived.
func (s *stream) begunBefore(eventCount int) bool {
	return s.j.Call.LastEvent != "" || int(s.events.Load()) > eventCount
}

// streamError returns the caller's error for a stream that ended early.
func (s *stream) streamError(ctx context.Context, err error) error {
	if callerLeft(err) {
		return &AbandonedError{}
	}
	if ctx.Err() != nil && !s.headSent {
		return s.callerError(s.contextError(ctx))
	}
	return s.callerError(err)
}

// copyEvents copies complete events to the caller until the body ends, and returns what follows the
// last one. It calls first when the first event arrives.
func (s *stream) copyEvents(r *run, first func()) (rest []byte, err error) {
	p := r.placement
	started := false
	return readEvents(r.body(), s.j.Memory, r.watchdog.heard, func(events []byte) error {
		s.lastReadAt = clock.Now()
		if !s.takeover.enterDelivery() {
			return &SupersededError{}
		}
		defer s.takeover.exitDelivery()
		if !started {
			started = true
			r.watchdog.stopLimit()
			s.began(p.decode.Upstream.SoftwareVersion)
			s.c.o.Scheduler.RecordPromptComputed(p.decode)
			s.observeLead()
			first()
		}
		s.recordPause(clock.Now())
		s.c.o.Scheduler.RecordProgress(clock.Now(), p.decode, s.produced())
		delivered := s.events.Load() - s.eventsBefore
		if err := s.deliver(r.resp, events); err != nil {
			return err
		}
		s.crashGuard.recordProgress(int(delivered), int(s.events.Load()-s.eventsBefore))
		return nil
	})
}

// observeLead records how long a request that had waited took from its placement to the first event.
func (s *stream) observeLead() {
	if !s.placedAt.IsZero() && !s.headSent {
		s.c.o.Admission.ObserveLead(s.j.Service.Name, s.expectedFirst, clock.Since(s.placedAt))
	}
}

// readEvents reads a body until it ends and returns what follows the last complete event. The end of
// the body does not show that the stream is complete. readEvents calls heard when an event arrives and when the
// body ends, but not for other bytes: they may come without end. It calls deliver with complete events and returns its
// error. account accounts for events of unusual size.
func readEvents(body io.Reader, account *memory.Account, heard func(), deliver func(events []byte) error) (rest []byte, err error) {
	pending := eventBuffer{account: account}
	buf := make([]byte, readBytes)
	for {
		n, err := body.Read(buf)
		if addErr := pending.add(buf[:n]); addErr != nil {
			heard()
			return nil, addErr
		}
		if events := pending.complete(); len(events) > 0 {
			heard()
			if err := deliver(events); err != nil {
				return nil, err
			}
			pending.removeComplete()
		}
		if err != nil {
			heard()
		}
		switch {
		case errors.Is(err, io.EOF):
			return pending.bytes, nil
		case err != nil:
			return pending.bytes, err
		}
	}
}

// recordPause updates the longest pause between two events.
func (s *stream) recordPause(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	if !s.lastAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// finish ends a stream whose body was read to its end: if it is complete, it sends what follows the
// last event, otherwise it sends nothing and returns an error.
func (s *stream) finish(resp *http.Response, end bodyEnd) error {
	end.framing = framingOf(resp)
	end.noEvents = s.lastEvent == "" && s.events.Load() == 0
	if err := end.check(); err != nil {
		return err
	}
	if s.headSent && len(end.rest) == 0 {
		return nil
	}
	return s.deliver(resp, end.rest)
}

// deliver sends complete events to the caller, preceded by the response head if it was not sent
// yet. It stops before an event that is out of order and returns an *EventOrderError. If the events
// could not be sent, the error is a *CallerWriteError.
func (s *stream) deliver(resp *http.Response, events []byte) error {
	ordered, err := s.c.numbering(s.j.Service.Name).inOrder(events, s.lastEvent, s.events.Load() == s.eventsBefore)
	if err != nil {
		s.c.o.Count("events_out_of_order")
	}
	if len(ordered) > 0 || err == nil {
		if err := s.write(resp, ordered); err != nil {
			return &CallerWriteError{Err: err}
		}
	}
	return err
}

// write sends events to the caller, preceded by the response head if it was not sent yet.
func (s *stream) write(resp *http.Response, events []byte) error {
	if !s.headSent {
		header := roundtrip.EndToEnd(resp.Header)
		if version, bound := s.software.get(); s.j.Relayed && bound {
			relay.SetSoftwareVersion(header, version)
		}
		s.w.Head(resp.StatusCode, header)
		s.headSent = true
	}
	if err := s.w.Write(events); err != nil {
		return err
	}
	s.recordEvents(events)
	return nil
}

// recordEvents counts the delivered events and stores the ID of the last one.
func (s *stream) recordEvents(events []byte) {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if id, ok := eventID(line); ok {
			s.lastEvent = id
			s.events.Add(1)
		}
	}
}
