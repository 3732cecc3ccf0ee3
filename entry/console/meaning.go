package console

import (
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/kernel"
)

// meanings maps each reason to a short description. docs/operators/reasons.md
// lists the operators' action for each.
var meanings = map[kernel.Reason]string{
	kernel.ReasonBest:             "the cheapest of those that could take it",
	kernel.ReasonOnlyCandidate:    "the only one that could take it",
	kernel.ReasonDispatched:       "chosen by the model's dispatcher",
	kernel.ReasonNoSlot:           "no decode slot was free",
	kernel.ReasonSlotPending:      "a decode slot was asked for",
	kernel.ReasonNoPrefill:        "no prefill engine could take it",
	kernel.ReasonPrefillBusy:      "the prefill engines' queues were too long",
	kernel.ReasonServiceBusy:      "the service was at its concurrency",
	kernel.ReasonNoDecode:         "no decode engine could take it",
	kernel.ReasonNoService:        "no upstream of the service could take it",
	kernel.ReasonQueueFull:        "this instance's queue was full",
	kernel.ReasonInfeasible:       "the first output could not come in time",
	kernel.ReasonDeadlinePassed:   "its deadline passed",
	kernel.ReasonWorkspaceRate:    "the workspace's rate was used up",
	kernel.ReasonWorkspaceActive:  "the workspace had too many requests in flight",
	kernel.ReasonUnknownModel:     "the bundle declares no such model",
	kernel.ReasonUnknownService:   "the bundle declares no such service",
	kernel.ReasonUnknownWorkspace: "the bundle declares no such workspace",
	kernel.ReasonContextTooLong:   "prompt and output exceed the model's context",
	kernel.ReasonStopping:         "this instance was shutting down",
	kernel.ReasonNoBundle:         "no bundle was in force here",
	kernel.ReasonViewStale:        "the view was not trusted after a pause",
	kernel.ReasonCallerGone:       "the caller closed the connection",
	kernel.ReasonUpstreamRefused:  "the upstream refused it",
	kernel.ReasonUpstreamFailed:   "the upstream failed",
	kernel.ReasonKVEvicted:        "the KV cache was evicted before its import",
	kernel.ReasonStalled:          "a transfer or stream made no progress",
	kernel.ReasonBroken:           "the connection or the answer broke off",
	kernel.ReasonNotRepeatable:    "it may have run and must not run twice",
	kernel.ReasonRetryBudget:      "too many other requests were being retried",
	kernel.ReasonAttempts:         "every attempt failed",
	kernel.ReasonOtherVersion:     "the engine runs another software version than the one that began the stream",
	kernel.ReasonVersionGone:      "no engine of the software version that began the stream is left",
	kernel.ReasonWholeAnswer:      "the whole answer was returned",
	driver.ReasonDuplicateID:      "another request with its ID was in flight",
}

// Meaning returns the description of a reason. A reason that this build does not
// know is returned unchanged.
func Meaning(r kernel.Reason) string {
	if m, ok := meanings[r]; ok {
		return m
	}
	return string(r)
}
