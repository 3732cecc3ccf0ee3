// Package config defines the typed content of a configuration bundle: the
// operators' declarations of request kinds, models, services, workspaces,
// upstreams and the decision policy. Package bundle parses, validates, signs and
// versions it; package kernel makes its decisions with it.
package config

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugin"
)

// Content is everything that a bundle declares except its version and signatures.
type Content struct {
	// Deployment is the name of the deployment, for example "coastline".
	Deployment string      `yaml:"deployment" json:"deployment"`
	Kinds      []Kind      `yaml:"kinds" json:"kinds"`
	Models     []Model     `yaml:"models" json:"models"`
	Services   []Service   `yaml:"services" json:"services"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Upstreams  []Upstream  `yaml:"upstreams" json:"upstreams"`
	Policy     Policy      `yaml:"policy" json:"policy"`
}

// Route is the path through the upstreams that a kind of request takes.
type Route string

// The routes.
const (
	// RouteModel is prefill, KV transfer and decode on model engines.
	RouteModel Route = "model"
	// RouteService is one call to a plain service.
	RouteService Route = "service"
)

// Kind declares a kind of request, for example "review" or "dispatch".
type Kind struct {
	Name  string `yaml:"name" json:"name"`
	Route Route  `yaml:"route" json:"route"`
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// TicketRequired rejects requests that must run at most once and carry no
	// ticket; the rejection carries a new ticket. It guards against proxies
	// between callers and instances that retry requests on their own.
	TicketRequired bool `yaml:"ticket_required" json:"ticket_required,omitempty"`
	// Deadline is the default time limit of a request; callers may set another.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// FirstOutput is the target for the time to the first output token.
	FirstOutput time.Duration `yaml:"first_output" json:"first_output"`
	// Pace is the target for the time between output tokens.
	Pace time.Duration `yaml:"pace" json:"pace"`
	// Priority orders kinds at the engines; lower values run earlier.
	Priority int `yaml:"priority" json:"priority"`
	// DefaultOutputTokens is the output length assumed for requests without
	// max_tokens.
	DefaultOutputTokens int `yaml:"default_output_tokens" json:"default_output_tokens"`
}

// Model declares a model.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// MaxContext bounds the total length of prompt and output, in tokens.
	MaxContext int `yaml:"max_context" json:"max_context"`
	// KVBytesPerToken is the KV cache size per token, in bytes.
	KVBytesPerToken int64 `yaml:"kv_bytes_per_token" json:"kv_bytes_per_token"`
	// PieceTokens is the size of a piece, the unit in which engines allocate KV
	// memory, in tokens.
	PieceTokens int `yaml:"piece_tokens" json:"piece_tokens"`
}

// Service declares a plain service, which runs no model.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Timeout bounds the duration of one call.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// Concurrency bounds the calls in flight per upstream.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Deduplicates is set if the upstreams themselves run each idempotency key at
	// most once, so that a call that carries one may be retried.
	Deduplicates bool `yaml:"deduplicates" json:"deduplicates"`
}

// Workspace declares a workspace, the limits and permissions of one customer.
type Workspace struct {
	Name ident.Workspace `yaml:"name" json:"name"`
	// Weight determines the workspace's share under contention; it is usually 1.
	Weight float64 `yaml:"weight" json:"weight"`
	// RatePerSecond and Burst limit the request rate across all instances; 0 means
	// no limit.
	RatePerSecond float64 `yaml:"rate_per_second" json:"rate_per_second"`
	Burst         int     `yaml:"burst" json:"burst"`
	// Concurrency limits the requests in flight across all instances; 0 means no
	// limit.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Models lists the models that the workspace may use; empty means all.
	Models []string `yaml:"models" json:"models"`
}

// Role is the function of an upstream.
type Role string

// The roles.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	// RoleService is the role of upstreams that run a plain service.
	RoleService Role = "service"
)

// Upstream declares what one back end should run. Its address and liveness come
// from the platform.
type Upstream struct {
	ID ident.UpstreamID `yaml:"id" json:"id"`
	// Role, Models, Adapters and Version are the desired state that orders ask the
	// upstream for.
	Role     Role     `yaml:"role" json:"role"`
	Models   []string `yaml:"models" json:"models"`
	Adapters []string `yaml:"adapters" json:"adapters"`
	Version  string   `yaml:"version" json:"version"`
	// Service is the plain service that it runs, for RoleService.
	Service string `yaml:"service" json:"service"`
	// ChecksFencing is set if the upstream rejects orders whose fencing number is
	// lower than one it has received.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
	// Slots is the number of requests that a decode engine can hold concurrently.
	Slots int `yaml:"slots" json:"slots"`
	// Pieces is the size of the engine's KV memory, in pieces of the model's
	// PieceTokens.
	Pieces int `yaml:"pieces" json:"pieces"`
	// PrefillTokensPerSecond is the engine's prefill throughput.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	// LinkBytesPerSecond is the bandwidth of the engine's KV transfer link.
	LinkBytesPerSecond float64 `yaml:"link_bytes_per_second" json:"link_bytes_per_second"`
	// DecodeStep is the time per output token of a decode engine with one request
	// in its batch; each further request adds DecodeStepPerRequest.
	DecodeStep           time.Duration `yaml:"decode_step" json:"decode_step"`
	DecodeStepPerRequest time.Duration `yaml:"decode_step_per_request" json:"decode_step_per_request"`
}

// Policy selects the decision plug-ins and sets the kernel's limits.
type Policy struct {
	// Slots is the decode slot policy, in namespace "slots".
	Slots plugin.ID `yaml:"slots" json:"slots"`
	// Order is the ordering of the waiting queue, in namespace "order".
	Order plugin.ID `yaml:"order" json:"order"`
	// Admission lists the checks on arriving requests, in namespace "admission".
	Admission []plugin.ID `yaml:"admission" json:"admission"`
	// Filters lists the filters that exclude upstreams, in namespace "filter".
	Filters []plugin.ID `yaml:"filters" json:"filters"`
	// Scorers lists the scorers that rate placements, in namespace "scorer".
	Scorers []Scorer `yaml:"scorers" json:"scorers"`
	// Regions groups availability zones with low latency between them. A model's
	// requests are dispatched within one region, so that no request waits for
	// messages between regions. Zones that are not listed form a region of
	// their own.
	Regions []Region `yaml:"regions" json:"regions,omitempty"`
	// QueueLimit bounds the requests that wait at one instance.
	QueueLimit int `yaml:"queue_limit" json:"queue_limit"`
	// RetryBudget is the fraction of requests that may be retries, from 0 to 1.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// MaxAttempts bounds the attempts per request.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// RetryBackoff is the base of the jittered backoff between attempts.
	RetryBackoff time.Duration `yaml:"retry_backoff" json:"retry_backoff"`
	// ViewStale is the age from which on a load report is no longer used.
	ViewStale time.Duration `yaml:"view_stale" json:"view_stale"`
	// KVLifetime is how long an engine keeps a prefill result.
	KVLifetime time.Duration `yaml:"kv_lifetime" json:"kv_lifetime"`
	// TransferStall is how long a KV transfer may go without progress.
	TransferStall time.Duration `yaml:"transfer_stall" json:"transfer_stall"`
}

// Region declares a region and its availability zones.
type Region struct {
	Name  ident.Region `yaml:"name" json:"name"`
	Zones []ident.Zone `yaml:"zones" json:"zones"`
}

// Scorer names a scorer and its weight.
type Scorer struct {
	ID     plugin.ID `yaml:"id" json:"id"`
	Weight float64   `yaml:"weight" json:"weight"`
}
