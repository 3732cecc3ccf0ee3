package carry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

// searchPause is the time between two looks for room: engines that were full are asked again
// after as long.
const searchPause = 60 * time.Millisecond

// refuge is a place that a stream was given while it still ran elsewhere, for its next start.
type refuge struct {
	mu     sync.Mutex
	place  *place
	closed bool
}

// keep keeps a place; false if the stream has ended.
func (r *refuge) keep(p *place) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.place = p
	return true
}

// kept reports whether there is a place.
func (r *refuge) kept() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place != nil
}

// take returns the place, nil if there is none.
func (r *refuge) take() *place {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.place
	r.place = nil
	return p
}

// close returns the place that was not taken, and keeps no further one.
func (r *refuge) close() *place {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.place
	r.place, r.closed = nil, true
	return p
}

// wayOn finds another engine for a stream that still runs at one. It holds what it needs of
// the stream as of the start of that run, since the stream goes on meanwhile.
type wayOn struct {
	s *stream
	// may means that the stream may be started once more.
	may      bool
	apart    bool
	excluded []ident.UpstreamID
}

// wayOn returns the way on from an engine.
func (s *stream) wayOn(from dialect.Upstream) *wayOn {
	return &wayOn{
		s: s, may: s.starts < maxStarts && s.j.Route.Repeatable() && s.runs+1 < s.j.Route.MaxAttempts,
		apart: s.caution.suspect(), excluded: append(slices.Clone(s.excluded), from.ID),
	}
}

// find looks for another engine until there is one, the stream is heard of, or ctx ends, and
// takes the sends to it out of the retry budget; nil if there is none or the budget is spent.
func (w *wayOn) find(ctx context.Context, heard func() bool) *place {
	s := w.s
	for w.may && !heard() && clock.Until(s.j.Deadline) >= leastTime {
		if p := w.look(ctx); p != nil {
			if s.c.allowed(s.c.o.Budget.Continue(clock.Now(), s.j.Service.Name, sendsAnew), sendsAnew, s.log) {
				return p
			}
			s.leave(p)
			return nil
		}
		if !pause.For(ctx, searchPause) {
			return nil
		}
	}
	return nil
}

// look reserves another engine, if one has room now.
func (w *wayOn) look(ctx context.Context) *place {
	prefill, self := w.s.prefillWait()
	size := w.s.size()
	size.Overflow = !self && w.s.prefillBusy(prefill)
	size.Self = self || size.Overflow
	size.Apart = w.apart
	return w.s.placeFor(ctx, size, w.excluded)
}

// leave gives up a place that the stream doesn't come to.
func (s *stream) leave(p *place) {
	s.giveUp(p, nil)
	s.roomCame(p)
}

// placeFor asks engines with room for a size, but for excluded ones; nil if there is none.
func (s *stream) placeFor(ctx context.Context, size schedule.Size, excluded []ident.UpstreamID) *place {
	list := s.c.o.View().Upstreams[s.j.Service.Name]
	size.MaxPause = s.j.Route.PaceObjective
	for ctx.Err() == nil {
		t, ok := s.c.o.Books.PlaceDecode(clock.Now(), list, s.j.Service.Engine, size, excluded)
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

// silentFor is what a stream does about an engine that has not answered whether it lives: it
// stays until another one is found. It reports whether the run is to be given up.
//
// Silence is no proof: a busy machine or a lost packet looks the same, and a run that was
// given up can't be had back.
func (w *wayOn) silentFor(ctx context.Context, u dialect.Upstream, err error, began time.Time, heard func() bool) bool {
	s := w.s
	if s.events.Load() == 0 {
		// Nothing is lost: the caller can be told, or another engine begins.
		return true
	}
	s.c.failed(u, Unreached(err), err, clock.Since(began), s.log)
	p := w.find(ctx, heard)
	if p == nil {
		s.c.o.Count("silent_engine_kept")
		s.log.Info("stream stays at a silent engine", "upstream", u.ID, "events", s.events.Load(), "may_start", w.may, "heard", heard())
		return false
	}
	if heard() || !s.refuge.keep(p) {
		s.leave(p)
		return false
	}
	return true
}
