// Package api defines what callers and wardspool exchange besides the
// OpenAI-compatible bodies: request and response headers, outcomes and the
// problem documents of RFC 9457. docs/callers.md is its prose form.
package api

import "time"

// Request headers. All are optional; the defaults are beside them.
const (
	// HeaderWorkspace names the caller's workspace. Default: DefaultWorkspace.
	HeaderWorkspace = "Wardspool-Workspace"
	// HeaderKind names the kind of request, as listed in the bundle.
	// Default: the bundle's first kind for the route.
	HeaderKind = "Wardspool-Kind"
	// HeaderRepeatable is "yes" or "no". "no" makes the request run at most
	// once. Default: the kind's setting in the bundle.
	HeaderRepeatable = "Wardspool-Repeatable"
	// HeaderDeadlineMS is the time the caller will wait, in milliseconds from
	// arrival. Default: the kind's setting in the bundle.
	HeaderDeadlineMS = "Wardspool-Deadline-Ms"
	// HeaderTicket carries a ticket for a request that is not repeatable.
	HeaderTicket = "Wardspool-Ticket"
	// HeaderRequestID names the request. Default: chosen by the instance. It
	// is returned with every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is the caller's idempotency key, if it has one.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Response headers, also sent as trailers on streamed answers where the value
// is known only at the end.
const (
	// HeaderOutcome carries an Outcome.
	HeaderOutcome = "Wardspool-Outcome"
	// HeaderBundleVersion is the bundle version the request was decided under.
	HeaderBundleVersion = "Wardspool-Bundle-Version"
	// HeaderInstance names the instance that decided the request.
	HeaderInstance = "Wardspool-Instance"
)

// DefaultWorkspace is assumed for requests that name none.
const DefaultWorkspace = "default"

// DefaultDeadline is assumed where neither the request nor its kind says how
// long the caller waits.
const DefaultDeadline = 30 * time.Second

// Outcome says whether a request ran. Every final answer carries one.
type Outcome string

const (
	// Complete marks a whole answer.
	Complete Outcome = "complete"
	// NotRun promises that no part of the request ran on any upstream: no byte
	// of an attempt was sent, or the upstream itself attested its refusal.
	NotRun Outcome = "not-run"
	// Unknown marks a request that may have run, wholly or in part.
	Unknown Outcome = "unknown"
)
