package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Step is the step in the processing of a request that a decision record
// reports.
type Step string

// The steps in the processing of a request.
const (
	StepPlaced    Step = "placed"    // a prefill was started and its decode slot reserved
	StepDecoding  Step = "decoding"  // the decode was started
	StepCalled    Step = "called"    // a service call was started
	StepWaiting   Step = "waiting"   // the request waits in the queue or for a slot
	StepRefused   Step = "refused"   // the request was refused with no attempt in flight
	StepRetrying  Step = "retrying"  // a failed attempt will be repeated
	StepResuming  Step = "resuming"  // an interrupted decode will be continued
	StepCancelled Step = "cancelled" // the caller disconnected
	StepFailed    Step = "failed"    // the request ended with an error or at its deadline
	StepCompleted Step = "completed" // the whole answer was returned
)

// Reason is the reason for a decision. The list of reasons is closed;
// docs/operators/reasons.md explains each of them.
type Reason string

// The reasons for decisions.
const (
	ReasonBest             Reason = "best_score"
	ReasonOnlyCandidate    Reason = "only_candidate"
	ReasonDispatched       Reason = "dispatcher_choice"
	ReasonNoSlot           Reason = "no_decode_slot"
	ReasonSlotPending      Reason = "slot_requested"
	ReasonNoPrefill        Reason = "no_prefill_upstream"
	ReasonPrefillBusy      Reason = "prefill_queue_long"
	ReasonServiceBusy      Reason = "service_at_concurrency"
	ReasonNoDecode         Reason = "no_decode_upstream"
	ReasonNoService        Reason = "no_service_upstream"
	ReasonQueueFull        Reason = "queue_full"
	ReasonInfeasible       Reason = "first_output_infeasible"
	ReasonDeadlinePassed   Reason = "deadline_passed"
	ReasonWorkspaceRate    Reason = "workspace_rate"
	ReasonWorkspaceActive  Reason = "workspace_concurrency"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonUnknownWorkspace Reason = "unknown_workspace"
	ReasonContextTooLong   Reason = "context_too_long"
	ReasonStopping         Reason = "instance_stopping"
	ReasonNoBundle         Reason = "no_bundle"
	ReasonViewStale        Reason = "view_not_trusted"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonUpstreamRefused  Reason = "upstream_refused"
	ReasonUpstreamFailed   Reason = "upstream_failed"
	ReasonKVEvicted        Reason = "kv_evicted"
	ReasonStalled          Reason = "stalled"
	ReasonBroken           Reason = "connection_broken"
	ReasonNotRepeatable    Reason = "not_repeatable"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonAttempts         Reason = "attempts_exhausted"
	ReasonOtherVersion     Reason = "other_software_version"
	ReasonVersionGone      Reason = "software_version_gone"
	ReasonWholeAnswer      Reason = "whole_answer"
)

// Alternative is a placement that was considered but not chosen.
type Alternative struct {
	Prefill ident.UpstreamID `json:"prefill,omitempty"`
	Decode  ident.UpstreamID `json:"decode,omitempty"`
	// Cost is the weighted sum of the scorers, in seconds; lower is better.
	Cost float64 `json:"cost"`
}

// Record is the record of one decision about a request. It is written as one log
// line and shown as one row of `wardspoolctl explain`.
type Record struct {
	Time      time.Time       `json:"time"`
	Request   ident.RequestID `json:"request"`
	Workspace ident.Workspace `json:"workspace"`
	Kind      string          `json:"kind"`
	Step      Step            `json:"step"`
	Reason    Reason          `json:"reason"`
	// Attempt is the ID of the attempt concerned, if there is one.
	Attempt ident.AttemptID  `json:"attempt,omitzero"`
	Prefill ident.UpstreamID `json:"prefill,omitempty"`
	// Decode is the decode engine or, for a service call, the service upstream.
	Decode ident.UpstreamID `json:"decode,omitempty"`
	// SoftwareVersion is the version of the decode engine, or the one that began the
	// stream, "" if it is not known.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Cost is the cost of the chosen placement, in seconds.
	Cost float64 `json:"cost,omitempty"`
	// RunnersUp are the best of the placements that were not chosen, best first.
	RunnersUp []Alternative `json:"runners_up,omitempty"`
	// PredictedFirstOutput is the expected time from the decision to the first
	// output.
	PredictedFirstOutput time.Duration `json:"predicted_first_output,omitempty"`
	// Waited is the time since arrival.
	Waited time.Duration `json:"waited"`
	// ViewAge is the age of the oldest load report on which the choice is based.
	ViewAge time.Duration `json:"view_age"`
	// QueueLength is the number of requests waiting on this instance.
	QueueLength   int         `json:"queue_length"`
	BundleVersion uint64      `json:"bundle_version"`
	Outcome       api.Outcome `json:"outcome,omitempty"`
	// Offset is the number of output tokens that the caller already has.
	Offset int `json:"offset,omitempty"`
	// RetryAfter is the retry-after hint that the caller received.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}
