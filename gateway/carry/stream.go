package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// reserveTimeout limits a reservation call, which engines answer in a few ms.
	reserveTimeout = 250 * time.Millisecond
	// releaseTimeout limits one attempt to release a resource at an engine. releaseTries is the
	// maximum number of attempts.
	releaseTimeout = 500 * time.Millisecond
	releaseTries   = 2
	// releasePause is the time between two attempts.
	releasePause = 100 * time.Millisecond
	// prefillTimeoutFactor is the time that a prefill may take before another engine is asked,
	// as a multiple of the expected time. The limit is at least minPrefillTimeout and lasts as
	// long as the first event can still be on time, because canceling discards the work of a
	// busy engine.
	prefillTimeoutFactor = 4
	minPrefillTimeout    = 500 * time.Millisecond
	// maxPrefillQueueShare is the maximum prefill work queued at an engine for a request to be
	// placed, as a share of the latency objective. With more, the request waits in this
	// instance's queue, where it holds no memory of a decode engine.
	maxPrefillQueueShare = 0.4
	// resumeWaitShare is the share of its remaining time that a resumed stream waits for
	// capacity. It is late already, and a refusal would end it permanently.
	resumeWaitShare = 0.25
	// defaultOutputTokens is the assumed output length, in tokens, of requests for which the
	// caller gives no estimate, unless the caller's limit is lower.
	defaultOutputTokens = 4000
	// streamRetryAfter is the Retry-After of a refused stream. Streams take 2.7 s, so about a
	// third of the memory becomes free in this time.
	streamRetryAfter = time.Second
	// maxStarts is the maximum number of pairs of engines that one request may try.
	maxStarts = 3
)

// StreamWriter writes a stream to the caller.
type StreamWriter interface {
	// Head sends the response head. It is called once, before the first event.
	Head(status int, h http.Header)
	// Write sends complete events.
	Write(events []byte) error
}

// InterruptedError reports a stream that ended early after its response head was sent. The
// response must not look complete to the caller.
type InterruptedError struct {
	// Reason is the reason why the last run ended. Err is the reason why the stream did not
	// continue.
	Reason CutReason
	Err    error
}

// Error implements the error interface.
func (e *InterruptedError) Error() string { return "stream ended early: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *InterruptedError) Unwrap() error { return e.Err }

// Stream forwards a request of a service of engines. The error is an *Error, an *AbandonedError
// or an *InterruptedError. A *Response is an upstream's own error response, which is to be
// forwarded to the caller.
func (c *Forwarder) Stream(ctx context.Context, j *Job, w StreamWriter) (*Response, error) {
	s := &stream{c: c, j: j, w: w, log: j.log(c.o.Log), lastEvent: j.Call.LastEvent, runs: j.PriorRuns}
	s.crashGuard = c.newCrashGuard(j, s.log)
	defer s.crashGuard.endTrial()
	defer s.takeover.close()
	ctx, cancel := context.WithTimeout(ctx, clock.Until(j.Deadline.Add(deadlineGrace)))
	defer cancel()
	if s.wouldOutliveInstance() {
		return nil, s.refuseStopping()
	}
	if err := s.bindVersion(ctx); err != nil {
		return nil, err
	}
	return s.run(ctx)
}

// deadlineGrace is how long after its deadline a stream is canceled. The engine ends it by
// itself at the deadline, and events in transit are still delivered.
const deadlineGrace = 250 * time.Millisecond

// stream is the state of a request of a service of engines.
type stream struct {
	c   *Forwarder
	j   *Job
	w   StreamWriter
	log *slog.Logger
	// excluded lists engines that failed this request.
	excluded []ident.UpstreamID
	// starts counts the pairs of engines tried, runs the engines that may have run the request,
	// and prefills the prefill calls.
	starts   int
	runs     int
	prefills int
	// sends counts the requests sent to decode engines.
	sends int
	// charged is the number of sends that a takeover charged to the retry budget.
	charged int
	// retained is a prefill result that a decode engine rejected and that is offered to
	// another one.
	retained *prefillResult
	// headSent means that the response head was sent to the caller.
	headSent bool
	// cutReason is the reason why the last run ended.
	cutReason CutReason
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent string
	// events counts the events delivered in this request. A migration reads it while the stream
	// runs.
	events atomic.Int64
	// eventsBefore counts those of them that came before the current run.
	eventsBefore int64
	software     versionBinding
	// readBy is the software version of the first decode engine that may have read the prompt.
	readBy versionBinding
	// besideSilent means that the stream runs at a silent engine, of the version readBy, which may go on.
	besideSilent bool
	migration    migration
	takeover     takeover
	crashGuard   crashGuard
	// firstAt and lastAt are the times of the first and the last event. longestPause is the
	// longest time between two consecutive events.
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
	// framing is that of the last run's body, "" if it had none. restBytes is what followed its last
	// complete event.
	framing   framing
	restBytes int
	// placedAt is when an engine was reserved for a request that had waited, and expectedFirst the
	// time that was expected from then to the first event. placedAt is zero otherwise.
	placedAt      time.Time
	expectedFirst time.Duration
	// sentAt is the time at which the request was sent to the engine, lastReadAt that at which the
	// engine last sent anything.
	sentAt, lastReadAt time.Time
}

// output returns the expected length of the output, in tokens.
func (s *stream) output() int {
	bound := s.j.Call.MaxOutputTokens
	estimate := s.j.Call.OutputEstimate
	if estimate == 0 {
		estimate = defaultOutputTokens
	}
	if bound > 0 {
		estimate = min(estimate, bound)
	}
	return estimate
}

// size returns the memory and the time that the request is expected to take.
func (s *stream) size() schedule.Size {
	return schedule.Size{
		Prompt: s.j.Call.PromptTokens, Estimate: s.output(), Produced: s.produced(),
		TimeLeft: s.timeLeft(), MaxOutput: s.j.Call.MaxOutputTokens,
	}
}

// timeLeft returns the time from the first event of a stream that is placed now to the caller's
// deadline, at least 1 ns. It is 0 if there is no deadline.
func (s *stream) timeLeft() time.Duration {
	if s.j.Deadline.IsZero() {
		return 0
	}
	return max(1, clock.Until(s.j.Deadline)-s.c.o.Scheduler.FirstEvent(s.j.Service.Name))
}

// produced returns the length of the output so far, in tokens, including that of the caller's
// earlier attempts.
func (s *stream) produced() int {
	return (s.j.Call.ReceivedEvents + int(s.events.Load())) * s.j.Service.Engine.TokensPerEvent
}

// need returns the memory to reserve, in tokens.
func (s *stream) need() int { return s.size().TokensToReserve() }

// run runs the stream, and restarts it as long as that is allowed.
func (s *stream) run(ctx context.Context) (*Response, error) {
	for {
		response, again, err := s.start(ctx)
		if err == nil || !again {
			s.countInterrupted(err)
			return response, err
		}
		s.log.Info("stream is started again", "starts", s.starts, "last_event", s.lastEvent, "error", logs.ErrorText(err))
		s.c.o.Count("stream_restarted")
	}
}

// countInterrupted counts a response that ended early.
func (s *stream) countInterrupted(err error) {
	var broken *InterruptedError
	if errors.As(err, &broken) {
		s.c.o.Count("answers_cut_" + string(broken.Reason))
	}
}

// start runs the stream at one pair of engines. again reports whether another pair may be tried.
func (s *stream) start(ctx context.Context) (response *Response, again bool, err error) {
	s.starts++
	p, err := s.admitAndReserve(ctx)
	if err != nil {
		if s.retained != nil {
			s.freeResult(s.retained)
		}
		var unreachable *relayNeededError
		if errors.As(err, &unreachable) {
			return s.relay(ctx)
		}
		return nil, false, s.callerError(err)
	}
	defer s.leavePlacement(p)
	h, err := s.obtainPrefill(ctx, p)
	if err != nil {
		s.releaseUnused(p, nil)
		return nil, s.mayRestart(ctx, err, sendsAfterPrefill), s.callerError(err)
	}
	return s.decode(ctx, p, h)
}

// admitAndReserve reserves a decode engine if the content may be sent to one.
func (s *stream) admitAndReserve(ctx context.Context) (*placement, error) {
	if s.c.o.Relay.Needed(s.j.Service.Name) {
		return nil, &relayNeededError{}
	}
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	if s.starts == 1 {
		s.c.o.Scheduler.RecordRequest(clock.Now(), s.j.Service.Name, s.j.Call.PromptTokens, s.output())
	}
	return s.reserve(ctx)
}

// admit reports whether the content may be sent to an engine. It is checked before each send,
// because crash records may have arrived while the request waited.
func (s *stream) admit(ctx context.Context) error {
	return s.crashGuard.admit(ctx, s.outcomeUnserved())
}

// callerError converts the error of a start to the error that is returned to the caller.
func (s *stream) callerError(err error) error {
	var reqErr *Error
	var abandoned *AbandonedError
	switch {
	case errors.As(err, &abandoned):
		return err
	case s.headSent:
		return &InterruptedError{Reason: s.cutReason, Err: err}
	case errors.As(err, &reqErr):
		return reqErr
	case errors.Is(err, context.DeadlineExceeded) && clock.Until(s.j.answerBy()) <= 0:
		return deadlineError(s.outcomeUnserved())
	case s.runs == 0:
		return &Error{Outcome: NotRun, Reason: "engines_failed", RetryAfter: streamRetryAfter, Err: err}
	default:
		return &Error{Outcome: Unknown, Reason: "engine_failed", Err: err}
	}
}

// The number of sends beyond the first that another start takes.
const (
	// sendsDecodeOnly applies if only the decode engine is asked again.
	sendsDecodeOnly = 1
	// sendsAfterPrefill applies if a prefill failed and is repeated.
	sendsAfterPrefill = 1
	// sendsFullRestart applies if both prefill and decode are repeated.
	sendsFullRestart = 2
)

// mayRestart reports whether another pair of engines may be tried after a failure. The caller has
// checked that the request did not run or may run again. sends is the number of sends that the
// restart takes. A request that may have crashed its engine is not sent to another one: it fails,
// and the client decides whether to retry.
func (s *stream) mayRestart(ctx context.Context, err error, sends int) bool {
	if ctx.Err() != nil || s.starts >= maxStarts || s.crashGuard.crashedEarly {
		return false
	}
	var reqErr *Error
	if errors.As(err, &reqErr) {
		return false
	}
	if clock.Until(s.j.answerBy()) < minAttemptTime {
		return false
	}
	return s.c.mayResend(s.j.Service.Name, sends, s.headSent, s.log)
}

// recordInterruption handles an attempt that was interrupted at an engine, unless the request's
// context has ended.
func (s *stream) recordInterruption(ctx context.Context, i interruption) {
	if ctx.Err() == nil {
		s.crashGuard.handleInterruption(i)
	}
}

// outcomeUnserved returns the outcome of a request that is not sent to another engine.
func (s *stream) outcomeUnserved() Outcome { return outcomeAfter(s.runs) }

// contextError returns the error for a request whose context ended.
func (s *stream) contextError(ctx context.Context) error {
	if Stopped(ctx) {
		return NewStoppingError(s.outcomeUnserved())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineError(s.outcomeUnserved())
	}
	return &AbandonedError{NotSent: s.runs == 0 && s.prefills == 0}
}
