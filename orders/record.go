package orders

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Step says what became of an order.
type Step string

// The steps.
const (
	// StepOrdered: the order is given.
	StepOrdered Step = "ordered"
	// StepHeld: the order is due and held back.
	StepHeld Step = "held"
	// StepInForce: the engine runs what the bundle wants.
	StepInForce Step = "in_force"
	// StepRefused: the engine refused the order.
	StepRefused Step = "refused"
)

// Reason says why. The list is closed.
type Reason string

// The reasons.
const (
	// ReasonBundle: the engine does not run yet what this version wants.
	ReasonBundle Reason = "bundle"
	// ReasonCorrected: it did, and runs something else now.
	ReasonCorrected Reason = "corrected"
	// ReasonRestarted: it did, and has restarted.
	ReasonRestarted Reason = "engine_restarted"
	// ReasonLoading: the order is being carried out.
	ReasonLoading Reason = "loading"
	// ReasonDraining: its role changes, and requests still run in the old one.
	ReasonDraining Reason = "draining"
	// ReasonTurn: another engine of the zone loads first.
	ReasonTurn Reason = "not_its_turn"
	// ReasonView: the view of the fleet is not trusted.
	ReasonView Reason = "view_not_trusted"
	// ReasonUnconfirmed: it does not check fencing numbers, and the bundle is not
	// confirmed to be the newest.
	ReasonUnconfirmed Reason = "bundle_not_confirmed"
	// ReasonOldBundle: it has had an order of a newer bundle version.
	ReasonOldBundle Reason = "newer_fence_seen"
	// ReasonFence: it runs what is wanted and checks fencing numbers, and has not
	// had this version's.
	ReasonFence Reason = "fence"
	// ReasonMatches: it runs what is wanted.
	ReasonMatches Reason = "matches"
)

// Record is one placement decision. It becomes one log line. Decisions to hold
// back are recorded when their reason changes.
type Record struct {
	Time     time.Time        `json:"time"`
	Upstream ident.UpstreamID `json:"upstream"`
	Step     Step             `json:"step"`
	Reason   Reason           `json:"reason"`
	// Bundle is the bundle version in force here, and the order's fence.
	Bundle uint64 `json:"bundle_version"`
	// Want is what the bundle wants, Seen what the engine ran.
	Want Placement `json:"want"`
	Seen Placement `json:"seen"`
	// Highest is the highest fencing number that the engine has seen.
	Highest uint64 `json:"highest_fence"`
	// Running counts the requests that the engine held.
	Running int `json:"running"`
	// Waited is the time since the difference was first seen here.
	Waited time.Duration `json:"waited"`
}
