// Package front is an entry instance's HTTP interface to callers: the
// OpenAI-compatible routes, plain services, tickets, health and metrics.
// docs/callers.md describes it.
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

// Submitter decides on requests and carries them out. *driver.Driver
// implements it.
type Submitter interface {
	Submit(ctx context.Context, ex *driver.Exchange) driver.Result
}

// Limits bound what callers can cost.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// MemoryBytes bounds the bodies of all requests in flight.
	MemoryBytes int64
	// Requests bounds the requests in flight.
	Requests int64
	// HeaderBytes is the largest request header.
	HeaderBytes int
	// HeaderTimeout bounds the arrival of a request's header, BodyTimeout that
	// of its body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// ResponseBytes is the largest answer of a plain service.
	ResponseBytes int64
}

// DefaultLimits returns the limits used where the settings say nothing.
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
	// Catalog returns the bundle in force, nil if there is none.
	Catalog func() *intake.Catalog
	// Ready returns why the instance should get no new requests, IsReady if it
	// should.
	Ready func() Unready
	// Metrics answers GET /metrics.
	Metrics http.Handler
	// Tickets runs calls that carry a ticket; nil if none are configured.
	Tickets Tickets
	Log     *slog.Logger
}

// Unready says why an instance takes no new requests.
type Unready string

// The reasons for not being ready.
const (
	// IsReady: the instance takes requests.
	IsReady Unready = ""
	// NoBundle: no bundle is in force yet.
	NoBundle Unready = "no bundle is in force on this instance yet"
	// NoAgent: the agent does not know the lowest bundle version that may be in
	// force yet.
	NoAgent Unready = "the agent beside this instance is not ready"
	// Leaving: the instance is about to shut down. It still takes requests, so
	// that none is lost before the platform's balancer has noticed.
	Leaving Unready = "this instance is about to shut down"
	// Stopping: the instance is shutting down.
	Stopping Unready = "this instance is shutting down"
)
