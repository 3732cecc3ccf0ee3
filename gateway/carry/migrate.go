package carry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

const (
	// copyTimeout limits the copying of a KV cache while its stream continues. It takes 1 to 2
	// ms, on a slow link ten times that.
	copyTimeout = 500 * time.Millisecond
	// maxCopyTime is the maximum time that the first copy may have taken for the stream to be
	// stopped, because the stream pauses while the remainder is copied.
	maxCopyTime = 150 * time.Millisecond
	// stopTimeout limits the stopping of a stream and the copying of the remainder. Without the
	// engine's response a stopped stream has no handle from which to continue, so the wait is as
	// long as callers tolerate.
	stopTimeout = 2 * time.Second
	// maxMigrations limits how often one stream is migrated.
	maxMigrations = 3
	// sendsToMigrate is the number of sends beyond the first that a migration takes.
	// sendsToReturn is the number that returning to the source takes if the destination does not
	// accept the stream.
	sendsToMigrate = 1
	sendsToReturn  = 1
	// resumeTimeout limits the wait for an engine that was asked to continue a stopped stream.
	// The engine has the KV cache, so it answers within tens of ms, and the caller receives
	// nothing meanwhile.
	resumeTimeout = time.Second
)

// migrationPhase is the progress of a stream's migration.
type migrationPhase int

const (
	// phaseIdle means that the stream is not being migrated.
	phaseIdle migrationPhase = iota
	// phaseCopying means that the KV cache is being copied while the stream continues.
	phaseCopying
	// phaseStopping means that the stream may have been stopped. Why it ended is known only when
	// the engine has answered.
	phaseStopping
	// phaseEnded means that the stream has ended.
	phaseEnded
)

// migration is the state of a stream's migration to another engine.
type migration struct {
	mu    sync.Mutex
	phase migrationPhase
	count int
	// generation is incremented whenever the stream starts at an engine. A migration that began
	// at an earlier engine must not stop the stream at this one.
	generation int
	// stop is the stop of the current run, set in phaseStopping.
	stop *migrationStop
}

// migrationStop is the stop of a stream at one engine.
type migrationStop struct {
	// to is the destination. handle and err are the result.
	to     schedule.Ticket
	handle dialect.Handle
	err    error
	// done is closed when handle and err are set.
	done chan struct{}
}

// finish sets the result.
func (m *migrationStop) finish(handle dialect.Handle, err error) {
	m.handle, m.err = handle, err
	close(m.done)
}

// recordStart records that the stream runs at an engine, from which it may be migrated.
func (m *migration) recordStart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.phase = phaseIdle
	m.generation++
}

// begin starts a migration. ok is false if the stream cannot be migrated now.
func (m *migration) begin() (generation int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != phaseIdle || m.count >= maxMigrations {
		return 0, false
	}
	m.phase = phaseCopying
	m.count++
	return m.generation, true
}

// cancel abandons a migration before the stream was stopped.
func (m *migration) cancel(generation int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase == phaseCopying && m.generation == generation {
		m.phase = phaseIdle
	}
}

// beginStop records that the stream is about to be stopped. The caller must finish the result, which is nil
// if the stream has ended or runs at another engine.
func (m *migration) beginStop(generation int, to schedule.Ticket) *migrationStop {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.phase != phaseCopying || m.generation != generation {
		return nil
	}
	m.phase, m.stop = phaseStopping, &migrationStop{to: to, done: make(chan struct{})}
	return m.stop
}

// recordEnd records that the stream ended at its engine. It returns the stop that may have caused that, or
// nil.
func (m *migration) recordEnd() *migrationStop {
	m.mu.Lock()
	defer m.mu.Unlock()
	stop := m.stop
	m.phase, m.stop = phaseEnded, nil
	return stop
}

// Migrate starts the migration of all running streams that should continue at other engines.
func (c *Forwarder) Migrate(services map[string]routing.Service) {
	view := c.o.View()
	now := clock.Now()
	for name, service := range services {
		if service.Engine == nil || !service.Engine.SupportsMigration {
			continue
		}
		for _, m := range c.o.Scheduler.Migrants(now, view.Upstreams[name], service.Engine) {
			s := c.runningStream(m.Ticket)
			if s == nil || view.Evacuation.Covers(m.Ticket.Upstream.Zone) {
				// A failed migration may resume at the source, which must get no new requests.
				continue
			}
			if generation, ok := s.migration.begin(); ok {
				c.cleanup.Go(func() { s.migrate(m, generation) })
			}
		}
	}
}

// runningStream returns the stream that has a placement, nil if it is not running.
func (c *Forwarder) runningStream(t schedule.Ticket) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[t.Number()]
}

// addStream adds a running stream.
func (c *Forwarder) addStream(t schedule.Ticket, s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[t.Number()] = s
	select {
	case c.streamStarted <- struct{}{}:
	default:
	}
}

// AwaitStreams blocks until at least one stream is running. It returns false if ctx ends.
func (c *Forwarder) AwaitStreams(ctx context.Context) bool {
	for {
		c.mu.Lock()
		n := len(c.streams)
		c.mu.Unlock()
		if n > 0 {
			return ctx.Err() == nil
		}
		select {
		case <-c.streamStarted:
		case <-ctx.Done():
			return false
		}
	}
}

// removeStream removes a stream that has ended or left its engine.
func (c *Forwarder) removeStream(t schedule.Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, t.Number())
}

// migrate moves a stream to another engine. The KV cache is copied while the stream continues;
// then the stream is stopped and the remainder is copied, so the caller sees a pause of a few
// ms. A failure before the stop leaves the stream unaffected.
func (s *stream) migrate(m schedule.Migrant, generation int) {
	from := m.Ticket.Upstream
	log := s.log.With("from", from.ID, "why", string(m.Reason), "memory", m.Memory)
	to, ok := s.reserveDestination(context.Background(), from)
	if !ok {
		s.migration.cancel(generation)
		return
	}
	start := clock.Now()
	copied, err := s.copyCache(from, to.Upstream, false, copyTimeout)
	if took := clock.Since(start); err == nil && took > maxCopyTime {
		err = &SlowCopyError{Took: took}
		s.freeResult(&prefillResult{handle: copied, engine: from})
	}
	var stop *migrationStop
	if err == nil {
		stop = s.migration.beginStop(generation, to)
	}
	if stop == nil {
		s.c.o.Scheduler.Done(to)
		s.migration.cancel(generation)
		if err == nil {
			s.freeResult(&prefillResult{handle: copied, engine: from})
		}
		log.Info("stream not moved", "to", to.Upstream.ID, "took_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
		return
	}
	handle, err := s.copyCache(from, to.Upstream, true, stopTimeout)
	stop.finish(handle, err)
	s.c.o.Count("stream_migrated")
	log.Info("stream moved", "to", to.Upstream.ID, "took_ms", clock.Since(start).Milliseconds(), "error", logs.ErrorText(err))
}

// SlowCopyError reports a copy that took longer than maxCopyTime, so its stream was not stopped.
type SlowCopyError struct{ Took time.Duration }

// Error implements the error interface.
func (e *SlowCopyError) Error() string {
	return "KV cache copy took " + e.Took.String() + ", too long to stop the stream"
}

// reserveDestination reserves a decode engine with room for the rest of the stream. ok is false
// if there is none or the retry budget does not allow the send.
func (s *stream) reserveDestination(ctx context.Context, from dialect.Upstream) (schedule.Ticket, bool) {
	size := s.size()
	size.KVCopied = true
	s.software.bind(from.SoftwareVersion)
	to, ok := s.placeDecode(ctx, size, append(s.c.leftRuns.pending(s.j.Call.ID), from.ID))
	if ok && !s.c.o.Budget.ExtraOptional(clock.Now(), s.j.Service.Name, sendsToMigrate) {
		s.c.o.Scheduler.Done(to)
		return to, false
	}
	return to, ok
}

// copyCache copies the stream's KV cache to another engine, and with stop ends the stream at its
// current one.
func (s *stream) copyCache(from, to dialect.Upstream, stop bool, timeout time.Duration) (dialect.Handle, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.c.o.Dialect.Migrate(ctx, dialect.Migration{Request: s.j.Call.ID, From: from, To: to, Stop: stop})
}

// continuation describes how a stopped stream continues.
type continuation struct {
	// source is the handle of the KV cache at the engine where the stream was stopped.
	source dialect.Handle
	// engines lists the engines that can continue the stream, in the order in which they are
	// asked: the destination, which holds a copy, and the source.
	engines []schedule.Ticket
}

// migrationResult waits for the result of a stop, which may be why the stream ended; m is nil if there is
// none. It returns how the stream continues, or nil if it was not stopped. ambiguous means that it is
// unknown whether the stream was stopped.
func (s *stream) migrationResult(p *placement, m *migrationStop) (cont *continuation, ambiguous bool) {
	if m == nil {
		return nil, false
	}
	<-m.done
	var notRunning *dialect.NotRunningError
	var notCopied *dialect.NotCopiedError
	switch {
	case m.err == nil:
		return &continuation{source: m.handle, engines: []schedule.Ticket{m.to, p.decode}}, false
	case errors.As(m.err, &notCopied):
		s.c.o.Scheduler.Done(m.to)
		return &continuation{source: notCopied.Handle, engines: []schedule.Ticket{p.decode}}, false
	default:
		s.c.o.Scheduler.Done(m.to)
		return nil, !errors.As(m.err, &notRunning)
	}
}

// continueStopped continues a stopped stream from its KV cache. This counts as the same run.
//
// The instance itself ended a working run, so a single rejection must not end the response: the
// engine where the stream was stopped is asked too, even if the destination's response was lost. An
// engine that does not answer is left its attempt while the other one is asked: it may have used the
// handle and only be silent. A handle can be used only once, so the stream cannot continue twice.
func (s *stream) continueStopped(ctx context.Context, p *placement, cont *continuation) (*Response, bool, error) {
	stoppedAt := p.decode.Upstream
	attempts := s.newResumeAttempts(ctx, p, cont)
	r, err := attempts.first(ctx)
	defer attempts.close(r)
	if err == nil {
		p.decode = r.ticket
		s.sentAt = r.sentAt
		attempts.leaveOthers(r)
		s.endPlacements(attempts.others(r))
		r.watchdog.handleSilence(s.newFailover(ctx, r.ticket.Upstream))
		return s.forward(ctx, r.run)
	}
	reason := CutByMigration
	if ctx.Err() != nil {
		reason = cutReason(ctx, err)
	}
	if attempts.lastFailed != nil {
		p.decode = attempts.lastFailed.ticket
	}
	if ctx.Err() == nil {
		attempts.leaveOthers(attempts.lastFailed)
	}
	s.endPlacements(cont.engines)
	s.freeResult(&prefillResult{handle: cont.source, engine: stoppedAt})
	return nil, s.handleStreamEnd(ctx, p, err, 0, reason), s.streamError(ctx, err)
}

// resumeAttempt is an attempt to continue a stopped stream at an engine.
type resumeAttempt struct {
	*run
	ticket schedule.Ticket
	// answered means that the attempt has succeeded or failed, with verdict and err.
	answered bool
	verdict  dialect.Verdict
	err      error
}

// mayRun reports whether the engine may run the stream, or begin to, after the attempt was canceled or has failed.
func (a *resumeAttempt) mayRun() bool {
	switch {
	case !a.answered:
		return true
	case a.verdict == dialect.Refused || a.verdict == dialect.WrongUpstream || a.verdict == dialect.Failure:
		return false
	default:
		return adapter.AsCallError(a.err).Evidence == kernel.Ambiguous
	}
}

// resumeAttempts are the attempts to continue a stopped stream, of which the first that succeeds counts.
type resumeAttempts struct {
	s    *stream
	cont *continuation
	// started holds the attempts in the order in which they were started.
	started []*resumeAttempt
	ended   chan *resumeAttempt
	// failed counts the attempts that failed, lastFailed is the last one of them.
	failed     int
	lastFailed *resumeAttempt
}

// newResumeAttempts returns the attempts at the engines of a continuation. p is the stream's placement.
func (s *stream) newResumeAttempts(ctx context.Context, p *placement, cont *continuation) *resumeAttempts {
	ra := &resumeAttempts{s: s, cont: cont, ended: make(chan *resumeAttempt, len(cont.engines))}
	ra.start(ctx, p)
	return ra
}

// start asks the next engine.
func (ra *resumeAttempts) start(ctx context.Context, p *placement) {
	s, t := ra.s, ra.cont.engines[len(ra.started)]
	if len(ra.started) > 0 {
		s.c.o.Budget.CountRequired(clock.Now(), s.j.Service.Name, sendsToReturn)
		s.c.chargeRateLimit(t.Upstream)
		s.c.o.Count("stream_went_back")
	}
	a := &resumeAttempt{ticket: t, run: &run{s: s, placement: p, sentAt: clock.Now(), watchdog: s.streamWatchdog(ctx, t.Upstream, keepRun{})}}
	ra.started = append(ra.started, a)
	s.c.cleanup.Go(func() {
		a.resp, a.verdict, a.err = s.resumeAt(a.watchdog, t.Upstream, ra.cont.source)
		ra.ended <- a
	})
}

// first returns the first attempt that succeeds, or the error of the last one. It asks the next engine when
// one has failed or has not answered within resumeTimeout.
func (ra *resumeAttempts) first(ctx context.Context) (*resumeAttempt, error) {
	timer := time.NewTimer(resumeTimeout)
	defer timer.Stop()
	for {
		select {
		case a := <-ra.ended:
			a.answered = true
			if a.err == nil {
				return a, nil
			}
			ra.failed++
			ra.lastFailed = a
			if ctx.Err() == nil && ra.failed < len(ra.cont.engines) {
				ra.s.handleNotResumed(ctx, a.ticket, a.sentAt, a.err)
			}
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if len(ra.started) < len(ra.cont.engines) && ctx.Err() == nil {
			ra.start(ctx, ra.started[0].placement)
			timer.Reset(resumeTimeout)
		} else if ra.failed == len(ra.started) {
			return nil, ra.lastFailed.err
		}
	}
}

// others returns the engines of the continuation at which an attempt does not go on.
func (ra *resumeAttempts) others(r *resumeAttempt) []schedule.Ticket {
	var out []schedule.Ticket
	for _, t := range ra.cont.engines {
		if t.Number() != r.ticket.Number() {
			out = append(out, t)
		}
	}
	return out
}

// leaveOthers gives up the attempts beside the one that goes on or failed last. Their engines are told to stop.
func (ra *resumeAttempts) leaveOthers(last *resumeAttempt) {
	s := ra.s
	for _, a := range ra.started {
		if a == last || !a.mayRun() {
			continue
		}
		u := a.ticket.Upstream
		s.log.Info("attempt to go on given up", "upstream", u.ID, "after_ms", a.age().Milliseconds(), "answered", a.answered)
		a.watchdog.stop()
		s.excluded = append(s.excluded, u.ID)
		s.leaveRun(u, 0)
	}
}

// close cancels the attempts, also the one that succeeded, and closes their responses.
func (ra *resumeAttempts) close(succeeded *resumeAttempt) {
	running := len(ra.started) - ra.failed
	for _, a := range ra.started {
		a.watchdog.stop()
	}
	if succeeded != nil {
		succeeded.run.close()
		running--
	}
	ra.s.c.cleanup.Go(func() {
		for range running {
			(<-ra.ended).run.close()
		}
	})
}

// keepRun is a silenceHandler that leaves a request at its engine.
type keepRun struct{}

// onUnresponsive implements silenceHandler.
func (keepRun) onUnresponsive(dialect.Upstream, error, time.Time, func() bool) bool { return false }

// resumeAt asks an engine to continue a stopped stream.
func (s *stream) resumeAt(wd *watchdog, u dialect.Upstream, source dialect.Handle) (*http.Response, dialect.Verdict, error) {
	start := clock.Now()
	resp, verdict, err := s.c.o.Dialect.Do(wd.ctx, s.j.Call, dialect.Send{
		To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Source: &source, LastEvent: s.lastEvent,
	})
	took := clock.Since(start).Milliseconds()
	if err == nil && verdict == dialect.Success {
		s.log.Info("stream goes on", "upstream", u.ID, "software_version", u.SoftwareVersion, "took_ms", took)
		return resp, verdict, nil
	}
	if err == nil {
		resp.Body.Close()
		err = &dialect.StatusError{Op: "continue stream", Status: resp.StatusCode}
		s.skipEngine(u, "did not accept a migrated stream")
	}
	err = wd.attemptError(err)
	s.log.Warn("moved stream not taken", "upstream", u.ID, "verdict", verdict.String(), "took_ms", took, "error", logs.ErrorText(err))
	return nil, verdict, err
}

// handleNotResumed handles an engine that did not accept a stopped stream while another one
// still can.
func (s *stream) handleNotResumed(ctx context.Context, t schedule.Ticket, start time.Time, err error) {
	s.c.o.Scheduler.Done(t)
	s.excluded = append(s.excluded, t.Upstream.ID)
	var status *dialect.StatusError
	if errors.As(err, &status) {
		return
	}
	s.c.recordAttempt(t.Upstream, &attempt{err: err}, 0, s.log)
	if adapter.AsCallError(err).Evidence == kernel.Ambiguous {
		s.recordInterruption(ctx, interruption{upstream: t.Upstream, sentAt: start, wasAlive: s.c.o.Scheduler.AnsweredSince(t.Upstream, start), begunBefore: true, cause: err})
	}
}

// discard releases a stopped stream's KV cache and the engines that could continue it. from is the engine
// where the stream was stopped.
func (s *stream) discard(cont *continuation, from dialect.Upstream) {
	s.freeResult(&prefillResult{handle: cont.source, engine: from})
	s.endPlacements(cont.engines)
}

// discardMigration waits for the result of a stop and releases what it holds.
func (s *stream) discardMigration(p *placement, stop *migrationStop) {
	if cont, _ := s.migrationResult(p, stop); cont != nil {
		s.discard(cont, p.decode.Upstream)
	}
}

// endPlacements ends placements that the stream does not use.
func (s *stream) endPlacements(tickets []schedule.Ticket) {
	for _, t := range tickets {
		s.c.o.Scheduler.Done(t)
	}
}
