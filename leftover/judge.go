package leftover

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Reason says why an attempt is released.
type Reason string

// The reasons.
const (
	// OwnerDead: its owner is known not to run any more.
	OwnerDead Reason = "owner_dead"
	// OwnerReplaced: its owner's instance lives on in a later incarnation.
	OwnerReplaced Reason = "owner_replaced"
	// DeadlinePassed: its caller has stopped waiting, whoever its owner is.
	DeadlinePassed Reason = "deadline_passed"
	// Abandoned: this instance's own entry started it and does not know it any
	// more.
	Abandoned Reason = "abandoned"
)

// InFlight is what an entry's kernel has in flight at one moment.
type InFlight struct {
	Incarnation ident.Incarnation
	// Newest is the highest sequence used for an attempt so far. Attempts with a
	// higher one were started after the moment.
	Newest uint64
	// Sequences lists the attempts that have not ended, reservations and those
	// being cancelled included, in rising order.
	Sequences []uint64
}

// abandoned reports whether the entry has ended the attempt.
func (f *InFlight) abandoned(a ident.AttemptID) bool {
	if f == nil || f.Incarnation != a.Incarnation || a.Sequence > f.Newest {
		return false
	}
	_, known := slices.BinarySearch(f.Sequences, a.Sequence)
	return !known
}

// Evidence is what attempts are judged by.
type Evidence struct {
	Now    time.Time
	Margin time.Duration
	Self   kernel.Self
	View   *kernel.View
	// InFlight is of the instance's own entry, nil while it is not known.
	InFlight *InFlight
}

// Judge returns why the attempt may be released, empty if it may not.
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

// expiry returns when the attempt may be released whoever owns it.
func (e *Evidence) expiry(a ident.AttemptID) time.Time { return a.Deadline.Add(e.Margin) }

// owner returns what is believed of an instance, nil if it is not known.
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

// usable reports whether orders may rest on the evidence: not after a pause
// before the view was refreshed, and not at an instance that another process
// has replaced.
func (e *Evidence) usable() bool {
	self := e.owner(e.Self.Instance)
	return e.View.Trusted && self.Incarnation <= e.Self.Incarnation
}

// cares reports whether the attempt's owner looks after it by itself, so that
// nothing is gained by watching for its deadline.
func (e *Evidence) cares(a ident.AttemptID) bool {
	owner := e.owner(a.Instance)
	return owner != nil && a.Incarnation == owner.Incarnation && owner.Liveness <= kernel.Leaving
}

// parse reads an attempt ID as an engine lists it. It returns false for IDs
// that are not wardspool's: others use the engines too.
func parse(id string) (ident.AttemptID, bool) {
	a, err := ident.ParseAttemptID(id)
	return a, err == nil && a.String() == id
}
