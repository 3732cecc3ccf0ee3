package front

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/tickets"
	"github.com/wardspool/wardspool/ident"
	requesttarget "github.com/wardspool/wardspool/internal/target"
	"github.com/wardspool/wardspool/ticket"
)

// Tickets issues tickets and runs calls that carry one. *tickets.Dispatcher
// implements it.
type Tickets interface {
	Issue(w ident.Workspace) (text string, expires time.Time, problem *api.Problem)
	Execute(ctx context.Context, c *tickets.Call) tickets.Reply
}

// ticketResponse is the response to POST /v1/tickets.
type ticketResponse struct {
	Ticket string `json:"ticket"`
	// ExpiresAt is the ticket's expiry time by the instance's clock.
	ExpiresAt time.Time `json:"expires_at"`
}

// maxTicketBytes is the maximum size of the body of a call with a ticket, and
// of its answer, so that each fits into one frame between instances.
const maxTicketBytes = 512 << 10

// ticketsNotConfigured returns the problem of an instance without ticket keys.
func ticketsNotConfigured() *api.Problem {
	return api.NewProblem(api.ProblemNotReady, api.NotRun, "tickets are not configured on this instance")
}

// issueTicket handles POST /v1/tickets.
func (f *Front) issueTicket(w http.ResponseWriter, r *http.Request) {
	c, problem := f.readCall(r)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	text, expires, problem := f.issue(c)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	h := w.Header()
	h.Set(api.HeaderTicket, text)
	h.Set(api.HeaderRequestID, string(c.headers.RequestID))
	h.Set(api.HeaderOutcome, string(api.Complete))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	f.renewWriteDeadline(w)
	w.WriteHeader(http.StatusCreated)
	if err := json.NewEncoder(w).Encode(ticketResponse{Ticket: text, ExpiresAt: expires}); err != nil {
		f.opts.Log.Debug("ticket not delivered", "error", err)
	}
}

// issue returns a ticket for a call's workspace.
func (f *Front) issue(c *call) (string, time.Time, *api.Problem) {
	if f.opts.Tickets == nil {
		return "", time.Time{}, ticketsNotConfigured()
	}
	if problem := c.catalog.Workspace(c.headers.Workspace); problem != nil {
		return "", time.Time{}, problem
	}
	return f.opts.Tickets.Issue(c.headers.Workspace)
}

// requireTicket refuses a call that needs a ticket, and returns a new ticket
// with the problem.
func (f *Front) requireTicket(w http.ResponseWriter, c *call) {
	text, _, problem := f.issue(c)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	w.Header().Set(api.HeaderTicket, text)
	f.fail(w, c, ticket.RequiredProblem())
}

// executeTicket asks the ticket's executor to run a call and writes the answer.
func (f *Front) executeTicket(ctx context.Context, w http.ResponseWriter, c *call) {
	if f.opts.Tickets == nil {
		f.fail(w, c, ticketsNotConfigured())
		return
	}
	if len(c.body) > maxTicketBytes {
		f.fail(w, c, tooLarge())
		return
	}
	wait, problem := c.catalog.Deadline(c.headers, c.target.route())
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	reply := f.opts.Tickets.Execute(ctx, &tickets.Call{
		Ticket:         c.headers.Ticket,
		Method:         c.method,
		Path:           string(c.path),
		Workspace:      c.headers.Workspace,
		Kind:           c.headers.Kind,
		Request:        c.headers.RequestID,
		DeadlineMS:     c.headers.Deadline.Milliseconds(),
		Wait:           wait,
		IdempotencyKey: c.headers.IdempotencyKey,
		Header:         c.header,
		Body:           c.body,
	})
	if reply.Result == nil && reply.Problem == nil {
		reply.Problem = ticket.UnreachableProblem()
	}
	if reply.Problem != nil {
		// The problem comes from the executor, so its outcome is kept.
		c.ticketed = true
		f.fail(w, c, reply.Problem)
		return
	}
	f.writeTicketResult(w, c, reply.Result)
}

// writeTicketResult writes the final answer that the executor returned.
func (f *Front) writeTicketResult(w http.ResponseWriter, c *call, r *ticket.Result) {
	h := w.Header()
	h.Set(api.HeaderOutcome, string(r.Outcome))
	h.Set(api.HeaderRequestID, string(c.headers.RequestID))
	if r.BundleVersion > 0 {
		h.Set(api.HeaderBundleVersion, strconv.FormatUint(r.BundleVersion, 10))
	}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	f.renewWriteDeadline(w)
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil {
		f.opts.Log.Debug("answer not delivered", "request", c.headers.RequestID, "error", err)
	}
}

// RunTicket runs a call whose ticket this instance has just consumed. It is the
// tickets.Runner of the instance.
func (f *Front) RunTicket(ctx context.Context, t *tickets.Call) ticket.Result {
	w := &captureWriter{header: http.Header{}}
	no := false
	c := &call{
		arrived:  time.Now(),
		method:   t.Method,
		path:     requesttarget.Target(t.Path),
		header:   http.Header(t.Header),
		body:     t.Body,
		ticketed: true,
		catalog:  f.opts.Catalog(),
	}
	c.headers.Workspace = t.Workspace
	c.headers.Kind = t.Kind
	c.headers.Repeatable = &no
	c.headers.Deadline = time.Duration(t.DeadlineMS) * time.Millisecond
	c.headers.IdempotencyKey = t.IdempotencyKey
	// The caller's request ID may be in use here by another presentation. The
	// journal maps it to this one.
	c.headers.RequestID = t.Run
	var ok bool
	if c.target, ok = parseTarget(c.path); !ok || c.catalog == nil {
		f.fail(w, c, noRoute(http.StatusNotFound, "no such path"))
		return w.result()
	}
	f.dispatch(ctx, w, c)
	return w.result()
}

// captureWriter is a ResponseWriter that keeps the response in memory.
type captureWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *captureWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *captureWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *captureWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// result returns the captured response.
func (w *captureWriter) result() ticket.Result {
	// The header is missing if no bundle was in force; the version is then 0.
	version, _ := strconv.ParseUint(w.header.Get(api.HeaderBundleVersion), 10, 64)
	return ticket.Result{
		Outcome:       api.Outcome(w.header.Get(api.HeaderOutcome)),
		BundleVersion: version,
		Status:        max(w.status, http.StatusOK),
		ContentType:   w.header.Get("Content-Type"),
		Body:          w.body.Bytes(),
	}
}
