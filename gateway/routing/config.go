// Package routing holds the gateway's routing configuration. It maps a caller's request by host and
// path prefix to a route, and a route to the services that its requests are sent to.
package routing

import (
	"time"
)

// Kind is the kind of a route's requests. It determines whether they may run more than once and how
// they are answered.
type Kind int

// The kinds of routes.
const (
	// Idempotent means that requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce means that requests run once or not at all.
	AtMostOnce
	// Stream means that requests are answered by a sequence of events from a model engine. They
	// run at most once unless the route is resumable.
	Stream
)

// String returns the kind's name for logs and metrics.
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

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is the service's share, relative to the weights of the route's other services.
	Weight int `json:"weight"`
}

// Route is one route of a configuration. It matches requests by host and path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout bounds the duration of a request, from its last byte to the last byte of its answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: for a stream that of the first event, otherwise that of
	// the whole answer.
	Objective time.Duration `json:"objective"`
	// PaceObjective is the longest pause between two events of a stream that still counts as on
	// time.
	PaceObjective time.Duration `json:"pace_objective,omitempty"`
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// Services are the services that the requests are distributed to, by weight.
	Services []WeightedService `json:"services"`
	// MaxAttempts is how many upstreams may run one request.
	MaxAttempts int `json:"max_attempts"`
	// Resumable means that a stream may continue at another upstream after the last event that
	// the caller has received.
	Resumable bool `json:"resumable,omitempty"`
	// Public means that callers need no key.
	Public bool `json:"public,omitempty"`
	// Regions are the regions in which requests may run and their KV caches may be stored.
	Regions Regions `json:"regions"`
}

// Repeatable reports whether a request of the route may be sent again although it may already have
// run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int `json:"slots"`
	// KVTokens is the KV cache memory of one engine, in tokens.
	KVTokens int `json:"kv_tokens"`
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int `json:"stride"`
	// HandleTTL is how long an engine keeps a prefill result that is not fetched.
	HandleTTL time.Duration `json:"handle_ttl"`
	// SwitchTime is how long an engine serves no requests while it changes its stage.
	SwitchTime time.Duration `json:"switch_time"`
	// ReservationTTL is the longest time for which memory can be reserved.
	ReservationTTL time.Duration `json:"hold_ttl"`
	// SupportsMigration means that the engines can move running requests to each other.
	SupportsMigration bool `json:"migrates,omitempty"`
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of an upstream's health checks.
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the number of connections that all instances together have to one
	// upstream.
	MaxConnections int `json:"max_connections"`
	// ColdRate limits the requests per second that a cold upstream may get from all instances
	// together; 0 means no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration `json:"cold_time,omitempty"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Limits bounds the size and duration of callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Config is one version of the routing configuration. It must not be changed after it is read.
type Config struct {
	// Version increases with each configuration that the operators publish.
	Version  int64              `json:"version"`
	Routes   []Route            `json:"routes"`
	Services map[string]Service `json:"services"`
	Limits   Limits             `json:"limits"`
	// KeysRequired means that callers need a workspace's key, except on public routes.
	KeysRequired bool        `json:"keyed,omitempty"`
	Workspaces   []Workspace `json:"workspaces,omitempty"`
}
