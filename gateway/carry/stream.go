package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/logs"
)

const (
	// holdTimeout bounds the asking for a reservation, which engines answer in a
	// few ms.
	holdTimeout = 250 * time.Millisecond
	// releaseTimeout bounds one try to give something up at an engine, and
	// releaseTries how often that is tried.
	releaseTimeout = 500 * time.Millisecond
	releaseTries   = 2
	// releasePause is the time between two tries.
	releasePause = 100 * time.Millisecond
	// prefillPatience is how many times the expected time a prefill may take before
	// another engine is asked, at least leastPrefill and as long as it can be on
	// time: a busy engine's work is thrown away then.
	prefillPatience = 4
	leastPrefill    = 500 * time.Millisecond
	// longestQueue is how much prefill work may be queued at an engine, as a share
	// of the latency objective, for a request to take its place; with more it waits
	// in line, where it holds no memory of a decode engine.
	longestQueue = 0.4
	// resumePatience is the share of its time for which a resumed stream waits for
	// room. It is late already, and a refusal would be its last.
	resumePatience = 0.25
	// unknownOutput stands for the length of outputs that the caller doesn't
	// guess, in tokens, unless its bound is lower.
	unknownOutput = 4000
	// retryStream is when a refused stream may come back: streams take 2.7 s, so
	// that in this time about a third of the memory becomes free.
	retryStream = time.Second
	// maxStarts is how many times one request may look for a new pair of engines.
	maxStarts = 3
)

// StreamWriter takes a stream to the caller.
type StreamWriter interface {
	// Head begins the response. It is called once, before the first event.
	Head(status int, h http.Header)
	// Write sends whole events on.
	Write(events []byte) error
}

// BrokenOffError reports a stream that ended before its end, after its head went
// out: its response must not look complete.
type BrokenOffError struct {
	// By is what ended its last run, Err why it did not go on.
	By  Cut
	Err error
}

// Error implements error.
func (e *BrokenOffError) Error() string { return "stream broken off: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenOffError) Unwrap() error { return e.Err }

// Stream carries a request of a service of engines. The error is an *Error, an
// *AbandonedError or a *BrokenOffError. An *Answer is an upstream's own failure,
// to be passed on.
func (c *Carrier) Stream(ctx context.Context, j *Job, w StreamWriter) (*Answer, error) {
	s := &stream{c: c, j: j, w: w, log: j.log(c.o.Log), lastEvent: j.Call.LastEvent}
	s.caution = caution{c: c, j: j, log: s.log}
	defer s.caution.done()
	defer s.closeStandby()
	ctx, cancel := context.WithTimeout(ctx, clock.Until(j.Deadline.Add(overtime)))
	defer cancel()
	if s.outlasts() {
		return nil, s.turnAway()
	}
	return s.run(ctx)
}

// closeStandby gives up the place that the stream did not come to.
func (s *stream) closeStandby() {
	if p := s.standby.close(); p != nil {
		s.releasePlace(p)
	}
}

// overtime is how long after its deadline a stream is broken off: the engine ends
// it by itself at the deadline, and what is on its way is still delivered.
const overtime = 250 * time.Millisecond

// stream is a request of a service of engines on its way.
type stream struct {
	c   *Carrier
	j   *Job
	w   StreamWriter
	log *slog.Logger
	// excluded are engines that failed this request.
	excluded []ident.UpstreamID
	// starts counts the pairs of engines tried, runs the engines that may have
	// run it, prefills the prefills asked for.
	starts   int
	runs     int
	prefills int
	// kept is a prefill result that a decode engine refused to fetch, for another
	// one to try.
	kept *computed
	// begun means that the head went out.
	begun bool
	// cut is what ended the last run.
	cut Cut
	// lastEvent is the number of the last event that the caller has.
	lastEvent string
	// events are those that the caller got in this attempt; a move reads them while
	// the stream goes on.
	events    atomic.Int64
	migration migration
	standby   standby
	caution   caution
	// firstAt and lastAt are when the first and the last event came; longestPause is
	// between two.
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
	// heardAt is when anything last came from the engine.
	heardAt time.Time
}

// output is the expected length of the output, in tokens.
func (s *stream) output() int {
	bound := s.j.Call.MaxOutputTokens
	guess := s.j.Call.OutputEstimate
	if guess == 0 {
		guess = unknownOutput
	}
	if bound > 0 {
		guess = min(guess, bound)
	}
	return guess
}

// size is the memory that the request is expected to take.
func (s *stream) size() schedule.Size {
	return schedule.Size{Prompt: s.j.Call.PromptTokens, Estimate: s.output(), Produced: s.produced()}
}

// produced is the output so far, in tokens, that of the caller's earlier attempts
// included.
func (s *stream) produced() int {
	return (s.j.Call.SeenEvents + int(s.events.Load())) * s.j.Service.Engine.Stride
}

// need is the memory to reserve, in tokens.
func (s *stream) need() int { return s.size().HoldTokens() }

// run carries the stream to its end.
func (s *stream) run(ctx context.Context) (*Answer, error) {
	for {
		answer, again, err := s.start(ctx)
		if err == nil || !again {
			s.countCut(err)
			return answer, err
		}
		s.log.Info("stream is started again", "starts", s.starts, "last_event", s.lastEvent, "error", logs.ErrorText(err))
		s.c.o.Count("stream_restarted")
	}
}

// countCut counts an answer that is left without its end.
func (s *stream) countCut(err error) {
	var broken *BrokenOffError
	if errors.As(err, &broken) {
		s.c.o.Count("answers_cut_" + string(broken.By))
	}
}

// start takes the stream through one pair of engines. again says whether another
// pair may be tried.
func (s *stream) start(ctx context.Context) (answer *Answer, again bool, err error) {
	s.starts++
	p, err := s.admitAndReserve(ctx)
	if err != nil {
		if s.kept != nil {
			s.free(s.kept)
		}
		return nil, false, s.ended(err)
	}
	defer s.roomCame(p)
	h, err := s.compute(ctx, p)
	if err != nil {
		s.giveUp(p, nil)
		return nil, s.mayStart(ctx, err, sendsAfterPrefill), s.ended(err)
	}
	return s.decode(ctx, p, h)
}

// admitAndReserve reserves a decode engine, if the content may be sent to one.
func (s *stream) admitAndReserve(ctx context.Context) (*place, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	if s.starts == 1 {
		s.c.o.Books.Asked(clock.Now(), s.j.Service.Name, s.j.Call.PromptTokens, s.output())
	}
	if p := s.standby.take(); p != nil {
		return p, nil
	}
	return s.reserve(ctx)
}

// admit reports whether the content may be sent to an engine: what crashed others may have
// come to be known while the request waited.
func (s *stream) admit(ctx context.Context) error { return s.caution.admit(ctx, s.fateUnserved()) }

// ended turns the error of a start into what the caller is told.
func (s *stream) ended(err error) error {
	var told *Error
	var left *AbandonedError
	switch {
	case errors.As(err, &left):
		return err
	case s.begun:
		return &BrokenOffError{By: s.cut, Err: err}
	case errors.As(err, &told):
		return told
	case s.runs == 0:
		return &Error{Fate: NotRun, Reason: "engines_failed", RetryAfter: retryStream, Err: err}
	default:
		return &Error{Fate: Unknown, Reason: "engine_failed", Err: err}
	}
}

// How many sends beyond the first a new start takes.
const (
	// sendsWithKept: only the decode engine is asked again.
	sendsWithKept = 1
	// sendsAfterPrefill: a prefill failed, another one follows.
	sendsAfterPrefill = 1
	// sendsAnew: prefill and decode are both asked again.
	sendsAnew = 2
)

// mayStart reports whether another pair of engines may be tried after a failure
// that left the request not run, or that may be repeated; sends is what that
// takes. A request that may have crashed its engine is not given to the next one here: its
// caller decides, and learns of it.
func (s *stream) mayStart(ctx context.Context, err error, sends int) bool {
	if ctx.Err() != nil || s.starts >= maxStarts || s.caution.crashed {
		return false
	}
	var told *Error
	if errors.As(err, &told) {
		return false
	}
	if clock.Until(s.j.Deadline) < leastTime {
		return false
	}
	// The sends to a place that is kept are paid for.
	return s.standby.kept() || s.c.mayResend(s.j.Service.Name, sends, s.begun, s.log)
}

// lost takes in that an attempt broke off at an engine, unless its caller left.
func (s *stream) lost(ctx context.Context, u dialect.Upstream, start time.Time, begun bool, made int, err error) {
	if ctx.Err() == nil {
		s.caution.lost(u, start, begun, made, err)
	}
}

// fateUnserved is the fate of a request that gets no further engine.
func (s *stream) fateUnserved() Fate { return fateAfter(s.runs) }

// contextError says why a request's context ended.
func (s *stream) contextError(ctx context.Context) error {
	if Stopped(ctx) {
		return Stopping(s.fateUnserved())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return overdue(s.fateUnserved())
	}
	return &AbandonedError{NotSent: s.runs == 0 && s.prefills == 0}
}
