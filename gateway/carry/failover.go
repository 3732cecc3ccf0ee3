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

// searchPause is the time between two looks for room: engines that were full are asked again
// after as long.
const searchPause = 60 * time.Millisecond

// standby is a place that was reserved for a stream while it still ran elsewhere.
type standby struct {
	mu     sync.Mutex
	place  *place
	closed bool
}

// keep keeps a place; false if the stream has ended.
func (b *standby) keep(p *place) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.place = p
	return true
}

// kept reports whether there is a place.
func (b *standby) kept() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.place != nil
}

// take returns the place, nil if there is none.
func (b *standby) take() *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place
	b.place = nil
	return p
}

// close returns the place that was not taken, and keeps no further one.
func (b *standby) close() *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.place
	b.place, b.closed = nil, true
	return p
}

// failover finds another engine for a stream that still runs at one. It holds what it needs of
// the stream as of the start of that run, since the stream goes on meanwhile.
type failover struct {
	s *stream
	// allowed means that the stream may be started once more.
	allowed  bool
	apart    bool
	excluded []ident.UpstreamID
}

// failoverFrom returns the failover from an engine.
func (s *stream) failoverFrom(from dialect.Upstream) *failover {
	return &failover{
		s: s, allowed: s.starts < maxStarts && s.j.Route.Repeatable() && s.runs+1 < s.j.Route.MaxAttempts,
		apart: s.caution.suspect(), excluded: append(slices.Clone(s.excluded), from.ID),
	}
}

// find looks for another engine until there is one, the stream is heard of, or ctx ends, and
// takes the sends to it out of the retry budget; nil if there is none or the budget is spent.
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

// look reserves another engine, if one has room now.
func (f *failover) look(ctx context.Context) *place {
	size := f.s.sizeNow()
	size.Apart = f.apart
	return f.s.placeFor(ctx, size, f.excluded)
}

// releasePlace gives up a place that the stream doesn't come to.
func (s *stream) releasePlace(p *place) {
	s.giveUp(p, nil)
	s.roomCame(p)
}

// onSilence looks for another engine when the stream's own has not answered whether it lives,
// and reports whether the run there is to be given up for it.
//
// Silence is no proof: a busy machine or a lost packet looks the same, and a run that was
// given up can't be had back.
func (f *failover) onSilence(ctx context.Context, u dialect.Upstream, err error, began time.Time, heard func() bool) bool {
	s := f.s
	if s.events.Load() == 0 {
		// Nothing is lost: the caller can be told, or another engine begins.
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
