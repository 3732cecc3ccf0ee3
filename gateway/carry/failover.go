package carry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/logs"
)

// peerStartTimeout limits the time until a peer has begun to run a stream that it takes over. A peer
// reserves an engine, has the prompt computed and gets the first event in less.
const peerStartTimeout = 2 * time.Second

// searchInterval is the interval between two searches for an engine with capacity. Engines that
// were full are asked again after the same interval.
const searchInterval = 60 * time.Millisecond

// failover starts another run of a stream whose engine does not respond, at another engine or a peer.
// The run at the silent engine goes on until the other one has begun; see takeover.
type failover struct {
	s *stream
	// ctx is the context of the request.
	ctx context.Context

	// runNumber is that of the run at the silent engine, runs the number of engines that may have run
	// the stream before it. startedAt is when the run began, and events the number of events until then.
	runNumber, runs int
	startedAt       time.Time
	// from is the silent engine.
	from   dialect.Upstream
	events int64
	// accepted means that the engine has accepted the stream.
	accepted atomic.Bool
	// suspect records that the engine may have crashed, once.
	suspect sync.Once

	mu sync.Mutex
	// starts counts the runs that may still be started.
	starts   int
	excluded []ident.UpstreamID
}

// newFailover returns a failover away from an engine where a run of the stream begins. ctx is the context
// of the request.
func (s *stream) newFailover(ctx context.Context, from dialect.Upstream) *failover {
	return &failover{
		s: s, ctx: ctx, runNumber: s.takeover.newRun(), runs: s.runs, starts: maxStarts - s.starts,
		startedAt: clock.Now(), events: s.events.Load(), from: from,
		excluded: append(slices.Clone(s.excluded), from.ID),
	}
}

// allowed reports whether another run may be started.
func (f *failover) allowed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.s
	failed := s.takeover.failures()
	return f.starts > 0 && s.j.Route.Repeatable() && f.runs+1+failed.runs < s.j.Route.MaxAttempts && !failed.crashedEarly &&
		clock.Until(s.j.answerBy()) >= minAttemptTime
}

// onUnresponsive implements silenceHandler. It starts another run and reports whether that run has
// begun, so that the one at the silent engine is to be canceled.
//
// A missing answer does not prove a failure: an overloaded machine, a suspended one or a lost packet
// look the same, and a canceled run cannot be recovered.
func (f *failover) onUnresponsive(u dialect.Upstream, err error, start time.Time, heard func() bool) bool {
	s := f.s
	s.c.recordFailure(u, ClassifyUnreachable(err), err, clock.Since(start), s.log)
	f.suspect.Do(func() { f.recordSuspicion(u, err) })
	allowed := f.allowed()
	failure := error(&NotStartedError{Reason: notAllowed})
	for f.allowed() && !heard() {
		if failure = f.startElsewhere(heard); failure == nil {
			return true
		}
		var notStarted *NotStartedError
		if errors.As(failure, &notStarted) {
			break
		}
	}
	s.c.o.Count("silent_engine_kept")
	s.log.Info("stream stays at a silent engine", "upstream", u.ID, "events", s.events.Load(), "may_start", allowed, "heard", heard(),
		"left_ms", clock.Until(s.j.Deadline).Milliseconds(), "error", logs.ErrorText(failure))
	return false
}

// recordSuspicion records an engine that fell silent before it had begun to answer the prompt: the prompt may
// have crashed it. The run goes on, and clears the prompt once it has begun.
func (f *failover) recordSuspicion(u dialect.Upstream, err error) {
	s := f.s
	if events := s.events.Load() - f.events; events < beginningEvents {
		s.crashGuard.startCheck(interruption{
			upstream: u, sentAt: f.startedAt, wasAlive: f.accepted.Load() || s.c.o.Scheduler.AnsweredSince(u, f.startedAt), eventCount: int(events),
			begunBefore: s.j.Call.LastEvent != "" || f.events > 0, cause: &UnresponsiveError{Upstream: u.ID, Err: err},
		})
	}
}

// startElsewhere starts another run. It returns nil once that run has begun and has become the
// stream's.
func (f *failover) startElsewhere(heard func() bool) error {
	t := &f.s.takeover
	ctx, cancel := context.WithCancel(f.ctx)
	var other *stream
	generation, ok := t.begin(f.runNumber, cancel, func() { other = f.fork() })
	if !ok {
		cancel()
		return &NotStartedError{Reason: engineWentOn}
	}
	f.s.c.cleanup.Add(1)
	defer f.s.c.cleanup.Done()
	defer other.j.Memory.Close()
	before := other.runs
	next, err := other.openElsewhere(ctx, heard, func() bool { return t.commit(generation, f.s.holdTime()) })
	if err == nil {
		next.cancel = cancel
		if t.win(generation, next) {
			return nil
		}
		next.close()
		other.runs++
		other.leaveNext(next)
	}
	if ctx.Err() != nil || err == nil {
		err = &NotStartedError{Reason: engineWentOn}
	}
	cancel()
	other.crashGuard.endTrial()
	other.returnBudget()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.fail(generation, takeoverFailures{
		runs: other.runs - before, engines: other.excluded[len(f.excluded):], crashedEarly: other.crashGuard.crashedEarly,
	})
	f.starts--
	f.excluded = other.excluded
	return err
}

// holdTime returns how long events of a run wait for the first event of another one.
func (s *stream) holdTime() time.Duration {
	return min(max(holdFactor*s.c.o.Scheduler.FirstEvent(s.j.Service.Name), minHold), maxHold)
}

// returnBudget returns what findEngine charged to the retry budget for sends that were not made.
func (s *stream) returnBudget() {
	if unused := s.charged - s.prefills - s.sends; unused > 0 {
		s.c.o.Budget.Return(clock.Now(), s.j.Service.Name, unused)
	}
}

// fork returns a stream that continues this one from its last event. It shares nothing with it that
// changes. The caller holds the lock of the takeover.
func (f *failover) fork() *stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.s
	j := *s.j
	j.Memory = s.j.Memory.Fork()
	other := &stream{
		c: s.c, j: &j, log: s.log, excluded: slices.Clone(f.excluded),
		// A failure is not answered by another start of the fork, but by another takeover.
		starts: maxStarts,
		runs:   f.runs + 1, headSent: s.headSent, lastEvent: s.lastEvent, besideSilent: true,
		crashGuard: s.crashGuard.share(),
	}
	other.events.Store(s.events.Load())
	if version, bound := s.software.get(); bound {
		other.software.bind(version)
	}
	other.readBy.bind(f.from.SoftwareVersion)
	return other
}

// NotStartedError reports a stream that was not started at another engine.
type NotStartedError struct{ Reason string }

// Error implements the error interface.
func (e *NotStartedError) Error() string { return "not started at another engine: " + e.Reason }

// The reasons for which a stream is not started at another engine, in logs.
const (
	notAllowed     = "not allowed"
	engineWentOn   = "the engine went on or the stream ended"
	noEngineFound  = "no engine found"
	noBudgetToSend = "retry budget"
)

// openElsewhere opens a run at another engine, or at a peer if this instance reaches no engine, and
// reads its first event. It calls commit just before it sends the stream, and sends it only if commit
// returns true. heard reports whether the current engine responds again.
func (s *stream) openElsewhere(ctx context.Context, heard, commit func() bool) (*run, error) {
	if s.c.o.Relay.Needed(s.j.Service.Name) {
		return s.openAtPeer(ctx, commit)
	}
	p, err := s.findEngine(ctx, heard)
	if err != nil {
		return nil, err
	}
	h, err := s.obtainPrefill(ctx, p)
	if err != nil {
		s.releasePlacement(p)
		return nil, err
	}
	if !commit() {
		if h != nil {
			s.freeResult(h)
		}
		s.releasePlacement(p)
		return nil, &NotStartedError{Reason: engineWentOn}
	}
	next, err := s.openAtEngine(ctx, p, h)
	if err != nil {
		s.leavePlacement(p)
		return nil, err
	}
	return next, nil
}

// openAtEngine opens a run at a reserved engine and reads its first event.
func (s *stream) openAtEngine(ctx context.Context, p *placement, h *prefillResult) (*run, error) {
	u := p.decode.Upstream
	if _, err := s.maySend(ctx, p, h); err != nil {
		return nil, err
	}
	next, verdict, err := s.send(ctx, p, h, nil)
	if err != nil {
		next.close()
		s.recordSendFailure(ctx, p, h, next.sentAt, err)
		return nil, err
	}
	if verdict != dialect.Success {
		s.handleErrorResponse(ctx, p, h, next.resp, verdict)
		next.close()
		return nil, &dialect.StatusError{Op: "decode", Status: next.resp.StatusCode}
	}
	s.recordAccepted(u, h)
	if err := next.receiveEvent(); err != nil {
		next.close()
		s.recordNoEvent(ctx, u, next.sentAt, err)
		return nil, err
	}
	next.guard = &s.crashGuard
	return next, nil
}

// recordNoEvent records a run that was accepted and ended before its first event.
func (s *stream) recordNoEvent(ctx context.Context, u dialect.Upstream, sentAt time.Time, err error) {
	s.runs++
	s.leaveRun(u, 0)
	s.excluded = append(s.excluded, u.ID)
	if ctx.Err() != nil {
		return
	}
	s.c.recordAttempt(u, &attempt{err: err}, 0, s.log)
	s.recordDisorder(u, err)
	s.recordInterruption(ctx, interruption{upstream: u, sentAt: sentAt, wasAlive: true, begunBefore: s.resumed(), cause: err})
}

// openAtPeer opens a run at a peer and reads its first event.
func (s *stream) openAtPeer(ctx context.Context, commit func() bool) (*run, error) {
	if s.j.Relayed {
		return nil, declineRelayed(s.j, s.runs)
	}
	if !s.c.mayResend(s.j.Service.Name, sendsFullRestart, s.headSent, s.log) {
		return nil, &NotStartedError{Reason: noBudgetToSend}
	}
	if !commit() {
		return nil, &NotStartedError{Reason: engineWentOn}
	}
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(peerStartTimeout, cancel)
	defer limit.Stop()
	next, err := s.sendRelayed(ctx)
	if err != nil {
		cancel()
		var reqErr *Error
		if !errors.As(err, &reqErr) || reqErr.Outcome != NotRun {
			s.runs++
		}
		return nil, err
	}
	if next.resp.StatusCode != http.StatusOK {
		s.runs++
		cancel()
		next.close()
		return nil, &dialect.StatusError{Op: "relay", Status: next.resp.StatusCode}
	}
	if err := next.receiveEvent(); err != nil {
		s.runs++
		cancel()
		next.close()
		return nil, err
	}
	next.guard = &s.crashGuard
	return next, nil
}

// findEngine searches for another engine until one is reserved, the current engine responds again, or
// ctx ends. It charges the sends to the new engine to the retry budget. The error is a
// *NotStartedError.
func (s *stream) findEngine(ctx context.Context, heard func() bool) (*placement, error) {
	for !heard() && !s.c.o.Relay.Needed(s.j.Service.Name) && clock.Until(s.j.answerBy()) >= minAttemptTime {
		size := s.sizeWithoutCache()
		size.Isolate = s.crashGuard.onTrial()
		if p := s.reservePlacement(ctx, size, s.excluded); p != nil {
			if s.c.mayResend(s.j.Service.Name, sendsFullRestart, true, s.log) {
				s.charged = sendsFullRestart
				return p, nil
			}
			s.releasePlacement(p)
			return nil, &NotStartedError{Reason: noBudgetToSend}
		}
		if !pause.For(ctx, searchInterval) {
			return nil, &NotStartedError{Reason: noEngineFound}
		}
	}
	return nil, &NotStartedError{Reason: noEngineFound}
}

// releasePlacement releases a placement that the stream does not use.
func (s *stream) releasePlacement(p *placement) {
	s.releaseUnused(p, nil)
	s.leavePlacement(p)
}

// nextRun returns the run that has taken the stream over from one that ended with err, or nil. It waits
// for a takeover that is under way, as long as the caller can still be answered.
func (s *stream) nextRun(ctx context.Context, err error) *run {
	if !s.takeover.won() && (err == nil || ctx.Err() != nil || callerLeft(err)) {
		return nil
	}
	if !s.headSent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, clock.Until(s.j.answerBy()))
		defer cancel()
	}
	return s.takeover.result(ctx)
}

// countFailedTakeovers adds what takeovers that failed have done to the state of the stream.
func (s *stream) countFailedTakeovers() {
	failed := s.takeover.takeFailures()
	s.runs += failed.runs
	s.excluded = append(s.excluded, failed.engines...)
	s.crashGuard.crashedEarly = s.crashGuard.crashedEarly || failed.crashedEarly
}

// continueAt forwards the stream from the run that has taken it over. Its results are those of
// forward.
func (s *stream) continueAt(ctx context.Context, next *run) (*Response, bool, error) {
	defer next.close()
	s.starts++
	s.sentAt = next.sentAt
	s.crashGuard.adopt(next.guard)
	s.c.o.Count("stream_taken_over")
	if next.placement == nil {
		s.log.Info("stream taken over", "by", "peer", "last_event", s.lastEvent, "left_ms", clock.Until(s.j.Deadline).Milliseconds())
		return s.forwardRelayed(ctx, next)
	}
	u := next.placement.decode.Upstream
	s.log.Info("stream taken over", "by", u.ID, "last_event", s.lastEvent, "left_ms", clock.Until(s.j.Deadline).Milliseconds())
	next.watchdog.handleSilence(s.newFailover(ctx, u))
	return s.forward(ctx, next)
}

// SupersededError reports a run whose events are no longer delivered, because another one has taken
// the stream over.
type SupersededError struct{}

// Error implements the error interface.
func (*SupersededError) Error() string { return "another run has taken the stream over" }
