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

// leavePlacement ends a placement and wakes the head of the service's queue.
func (s *stream) leavePlacement(p *placement) {
	s.c.o.Scheduler.Done(p.decode)
	s.c.queueOf(s.j.Service.Name).capacityFreed()
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

// tooLate reports whether the first event could not be on time even if the request got its
// placement now. For a resumed stream it reports whether the stream has waited too long since it
// joined the queue at since. A stream that is under way is never refused: its caller is still
// reading, and the only way to report a refusal would be to close the connection.
func (s *stream) tooLate(now, since time.Time) bool {
	if s.headSent {
		return false
	}
	if s.resumed() {
		patience := resumeWaitShare * float64(s.j.Deadline.Sub(since))
		return now.After(since.Add(time.Duration(patience)))
	}
	service := s.j.Service.Name
	prefill, _ := s.prefillWait()
	if overflow, ok := s.c.o.Scheduler.OverflowTime(service, s.j.Call.PromptTokens); ok {
		prefill = min(prefill, overflow)
	}
	held, _ := s.heldOff(now)
	ready := now.Add(max(prefill, held) + s.c.o.Scheduler.FirstEvent(service))
	return ready.After(s.j.Arrived.Add(s.j.Route.Objective))
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

// reserve finds a decode engine with capacity and reserves it. It waits in the queue as long as
// the request can still be served in time.
func (s *stream) reserve(ctx context.Context) (*placement, error) {
	q := s.c.queueOf(s.j.Service.Name)
	w := s.joinQueue(q)
	defer q.remove(w)
	queuedAt := clock.Now()
	var holder *cacheHolder
	if s.lastEvent != "" && !s.headSent {
		holder = s.findCacheHolder(ctx)
	}
	for {
		if ctx.Err() != nil {
			return nil, s.contextError(ctx)
		}
		if clock.Since(queuedAt) > cacheHolderWait {
			holder = nil
		}
		p, err := s.tryReserve(ctx, holder, s.headSent || q.isHead(w))
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
		if s.tooLate(clock.Now(), queuedAt) {
			if wait, reason := s.heldOff(clock.Now()); reason != "" {
				return nil, s.c.refuseHeldOff(s.j, dialect.StageDecode, wait, reason, s.outcomeUnserved(), s.log)
			}
			if s.c.o.Relay.Suspected(s.j.Service.Name) {
				return nil, &relayNeededError{}
			}
			return nil, s.refuseNoRoom(q, clock.Since(queuedAt))
		}
		w.wait(ctx)
	}
}

// joinQueue adds the stream to the queue. A stream that is under way searches for capacity
// outside the queue: it cannot wait for its turn, and a large one must not block those behind
// it.
func (s *stream) joinQueue(q *waitQueue) *waiter {
	if s.headSent {
		return newWaiter(s.j.Priority, true, s.j.Arrived)
	}
	return q.insert(s.j.Priority, s.resumed(), s.j.Arrived)
}

// tryReserve attempts a reservation: at the engine that holds the stream's KV cache if there is
// one, otherwise at any engine, if the request is at the head of the queue. It returns nil and
// no error if there is no capacity now.
func (s *stream) tryReserve(ctx context.Context, holder *cacheHolder, first bool) (*placement, error) {
	if holder != nil {
		return s.reserveCacheHolder(ctx, holder)
	}
	if !first {
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

// refuseNoRoom logs and counts the refusal of a request for which no engine has capacity, and
// returns its *Error.
func (s *stream) refuseNoRoom(q *waitQueue, waited time.Duration) error {
	s.c.o.Count("stream_no_room")
	s.log.Info("refused", "reason", "no_room", "need_tokens", s.need(), "waiting", q.length(),
		"waited_ms", waited.Milliseconds(), "view_age_ms", clock.Since(s.c.o.View().AsOf).Milliseconds())
	return &Error{Outcome: s.outcomeUnserved(), Reason: "no_room", RetryAfter: streamRetryAfter}
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
