package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Liveness is the presumed state of an instance or upstream.
type Liveness int

// The states, ordered from best to worst, so that they can be compared.
const (
	// Live means that there is recent evidence that it runs.
	Live Liveness = iota + 1
	// Suspect means that there is neither recent evidence that it runs nor
	// evidence that it does not.
	Suspect
	// Leaving means that it is shutting down, according to itself or to the
	// platform. An incarnation that is leaving never becomes Live again.
	Leaving
	// Unreachable means that it cannot be contacted but may still run.
	Unreachable
	// Dead means that this incarnation is known to have ended.
	Dead
)

// Load is an upstream's load at one time.
type Load struct {
	// At is the time of the measurement, by this instance's clock.
	At time.Time
	// Running and Waiting are numbers of requests; Slots is the maximum number
	// of requests that run at once.
	Running, Waiting, Slots int
	// PiecesUsed and PiecesTotal are numbers of KV memory pieces.
	PiecesUsed, PiecesTotal int
	// QueuedTokens is the number of prompt tokens not computed yet (prefill
	// engines only).
	QueuedTokens int
}

// LocalLoad is the load that this instance itself has in flight on an upstream.
// Unlike Load, it is always up to date.
type LocalLoad struct {
	// Requests is the number of attempts in flight.
	Requests int
	// Tokens is the number of prompt tokens in flight that are not computed yet
	// (prefill engines only).
	Tokens int
	// Pieces is the reserved KV memory, in pieces (decode engines only).
	Pieces int
}

// Upstream is the state of one back end as known to this instance.
type Upstream struct {
	// Index is the upstream's index in View.Upstreams.
	Index       int
	ID          ident.UpstreamID
	Zone        ident.Zone
	Address     string
	Incarnation ident.Incarnation
	Liveness    Liveness
	// SoftwareVersion is the version of the software that the incarnation runs, ""
	// if it is not known. What two versions write of one stream does not fit
	// together.
	SoftwareVersion string
	// Spec is the upstream's declaration in the bundle.
	Spec config.Upstream
	// Load is the newest load report. It may be old; see Load.At.
	Load Load
	// LocalLoad is maintained by the kernel and carried over to each new view.
	LocalLoad LocalLoad
	// Health is maintained by the kernel and carried over to each new view.
	Health Health
}

// Health is the record of an upstream's failures and successes on this instance.
type Health struct {
	// Failures is the number of consecutive failures.
	Failures int
	// EjectedUntil is the end of the last ejection, before which the upstream
	// gets no new work; zero if it was never ejected.
	EjectedUntil time.Time
	// EjectedForSilence is set if a silent attempt caused the last ejection.
	EjectedForSilence bool
	// Ejections is the number of ejections since the last success. Each one
	// lasts longer than the one before, up to a limit.
	Ejections int
	// RestUntil is the time until which the upstream wants no requests from this
	// instance; zero if it never asked for rest.
	RestUntil time.Time
	// LastSuccess is the time at which an attempt from this instance last
	// succeeded.
	LastSuccess time.Time
	// AvailableSince is the time at which the upstream last became available, by
	// joining the fleet or by the end of an ejection. Slow start begins then.
	AvailableSince time.Time
}

// Serves reports whether the upstream runs the model.
func (u *Upstream) Serves(model string) bool {
	for _, m := range u.Spec.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Instance is the state of one entry instance as known to this instance.
type Instance struct {
	ID          ident.InstanceID
	Zone        ident.Zone
	Incarnation ident.Incarnation
	Liveness    Liveness
}

// View is the state of the other instances and the upstreams as known to this
// instance. A view that was passed to the kernel must not be changed afterwards.
// The kernel keeps its own copy, in which it sets further fields.
type View struct {
	// Version increases with every change.
	Version uint64
	// Trusted is false after a pause of the process until the view has been
	// refreshed. The kernel starts no work on a view that is not trusted.
	Trusted   bool
	Instances []Instance
	Upstreams []Upstream
}

// Self describes the instance the kernel runs on.
type Self struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Zone        ident.Zone
}
