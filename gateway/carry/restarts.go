package carry

import (
	"context"
	"sync"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// inFlightAttempts holds the running attempts at each upstream. When an upstream has restarted
// under the same ID, the attempts at its previous incarnation get no response. Unless the
// connection is reset, they would wait until their deadlines.
type inFlightAttempts struct {
	mu         sync.Mutex
	next       uint64
	byUpstream map[ident.UpstreamID]map[uint64]inFlightAttempt
}

// inFlightAttempt is one running attempt.
type inFlightAttempt struct {
	upstream dialect.Upstream
	cancel   context.CancelCauseFunc
}

// track returns a context for an attempt at an upstream, and its cancel function. The context is
// canceled with an *UnresponsiveError when a newer incarnation of the upstream is seen. end must
// be called after the attempt.
func (f *inFlightAttempts) track(ctx context.Context, u dialect.Upstream) (attempt context.Context, cancel context.CancelCauseFunc, end func()) {
	attempt, cancel = context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	number := f.next
	if f.byUpstream == nil {
		f.byUpstream = map[ident.UpstreamID]map[uint64]inFlightAttempt{}
	}
	if f.byUpstream[u.ID] == nil {
		f.byUpstream[u.ID] = map[uint64]inFlightAttempt{}
	}
	f.byUpstream[u.ID][number] = inFlightAttempt{upstream: u, cancel: cancel}
	return attempt, cancel, func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.byUpstream[u.ID], number)
		if len(f.byUpstream[u.ID]) == 0 {
			delete(f.byUpstream, u.ID)
		}
	}
}

// HasPendingAttempts reports whether any attempt is running or undecided. If not,
// ObserveUpstreams has no effect.
func (c *Forwarder) HasPendingAttempts() bool {
	c.inFlight.mu.Lock()
	inFlight := len(c.inFlight.byUpstream) > 0
	c.inFlight.mu.Unlock()
	return inFlight || c.undecided.nonEmpty()
}

// ObserveUpstreams processes the current list of upstreams. It cancels the attempts at previous
// incarnations of the listed upstreams, and records a crash for the undecided attempts that were
// interrupted there before.
func (c *Forwarder) ObserveUpstreams(list []dialect.Upstream) {
	for _, a := range c.undecided.takeCrashed(clock.Now(), list) {
		c.recordCrash(a)
	}
	c.inFlight.mu.Lock()
	defer c.inFlight.mu.Unlock()
	for _, u := range list {
		for _, a := range c.inFlight.byUpstream[u.ID] {
			if a.upstream.Restarted(u.Incarnation) {
				a.cancel(&UnresponsiveError{Upstream: u.ID, Err: &dialect.ReplacedError{ID: u.ID, Address: a.upstream.Address}})
			}
		}
	}
}

// ObserveReport processes an engine's response to a call of the gateway itself, and reports whether
// the engine is still the listed incarnation.
func (c *Forwarder) ObserveReport(u dialect.Upstream, r dialect.Report) bool {
	if !u.Restarted(r.Incarnation) {
		return true
	}
	c.o.Log.Info("upstream restarted", "upstream", u.ID, "address", u.Address, "listed", u.Incarnation, "incarnation", r.Incarnation)
	u.Incarnation = r.Incarnation
	c.o.Scheduler.RecordRestart(u)
	c.ObserveUpstreams([]dialect.Upstream{u})
	return false
}
