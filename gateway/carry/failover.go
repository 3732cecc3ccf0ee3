package carry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
)

// searchPause is the interval between two searches for an engine with capacity. Engines that
// were full are asked again after as long.
const searchPause = 60 * time.Millisecond

// standby holds a placement that was reserved for a stream while the stream still runs
// elsewhere.
type standby struct {
	mu     sync.Mutex
	place  *place
	closed bool
}

// keep stores a placement. It returns false if the stream has ended.
func (b *standby) keep(p *place) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.place = p
	return true
}

// kept reports whether a placement is stored.
func (b *standby) kept() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.place != nil
}

// take removes and returns the placement, or nil if there is none.
func (b *standby) take() *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place
	b.place = nil
	return p
}

// close returns the placement that was not used, or nil, and rejects all further ones.
func (b *standby) close() *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place
	b.place, b.closed = nil, true
	return p
}

// failover searches for another engine for a stream that is still running. It copies the
// stream's state at the start of that run, because the stream continues concurrently.
type failover struct {
	s *stream
	// allowed means that the stream may be started once more.
	allowed  bool
	apart    bool
	excluded []ident.UpstreamID
}

// failoverFrom returns a failover away from an engine.
func (s *stream) failoverFrom(from dialect.Upstream) *failover {
	return &failover{
		s: s, allowed: s.starts < maxStarts && s.j.Route.Repeatable() && s.runs+1 < s.j.Route.MaxAttempts,
		apart: s.caution.suspect(), excluded: append(slices.Clone(s.excluded), from.ID),
	}
}

// find searches for another engine until one is reserved, the current engine responds again, or
// ctx ends. It charges the sends to the new engine to the retry budget. It returns nil if no
// engine was found or the budget is exhausted.
func (f *failover) find(ctx context.Context, heard func() bool) *place {
	s := f.s
	for f.allowed && !heard() && clock.Until(s.j.Deadline) >= leastTime {
		if p := f.look(ctx); p != nil {
			if s.c.mayResend(s.j.Service.Name, sendsAnew, true, s.log) {
				return p
			}
			s.releasePlace(p)
			return nil
		}
		if !pause.For(ctx, searchPause) {
			return nil
		}
	}
	return nil
}

// look makes one attempt to reserve another engine. It returns nil if none has capacity now.
func (f *failover) look(ctx context.Context) *place {
	size := f.s.sizeNow()
	size.Apart = f.apart
	return f.s.placeFor(ctx, size, f.excluded)
}

// releasePlace releases a placement that the stream does not use.
func (s *stream) releasePlace(p *place) {
	s.giveUp(p, nil)
	s.roomCame(p)
}

// onSilence searches for another engine when the stream's own did not answer a liveness check,
// and reports whether to cancel the run there in favor of the other engine.
//
// A missing answer does not prove a failure: an overloaded machine or a lost packet looks the
// same, and a canceled run cannot be recovered.
func (f *failover) onSilence(ctx context.Context, u dialect.Upstream, err error, began time.Time, heard func() bool) bool {
	s := f.s
	if s.events.Load() == 0 {
		// No output would be lost: the request can be refused or started at another engine.
		return true
	}
	s.c.failed(u, Unreached(err), err, clock.Since(began), s.log)
	p := f.find(ctx, heard)
	if p == nil {
		s.c.o.Count("silent_engine_kept")
		s.log.Info("stream stays at a silent engine", "upstream", u.ID, "events", s.events.Load(), "may_start", f.allowed, "heard", heard())
		return false
	}
	if heard() || !s.standby.keep(p) {
		s.releasePlace(p)
		return false
	}
	return true
}
