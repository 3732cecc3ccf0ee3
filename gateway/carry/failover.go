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

// searchInterval is the interval between two searches for an engine with capacity. Engines that
// were full are asked again after the same interval.
const searchInterval = 60 * time.Millisecond

// standby holds a placement that was reserved for a stream while the stream still runs
// elsewhere.
type standby struct {
	mu     sync.Mutex
	place  *placement
	closed bool
}

// set stores a placement. It returns false if the stream has ended.
func (b *standby) set(p *placement) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.place = p
	return true
}

// isSet reports whether a placement is stored.
func (b *standby) isSet() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.place != nil
}

// take removes and returns the placement, or nil if there is none.
func (b *standby) take() *placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place
	b.place = nil
	return p
}

// close returns the placement that was not used, or nil, and rejects all further ones.
func (b *standby) close() *placement {
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
	isolate  bool
	excluded []ident.UpstreamID
}

// newFailover returns a failover away from an engine.
func (s *stream) newFailover(from dialect.Upstream) *failover {
	return &failover{
		s: s, allowed: s.starts < maxStarts && s.j.Route.Repeatable() && s.runs+1 < s.j.Route.MaxAttempts,
		isolate: s.crashGuard.onTrial(), excluded: append(slices.Clone(s.excluded), from.ID),
	}
}

// find searches for another engine until one is reserved, the current engine responds again, or
// ctx ends. It charges the sends to the new engine to the retry budget. It returns nil if no
// engine was found or the budget is exhausted.
func (f *failover) find(ctx context.Context, heard func() bool) *placement {
	s := f.s
	for f.allowed && !heard() && !s.c.o.Relay.Needed(s.j.Service.Name) && clock.Until(s.j.Deadline) >= minAttemptTime {
		if p := f.tryReserve(ctx); p != nil {
			if s.c.mayResend(s.j.Service.Name, sendsFullRestart, true, s.log) {
				return p
			}
			s.releasePlacement(p)
			return nil
		}
		if !pause.For(ctx, searchInterval) {
			return nil
		}
	}
	return nil
}

// tryReserve makes one attempt to reserve another engine. It returns nil if none has capacity
// now.
func (f *failover) tryReserve(ctx context.Context) *placement {
	size := f.s.sizeWithoutCache()
	size.Isolate = f.isolate
	return f.s.reservePlacement(ctx, size, f.excluded)
}

// releasePlacement releases a placement that the stream does not use.
func (s *stream) releasePlacement(p *placement) {
	s.releaseUnused(p, nil)
	s.leavePlacement(p)
}

// onUnresponsive searches for another engine when the stream's own did not answer a liveness
// check, and reports whether to cancel the run there in favor of the other engine.
//
// A missing answer does not prove a failure: an overloaded machine or a lost packet looks the
// same, and a canceled run cannot be recovered.
func (f *failover) onUnresponsive(ctx context.Context, u dialect.Upstream, err error, start time.Time, heard func() bool) bool {
	s := f.s
	if s.events.Load() == 0 {
		// No output would be lost: the request can be refused or started at another engine.
		return true
	}
	s.c.recordFailure(u, ClassifyUnreachable(err), err, clock.Since(start), s.log)
	if f.allowed && s.c.o.Relay.Needed(s.j.Service.Name) {
		// A peer can resume the stream.
		return !heard()
	}
	p := f.find(ctx, heard)
	if p == nil {
		s.c.o.Count("silent_engine_kept")
		s.log.Info("stream stays at a silent engine", "upstream", u.ID, "events", s.events.Load(), "may_start", f.allowed, "heard", heard())
		return false
	}
	if heard() || !s.standby.set(p) {
		s.releasePlacement(p)
		return false
	}
	return true
}
