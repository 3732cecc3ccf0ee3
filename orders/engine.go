package orders

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// engine is what the planner knows of an engine that this instance orders.
type engine struct {
	id   ident.UpstreamID
	zone ident.Zone
	want Placement
	// checks says that it refuses orders with an old fence.
	checks   bool
	nextRead time.Time
	// since is when it was first seen to differ, zero while it does not.
	since time.Time
	// inForce says that it ran what this bundle version wants, as the life that
	// incarnation names.
	inForce     bool
	incarnation ident.Incarnation
	// pause is the time from the next order to the read after it.
	pause time.Duration
	// waitsFor is the engine whose turn is before this one's, empty if none.
	waitsFor ident.UpstreamID
	// step and reason are those of the last record.
	step   Step
	reason Reason
}

// reset begins anew, for another bundle version or placement.
func (g *engine) reset(now time.Time, recheck time.Duration) {
	*g = engine{id: g.id, zone: g.zone, want: g.want, checks: g.checks, nextRead: now, pause: recheck}
}

// readBy makes the next read no later than at.
func (g *engine) readBy(at time.Time) {
	if at.Before(g.nextRead) {
		g.nextRead = at
	}
}

// Observation is an engine's state, read at one moment.
type Observation struct {
	Incarnation ident.Incarnation
	Placement   Placement
	// Loading is what it is changing to, nil if it is not.
	Loading *Placement
	// Highest is the highest fencing number it has seen, 0 if it keeps none.
	Highest uint64
	// Running counts the requests that it holds.
	Running int
}

// Order is an order to give to an engine.
type Order struct {
	Upstream  ident.UpstreamID
	Fence     uint64
	Placement Placement
	// NotAfter is the last time at which to send the order, zero if there is
	// none. Compare it with the clock right before sending: a paused process
	// must not wake up and send it.
	NotAfter time.Time
}

// FloorHint says that an engine has had an order of a newer bundle version than
// the one in force here. It proves nothing: the version is to be looked for.
type FloorHint struct {
	Upstream ident.UpstreamID
	Version  uint64
}

// Decision is what follows from an observation. Each part may be nil.
type Decision struct {
	Order  *Order
	Hint   *FloorHint
	Record *Record
}
