// Package config holds the typed content of a configuration bundle: what
// operators declare about kinds of request, models, services, workspaces,
// upstreams and the decision policy. Package bundle reads, checks, signs and
// versions it; package kernel decides by it.
package config

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/plugin"
)

// Content is everything a bundle declares besides its version and signatures.
type Content struct {
	// Deployment names the user, for example "coastline".
	Deployment string      `yaml:"deployment" json:"deployment"`
	Kinds      []Kind      `yaml:"kinds" json:"kinds"`
	Models     []Model     `yaml:"models" json:"models"`
	Services   []Service   `yaml:"services" json:"services"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Upstreams  []Upstream  `yaml:"upstreams" json:"upstreams"`
	Policy     Policy      `yaml:"policy" json:"policy"`
}

// Route says which path a kind of request takes.
type Route string

// The routes.
const (
	// RouteModel is prefill, KV transfer and decode on model engines.
	RouteModel Route = "model"
	// RouteService is one call of a plain service.
	RouteService Route = "service"
)

// Kind declares one kind of request, for example "review" or "dispatch".
type Kind struct {
	Name  string `yaml:"name" json:"name"`
	Route Route  `yaml:"route" json:"route"`
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
	// TicketRequired refuses requests that must run at most once and carry no
	// ticket, with a fresh ticket: what stands between callers and instances may
	// repeat a request by itself.
	TicketRequired bool `yaml:"ticket_required" json:"ticket_required,omitempty"`
	// Deadline is how long callers wait unless they say otherwise.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// FirstOutput is the target time to the first output token.
	FirstOutput time.Duration `yaml:"first_output" json:"first_output"`
	// Pace is the target time between output tokens.
	Pace time.Duration `yaml:"pace" json:"pace"`
	// Priority orders kinds at the engines; lower runs earlier.
	Priority int `yaml:"priority" json:"priority"`
	// DefaultOutputTokens is assumed where a request sets no max_tokens.
	DefaultOutputTokens int `yaml:"default_output_tokens" json:"default_output_tokens"`
}

// Model declares one model.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// MaxContext bounds prompt plus output, in tokens.
	MaxContext int `yaml:"max_context" json:"max_context"`
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int64 `yaml:"kv_bytes_per_token" json:"kv_bytes_per_token"`
	// PieceTokens is the unit in which engines hand out memory, in tokens.
	PieceTokens int `yaml:"piece_tokens" json:"piece_tokens"`
}

// Service declares one plain service.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// Concurrency bounds the calls in flight to one upstream.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Deduplicates says that upstreams run an idempotency key at most once
	// themselves, so that a call carrying one may be repeated.
	Deduplicates bool `yaml:"deduplicates" json:"deduplicates"`
}

// Workspace declares one customer.
type Workspace struct {
	Name ident.Workspace `yaml:"name" json:"name"`
	// Weight is the workspace's share under contention; 1 is usual.
	Weight float64 `yaml:"weight" json:"weight"`
	// RatePerSecond and Burst limit requests over all instances; 0 is no limit.
	RatePerSecond float64 `yaml:"rate_per_second" json:"rate_per_second"`
	Burst         int     `yaml:"burst" json:"burst"`
	// Concurrency limits requests in flight over all instances; 0 is no limit.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Models lists the models the workspace may use; empty means all.
	Models []string `yaml:"models" json:"models"`
}

// Role is what an engine does.
type Role string

// The roles.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	// RoleService marks a plain service.
	RoleService Role = "service"
)

// Upstream declares what one back end should run. Where it is and whether it
// lives is the platform's to say.
type Upstream struct {
	ID ident.UpstreamID `yaml:"id" json:"id"`
	// Role, Models, Adapters and Version are what the upstream is ordered to be.
	Role     Role     `yaml:"role" json:"role"`
	Models   []string `yaml:"models" json:"models"`
	Adapters []string `yaml:"adapters" json:"adapters"`
	Version  string   `yaml:"version" json:"version"`
	// Service is the plain service it runs, for RoleService.
	Service string `yaml:"service" json:"service"`
	// ChecksFencing says that the upstream refuses orders with an old fencing
	// number.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
	// Slots is how many requests a decode engine holds at once.
	Slots int `yaml:"slots" json:"slots"`
	// Pieces is the engine's KV memory, in pieces of the model's PieceTokens.
	Pieces int `yaml:"pieces" json:"pieces"`
	// PrefillTokensPerSecond is the engine's prompt rate.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	// LinkBytesPerSecond is the rate of the engine's KV transfer link.
	LinkBytesPerSecond float64 `yaml:"link_bytes_per_second" json:"link_bytes_per_second"`
	// DecodeStep is the time per output token of a decode engine that holds one
	// request; DecodeStepPerRequest is added for each further one.
	DecodeStep           time.Duration `yaml:"decode_step" json:"decode_step"`
	DecodeStepPerRequest time.Duration `yaml:"decode_step_per_request" json:"decode_step_per_request"`
}

// Policy names the decision plug-ins and sets the kernel's bounds.
type Policy struct {
	// Slots is the decode slot policy, in namespace "slots".
	Slots plugin.ID `yaml:"slots" json:"slots"`
	// Order is the waiting-queue order, in namespace "order".
	Order plugin.ID `yaml:"order" json:"order"`
	// Admission lists the checks of arriving requests, in namespace "admission".
	Admission []plugin.ID `yaml:"admission" json:"admission"`
	// Filters drop upstreams, in namespace "filter".
	Filters []plugin.ID `yaml:"filters" json:"filters"`
	// Scorers rate placements, in namespace "scorer".
	Scorers []Scorer `yaml:"scorers" json:"scorers"`
	// Regions says which availability zones lie close together: a model's
	// requests are dispatched within one region, so that no request waits for
	// messages between regions. Zones that are not listed form a region of
	// their own.
	Regions []Region `yaml:"regions" json:"regions,omitempty"`
	// QueueLimit bounds the requests waiting at one instance.
	QueueLimit int `yaml:"queue_limit" json:"queue_limit"`
	// RetryBudget is the share of requests that may be retries, 0 to 1.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// MaxAttempts bounds the attempts for one request.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// RetryBackoff is the base of the jittered backoff between attempts.
	RetryBackoff time.Duration `yaml:"retry_backoff" json:"retry_backoff"`
	// ViewStale is the age at which a load report is no longer believed.
	ViewStale time.Duration `yaml:"view_stale" json:"view_stale"`
	// KVLifetime is how long an engine keeps a prefill result.
	KVLifetime time.Duration `yaml:"kv_lifetime" json:"kv_lifetime"`
	// TransferStall is how long a KV transfer may make no progress.
	TransferStall time.Duration `yaml:"transfer_stall" json:"transfer_stall"`
}

// Region names the availability zones of one region.
type Region struct {
	Name  ident.Region `yaml:"name" json:"name"`
	Zones []ident.Zone `yaml:"zones" json:"zones"`
}

// Scorer names a scorer and its weight.
type Scorer struct {
	ID     plugin.ID `yaml:"id" json:"id"`
	Weight float64   `yaml:"weight" json:"weight"`
}
