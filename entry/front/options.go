// Package front implements the HTTP API of an entry instance for callers:
// OpenAI-compatible endpoints, plain services, tickets, health checks and
// metrics. docs/callers.md describes it.
package front

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/ident"
)

// Submitter runs requests and returns their results. *driver.Driver implements
// it.
type Submitter interface {
	Submit(ctx context.Context, ex *driver.Exchange) driver.Result
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// MemoryBytes is the maximum total size of the bodies of all requests in
	// flight.
	MemoryBytes int64
	// Requests is the maximum number of requests in flight.
	Requests int64
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// HeaderTimeout is the time limit for receiving a request's header,
	// BodyTimeout that for its body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout is the time limit for each write to a caller.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// ResponseBytes is the maximum size of a plain service's response.
	ResponseBytes int64
}

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:     8 << 20,
		MemoryBytes:   256 << 20,
		Requests:      4096,
		HeaderBytes:   16 << 10,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   15 * time.Second,
		WriteTimeout:  10 * time.Second,
		IdleTimeout:   time.Minute,
		ResponseBytes: 8 << 20,
	}
}

// Options are the parameters of New.
type Options struct {
	Instance ident.InstanceID
	Limits   Limits
	Submit   Submitter
	// Catalog returns the catalog of the bundle in force, or nil if there is
	// none.
	Catalog func() *intake.Catalog
	// Ready returns the reason why the instance should get no new requests, or
	// IsReady if there is none.
	Ready func() NotReadyReason
	// Metrics handles GET /metrics.
	Metrics http.Handler
	// Tickets runs calls that carry a ticket. It is nil if no ticket keys are
	// configured.
	Tickets Tickets
	Log     *slog.Logger
}

// NotReadyReason is the reason why an instance should get no new requests.
type NotReadyReason string

// Values of NotReadyReason.
const (
	// IsReady means that the instance accepts requests.
	IsReady NotReadyReason = ""
	// NoBundle means that no bundle is in force yet.
	NoBundle NotReadyReason = "no bundle is in force on this instance yet"
	// NoAgent means that the agent does not yet know the lowest bundle version
	// that may be in force.
	NoAgent NotReadyReason = "the agent beside this instance is not ready"
	// ShutdownPending means that the instance is about to shut down. It still accepts
	// requests, so that none is lost before the platform's load balancer has
	// noticed.
	ShutdownPending NotReadyReason = "this instance is about to shut down"
	// Stopping means that the instance is shutting down.
	Stopping NotReadyReason = "this instance is shutting down"
)
