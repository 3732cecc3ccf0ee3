package front

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/connlimit"
	requesttarget "github.com/wardspool/wardspool/internal/target"
	"github.com/wardspool/wardspool/ticket"
)

// target is the model endpoint or the service that a path addresses.
type target struct {
	// endpoint is set for model requests.
	endpoint adapter.Endpoint
	// service and rest are set for plain services. rest is the path at the
	// service, including the query.
	service     string
	servicePath string
}

// Paths of requests that are sent to upstreams.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	// servicePrefix precedes the service's name and path.
	servicePrefix = "/services/"
)

// parseTarget finds what a request's target addresses. It returns false for
// paths that no upstream serves.
func parseTarget(path requesttarget.Target) (target, bool) {
	switch path.Path() {
	case pathCompletions:
		return target{endpoint: adapter.Completions}, true
	case pathChat:
		return target{endpoint: adapter.Chat}, true
	}
	after, ok := strings.CutPrefix(string(path), servicePrefix)
	if !ok {
		return target{}, false
	}
	slash := strings.IndexByte(after, '/')
	if slash < 0 {
		return target{}, false
	}
	return target{service: after[:slash], servicePath: after[slash:]}, true
}

// route returns the configured route of the target.
func (t target) route() config.Route {
	if t.service != "" {
		return config.RouteService
	}
	return config.RouteModel
}

// call is a caller's request with parsed headers.
type call struct {
	arrived time.Time
	method  string
	// path is the path with the query, as sent; "" if it cannot be forwarded.
	path    requesttarget.Target
	target  target
	headers intake.Headers
	header  http.Header
	body    []byte
	// unread is set until the body, if any, was read to its end.
	unread bool
	// ticketed is set for a call that its ticket's executor runs or has decided
	// on.
	ticketed bool
	catalog  *intake.Catalog
}

// readCall reads a request's headers and checks whether this instance can accept
// the request.
func (f *Front) readCall(r *http.Request) (*call, *api.Problem) {
	c := &call{
		arrived: time.Now(),
		method:  r.Method,
		header:  r.Header,
		unread:  r.ContentLength != 0,
		catalog: f.opts.Catalog(),
	}
	var problem *api.Problem
	c.headers, problem = intake.ReadHeaders(r.Header)
	var err error
	if c.path, err = requesttarget.Read(r); err != nil {
		problem = malformedTarget(err)
	}
	if c.headers.RequestID == "" {
		c.headers.RequestID = newRequestID()
	}
	if problem == nil {
		problem = f.notReadyProblem()
	}
	if problem == nil && c.catalog == nil {
		problem = api.NewProblem(api.ProblemNotReady, api.NotRun, string(NoBundle)).WithRetryAfter(retryAfterNotReady)
	}
	return c, problem
}

// malformedTarget returns the problem for a target that cannot be forwarded as it
// was sent.
func malformedTarget(err error) *api.Problem {
	detail := err.Error()
	var unsupported *requesttarget.UnsupportedError
	if errors.As(err, &unsupported) {
		detail = string(unsupported.Reason)
	}
	return api.NewProblem(api.ProblemMalformed, api.NotRun, detail)
}

// fail answers a call with a problem found at this instance. A call that
// carries a ticket may have run at another instance; only its executor knows.
func (f *Front) fail(w http.ResponseWriter, c *call, p *api.Problem) {
	if c.header.Get(api.HeaderTicket) != "" && !c.ticketed {
		p = ticket.WithUnknownOutcome(p)
	}
	if c.unread {
		// Otherwise the server would read the rest of the body, as slowly as
		// the caller sends it, before it answers.
		w.Header().Set("Connection", "close")
	}
	p.RequestID = string(c.headers.RequestID)
	if c.catalog != nil {
		p.BundleVersion = c.catalog.Version
	}
	f.writeProblemDocument(w, p)
}

// serve handles all requests that are sent to upstreams.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	c, problem := f.readCall(r)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	var ok bool
	if c.target, ok = parseTarget(c.path); !ok {
		f.fail(w, c, noRoute(http.StatusNotFound, "no such path"))
		return
	}
	if !f.requests.reserve(1) {
		f.fail(w, c, overloaded("too many requests are in flight"))
		return
	}
	defer f.requests.release(1)
	body, release, problem := f.readBody(w, r)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	defer release()
	c.body, c.unread = body, false
	connlimit.PassedOn(r.Context())
	f.chooseExecution(r.Context(), w, c)
}

// chooseExecution selects how a call is protected against running twice, and
// runs it.
func (f *Front) chooseExecution(ctx context.Context, w http.ResponseWriter, c *call) {
	repeatable, problem := c.catalog.Repeatable(c.headers, c.target.route())
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	path := ticket.ChoosePath(ticket.Traits{
		Repeatable:   repeatable,
		Ticket:       c.headers.Ticket != "",
		Key:          c.headers.IdempotencyKey != "",
		Deduplicates: c.catalog.Deduplicates(c.target.service),
		Required:     c.catalog.TicketRequired(c.headers.Kind, c.target.route()),
	})
	switch path {
	case ticket.PathTicket:
		f.executeTicket(ctx, w, c)
	case ticket.PathTicketRequired:
		f.requireTicket(w, c)
	default:
		f.dispatch(ctx, w, c)
	}
}

// dispatch runs a call and writes its answer.
func (f *Front) dispatch(ctx context.Context, w http.ResponseWriter, c *call) {
	if c.target.service != "" {
		f.dispatchService(ctx, w, c)
		return
	}
	f.dispatchModel(ctx, w, c)
}

// validService reports whether the path contains a valid service name.
func (t target) validService() bool { return ident.ValidName(t.service) }
