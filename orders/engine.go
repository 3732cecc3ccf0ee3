package orders

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// engine is the planner's state of an engine that this instance orders.
type engine struct {
	id      ident.UpstreamID
	zone    ident.Zone
	desired Placement
	// checksFencing is set if the engine refuses orders with an older fencing number.
	checksFencing bool
	nextRead      time.Time
	// differsSince is when the engine was first seen to differ from desired; zero
	// while it matches.
	differsSince time.Time
	// inForce is set once the engine has run this version's placement;
	// incarnation is the engine's incarnation at that time.
	inForce     bool
	incarnation ident.Incarnation
	// rereadDelay is the time between the next order and the read that follows it.
	rereadDelay time.Duration
	// waitsFor is the engine that must load before this one, empty if there is
	// none.
	waitsFor ident.UpstreamID
	// step and reason are those of the last record.
	step   Step
	reason Reason
}

// reset discards the engine's progress; the engine is read again at once.
func (g *engine) reset(now time.Time, recheck time.Duration) {
	*g = engine{id: g.id, zone: g.zone, desired: g.desired, checksFencing: g.checksFencing, nextRead: now, rereadDelay: recheck}
}

// readNoLaterThan moves the next read forward to at if it is scheduled later.
func (g *engine) readNoLaterThan(at time.Time) {
	if at.Before(g.nextRead) {
		g.nextRead = at
	}
}

// Observation is the state of an engine at the time of a read.
type Observation struct {
	Incarnation ident.Incarnation
	Placement   Placement
	// Loading is the placement that is being loaded, nil if there is none.
	Loading *Placement
	// Highest is the highest fencing number that the engine has seen, 0 if it
	// stores none.
	Highest uint64
	// Running is the number of requests on the engine.
	Running int
}

// Order is a placement order to an engine.
type Order struct {
	Upstream  ident.UpstreamID
	Fence     uint64
	Placement Placement
	// NotAfter is the last time at which the order may be sent, zero if there is
	// no limit. It must be compared with the clock immediately before sending, so
	// that a process does not send a stale order after a pause.
	NotAfter time.Time
}

// NewerVersionHint reports that an engine has received an order of a bundle
// version that is newer than the one in force here. It does not prove that the
// version exists; it is a reason to look for it.
type NewerVersionHint struct {
	Upstream ident.UpstreamID
	Version  uint64
}

// Decision is the result of an observation. Each field may be nil.
type Decision struct {
	Order  *Order
	Hint   *NewerVersionHint
	Record *Record
}
