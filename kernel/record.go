package kernel

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
)

// Step names what a decision record is about.
type Step string

// The steps of a request's way.
const (
	StepPlaced    Step = "placed"    // a prefill was started, its decode slot reserved
	StepDecoding  Step = "decoding"  // the decode was started
	StepCalled    Step = "called"    // a service call was started
	StepWaiting   Step = "waiting"   // the request was put in the queue
	StepRefused   Step = "refused"   // the request was given up without running
	StepRetrying  Step = "retrying"  // a failed attempt will be replaced
	StepResuming  Step = "resuming"  // a lost decode will be continued
	StepCancelled Step = "cancelled" // the caller went away
	StepFailed    Step = "failed"    // the request was given up after it may have run
	StepCompleted Step = "completed" // the whole answer was returned
)

// Reason says why. The list is closed; docs/operators/reasons.md explains each.
type Reason string

// The reasons.
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
	ReasonKVGone           Reason = "kv_evicted"
	ReasonStalled          Reason = "stalled"
	ReasonBroken           Reason = "connection_broken"
	ReasonNotRepeatable    Reason = "not_repeatable"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonAttempts         Reason = "attempts_exhausted"
	ReasonWhole            Reason = "whole_answer"
)

// Alternative is a placement that was not chosen.
type Alternative struct {
	Prefill ident.UpstreamID `json:"prefill,omitempty"`
	Decode  ident.UpstreamID `json:"decode,omitempty"`
	// Cost is the weighted sum of the scorers, in seconds; lower is better.
	Cost float64 `json:"cost"`
}

// Record is one decision: what was done with a request and why. It becomes one
// log line and one row of `wardspoolctl explain`.
type Record struct {
	Time      time.Time       `json:"time"`
	Request   ident.RequestID `json:"request"`
	Workspace ident.Workspace `json:"workspace"`
	Kind      string          `json:"kind"`
	Step      Step            `json:"step"`
	Reason    Reason          `json:"reason"`
	// Attempt names the attempt concerned, if there is one.
	Attempt ident.AttemptID  `json:"attempt,omitzero"`
	Prefill ident.UpstreamID `json:"prefill,omitempty"`
	// Decode names the decode engine, or the service upstream.
	Decode ident.UpstreamID `json:"decode,omitempty"`
	// Cost is the chosen placement's score, in seconds.
	Cost float64 `json:"cost,omitempty"`
	// RunnersUp are the best placements not chosen, best first.
	RunnersUp []Alternative `json:"runners_up,omitempty"`
	// PredictedFirstOutput is the expected time to first output from now.
	PredictedFirstOutput time.Duration `json:"predicted_first_output,omitempty"`
	// Waited is the time since arrival.
	Waited time.Duration `json:"waited"`
	// ViewAge is the age of the load report the choice rests on.
	ViewAge time.Duration `json:"view_age"`
	// QueueLength is the number of requests waiting here.
	QueueLength   int         `json:"queue_length"`
	BundleVersion uint64      `json:"bundle_version"`
	Outcome       api.Outcome `json:"outcome,omitempty"`
	// Offset is how many output tokens the caller has, for resumptions.
	Offset int `json:"offset,omitempty"`
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}
