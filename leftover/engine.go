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
	// finds holds the leftovers on the engine, keyed by their encoded attempt
	// IDs.
	finds map[string]*find
}

// find is a leftover: an attempt that an engine holds and that is to be released.
type find struct {
	attempt ident.AttemptID
	reason  Reason
	since   time.Time
	// nextTry is when to repeat the release order. It is zero until the first
	// order.
	nextTry time.Time
	wait    time.Duration
}

// readBy moves the next read forward to at if it is scheduled later.
func (g *engine) readBy(at time.Time) {
	if at.Before(g.nextRead) {
		g.nextRead = at
	}
}

// nextWake returns the time of the engine's next read or repeated order.
func (g *engine) nextWake() time.Time {
	at := g.nextRead
	for _, f := range g.finds {
		if !f.nextTry.IsZero() && f.nextTry.Before(at) {
			at = f.nextTry
		}
	}
	return at
}

// watchable reports whether the upstream is an engine whose list can be read.
func watchable(u *kernel.Upstream) bool {
	isEngine := u.Spec.Role == config.RolePrefill || u.Spec.Role == config.RoleDecode
	return isEngine && u.Liveness != kernel.Dead
}
