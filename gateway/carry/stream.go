package carry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/kernel"
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
	// another engine is asked, at least leastPrefill: a busy engine's work is thrown
	// away then.
	prefillPatience = 4
	leastPrefill    = 500 * time.Millisecond
	// longestQueue is how much prefill work may be queued at an engine, as a share
	// of the latency objective, for a request to take its place; with more it waits
	// in line, where it holds no memory of a decode engine.
	longestQueue = 0.4
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
type BrokenOffError struct{ Err error }

// Error implements error.
func (e *BrokenOffError) Error() string { return "stream broken off: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenOffError) Unwrap() error { return e.Err }

// Stream carries a request of a service of engines. The error is an *Error, an
// *AbandonedError or a *BrokenOffError. An *Answer is an upstream's own failure,
// to be passed on.
func (c *Carrier) Stream(ctx context.Context, j *Job, w StreamWriter) (*Answer, error) {
	s := &stream{c: c, j: j, w: w, log: j.log(c.o.Log), lastEvent: j.Call.LastEvent}
	ctx, cancel := context.WithDeadline(ctx, j.Deadline.Add(overtime))
	defer cancel()
	c.o.Books.Asked(time.Now(), j.Service.Name, j.Call.PromptTokens, s.output())
	return s.run(ctx)
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
	// lastEvent is the number of the last event that the caller has.
	lastEvent string
	events    int
	// lastAt is when the last event came; longestPause is between two.
	lastAt       time.Time
	longestPause time.Duration
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
	return schedule.Size{Prompt: s.j.Call.PromptTokens, Estimate: s.output()}
}

// need is the memory to reserve, in tokens.
func (s *stream) need() int { return s.size().HoldTokens() }

// computed is a prefill result and where it came from.
type computed struct {
	handle dialect.Handle
	engine dialect.Upstream
	at     time.Time
	// refusedBy is the decode engine that refused to fetch it.
	refusedBy *dialect.Upstream
}

// keptShare is the share of a prefill result's life in which it is still offered
// to another engine.
const keptShare = 0.6

// fresh reports whether a prefill result can still be fetched.
func (h *computed) fresh(ttl time.Duration) bool {
	return h != nil && time.Since(h.at) < time.Duration(keptShare*float64(ttl))
}

// place is where a stream will run: a decode engine with a reservation.
type place struct {
	decode schedule.Ticket
	hold   string
}

// run carries the stream to its end.
func (s *stream) run(ctx context.Context) (*Answer, error) {
	for {
		answer, again, err := s.start(ctx)
		if err == nil || !again {
			return answer, err
		}
		s.log.Info("stream is started again", "starts", s.starts, "last_event", s.lastEvent, "error", errorText(err))
		s.c.o.Count("stream_restarted")
	}
}

// start takes the stream through one pair of engines. again says whether another
// pair may be tried.
func (s *stream) start(ctx context.Context) (answer *Answer, again bool, err error) {
	s.starts++
	p, err := s.reserve(ctx)
	if err != nil {
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

// compute returns the prefill result to start from: the one kept, or a new one.
func (s *stream) compute(ctx context.Context, p *place) (*computed, error) {
	h := s.kept
	s.kept = nil
	if h.fresh(s.j.Service.Engine.HandleTTL) {
		return h, nil
	}
	return s.prefill(ctx, p)
}

// roomCame gives up a place.
func (s *stream) roomCame(p *place) {
	s.c.o.Books.Done(p.decode)
	s.c.lineOf(s.j.Service.Name).roomCame()
}

// ended turns the error of a start into what the caller is told.
func (s *stream) ended(err error) error {
	var told *Error
	var left *AbandonedError
	switch {
	case errors.As(err, &left):
		return err
	case s.begun:
		return &BrokenOffError{Err: err}
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
// takes.
func (s *stream) mayStart(ctx context.Context, err error, sends int) bool {
	if ctx.Err() != nil || s.starts >= maxStarts {
		return false
	}
	var told *Error
	if errors.As(err, &told) {
		return false
	}
	now := time.Now()
	if s.j.Deadline.Sub(now) < leastTime {
		return false
	}
	return s.c.o.Budget.Extra(now, s.j.Service.Name, sends)
}

// prefillWait is how long the prompt is expected to take; 0 if no prefill engine is
// open.
func (s *stream) prefillWait() time.Duration {
	list := s.c.o.View().Upstreams[s.j.Service.Name]
	wait, _ := s.c.o.Books.PrefillWait(time.Now(), list, s.j.Call.PromptTokens)
	return wait
}

// hopeless reports whether the first event can't be on time any more, were the
// request to get its place now.
func (s *stream) hopeless(now time.Time) bool {
	if s.begun {
		return now.After(s.j.Deadline)
	}
	ready := now.Add(s.prefillWait() + s.c.o.Books.FirstEvent(s.j.Service.Name))
	return ready.After(s.j.Arrived.Add(s.j.Route.Objective))
}

// prefillBusy reports whether prefill engines have so much to do that the request
// had better wait.
func (s *stream) prefillBusy() bool {
	return s.prefillWait().Seconds() > longestQueue*s.j.Route.Objective.Seconds()
}

// reserve finds a decode engine with room and reserves it, waiting in line as long
// as the request can still be served in time.
func (s *stream) reserve(ctx context.Context) (*place, error) {
	l := s.c.lineOf(s.j.Service.Name)
	w := l.join(s.j.Route.Priority, s.j.Arrived)
	defer l.leave(w)
	began := time.Now()
	for {
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		if l.first(w) && !s.prefillBusy() {
			p, err := s.tryReserve(ctx)
			if p != nil || err != nil {
				return p, err
			}
		}
		if s.hopeless(time.Now()) {
			return nil, s.noRoom(l, time.Since(began))
		}
		w.wait(ctx)
	}
}

// noRoom refuses a request for which no engine has room.
func (s *stream) noRoom(l *line, waited time.Duration) error {
	s.c.o.Count("stream_no_room")
	s.log.Info("refused", "reason", "no_room", "need_tokens", s.need(), "waiting", l.length(),
		"waited_ms", waited.Milliseconds(), "view_age_ms", time.Since(s.c.o.View().AsOf).Milliseconds())
	return &Error{Fate: s.fateUnserved(), Reason: "no_room", RetryAfter: retryStream}
}

// fateUnserved is the fate of a request that gets no further engine.
func (s *stream) fateUnserved() Fate {
	if s.runs > 0 {
		return Unknown
	}
	return NotRun
}

// contextError says why a request's context ended.
func (s *stream) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		fate := TimedOut
		if s.runs == 0 {
			fate = NotRun
		}
		return &Error{Fate: fate, Reason: "deadline", RetryAfter: retryStream, Err: ctx.Err()}
	}
	return &AbandonedError{}
}

// tryReserve asks engines with room for a reservation. Nil and no error means
// that none has any now.
func (s *stream) tryReserve(ctx context.Context) (*place, error) {
	list := s.c.o.View().Upstreams[s.j.Service.Name]
	engine := s.j.Service.Engine
	for {
		t, ok := s.c.o.Books.PlaceDecode(time.Now(), list, engine, s.size(), s.excluded)
		if !ok {
			return nil, nil
		}
		hold, err := s.hold(ctx, t)
		if err == nil {
			return &place{decode: t, hold: hold}, nil
		}
		s.c.o.Books.Done(t)
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
	}
}

// hold reserves memory at the placement's engine.
func (s *stream) hold(ctx context.Context, t schedule.Ticket) (string, error) {
	u := t.Upstream
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	hold, err := s.c.o.Dialect.Hold(ctx, u.Address, s.need(), s.j.Service.Engine.HoldTTL)
	var full *dialect.FullError
	switch {
	case err == nil:
		s.log.Info("reserved", "upstream", u.ID, "tokens", s.need(), "took_ms", time.Since(start).Milliseconds(), "waited_ms", start.Sub(s.j.Arrived).Milliseconds())
	case errors.As(err, &full):
		s.c.o.Books.Full(time.Now(), u, s.need())
		s.c.o.Count("hold_refused")
	case errors.Is(err, context.Canceled):
	default:
		// An engine that doesn't answer this doesn't answer requests either.
		s.c.o.Books.Failed(time.Now(), u, schedule.Unreachable)
		s.log.Warn("upstream ejected", "upstream", u.ID, "address", u.Address, "op", "hold", "error", errorText(err))
	}
	return hold, err
}

// prefill has the prompt computed for a place. A nil handle without an error means
// that the decode engine has to do it, since there are no others.
func (s *stream) prefill(ctx context.Context, p *place) (*computed, error) {
	list := s.c.o.View().Upstreams[s.j.Service.Name]
	var tried []ident.UpstreamID
	for {
		t, ok := s.c.o.Books.PlacePrefill(time.Now(), list, s.j.Call.PromptTokens, p.decode.Upstream.Zone, append(tried, s.excluded...))
		if !ok {
			return nil, nil
		}
		h, err := s.prefillAt(ctx, t)
		if err == nil {
			return &computed{handle: h, engine: t.Upstream, at: time.Now()}, nil
		}
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		tried = append(tried, t.Upstream.ID)
		if !s.c.o.Budget.Extra(time.Now(), s.j.Service.Name, sendsAfterPrefill) {
			return nil, err
		}
	}
}

// prefillAt has the prompt computed at one engine.
func (s *stream) prefillAt(ctx context.Context, t schedule.Ticket) (dialect.Handle, error) {
	defer s.c.o.Books.Done(t)
	s.prefills++
	u := t.Upstream
	patience := max(leastPrefill, prefillPatience*s.prefillWait())
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	h, err := s.c.o.Dialect.Prefill(ctx, s.j.Call, dialect.Send{To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Urgency: -1})
	took := time.Since(start)
	s.notePrefill(u, err, start, took)
	if err == nil {
		s.c.o.Books.PrefillDone(s.j.Service.Name, s.j.Call.PromptTokens, took)
	}
	s.log.Info("prefill", "upstream", u.ID, "tokens", s.j.Call.PromptTokens, "number", s.prefills, "took_ms", took.Milliseconds(), "error", errorText(err))
	return h, err
}

// notePrefill takes what a prefill showed of its engine into the books.
func (s *stream) notePrefill(u dialect.Upstream, err error, start time.Time, took time.Duration) {
	a := &attempt{err: err, verdict: dialect.Success}
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case late && s.c.o.Books.AnsweredSince(u, start):
		// It is busy.
		return
	case late:
		// Nothing at all came from there: it is down or cut off.
		a.err = &adapter.CallError{Evidence: kernel.NotSent, Code: kernel.FailureTimeout, Err: err}
	case err != nil && adapter.AsCallError(err).Status != 0:
		a = &attempt{verdict: dialect.Refused}
	}
	s.c.note(u, a, took, s.log)
}

// decode runs the stream at its place.
func (s *stream) decode(ctx context.Context, p *place, h *computed) (*Answer, bool, error) {
	u := p.decode.Upstream
	start := time.Now()
	var source *dialect.Handle
	if h != nil {
		source = &h.handle
	}
	resp, verdict, err := s.c.o.Dialect.Do(ctx, s.j.Call, dialect.Send{
		To: u, Deadline: s.j.Deadline.Add(-deadlineMargin), Source: source, Hold: p.hold, LastEvent: s.lastEvent, Urgency: -1,
	})
	if err != nil {
		return nil, s.failedSend(ctx, p, h, err), s.sendError(ctx, err)
	}
	defer resp.Body.Close()
	if verdict != dialect.Success {
		return s.notServed(ctx, p, h, resp, verdict)
	}
	s.accepted(u, h)
	s.log.Info("stream accepted", "upstream", u.ID, "took_ms", time.Since(start).Milliseconds(), "since_arrival_ms", time.Since(s.j.Arrived).Milliseconds())
	return s.forward(ctx, p, resp, start)
}

// failedSend takes in a sending that brought no response, and reports whether
// another pair of engines may be tried.
func (s *stream) failedSend(ctx context.Context, p *place, h *computed, err error) bool {
	u := p.decode.Upstream
	s.c.note(u, &attempt{err: err}, 0, s.log)
	s.excluded = append(s.excluded, u.ID)
	s.log.Info("attempt", "upstream", u.ID, "number", s.starts, "error", errorText(err))
	if adapter.AsCallError(err).Evidence == kernel.Ambiguous {
		s.runs++
		if !s.j.Route.Repeatable() || s.runs >= s.j.Route.MaxAttempts {
			return false
		}
	} else {
		s.giveUp(p, h)
	}
	return s.mayStart(ctx, err, sendsAnew)
}

// sendError is what the caller is told of a sending that brought no response.
func (s *stream) sendError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return s.ended(s.contextError(ctx))
	}
	return s.ended(err)
}

// accepted takes in that an engine runs the stream: whoever refused the prefill
// result before is to blame for that, not the result.
func (s *stream) accepted(u dialect.Upstream, h *computed) {
	s.c.o.Books.Kept(u)
	if h == nil {
		return
	}
	s.c.o.Books.Kept(h.engine)
	if h.refusedBy != nil {
		s.passOver(*h.refusedBy, "refused although reserved")
	}
}

// passOver has an engine passed over that refused what it had promised.
func (s *stream) passOver(u dialect.Upstream, why string) {
	s.c.o.Books.Refuses(time.Now(), u)
	s.c.o.Count("engine_passed_over")
	s.log.Warn("engine passed over", "upstream", u.ID, "stage", u.Stage, "why", why)
}

// notServed takes in an answer that is no stream.
func (s *stream) notServed(ctx context.Context, p *place, h *computed, resp *http.Response, v dialect.Verdict) (*Answer, bool, error) {
	u := p.decode.Upstream
	a := readAnswer(s.c.o.Dialect, resp, v)
	s.c.note(u, a, 0, s.log)
	s.excluded = append(s.excluded, u.ID)
	s.log.Info("attempt", "upstream", u.ID, "number", s.starts, "verdict", v.String(), "status", resp.StatusCode)
	err := &dialect.StatusError{Op: "decode", Status: resp.StatusCode}
	if a.evidence() != kernel.Ambiguous {
		s.c.o.Count("decode_refused")
		return nil, s.refused(ctx, p, h, err), s.ended(err)
	}
	s.runs++
	if s.j.Route.Repeatable() && s.runs < s.j.Route.MaxAttempts && s.mayStart(ctx, err, sendsAnew) {
		return nil, true, err
	}
	if !s.begun && a.err == nil && v == dialect.Failure && passable(a.answer.Status) {
		return a.answer, false, nil
	}
	return nil, false, s.ended(err)
}

// refused takes in that a decode engine refused a request for which it had
// reserved memory, and reports whether another may be tried. The engine may be
// changing its stage, or the prefill result may be gone: a second engine tells,
// without computing the prompt again.
func (s *stream) refused(ctx context.Context, p *place, h *computed, err error) bool {
	u := p.decode.Upstream
	switch {
	case h == nil:
		s.passOver(u, "refused although reserved")
	case h.refusedBy == nil && h.fresh(s.j.Service.Engine.HandleTTL):
		s.giveUp(p, nil)
		if s.mayStart(ctx, err, sendsWithKept) {
			h.refusedBy = &u
			s.kept = h
			return true
		}
		s.free(h)
		return false
	case h.refusedBy != nil:
		s.passOver(h.engine, "two engines could not fetch its result")
		s.excluded = append(s.excluded, h.engine.ID)
	}
	s.giveUp(p, h)
	return s.mayStart(ctx, err, sendsAnew)
}

// free gives a prefill result up.
func (s *stream) free(h *computed) {
	s.c.cleanup.Go(func() {
		release(func(ctx context.Context) error { return s.c.o.Dialect.Free(ctx, h.handle) }, s.log, "handle", h.engine.ID)
	})
}

// giveUp frees what was reserved and computed for a stream that doesn't come.
func (s *stream) giveUp(p *place, h *computed) {
	if h != nil {
		s.free(h)
	}
	s.c.cleanup.Go(func() {
		release(func(ctx context.Context) error {
			return s.c.o.Dialect.Release(ctx, p.decode.Upstream.Address, p.hold)
		}, s.log, "hold", p.decode.Upstream.ID)
	})
}

// release tries to give something up at an engine; what is not given up lapses
// there by itself.
func release(give func(context.Context) error, log *slog.Logger, what string, at ident.UpstreamID) {
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err = give(ctx)
		cancel()
		var status *dialect.StatusError
		if err == nil || errors.As(err, &status) {
			return
		}
		pause.For(context.Background(), releasePause)
	}
	log.Info("not released, lapses by itself", "what", what, "upstream", at, "error", errorText(err))
}
