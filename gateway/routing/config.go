// Package routing holds the gateway's routing configuration: which route a
// caller's request takes, by host and path prefix, and which services the route
// sends it to.
package routing

import (
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run once or not at all.
	AtMostOnce
	// Stream requests are answered by a series of events of a model engine. They
	// run at most once, unless the route is resumable.
	Stream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at_most_once"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Weighted is a service with its share of a route's requests.
type Weighted struct {
	Service string `json:"service"`
	// Weight is relative to the other services of the route.
	Weight int `json:"weight"`
}

// Route is one route of a configuration.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout bounds a request's whole stay, from its last byte to its answer's.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: of the whole answer, of a stream's
	// first event.
	Objective time.Duration `json:"objective"`
	// PaceObjective is the longest pause between two events of a stream that is
	// still on time.
	PaceObjective time.Duration `json:"pace_objective,omitempty"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Services share the requests by weight.
	Services []Weighted `json:"services"`
	// MaxAttempts is how many upstreams may run one request.
	MaxAttempts int `json:"max_attempts"`
	// Resumable streams may go on at another upstream after the last event that
	// the caller has.
	Resumable bool `json:"resumable,omitempty"`
	// Public routes serve callers without a key too.
	Public bool `json:"public,omitempty"`
	// Regions are the regions in which requests may run and their KV caches may be stored.
	Regions Regions `json:"regions"`
}

// Repeatable reports whether a request of the route may run again after it may
// have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int `json:"slots"`
	// KVTokens is the KV cache memory of one engine, in tokens.
	KVTokens int `json:"kv_tokens"`
	// Stride is how many tokens one event of a stream holds.
	Stride int `json:"stride"`
	// HandleTTL is how long an engine keeps a prefill result that nobody fetches.
	HandleTTL time.Duration `json:"handle_ttl"`
	// SwitchTime is how long an engine serves nothing while it changes its stage.
	SwitchTime time.Duration `json:"switch_time"`
	// HoldTTL is the longest time for which memory can be reserved.
	HoldTTL time.Duration `json:"hold_ttl"`
	// Migrates means that engines move running requests to one another.
	Migrates bool `json:"migrates,omitempty"`
}

// Service is a group of equal upstreams.
type Service struct {
	Name string `json:"name"`
	// HealthPath is where an upstream answers health checks.
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the connections to one upstream, of all instances
	// together.
	MaxConnections int `json:"max_connections"`
	// ColdRate is the limit on the requests a second that a cold upstream may get from all
	// instances together; 0 means no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdTime is how long an upstream is cold after a start.
	ColdTime time.Duration `json:"cold_time,omitempty"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Config is one version of the routing configuration. It must not be changed.
type Config struct {
	// Version rises with each configuration that the operators publish.
	Version  int64              `json:"version"`
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// Keyed means that callers need a key of a workspace, but on public routes.
	Keyed      bool        `json:"keyed,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}
