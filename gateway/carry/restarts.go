package carry

import (
	"context"
	"sync"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
)

// attemptsUnderWay holds the running attempts at each upstream. When an upstream has restarted
// under the same ID, the attempts at its previous incarnation get no response. Unless the
// connection is reset, they would wait until their deadlines.
type attemptsUnderWay struct {
	mu   sync.Mutex
	next uint64
	at   map[ident.UpstreamID]map[uint64]underWay
}

// underWay is one running attempt.
type underWay struct {
	upstream dialect.Upstream
	cancel   context.CancelCauseFunc
}

// track returns a context for an attempt at an upstream, and its cancel function. The context is
// canceled with a *SilentError when a newer incarnation of the upstream is seen. end must be
// called after the attempt.
func (l *attemptsUnderWay) track(ctx context.Context, u dialect.Upstream) (attempt context.Context, cancel context.CancelCauseFunc, end func()) {
	attempt, cancel = context.WithCancelCause(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	number := l.next
	if l.at == nil {
		l.at = map[ident.UpstreamID]map[uint64]underWay{}
	}
	if l.at[u.ID] == nil {
		l.at[u.ID] = map[uint64]underWay{}
	}
	l.at[u.ID][number] = underWay{upstream: u, cancel: cancel}
	return attempt, cancel, func() {
		cancel(nil)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.at[u.ID], number)
		if len(l.at[u.ID]) == 0 {
			delete(l.at, u.ID)
		}
	}
}

// HasPendingAttempts reports whether any attempt is running or undecided. If not, Listed has no
// effect.
func (c *Carrier) HasPendingAttempts() bool {
	c.underWay.mu.Lock()
	inFlight := len(c.underWay.at) > 0
	c.underWay.mu.Unlock()
	return inFlight || c.undecided.nonEmpty()
}

// Listed processes the current list of upstreams. It cancels the attempts at previous
// incarnations of the listed upstreams, and records a crash for the undecided attempts that were
// interrupted there before.
func (c *Carrier) Listed(list []dialect.Upstream) {
	for _, a := range c.undecided.decide(clock.Now(), list) {
		c.crashed(a.content, a.upstream, a.made)
	}
	c.underWay.mu.Lock()
	defer c.underWay.mu.Unlock()
	for _, u := range list {
		for _, a := range c.underWay.at[u.ID] {
			if a.upstream.Restarted(u.Incarnation) {
				a.cancel(&SilentError{Upstream: u.ID, Err: &dialect.ReplacedError{ID: u.ID, Address: a.upstream.Address}})
			}
		}
	}
}

// Reported processes an engine's answer to a call of the gateway itself, and reports whether the
// engine is still the listed incarnation.
func (c *Carrier) Reported(u dialect.Upstream, r dialect.Report) bool {
	if !u.Restarted(r.Incarnation) {
		return true
	}
	c.o.Log.Info("upstream restarted", "upstream", u.ID, "address", u.Address, "listed", u.Incarnation, "incarnation", r.Incarnation)
	u.Incarnation = r.Incarnation
	c.o.Books.Restarted(u)
	c.Listed([]dialect.Upstream{u})
	return false
}
