// Package front implements the HTTP handler for callers. It finds a request's route, reads the
// whole request, has package carry send it to an upstream, and writes the answer. For requests
// without an answer it reports whether they may have run.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/connlimit"
	"github.com/wardspool/wardspool/internal/target"
	"github.com/wardspool/wardspool/logs"
)

const (
	// defaultMaxBody bounds a request body if the configuration sets no limit, in bytes.
	defaultMaxBody = 4 << 20
	// retryNotReady is the Retry-After for requests to an instance that has no configuration
	// yet. It asks the store and its peers every 200 ms.
	retryNotReady = 300 * time.Millisecond
	// retryNoMemory is the Retry-After for requests refused for lack of memory. By then
	// other requests may have finished, or the retry may reach another instance.
	retryNoMemory = 300 * time.Millisecond
	// defaultTimeout bounds a request whose route sets no timeout.
	defaultTimeout = 30 * time.Second
	// writeSlack is how long after a request's deadline its caller may take to read the
	// answer.
	writeSlack = 2 * time.Second
)

// Options holds the dependencies of a Front.
type Options struct {
	Dialect dialect.Dialect
	// Forwarder sends requests to upstreams.
	Forwarder *carry.Forwarder
	// Budget is the retry budget; it counts the requests.
	Budget *schedule.Budget
	Limits Limits
	// View returns the current view of configuration and upstreams.
	View func() *fleet.Snapshot
	// ConfigAge returns how long ago the configuration in use was last known to be the newest.
	// MaxConfigAge is the time within which changes must take effect; an older configuration may be
	// out of date. Refresh starts looking for a newer one.
	ConfigAge    func() time.Duration
	MaxConfigAge time.Duration
	Refresh      func()
	// RequestArrived is called for each request that its workspace's limit allows.
	RequestArrived func()
	// Memory limits the memory held by request bodies and answers.
	Memory *memory.Budget
	Log    *slog.Logger
	// Count increments the counter of the named event.
	Count func(name string)
	// CountLimitUnits counts the cost of a request whose workspace has a limit, by the verdict on
	// it.
	CountLimitUnits func(workspace, verdict string, cost float64)
	// ObserveRequest records a request's outcome and duration.
	ObserveRequest func(route *routing.Route, outcome string, took time.Duration)
}

// Front is the HTTP handler for callers' requests.
type Front struct {
	o Options
	// closing makes each response the last one of its connection.
	closing atomic.Bool
	// active counts requests in progress.
	active atomic.Int64
}

// New returns a Front with the given dependencies.
func New(o Options) *Front { return &Front{o: o} }

// CloseConnections makes each response from now on the last one of its connection.
func (f *Front) CloseConnections() { f.closing.Store(true) }

// Closing reports whether CloseConnections was called.
func (f *Front) Closing() bool { return f.closing.Load() }

// Active returns the number of requests in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	defer f.reportPanic(r)
	arrived := clock.Now()
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call, err := f.o.Dialect.Read(r)
	if err != nil {
		f.refuseMalformed(w, err)
		return
	}
	view := f.o.View()
	if !view.Ready() {
		f.o.Log.Info("refused", "request", call.ID, "reason", "not_ready")
		f.problem(w, call, http.StatusServiceUnavailable, "not_ready", api.NotRun, retryNotReady)
		return
	}
	j, err := f.admit(call, view.Table)
	if err != nil {
		f.reject(w, call, view, err)
		return
	}
	j.Arrived, j.Deadline = arrived, arrived.Add(requestTimeout(call, j.Route))
	j.Memory = f.o.Memory.Open(memoryAccountKey(r, j))
	defer j.Memory.Close()
	if f.readBody(w, r, j, view.Table) {
		f.serve(w, r, j)
	}
}

// refuseMalformed refuses a request that cannot be read or not be forwarded as it was sent.
func (f *Front) refuseMalformed(w http.ResponseWriter, err error) {
	f.o.Log.Info("malformed request refused", "error", err)
	p := api.Problem{Title: "bad_request", Status: http.StatusBadRequest, Detail: err.Error(), Outcome: api.NotRun}
	var unsupported *target.UnsupportedError
	if errors.As(err, &unsupported) {
		f.o.Count("refused_bad_target")
		p.Title, p.Detail = "bad_target", string(unsupported.Reason)
	}
	f.writeProblem(w, nil, p, 0)
}

// memoryAccountKey returns the key under which a request's memory is accounted: its workspace,
// or its remote address if it has none.
func memoryAccountKey(r *http.Request, j *carry.Job) string {
	if name := j.WorkspaceName(); name != "" {
		return "workspace " + name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody reads a request's body into its call. It returns false if it refused the request. If the
// body cannot be read for another reason, usually because the caller has disconnected, it aborts
// the handler.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, j *carry.Job, table *routing.Table) bool {
	limit := int64(defaultMaxBody)
	if configured := table.Config().Limits.MaxBodyBytes; configured > 0 {
		limit = configured
	}
	if r.ContentLength > limit {
		f.problem(w, j.Call, http.StatusRequestEntityTooLarge, "body_too_large", api.NotRun, 0)
		return false
	}
	body, err := readAll(w, r, limit, j)
	var tooLarge *http.MaxBytesError
	var exceeded *memory.BudgetExceededError
	if errors.As(err, &exceeded) {
		f.o.Count("refused_no_memory")
		f.o.Log.Info("refused", "request", j.Call.ID, "route", j.Route.Name, "reason", "no_memory", "bytes", exceeded.Bytes, "version", j.Version)
		f.problem(w, j.Call, http.StatusServiceUnavailable, "no_memory", api.NotRun, retryNoMemory)
		return false
	}
	if errors.As(err, &tooLarge) {
		f.problem(w, j.Call, http.StatusRequestEntityTooLarge, "body_too_large", api.NotRun, 0)
		return false
	}
	if err != nil && carry.Stopped(r.Context()) {
		f.refuseStopping(w, j)
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && clock.Until(j.Deadline) <= 0 {
		f.o.Count("request_body_late")
		f.o.Log.Info("refused", "request", j.Call.ID, "route", j.Route.Name, "reason", "body_late", "version", j.Version)
		w.Header().Set("Connection", "close")
		f.problem(w, j.Call, http.StatusRequestTimeout, "body_late", api.NotRun, 0)
		return false
	}
	if err != nil {
		f.o.Count("request_body_unread")
		f.o.Log.Info("failed to read the request body", "request", j.Call.ID, "route", j.Route.Name, "left_ms", clock.Until(j.Deadline).Milliseconds(), "version", j.Version, "error", err)
		panic(http.ErrAbortHandler)
	}
	j.Call.Body = body
	return true
}

// readAll reads a request body of at most limit bytes until the request's context ends. The error
// is an *http.MaxBytesError if the body is longer, a *memory.BudgetExceededError if the job's account
// cannot reserve memory for it, and os.ErrDeadlineExceeded if it is not whole at the job's deadline.
func readAll(w http.ResponseWriter, r *http.Request, limit int64, j *carry.Job) ([]byte, error) {
	rc := http.NewResponseController(w)
	// If the connection does not support deadlines, the reads end when the server closes it.
	_ = rc.SetReadDeadline(time.Now().Add(clock.Until(j.Deadline)))
	stop := context.AfterFunc(r.Context(), func() { _ = rc.SetReadDeadline(time.Now()) })
	defer stop()
	length := r.ContentLength
	if length < 0 {
		length = memory.UnknownLength
	}
	body, err := memory.ReadAll(http.MaxBytesReader(w, r.Body, limit), length, j.Memory.TryGrow)
	if err == nil && stop() {
		// The server goes on reading, to notice that the caller disconnects.
		_ = rc.SetReadDeadline(time.Time{})
	}
	return body, err
}

// refuseStopping refuses a request that had not been sent to any upstream when the instance
// stopped.
func (f *Front) refuseStopping(w http.ResponseWriter, j *carry.Job) {
	e := carry.NewStoppingError(carry.NotRun)
	f.o.Count("refused_" + e.Reason)
	f.o.Log.Info("refused", "request", j.Call.ID, "route", j.Route.Name, "reason", e.Reason, "version", j.Version)
	f.answerNotRun(w, j, e)
}

// serve carries out a request whose body has been read, if its workspace's limit allows it.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, j *carry.Job) {
	cost, ok := f.charge(w, r, j)
	if !ok {
		return
	}
	f.o.Budget.Request(j.Arrived, j.Service.Name)
	f.o.RequestArrived()
	j.Content = quarantine.ContentOf(j.Call)
	// From here on the connection does not give way to others; it may have done so before.
	connlimit.PassedOn(r.Context())
	rc := http.NewResponseController(w)
	if err := rc.SetWriteDeadline(time.Now().Add(clock.Until(j.Deadline) + writeSlack)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		f.o.Count("connection_closed_before_send")
		f.o.Log.Info("request not sent, its connection is closed", "request", j.Call.ID, "route", j.Route.Name, "error", err)
		f.returnCost(j, cost)
		abort(r, rc)
	}
	if !f.carry(r.Context(), w, rc, j, cost) {
		abort(r, rc)
	}
}

// requestTimeout returns how long a request may take: the route's timeout, or how long the caller
// waits if that is shorter.
func requestTimeout(c *dialect.Call, r *routing.Route) time.Duration {
	p := r.Timeout
	if p <= 0 {
		p = defaultTimeout
	}
	if c.CallerTimeout > 0 {
		p = min(p, c.CallerTimeout)
	}
	return p
}

// carry has the Forwarder send a request to upstreams, and answers it. It returns the cost of the
// request to the workspace's limit if the request did not run. The result is false if the answer
// broke off or the caller has disconnected, so that the answer must not look complete.
func (f *Front) carry(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController, j *carry.Job, cost float64) bool {
	response, err := f.forward(ctx, j, &streamWriter{w: w, rc: rc})
	if didNotRun(err) {
		f.returnCost(j, cost)
	}
	outcome := f.answer(w, j, response, err)
	took, left := clock.Since(j.Arrived), clock.Until(j.Deadline)
	if left < 0 && outcome != outcomeAbandoned {
		f.o.Count("answered_after_deadline")
	}
	f.o.ObserveRequest(j.Route, outcome, took)
	status := 0
	if response != nil {
		status = response.Status
	}
	var cut carry.CutReason
	var broken *carry.InterruptedError
	if errors.As(err, &broken) {
		cut = broken.Reason
	}
	f.o.Log.Info("answered", "request", j.Call.ID, "content", j.Content.String(), "route", j.Route.Name, "workspace", j.WorkspaceName(), "outcome", outcome, "cut_by", string(cut), "status", status,
		"took_ms", took.Milliseconds(), "left_ms", left.Milliseconds(), "version", j.Version, "error", logs.ErrorText(err))
	return outcome != outcomeAbandoned && outcome != outcomeBroken
}

// returnCost returns the cost of a request that did not run to its workspace's limit.
func (f *Front) returnCost(j *carry.Job, cost float64) {
	if cost > 0 {
		f.o.Limits.ReturnTokens(j.Workspace, cost)
		f.o.CountLimitUnits(j.Workspace.Name, "returned", cost)
	}
}

// forward has the Forwarder send a request to upstreams.
func (f *Front) forward(ctx context.Context, j *carry.Job, sw *streamWriter) (*carry.Response, error) {
	if j.Service.Engine != nil && j.Route.Kind == routing.Stream {
		return f.o.Forwarder.Stream(ctx, j, sw)
	}
	return f.o.Forwarder.Plain(ctx, j)
}

// The outcomes of requests, as they appear in logs and metrics.
const (
	outcomeComplete  = "complete"
	outcomeFailed    = "failed_upstream"
	outcomeNotRun    = "not_run"
	outcomeUnknown   = "unknown"
	outcomeAbandoned = "abandoned"
	outcomeBroken    = "broken_off"
)

// answer writes a request's answer or, if there is none, a problem document that says why. It
// returns the outcome. A nil answer without an error means that a stream was written completely.
func (f *Front) answer(w http.ResponseWriter, j *carry.Job, a *carry.Response, err error) string {
	var failed *carry.Error
	var broken *carry.InterruptedError
	var abandoned *carry.AbandonedError
	switch {
	case errors.As(err, &abandoned):
		return outcomeAbandoned
	case errors.As(err, &broken):
		return outcomeBroken
	case errors.As(err, &failed):
		return f.answerError(w, j, failed)
	case err != nil:
		return f.answerError(w, j, &carry.Error{Outcome: carry.Unknown, Reason: "internal", Err: err})
	case a == nil:
		return outcomeComplete
	}
	if !writeResponse(w, a) {
		return outcomeAbandoned
	}
	return outcomeOf(a)
}

// answerError answers a request that got no response from an upstream: the caller learns whether
// the request may have run. It returns the outcome.
func (f *Front) answerError(w http.ResponseWriter, j *carry.Job, e *carry.Error) string {
	switch e.Outcome {
	case carry.NotRun:
		f.answerNotRun(w, j, e)
		return outcomeNotRun
	case carry.TimedOut:
		f.problem(w, j.Call, http.StatusGatewayTimeout, e.Reason, api.Unknown, 0)
	default:
		f.problem(w, j.Call, http.StatusBadGateway, e.Reason, api.Unknown, 0)
	}
	return outcomeUnknown
}

// answerNotRun answers a request that has not run and will not run.
func (f *Front) answerNotRun(w http.ResponseWriter, j *carry.Job, e *carry.Error) {
	if e.Reason == carry.ReasonNoKey {
		f.unauthorized(w, j.Call)
		return
	}
	f.problem(w, j.Call, http.StatusServiceUnavailable, e.Reason, api.NotRun, e.RetryAfter)
}

// blankType is the type of problem documents without a type of their own (RFC 9457). Their title is
// the reason.
const blankType api.ProblemType = "about:blank"

// problem answers with a problem document that gives a reason. retry is the value of Retry-After, 0 to
// send none.
func (f *Front) problem(w http.ResponseWriter, c *dialect.Call, status int, reason string, outcome api.Outcome, retry time.Duration) {
	f.writeProblem(w, c, api.Problem{Title: reason, Status: status, Outcome: outcome}, retry)
}

// writeProblem answers with a problem document of blankType. c is nil if the request is malformed; retry
// is the value of Retry-After, 0 to send none.
func (f *Front) writeProblem(w http.ResponseWriter, c *dialect.Call, p api.Problem, retry time.Duration) {
	p.Type = blankType
	body, err := json.Marshal(p)
	if err != nil {
		f.o.Log.Error("failed to encode the problem document", "error", err)
	}
	h := w.Header()
	if c != nil {
		f.o.Dialect.WriteResponseHeaders(h, c)
	}
	h.Set("Content-Type", api.ProblemContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(p.Status)
	if _, err := w.Write(body); err != nil {
		f.o.Log.Debug("failed to write the problem document", "error", err)
	}
}

// streamWriter writes a stream to a caller. It implements carry.StreamWriter.
type streamWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
}

// Head implements carry.StreamWriter.
func (s *streamWriter) Head(status int, h http.Header) {
	maps.Copy(s.w.Header(), h)
	s.w.WriteHeader(status)
}

// Write implements carry.StreamWriter. It flushes so that the caller gets the events at once.
func (s *streamWriter) Write(events []byte) error {
	if _, err := s.w.Write(events); err != nil {
		return err
	}
	return s.rc.Flush()
}
