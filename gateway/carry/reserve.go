package carry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/logs"
)

// place is a reserved decode engine for a stream.
type place struct {
	decode schedule.Ticket
	hold   string
	// self means that the decode engine computes the prompt itself.
	self bool
}

// roomCame ends a placement and wakes the head of the service's queue.
func (s *stream) roomCame(p *place) {
	s.c.o.Books.Done(p.decode)
	s.c.lineOf(s.j.Service.Name).roomCame()
}

// prefillWait returns the expected time until the prompt is computed, or 0 if no prefill engine
// is open. self means that none is reachable either, so a decode engine has to compute the
// prompt.
func (s *stream) prefillWait() (wait time.Duration, self bool) {
	now := clock.Now()
	list := s.c.eligible(s.j)
	wait, open := s.c.o.Books.PrefillWait(now, list, s.j.Call.PromptTokens)
	return wait, !open && !s.c.o.Books.PrefillReachable(now, list)
}

// hopeless reports whether the first event could not be on time even if the request got its
// placement now. For a resumed stream it reports whether the stream has waited too long since it
// joined the queue at since. A stream that is under way is never refused: its caller is still
// reading, and could only be told by closing the connection.
func (s *stream) hopeless(now, since time.Time) bool {
	if s.begun {
		return false
	}
	if s.resumed() {
		patience := resumePatience * float64(s.j.Deadline.Sub(since))
		return now.After(since.Add(time.Duration(patience)))
	}
	service := s.j.Service.Name
	prefill, _ := s.prefillWait()
	if overflow, ok := s.c.o.Books.OverflowTime(service, s.j.Call.PromptTokens); ok {
		prefill = min(prefill, overflow)
	}
	ready := now.Add(prefill + s.c.o.Books.FirstEvent(service))
	return ready.After(s.j.Arrived.Add(s.j.Route.Objective))
}

// resumed reports whether a part of the stream was delivered before.
func (s *stream) resumed() bool { return s.begun || s.lastEvent != "" }

// prefillBusy reports whether the queue of the prefill engines is so long that the prompt is not
// added to it. Instead a decode engine with enough memory and time computes the prompt, or the
// request waits in this instance's queue, where it holds no memory at an engine.
func (s *stream) prefillBusy(prefill time.Duration) bool {
	return prefill.Seconds() > longestQueue*s.j.Route.Objective.Seconds()
}

// reserve finds a decode engine with capacity and reserves it. It waits in the queue as long as
// the request can still be served in time.
func (s *stream) reserve(ctx context.Context) (*place, error) {
	l := s.c.lineOf(s.j.Service.Name)
	w := s.join(l)
	defer l.leave(w)
	began := clock.Now()
	var at *home
	if s.lastEvent != "" && !s.begun {
		at = s.findHome(ctx)
	}
	for {
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		if clock.Since(began) > homePatience {
			at = nil
		}
		p, err := s.tryPlace(ctx, at, s.begun || l.first(w))
		if p != nil || err != nil {
			return p, err
		}
		if s.outlasts() {
			return nil, s.turnAway()
		}
		if s.c.noOpenZone(s.j) {
			return nil, s.c.refuseNoOpenZone(s.fateUnserved(), s.log)
		}
		if s.hopeless(clock.Now(), began) {
			return nil, s.noRoom(l, clock.Since(began))
		}
		w.wait(ctx)
	}
}

// join adds the stream to the queue. A stream that is under way searches for capacity outside
// the queue: it cannot wait for its turn, and a large one must not block those behind it.
func (s *stream) join(l *line) *waiter {
	if s.begun {
		return newWaiter(s.j.Priority, true, s.j.Arrived)
	}
	return l.join(s.j.Priority, s.resumed(), s.j.Arrived)
}

// tryPlace attempts a reservation: at the engine that holds the stream's KV cache if there is
// one, otherwise at any engine, if the request is at the head of the queue. It returns nil and
// no error if there is no capacity now.
func (s *stream) tryPlace(ctx context.Context, at *home, first bool) (*place, error) {
	if at != nil {
		return s.reserveHome(ctx, at)
	}
	if !first {
		return nil, nil
	}
	return s.reserveFor(ctx, s.sizeNow())
}

// sizeNow returns the memory that the request needs at an engine without its KV cache, and
// whether the decode engine has to compute the prompt.
func (s *stream) sizeNow() schedule.Size {
	prefill, self := s.prefillWait()
	size := s.size()
	size.Overflow = !self && s.prefillBusy(prefill)
	size.Self = self || size.Overflow
	return size
}

// noRoom logs and counts the refusal of a request for which no engine has capacity, and returns
// its *Error.
func (s *stream) noRoom(l *line, waited time.Duration) error {
	s.c.o.Count("stream_no_room")
	s.log.Info("refused", "reason", "no_room", "need_tokens", s.need(), "waiting", l.length(),
		"waited_ms", waited.Milliseconds(), "view_age_ms", clock.Since(s.c.o.View().AsOf).Milliseconds())
	return &Error{Fate: s.fateUnserved(), Reason: "no_room", RetryAfter: retryStream}
}

// reserveHome attempts a reservation at the engine that holds a resumed stream's KV cache and
// computes only the missing part.
func (s *stream) reserveHome(ctx context.Context, h *home) (*place, error) {
	size := s.size()
	size.Self, size.Kept, size.At = true, h.tokens, h.engine.ID
	return s.reserveFor(ctx, size)
}

// reserveFor attempts a reservation at any engine with room for size.
func (s *stream) reserveFor(ctx context.Context, size schedule.Size) (*place, error) {
	size.Apart = s.caution.suspect()
	p := s.placeFor(ctx, size, s.excluded)
	if p == nil && ctx.Err() != nil {
		return nil, s.contextError(ctx)
	}
	return p, nil
}

// placeFor reserves an engine with room for size that is not excluded. It returns nil if there
// is none.
func (s *stream) placeFor(ctx context.Context, size schedule.Size, excluded []ident.UpstreamID) *place {
	size.MaxPause = s.j.Route.PaceObjective
	for ctx.Err() == nil {
		t, ok := s.c.o.Books.PlaceDecode(clock.Now(), s.c.eligible(s.j), s.j.Service.Engine, size, excluded)
		if !ok {
			return nil
		}
		start := clock.Now()
		hold, err := s.hold(ctx, t)
		if err == nil {
			s.log.Info("reserved", "upstream", t.Upstream.ID, "tokens", s.need(), "self", size.Self, "overflow", size.Overflow,
				"took_ms", clock.Since(start).Milliseconds(), "waited_ms", start.Sub(s.j.Arrived).Milliseconds())
			return &place{decode: t, hold: hold, self: size.Self}
		}
		s.c.o.Books.Done(t)
	}
	return nil
}

// hold reserves memory at the placement's engine and returns the ID of the reservation.
func (s *stream) hold(ctx context.Context, t schedule.Ticket) (string, error) {
	u := t.Upstream
	start := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	hold, err := s.c.o.Dialect.Hold(ctx, u.Address, s.need(), s.j.Service.Engine.HoldTTL)
	var full *dialect.FullError
	switch {
	case err == nil:
		s.c.o.Books.Heard(clock.Now(), u)
	case errors.As(err, &full):
		s.c.o.Books.Full(clock.Now(), u, s.need())
		s.c.o.Count("hold_refused")
	case errors.Is(err, context.Canceled):
	default:
		// An engine that does not answer this call does not answer requests either.
		s.c.failed(u, Unreached(err), err, clock.Since(start), s.log)
	}
	return hold, err
}

// free releases a prefill result in the background.
func (s *stream) free(h *computed) {
	s.c.cleanup.Go(func() {
		release(func(ctx context.Context) error { return s.c.o.Dialect.Free(ctx, h.handle) }, s.log, "handle", h.engine.ID)
	})
}

// giveUp releases, in the background, the reservation and the prefill result of a stream that
// does not use them.
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

// release tries to release a resource at an engine. What is not released expires there.
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
	log.Info("release failed, resource expires at the engine", "what", what, "upstream", at, "error", logs.ErrorText(err))
}
