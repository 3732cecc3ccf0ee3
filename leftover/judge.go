package leftover

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Reason is why an attempt is released.
type Reason string

// Reasons for releasing an attempt.
const (
	// OwnerDead means that the owner is known to be dead.
	OwnerDead Reason = "owner_dead"
	// OwnerReplaced means that the owner's instance has restarted as a later
	// incarnation.
	OwnerReplaced Reason = "owner_replaced"
	// DeadlinePassed means that the caller has stopped waiting, whatever the
	// state of the owner.
	DeadlinePassed Reason = "deadline_passed"
	// Abandoned means that this instance's own entry started the attempt and no
	// longer has it in flight.
	Abandoned Reason = "abandoned"
)

// InFlight is a snapshot of the attempts that an entry's kernel has in flight.
type InFlight struct {
	Incarnation ident.Incarnation
	// Newest is the highest sequence number used so far. Attempts with a higher
	// one were started after the snapshot.
	Newest uint64
	// Sequences lists the attempts that have not ended, in ascending order. It
	// includes reservations and attempts that are being cancelled.
	Sequences []uint64
}

// abandoned reports whether the entry started the attempt and has ended it.
func (f *InFlight) abandoned(a ident.AttemptID) bool {
	if f == nil || f.Incarnation != a.Incarnation || a.Sequence > f.Newest {
		return false
	}
	_, known := slices.BinarySearch(f.Sequences, a.Sequence)
	return !known
}

// Evidence is the state against which attempts are judged.
type Evidence struct {
	Now    time.Time
	Margin time.Duration
	Self   kernel.Self
	View   *kernel.View
	// InFlight is the snapshot of the instance's own entry, nil if not known.
	InFlight *InFlight
}

// Judge returns the reason for which the attempt may be released, or "" if it
// must be kept.
func (e *Evidence) Judge(a ident.AttemptID) Reason {
	owner := e.owner(a.Instance)
	switch {
	case a.Instance == e.Self.Instance && e.InFlight.abandoned(a):
		return Abandoned
	case owner != nil && a.Incarnation < owner.Incarnation:
		return OwnerReplaced
	case owner != nil && a.Incarnation == owner.Incarnation && owner.Liveness == kernel.Dead:
		return OwnerDead
	case e.Now.After(e.expiry(a)):
		return DeadlinePassed
	default:
		return ""
	}
}

// expiry returns the time after which the attempt may be released whatever the
// state of its owner.
func (e *Evidence) expiry(a ident.AttemptID) time.Time { return a.Deadline.Add(e.Margin) }

// owner returns the known state of an instance, or nil if there is none.
func (e *Evidence) owner(id ident.InstanceID) *kernel.Instance {
	for i := range e.View.Instances {
		if e.View.Instances[i].ID == id {
			return &e.View.Instances[i]
		}
	}
	if id == e.Self.Instance {
		return &kernel.Instance{ID: id, Zone: e.Self.Zone, Incarnation: e.Self.Incarnation, Liveness: kernel.Live}
	}
	return nil
}

// usable reports whether orders may be based on the evidence. They may not after
// a pause until the view has been refreshed, nor at an instance that another
// process has replaced.
func (e *Evidence) usable() bool {
	self := e.owner(e.Self.Instance)
	return e.View.Trusted && self.Incarnation <= e.Self.Incarnation
}

// ownerRunning reports whether the attempt's owner is running and ends the
// attempt itself, so that the planner need not schedule a read for its deadline.
func (e *Evidence) ownerRunning(a ident.AttemptID) bool {
	owner := e.owner(a.Instance)
	return owner != nil && a.Incarnation == owner.Incarnation && owner.Liveness <= kernel.Leaving
}

// parse parses an attempt ID from an engine's list. It returns false for IDs that
// wardspool did not create: the engines may also serve others.
func parse(id string) (ident.AttemptID, bool) {
	a, err := ident.ParseAttemptID(id)
	return a, err == nil && a.String() == id
}
