package kernel

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Life is what is believed of an instance or upstream.
type Life int

// The states of belief, from best to worst.
const (
	// Live: fresh evidence of life.
	Live Life = iota + 1
	// Suspect: no fresh evidence, none to the contrary.
	Suspect
	// Leaving: it said, or the platform said, that it is leaving. Sticky for an
	// incarnation.
	Leaving
	// Unreachable: contact fails, but it may still run.
	Unreachable
	// Dead: known not to run in this incarnation.
	Dead
)

// Load is an upstream's load at one time.
type Load struct {
	// At is when the load was measured, on this instance's clock.
	At time.Time
	// Running and Waiting count requests; Slots is the most that run at once.
	Running, Waiting, Slots int
	// PiecesUsed and PiecesTotal count KV memory pieces.
	PiecesUsed, PiecesTotal int
	// QueuedTokens is the uncomputed prompt work, in tokens (prefill engines).
	QueuedTokens int
}

// Own is what this instance itself has in flight at an upstream, known without
// any lag.
type Own struct {
	// Requests counts attempts in flight.
	Requests int
	// Tokens is the uncomputed prompt tokens in flight (prefill engines).
	Tokens int
	// Pieces is the KV memory reserved (decode engines).
	Pieces int
}

// Upstream is one back end as this instance sees it.
type Upstream struct {
	// Index is the upstream's place in View.Upstreams.
	Index       int
	ID          ident.UpstreamID
	Zone        ident.Zone
	Address     string
	Incarnation ident.Incarnation
	Life        Life
	// Spec is what the bundle declares of it.
	Spec config.Upstream
	// Load is the newest report; its age matters.
	Load Load
	// Own is kept by the kernel and carried over from view to view.
	Own Own
	// Health is kept by the kernel and carried over from view to view.
	Health Health
}

// Health is what this instance has seen of an upstream's failures.
type Health struct {
	// Failures counts consecutive failures.
	Failures int
	// EjectedUntil is when the upstream may be tried again, zero if now.
	EjectedUntil time.Time
	// Ejections counts ejections in a row, for their growing length.
	Ejections int
	// LastSuccess is when an attempt last succeeded here.
	LastSuccess time.Time
	// BackSince is when the upstream last became usable, for slow start.
	BackSince time.Time
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

// Instance is one entry instance as this instance sees it.
type Instance struct {
	ID          ident.InstanceID
	Zone        ident.Zone
	Incarnation ident.Incarnation
	Life        Life
}

// View is what this instance knows of the others and of the upstreams. A view
// handed to the kernel must not be changed afterwards; the kernel copies what
// it adds to.
type View struct {
	// Version rises with every change.
	Version uint64
	// Trusted is false after a pause, until the view was refreshed.
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
