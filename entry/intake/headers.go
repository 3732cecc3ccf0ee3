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

// MaxDeadline is the longest deadline that a caller may set.
const MaxDeadline = time.Hour

// Length limits of the headers that wardspool reads.
const (
	maxIDBytes     = 128
	maxKeyBytes    = 256
	maxTicketBytes = 2048
	// maxDeadlineDigits limits the length of the deadline header.
	maxDeadlineDigits = 9
)

// Headers holds the validated request headers, before the bundle's defaults are
// applied.
type Headers struct {
	Workspace ident.Workspace
	// Kind is empty if the caller set none.
	Kind string
	// Repeatable is nil if the caller did not set it.
	Repeatable *bool
	// Deadline is 0 if the caller set none.
	Deadline time.Duration
	// RequestID is empty if the caller set none.
	RequestID      ident.RequestID
	IdempotencyKey string
	Ticket         string
}

// ReadHeaders parses and validates the headers of a request. On failure it still
// returns the request ID, if that is valid.
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

// headerReader reads headers and records the first problem.
type headerReader struct {
	header  http.Header
	problem *api.Problem
}

// fail records a problem with a header. The text does not include the value, which
// may be hostile.
func (r *headerReader) fail(name, fault string) {
	if r.problem == nil {
		r.problem = api.NewProblem(api.ProblemMalformed, api.NotRun, fmt.Sprintf("header %s %s", name, fault))
	}
}

// value returns the value of a header, empty if there is none. More than one value
// is a problem.
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

// name reads a header that holds the name of something declared in the bundle.
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

// milliseconds reads a positive duration of at most MaxDeadline.
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

// kind returns the declaration of a kind of request. If name is empty, that is the
// first kind declared for the route.
func (c *Catalog) kind(name string, route config.Route) (*config.Kind, *api.Problem) {
	if name == "" {
		if k := c.defaultKinds[route]; k != nil {
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

// Repeatable reports whether a request may run more than once, as set by its
// headers or else by its kind.
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
// once are rejected if they carry no ticket.
func (c *Catalog) TicketRequired(name string, route config.Route) bool {
	kind, problem := c.kind(name, route)
	return problem == nil && kind.TicketRequired
}

// Deadline returns how long the caller of a request waits for the answer, as set by
// the headers or else by the kind.
func (c *Catalog) Deadline(h Headers, route config.Route) (time.Duration, *api.Problem) {
	kind, problem := c.kind(h.Kind, route)
	if problem != nil {
		return 0, problem
	}
	return deadline(h, kind), nil
}

// Deduplicates reports whether the upstreams of a service ensure themselves that
// an idempotency key runs at most once.
func (c *Catalog) Deduplicates(service string) bool { return c.deduplicates[service] }
