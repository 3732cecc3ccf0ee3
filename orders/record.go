package orders

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Step is the stage of an order.
type Step string

// Stages of an order.
const (
	// StepOrdered means that the order is given.
	StepOrdered Step = "ordered"
	// StepHeld means that the order is due but held back.
	StepHeld Step = "held"
	// StepInForce means that the engine runs the desired placement.
	StepInForce Step = "in_force"
	// StepRefused means that the engine refused the order.
	StepRefused Step = "refused"
)

// Reason is why a step was taken. Its values are the constants below.
type Reason string

// Reasons for a step.
const (
	// ReasonBundle means that the engine has not yet run this version's
	// placement.
	ReasonBundle Reason = "bundle"
	// ReasonCorrected means that it ran this version's placement, but no longer
	// does.
	ReasonCorrected Reason = "corrected"
	// ReasonRestarted means that it ran this version's placement and has since
	// restarted.
	ReasonRestarted Reason = "engine_restarted"
	// ReasonLoading means that the engine is loading the placement.
	ReasonLoading Reason = "loading"
	// ReasonDraining means that the engine's role changes and requests are still
	// running in the old role.
	ReasonDraining Reason = "draining"
	// ReasonNotItsTurn means that another engine of the zone must load first.
	ReasonNotItsTurn Reason = "not_its_turn"
	// ReasonViewUntrusted means that the view of the fleet is not trusted.
	ReasonViewUntrusted Reason = "view_not_trusted"
	// ReasonUnconfirmed means that the engine does not check fencing numbers and
	// the bundle is not confirmed to be the newest.
	ReasonUnconfirmed Reason = "bundle_not_confirmed"
	// ReasonNewerFence means that the engine has received an order of a newer
	// bundle version.
	ReasonNewerFence Reason = "newer_fence_seen"
	// ReasonFence means that the engine runs the desired placement and checks
	// fencing numbers, but has not yet received this version's number.
	ReasonFence Reason = "fence"
	// ReasonMatches means that the engine runs the desired placement.
	ReasonMatches Reason = "matches"
)

// Record is a placement decision. It is written as one log line. Decisions to
// hold an order back are recorded only when their reason changes.
type Record struct {
	Time     time.Time        `json:"time"`
	Upstream ident.UpstreamID `json:"upstream"`
	Step     Step             `json:"step"`
	Reason   Reason           `json:"reason"`
	// Bundle is the bundle version in force here; it is also the order's fencing
	// number.
	Bundle uint64 `json:"bundle_version"`
	// Want is the placement that the bundle declares, Seen the one that the
	// engine ran.
	Want Placement `json:"want"`
	Seen Placement `json:"seen"`
	// Highest is the highest fencing number that the engine has seen.
	Highest uint64 `json:"highest_fence"`
	// Running is the number of requests on the engine.
	Running int `json:"running"`
	// Waited is the time since this instance first saw the engine differ from
	// Want.
	Waited time.Duration `json:"waited"`
}
