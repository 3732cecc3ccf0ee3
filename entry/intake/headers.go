package intake

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// MaxDeadline bounds how long a caller may say that it waits.
const MaxDeadline = time.Hour

// Bounds of the headers that wardspool reads.
const (
	maxIDBytes     = 128
	maxKeyBytes    = 256
	maxTicketBytes = 2048
	// maxDeadlineDigits bounds the header's length before it is parsed.
	maxDeadlineDigits = 9
)

// Headers are the checked request headers, before the bundle's defaults.
type Headers struct {
	Workspace ident.Workspace
	// Kind is empty if the caller named none.
	Kind string
	// Repeatable is nil if the caller did not say.
	Repeatable *bool
	// Deadline is 0 if the caller did not say.
	Deadline time.Duration
	// RequestID is empty if the caller chose none.
	RequestID      ident.RequestID
	IdempotencyKey string
	Ticket         string
}

// ReadHeaders checks the headers of a request. On failure the request ID is
// still returned, if that was fit.
func ReadHeaders(h http.Header) (Headers, *api.Problem) {
	out := Headers{Workspace: api.DefaultWorkspace}
	r := headerReader{header: h}
	out.RequestID = ident.RequestID(r.token(api.HeaderRequestID, maxIDBytes))
	if name := r.name(api.HeaderWorkspace); name != "" {
		out.Workspace = ident.Workspace(name)
	}
	out.Kind = r.name(api.HeaderKind)
	out.Repeatable = r.yesNo(api.HeaderRepeatable)
	out.Deadline = r.milliseconds(api.HeaderDeadlineMS)
	out.IdempotencyKey = r.token(api.HeaderIdempotencyKey, maxKeyBytes)
	out.Ticket = r.token(api.HeaderTicket, maxTicketBytes)
	return out, r.problem
}

// headerReader reads headers and keeps the first problem.
type headerReader struct {
	header  http.Header
	problem *api.Problem
}

// fail notes a problem with a header. The value is not repeated: it may be
// hostile.
func (r *headerReader) fail(name, fault string) {
	if r.problem == nil {
		r.problem = api.NewProblem(api.ProblemMalformed, api.NotRun, fmt.Sprintf("header %s %s", name, fault))
	}
}

// value returns the only value of a header.
func (r *headerReader) value(name string) string {
	values := r.header.Values(name)
	if len(values) > 1 {
		r.fail(name, "is given more than once")
		return ""
	}
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// token reads a header of visible ASCII characters.
func (r *headerReader) token(name string, limit int) string {
	v := r.value(name)
	if len(v) > limit {
		r.fail(name, fmt.Sprintf("is longer than %d bytes", limit))
		return ""
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] > '~' {
			r.fail(name, "has characters other than visible ASCII")
			return ""
		}
	}
	return v
}

// name reads a header that holds a name as in the bundle.
func (r *headerReader) name(name string) string {
	v := r.value(name)
	if v != "" && !ident.ValidName(v) {
		r.fail(name, "is not a name of lower-case letters, digits and inner hyphens")
		return ""
	}
	return v
}

// yesNo reads a header that is "yes" or "no".
func (r *headerReader) yesNo(name string) *bool {
	v := r.value(name)
	switch v {
	case "":
		return nil
	case "yes", "no":
		yes := v == "yes"
		return &yes
	default:
		r.fail(name, `is neither "yes" nor "no"`)
		return nil
	}
}

// milliseconds reads a positive time.
func (r *headerReader) milliseconds(name string) time.Duration {
	v := r.value(name)
	if v == "" {
		return 0
	}
	ms, err := strconv.ParseUint(v, 10, 32)
	if err != nil || len(v) > maxDeadlineDigits || ms == 0 {
		r.fail(name, "is not a positive whole number of milliseconds")
		return 0
	}
	d := time.Duration(ms) * time.Millisecond
	if d > MaxDeadline {
		r.fail(name, fmt.Sprintf("is longer than %d", MaxDeadline.Milliseconds()))
		return 0
	}
	return d
}

// kind returns the declared kind of a request.
func (c *Catalog) kind(name string, route config.Route) (*config.Kind, *api.Problem) {
	if name == "" {
		if k := c.first[route]; k != nil {
			return k, nil
		}
		return nil, api.NewProblem(api.ProblemUnknownKind, api.NotRun,
			"the bundle in force declares no kind of request for this route")
	}
	k := c.kinds[name]
	if k == nil {
		return nil, api.NewProblem(api.ProblemUnknownKind, api.NotRun,
			"the bundle in force declares no such kind of request")
	}
	if k.Route != route {
		return nil, api.NewProblem(api.ProblemUnknownKind, api.NotRun,
			"the kind of request belongs to another route")
	}
	return k, nil
}

// Repeatable reports whether a request may run more than once: as its headers
// say, or else its kind.
func (c *Catalog) Repeatable(h Headers, route config.Route) (bool, *api.Problem) {
	kind, problem := c.kind(h.Kind, route)
	if problem != nil {
		return false, problem
	}
	if h.Repeatable != nil {
		return *h.Repeatable, nil
	}
	return kind.Repeatable, nil
}

// TicketRequired reports whether requests of the given kind that must run at most
// once are refused when they carry no ticket.
func (c *Catalog) TicketRequired(name string, route config.Route) bool {
	kind, problem := c.kind(name, route)
	return problem == nil && kind.TicketRequired
}

// Wait returns how long the caller of a request waits: as its headers say, or
// else its kind.
func (c *Catalog) Wait(h Headers, route config.Route) (time.Duration, *api.Problem) {
	kind, problem := c.kind(h.Kind, route)
	if problem != nil {
		return 0, problem
	}
	return deadline(h, kind), nil
}

// Deduplicates reports whether a service's upstreams run an idempotency key at
// most once themselves.
func (c *Catalog) Deduplicates(service string) bool { return c.deduplicates[service] }
