package leftover

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// engine is what the planner knows of one engine that it watches.
type engine struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
	rank        int
	nextRead    time.Time
	// interval is the present time between reads; it grows after failed ones.
	interval time.Duration
	// finds are the leftovers that the engine holds, by their encoded IDs.
	finds map[string]*find
}

// find is a leftover that an engine holds.
type find struct {
	attempt ident.AttemptID
	reason  Reason
	since   time.Time
	// nextTry is when to order its release again; the zero time until the first
	// order.
	nextTry time.Time
	wait    time.Duration
}

// readBy makes the next read no later than at.
func (g *engine) readBy(at time.Time) {
	if at.Before(g.nextRead) {
		g.nextRead = at
	}
}

// nextWake returns when the engine needs attention next.
func (g *engine) nextWake() time.Time {
	at := g.nextRead
	for _, f := range g.finds {
		if !f.nextTry.IsZero() && f.nextTry.Before(at) {
			at = f.nextTry
		}
	}
	return at
}

// watchable reports whether the upstream is an engine that can be asked.
func watchable(u *kernel.Upstream) bool {
	isEngine := u.Spec.Role == config.RolePrefill || u.Spec.Role == config.RoleDecode
	return isEngine && u.Liveness != kernel.Dead
}
