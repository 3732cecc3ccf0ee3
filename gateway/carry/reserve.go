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

// placement is a reserved decode engine for a stream.
type placement struct {
	decode      schedule.Ticket
	reservation string
	// selfPrefill means that the decode engine computes the prompt itself.
	selfPrefill bool
}

// leavePlacement ends a placement and wakes the next waiting request of the service.
func (s *stream) leavePlacement(p *placement) {
	s.c.o.Scheduler.Done(p.decode)
	s.c.o.Admission.Freed(s.j.Service.Name)
}

// prefillWait returns the expected time until the prompt is computed, or 0 if no prefill engine
// is open. self means that none is reachable either, so a decode engine has to compute the
// prompt.
func (s *stream) prefillWait() (wait time.Duration, self bool) {
	now := clock.Now()
	list := s.eligible()
	wait, open := s.c.o.Scheduler.PrefillWait(now, list, s.j.Call.PromptTokens)
	return wait, !open && !s.c.o.Scheduler.PrefillReachable(now, list)
}

// lead returns the expected time from a placement to the first event.
func (s *stream) lead(now time.Time) time.Duration {
	service := s.j.Service.Name
	prefill, _ := s.prefillWait()
	if overflow, ok := s.c.o.Scheduler.OverflowTime(service, s.j.Call.PromptTokens); ok {
		prefill = min(prefill, overflow)
	}
	held, _ := s.heldOff(now)
	return max(prefill, held) + s.c.o.Scheduler.FirstEvent(service)
}

// heldOff returns the time until a decode engine may get a request, and why none gets one until
// then.
func (s *stream) heldOff(now time.Time) (time.Duration, schedule.HoldOff) {
	return s.c.o.Scheduler.HeldOff(now, s.eligible(), dialect.StageDecode, s.excluded)
}

// resumed reports whether a part of the stream was delivered before.
func (s *stream) resumed() bool { return s.headSent || s.lastEvent != "" }

// prefillBusy reports whether the queue of the prefill engines is so long that the prompt is not
// added to it. Instead a decode engine with enough memory and time computes the prompt, or the
// request waits in this instance's queue, where it holds no memory at an engine.
func (s *stream) prefillBusy(prefill time.Duration) bool {
	return prefill.Seconds() > maxPrefillQueueShare*s.j.Route.Objective.Seconds()
}

// reserve finds a decode engine with capacity and reserves it. It waits as long as the request can
// still be served in time.
func (s *stream) reserve(ctx context.Context) (*placement, error) {
	w := s.enterQueue()
	var p *placement
	defer func() { w.leave(p != nil) }()
	var err error
	p, err = s.awaitPlacement(ctx, w)
	return p, err
}

// awaitPlacement is reserve for a request that waits in w.
func (s *stream) awaitPlacement(ctx context.Context, w *queueWait) (*placement, error) {
	var holder *cacheHolder
	if s.lastEvent != "" && !s.headSent {
		holder = s.findCacheHolder(ctx)
	}
	for {
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		if clock.Since(w.enteredAt) > cacheHolderWait {
			holder = nil
		}
		p, err := s.tryReserve(ctx, holder, w)
		if p != nil || err != nil {
			return p, err
		}
		if s.c.o.Relay.Needed(s.j.Service.Name) {
			return nil, &relayNeededError{}
		}
		if s.wouldOutliveInstance() {
			return nil, s.refuseStopping()
		}
		if s.c.noOpenZone(s.j) {
			return nil, s.c.refuseNoOpenZone(s.outcomeUnserved(), s.log)
		}
		if s.versionGone() {
			return nil, s.refuseVersion(reasonVersionGone)
		}
		if w.mustRefuse(clock.Now()) {
			return nil, s.refuseWaiting(w)
		}
		w.wait(ctx)
	}
}

// refuseWaiting returns the error of a request that cannot be served in time.
func (s *stream) refuseWaiting(w *queueWait) error {
	if wait, reason := s.heldOff(clock.Now()); reason != "" {
		return s.c.refuseHeldOff(s.j, dialect.StageDecode, wait, reason, s.outcomeUnserved(), s.log)
	}
	if s.c.o.Relay.Suspected(s.j.Service.Name) {
		return &relayNeededError{}
	}
	return s.refuseNoRoom(w)
}

// tryReserve attempts a reservation: at the engine that holds the stream's KV cache if there is
// one, otherwise at any engine, if it is the request's turn. It returns nil and no error if there is
// no capacity now.
func (s *stream) tryReserve(ctx context.Context, holder *cacheHolder, w *queueWait) (*placement, error) {
	if holder != nil {
		return s.reserveCacheHolder(ctx, holder)
	}
	if !w.mayPlace(clock.Now()) {
		return nil, nil
	}
	return s.reserveFor(ctx, s.sizeWithoutCache())
}

// sizeWithoutCache returns the memory that the request needs at an engine without its KV cache,
// and whether the decode engine has to compute the prompt.
func (s *stream) sizeWithoutCache() schedule.Size {
	prefill, self := s.prefillWait()
	size := s.size()
	size.Overflow = !self && s.prefillBusy(prefill)
	size.ComputePrompt = self || size.Overflow
	return size
}

// refuseNoRoom logs and counts the refusal of a request for which no engine has capacity in time, and
// returns its *Error.
func (s *stream) refuseNoRoom(w *queueWait) error {
	now := clock.Now()
	retry := w.waiter.PromiseReturn(now, s.supply(now))
	cause := w.refusalCause()
	s.c.o.Count("stream_no_room")
	s.c.o.Count("no_room_" + cause)
	if retry > 0 {
		s.c.o.Count("return_promised")
	}
	s.log.Info("refused", append([]any{
		"reason", "no_room", "cause", cause, "need_tokens", s.need(), "priority", s.j.Priority, "waiting", s.c.o.Admission.Waiting(s.j.Service.Name),
		"waited_ms", now.Sub(w.enteredAt).Milliseconds(), "retry_ms", retry.Milliseconds(),
		"view_age_ms", now.Sub(s.c.o.View().AsOf).Milliseconds(),
	}, w.explain()...)...)
	return &Error{Outcome: s.outcomeUnserved(), Reason: "no_room", RetryAfter: retry}
}

// reserveCacheHolder attempts a reservation at the engine that holds a resumed stream's KV cache
// and computes only the missing part.
func (s *stream) reserveCacheHolder(ctx context.Context, holder *cacheHolder) (*placement, error) {
	size := s.size()
	size.ComputePrompt, size.CachedTokens, size.CachedOn = true, holder.tokens, holder.upstream.ID
	return s.reserveFor(ctx, size)
}

// reserveFor attempts a reservation at any engine with room for size.
func (s *stream) reserveFor(ctx context.Context, size schedule.Size) (*placement, error) {
	size.Isolate = s.crashGuard.onTrial()
	p := s.reservePlacement(ctx, size, s.excluded)
	if p == nil && ctx.Err() != nil {
		return nil, s.contextError(ctx)
	}
	return p, nil
}

// reservePlacement reserves an engine with room for size that is not excluded. It returns nil if
// there is none.
func (s *stream) reservePlacement(ctx context.Context, size schedule.Size, excluded []ident.UpstreamID) *placement {
	size.MaxPause = s.j.Route.PaceObjective
	for ctx.Err() == nil {
		t, ok := s.placeDecode(ctx, size, excluded)
		if !ok {
			return nil
		}
		start := clock.Now()
		reservation, err := s.reserveMemory(ctx, t)
		if err == nil {
			s.log.Info("reserved", "upstream", t.Upstream.ID, "tokens", s.need(), "self", size.ComputePrompt, "overflow", size.Overflow,
				"took_ms", clock.Since(start).Milliseconds(), "waited_ms", start.Sub(s.j.Arrived).Milliseconds())
			return &placement{decode: t, reservation: reservation, selfPrefill: size.ComputePrompt}
		}
		s.c.o.Scheduler.Done(t)
	}
	return nil
}

// reserveMemory reserves memory at the placement's engine and returns the ID of the reservation.
func (s *stream) reserveMemory(ctx context.Context, t schedule.Ticket) (string, error) {
	u := t.Upstream
	start := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := s.c.o.Dialect.Reserve(ctx, u, s.need(), s.j.Service.Engine.ReservationTTL)
	var full *dialect.NoCapacityError
	switch {
	case err == nil:
		s.c.o.Scheduler.RecordContact(clock.Now(), u)
	case errors.As(err, &full):
		s.c.o.Scheduler.RecordFull(clock.Now(), u, s.need())
		s.c.o.Count("hold_refused")
	case errors.Is(err, context.Canceled):
	default:
		// An engine that does not answer this call does not answer requests either.
		s.c.recordFailure(u, ClassifyUnreachable(err), err, clock.Since(start), s.log)
	}
	return reservation, err
}

// freeResult releases a prefill result in the background.
func (s *stream) freeResult(h *prefillResult) {
	s.c.cleanup.Go(func() {
		release(func(ctx context.Context) error { return s.c.o.Dialect.ReleaseHandle(ctx, h.engine, h.handle) }, s.log, "handle", h.engine.ID)
	})
}

// releaseUnused releases, in the background, the reservation and the prefill result of a stream
// that does not use them.
func (s *stream) releaseUnused(p *placement, h *prefillResult) {
	if h != nil {
		s.freeResult(h)
	}
	s.c.cleanup.Go(func() {
		release(func(ctx context.Context) error {
			return s.c.o.Dialect.Release(ctx, p.decode.Upstream, p.reservation)
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
