package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/ticket"
)

// target is what a path asks for.
type target struct {
	// endpoint is set for models.
	endpoint adapter.Endpoint
	// service and rest, the path at the service with its query, are set for
	// plain services.
	service string
	rest    string
}

// Paths of the requests that reach upstreams.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	// servicePrefix comes before a service's name and path.
	servicePrefix = "/services/"
)

// parseTarget reads an escaped path with its query. It reports false for paths
// that reach no upstream.
func parseTarget(path string) (target, bool) {
	plain, _, _ := strings.Cut(path, "?")
	switch plain {
	case pathCompletions:
		return target{endpoint: adapter.Completions}, true
	case pathChat:
		return target{endpoint: adapter.Chat}, true
	}
	after, ok := strings.CutPrefix(path, servicePrefix)
	if !ok {
		return target{}, false
	}
	slash := strings.IndexByte(after, '/')
	if slash < 0 {
		return target{}, false
	}
	return target{service: after[:slash], rest: after[slash:]}, true
}

// route returns the bundle's route for the target.
func (t target) route() config.Route {
	if t.service != "" {
		return config.RouteService
	}
	return config.RouteModel
}

// call is a caller's request, read and with checked headers.
type call struct {
	at      time.Time
	method  string
	path    string
	target  target
	headers intake.Headers
	header  http.Header
	body    []byte
	// unread is true while the body, if there is one, was not read to its end.
	unread bool
	// ticketed is true for a call that runs by its ticket.
	ticketed bool
	catalog  *intake.Catalog
}

// arrive checks whether a request can be taken at all, and its headers.
func (f *Front) arrive(r *http.Request) (*call, *api.Problem) {
	c := &call{
		at:      time.Now(),
		method:  r.Method,
		path:    r.URL.EscapedPath(),
		header:  r.Header,
		unread:  r.ContentLength != 0,
		catalog: f.opts.Catalog(),
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	var problem *api.Problem
	c.headers, problem = intake.ReadHeaders(r.Header)
	if c.headers.RequestID == "" {
		c.headers.RequestID = newRequestID()
	}
	if problem == nil {
		problem = f.unready()
	}
	if problem == nil && c.catalog == nil {
		problem = api.NewProblem(api.ProblemNotReady, api.NotRun, string(NoBundle)).RetryAfter(retryNotReady)
	}
	return c, problem
}

// fail answers a call with a problem found at this instance. A call that
// carries a ticket may have run elsewhere, which only its executor knows.
func (f *Front) fail(w http.ResponseWriter, c *call, p *api.Problem) {
	if c.header.Get(api.HeaderTicket) != "" && !c.ticketed {
		p = ticket.RefusedElsewhere(p)
	}
	if c.unread {
		// Else the server would read on, as slowly as the caller sends, before it
		// answers.
		w.Header().Set("Connection", "close")
	}
	p.RequestID = string(c.headers.RequestID)
	if c.catalog != nil {
		p.BundleVersion = c.catalog.Version
	}
	f.write(w, p)
}

// serve answers all requests that reach upstreams.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	c, problem := f.arrive(r)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	var ok bool
	if c.target, ok = parseTarget(c.path); !ok {
		f.fail(w, c, noRoute(http.StatusNotFound, "no such path"))
		return
	}
	if !f.requests.take(1) {
		f.fail(w, c, overloaded("too many requests are in flight"))
		return
	}
	defer f.requests.give(1)
	body, release, problem := f.readBody(w, r)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	defer release()
	c.body, c.unread = body, false
	f.choose(r.Context(), w, c)
}

// choose decides how a call is kept from running twice.
func (f *Front) choose(ctx context.Context, w http.ResponseWriter, c *call) {
	repeatable, problem := c.catalog.Repeatable(c.headers, c.target.route())
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	path := ticket.Choose(ticket.Traits{
		Repeatable:   repeatable,
		Ticket:       c.headers.Ticket != "",
		Key:          c.headers.IdempotencyKey != "",
		Deduplicates: c.catalog.Deduplicates(c.target.service),
		Required:     c.catalog.TicketRequired(c.headers.Kind, c.target.route()),
	})
	switch path {
	case ticket.PathTicket:
		f.runTicket(ctx, w, c)
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

// validService reports whether a path names a service at all.
func (t target) validService() bool { return ident.ValidName(t.service) }
