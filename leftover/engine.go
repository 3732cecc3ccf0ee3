package leftover

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// engine is the planner's state of one engine that it watches.
type engine struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
	rank        int
	nextRead    time.Time
	// interval is the current time between reads; it grows after failed reads.
	interval time.Duration
	// leftovers holds the leftovers on the engine, keyed by their encoded attempt
	// IDs.
	leftovers map[string]*leftover
}

// leftover is an attempt that an engine holds and that is to be released.
type leftover struct {
	attempt   ident.AttemptID
	reason    Reason
	firstSeen time.Time
	// nextOrder is when to repeat the release order. It is zero until the first
	// order.
	nextOrder  time.Time
	retryDelay time.Duration
}

// readNoLaterThan moves the next read forward to at if it is scheduled later.
func (g *engine) readNoLaterThan(at time.Time) {
	if at.Before(g.nextRead) {
		g.nextRead = at
	}
}

// nextWake returns the time of the engine's next read or repeated order.
func (g *engine) nextWake() time.Time {
	at := g.nextRead
	for _, f := range g.leftovers {
		if !f.nextOrder.IsZero() && f.nextOrder.Before(at) {
			at = f.nextOrder
		}
	}
	return at
}

// watchable reports whether the upstream is an engine whose list can be read.
func watchable(u *kernel.Upstream) bool {
	isEngine := u.Spec.Role == config.RolePrefill || u.Spec.Role == config.RoleDecode
	return isEngine && u.Liveness != kernel.Dead
}
