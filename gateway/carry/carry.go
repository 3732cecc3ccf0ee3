// Package carry forwards requests to upstreams and returns their responses. It sends a request,
// retries it where the route allows that, and reports accurately whether a request without a
// response may have run. Package schedule decides which upstream a request goes to.
package carry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/adapter/roundtrip"
	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/memory"
	"github.com/wardspool/wardspool/gateway/quarantine"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/logs"
)

// Options configure a Forwarder.
type Options struct {
	Dialect   dialect.Dialect
	Scheduler *schedule.Scheduler
	Budget    *schedule.Budget
	// Zone is the zone of this instance.
	Zone ident.Zone
	// View returns the current view of the upstreams.
	View func() *fleet.Snapshot
	// RegionOf returns the region of a zone, or "" if the zone has none.
	RegionOf func(ident.Zone) ident.Region
	Log      *slog.Logger
	// Register records the contents that upstreams were processing when they crashed. Trials
	// grants permission to send a suspect content. NotifyPeers notifies the other instances of
	// new crash records in the register.
	Register    *quarantine.Register
	Trials      Trials
	NotifyPeers func()
	// PathWorks reports whether any upstream other than the given one accepts a connection, so that
	// a failure to connect to that one is not caused by this instance's network path.
	PathWorks func(other dialect.Upstream) bool
	// Relay sends requests by way of a peer while this instance reaches no upstream.
	Relay Relay
	// Admission decides which requests wait for an engine, and when refused callers return.
	Admission *admission.Controller
	// RateLimits enforces the rate limits that upstreams state.
	RateLimits RateLimits
	// Origins knows the software versions that began streams.
	Origins Origins
	// AwaitInformed blocks until this instance knows what its peers know, or until ctx ends.
	// engines reports whether the request is for a service of engines.
	AwaitInformed func(ctx context.Context, engines bool)
	// StopDeadline returns the time at which this instance terminates. The second result is false
	// unless the instance is shutting down.
	StopDeadline func() (time.Time, bool)
	// Count increments the event counter with the given name.
	Count func(name string)
	// ObserveStay records how long a request waited for an engine.
	ObserveStay func(admission.Stay)
}

// Forwarder forwards requests to upstreams. It is safe for concurrent use.
type Forwarder struct {
	o Options

	mu sync.Mutex
	// cacheLists holds the engines' lists of cached prompts.
	cacheLists cacheLists
	// numberings holds how the engines of each service number events.
	numberings map[string]*numbering
	// streams holds the running streams by the number of their placement.
	streams map[uint64]*stream
	// streamStarted wakes AwaitStreams when a stream starts.
	streamStarted chan struct{}
	inFlight      inFlightAttempts
	// stateChecks holds recent liveness checks of upstreams whose attempts were interrupted.
	stateChecks stateChecks
	undecided   undecidedAttempts
	leftRuns    *leftRuns
	// cleanup tracks releases that are still being sent.
	cleanup sync.WaitGroup
}

func New(o Options) *Forwarder {
	c := &Forwarder{o: o, numberings: map[string]*numbering{}, streams: map[uint64]*stream{}, streamStarted: make(chan struct{}, 1)}
	c.leftRuns = newLeftRuns(c)
	return c
}

// numbering returns how the engines of a service number events.
func (c *Forwarder) numbering(service string) *numbering {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.numberings[service]
	if n == nil {
		n = &numbering{}
		c.numberings[service] = n
	}
	return n
}

// Close waits until all pending releases have been sent or ctx ends. Reservations and results
// that were not released by then expire at their engine.
func (c *Forwarder) Close(ctx context.Context) {
	c.leftRuns.close()
	done := make(chan struct{})
	go func() {
		c.cleanup.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		c.o.Log.Warn("closed without waiting for pending releases", "error", context.Cause(ctx))
	}
}

// Job is a request to forward.
type Job struct {
	Call    *dialect.Call
	Route   *routing.Route
	Service routing.Service
	// Workspace is the workspace of the caller's key, nil for a request without one.
	Workspace *routing.Workspace
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Regions are the regions in which the request may run and its KV cache may be stored.
	Regions routing.Regions
	// Version is the version of the configuration from which Route and Service were taken.
	Version int64
	Arrived time.Time
	// Deadline is the time at which the caller stops waiting or the route's timeout expires.
	Deadline time.Time
	// Content identifies what the call asks for.
	Content quarantine.Content
	// Relayed means that a peer relayed the request, which must not be relayed again. PriorRuns is
	// the number of upstreams that may have run it before.
	Relayed   bool
	PriorRuns int
	// SoftwareVersion is the version of the engine that began a stream that a peer relayed, nil if the
	// stream has not begun or the peer does not know.
	SoftwareVersion *string
	// Memory accounts for the request body and the response. Nil disables accounting.
	Memory *memory.Account
}

// log returns a logger with the attributes that identify the request.
func (j *Job) log(l *slog.Logger) *slog.Logger {
	return l.With("request", j.Call.ID, "route", j.Route.Name, "service", j.Service.Name, "workspace", j.WorkspaceName(), "version", j.Version)
}

// WorkspaceName returns the name of the request's workspace, or "" if it has none.
func (j *Job) WorkspaceName() string {
	if j.Workspace == nil {
		return ""
	}
	return j.Workspace.Name
}

// holdsKey reports whether the request's key still belongs to a workspace. Revoking a key does
// not end a run that has started, but a request that was waiting at that time is not sent any
// more.
func (j *Job) holdsKey(s *fleet.Snapshot) bool {
	return j.Workspace == nil || j.Route.Public || s.Table == nil || s.Table.WorkspaceByKey(*j.Call.Key) != nil
}

// answerBy returns the time by which a caller without a response must be answered, since an answer after
// its deadline does not reach it.
func (j *Job) answerBy() time.Time {
	margin := min(answerMargin, j.Deadline.Sub(j.Arrived)/answerMarginDivisor)
	return j.Deadline.Add(-margin)
}

// Response is an upstream's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome is the outcome of a request that got no response.
type Outcome int

// The outcomes of a request without a response.
const (
	// NotRun means that the request did not run and will not.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have run.
	Unknown
	// TimedOut means that the request may have run and its deadline has passed.
	TimedOut
)

// outcomeAfter returns the outcome of a request that may have run on the given number of
// upstreams and is not sent to another one.
func outcomeAfter(runs int) Outcome {
	if runs > 0 {
		return Unknown
	}
	return NotRun
}

// ReasonNoKey is the reason given for a request that lacks the key of a workspace.
const ReasonNoKey = "no_key"

// Error reports a request that got no response.
type Error struct {
	Outcome Outcome
	// Reason is a short name for logs and metrics.
	Reason string
	// RetryAfter is how long the caller of a request that did not run should wait before it
	// retries.
	RetryAfter time.Duration
	// Declined means that this instance sent a relayed request to no upstream, and that another
	// peer may serve it.
	Declined bool
	Err      error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return fmt.Sprintf("%s: %v", e.Reason, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// AbandonedError reports a request whose caller disconnected.
type AbandonedError struct {
	// NotSent means that the request had not been sent to any upstream.
	NotSent bool
}

// Error implements the error interface.
func (*AbandonedError) Error() string { return "caller disconnected" }

const (
	// deadlineMargin is subtracted from the deadline that is passed to upstreams. It covers the
	// return path: links between zones take up to a few ms, and timers fire late.
	deadlineMargin = 10 * time.Millisecond
	// answerMargin is the time before the deadline at which a request without a response is answered,
	// at most the part of its time that answerMarginDivisor tells. The caller's clock started before this
	// instance's, and the answer takes a few ms.
	answerMargin        = 30 * time.Millisecond
	answerMarginDivisor = 10
	// minAttemptTime is the minimum time left before the deadline for another attempt to be
	// worthwhile.
	minAttemptTime = 20 * time.Millisecond
	// plainRetryAfter is the Retry-After of a refused request of a plain service. Such a service
	// responds in about 60 ms, so a full queue has moved on by then.
	plainRetryAfter = 300 * time.Millisecond
	// maxResponseBytes limits the size of a plain response, which is held in memory.
	maxResponseBytes = 16 << 20
)

// eligible returns the upstreams to which the request may be sent now.
func (c *Forwarder) eligible(j *Job) []dialect.Upstream {
	return c.o.View().Eligible(j.Service.Name, j.Regions, c.o.RegionOf)
}

// noOpenZone reports whether the request's service has upstreams, but all of them are in
// evacuated zones or outside the request's regions.
func (c *Forwarder) noOpenZone(j *Job) bool {
	return len(c.eligible(j)) == 0 && len(c.o.View().Upstreams[j.Service.Name]) > 0
}

// noOpenZoneRetryAfter is the Retry-After of requests that are refused because no zone is open to
// them. Only a change by the operators makes them servable.
const noOpenZoneRetryAfter = 3 * time.Second

// refuseNoOpenZone logs and counts the refusal of a request without an eligible upstream and
// returns its *Error.
func (c *Forwarder) refuseNoOpenZone(outcome Outcome, log *slog.Logger) error {
	c.o.Count("refused_no_open_zone")
	e := c.o.View().Evacuation
	log.Info("refused", "reason", "no_open_zone", "evacuated", e.Zones)
	return &Error{Outcome: outcome, Reason: "no_open_zone", RetryAfter: noOpenZoneRetryAfter}
}

// NoUpstreamError reports that no upstream of a service is available.
type NoUpstreamError struct{ Service string }

// Error implements the error interface.
func (e *NoUpstreamError) Error() string {
	return "service " + e.Service + " has no upstream"
}

// attempt is the result of sending a request to one upstream.
type attempt struct {
	response *Response
	verdict  dialect.Verdict
	// framing is that of the response, "" if there is none.
	framing framing
	err     error
	// cause is the *UnresponsiveError for which the attempt was canceled, otherwise it equals
	// err.
	cause error
}

// ResponseTooLargeError reports a response that exceeds maxResponseBytes.
type ResponseTooLargeError struct {
	// Bytes is the declared length, or the number of bytes read if none was declared.
	Bytes int64
}

// Error implements the error interface.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response too large: at least %d bytes, limit is %d", e.Bytes, int64(maxResponseBytes))
}

// readResponseBody reads the whole body of a response. It blocks for memory if the account has
// too little left. Its errors are those of reading, of the account, a *ResponseTooLargeError, or an
// *UnconfirmedEndError. senderLives reports whether the sender still runs.
func readResponseBody(ctx context.Context, resp *http.Response, account *memory.Account, senderLives func() bool) ([]byte, error) {
	if resp.ContentLength > maxResponseBytes {
		return nil, &ResponseTooLargeError{Bytes: resp.ContentLength}
	}
	length := resp.ContentLength
	if length == 0 {
		length = memory.UnknownLength
	}
	grow := func(bytes int64) error { return account.Grow(ctx, bytes) }
	body, err := memory.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1), length, grow)
	if err == nil && len(body) > maxResponseBytes {
		return nil, &ResponseTooLargeError{Bytes: int64(len(body))}
	}
	if err == nil {
		err = bodyEnd{framing: framingOf(resp), senderLives: senderLives}.check()
	}
	return body, err
}

// readResponse reads a complete response. If the body cannot be read, a success or a failure
// reported by the upstream becomes a failed attempt. The other verdicts do not depend on the
// body, which is not waited for; in particular, a refusal remains proof that the request did not run.
func (c *Forwarder) readResponse(ctx context.Context, j *Job, u dialect.Upstream, resp *http.Response, v dialect.Verdict, account *memory.Account) *attempt {
	if v != dialect.Success && v != dialect.Failure {
		roundtrip.Drain(resp)
		return &attempt{framing: framingOf(resp), verdict: v}
	}
	body, err := readResponseBody(ctx, resp, account, func() bool { return c.lives(j, u) })
	if err != nil {
		return &attempt{framing: framingOf(resp), err: err}
	}
	return &attempt{framing: framingOf(resp), response: &Response{Status: resp.StatusCode, Header: roundtrip.EndToEnd(resp.Header), Body: body}, verdict: v}
}

// evidence returns whether the request can have run in an attempt that did not succeed.
func (a *attempt) evidence() kernel.Evidence {
	switch {
	case a.err != nil:
		return adapter.AsCallError(a.err).Evidence
	case a.verdict == dialect.Refused || a.verdict == dialect.WrongUpstream:
		return kernel.Refused
	default:
		return kernel.Ambiguous
	}
}

// recordAttempt records in the scheduler's records what an attempt revealed about its upstream.
func (c *Forwarder) recordAttempt(u dialect.Upstream, a *attempt, took time.Duration, log *slog.Logger) {
	var silent *UnresponsiveError
	switch {
	case a.err == nil && a.verdict == dialect.Success:
		c.o.Scheduler.RecordSuccess(clock.Now(), u, took)
	case errors.As(a.err, &silent):
		c.recordFailure(u, ClassifyUnreachable(silent.Err), a.err, took, log)
	case errors.Is(a.err, context.Canceled):
	case a.err == nil && (a.verdict == dialect.Failure || a.verdict == dialect.Refused):
		c.recordFailure(u, schedule.Soft, a.err, took, log)
	case a.err == nil && a.verdict == dialect.WrongUpstream && u.Stage == "":
		c.o.Scheduler.RecordReplacement(u)
		log.Warn("upstream replaced", "upstream", u.ID, "address", u.Address)
	case a.err == nil && a.verdict == dialect.WrongUpstream:
		// An engine gives the same verdict whether it was replaced or has changed its stage. A
		// probe finds out which is the case.
		c.recordFailure(u, schedule.Misdirected, a.err, took, log)
	case a.err != nil && adapter.AsCallError(a.err).Evidence == kernel.NotSent:
		c.recordFailure(u, ClassifyUnreachable(a.err), a.err, took, log)
	default:
		c.recordFailure(u, schedule.Hard, a.err, took, log)
	}
}

// mayResend reports whether the retry budget allows the given number of sends in addition to the
// first. A stream that is under way may also use the share of the budget that is reserved for
// such streams.
func (c *Forwarder) mayResend(service string, sends int, inProgress bool, log *slog.Logger) bool {
	allowed := c.o.Budget.Extra
	if inProgress {
		allowed = c.o.Budget.ExtraForStream
	}
	if allowed(clock.Now(), service, sends) {
		return true
	}
	c.o.Count("retry_budget_spent")
	log.Info("not sent again", "reason", "retry_budget", "sends", sends)
	return false
}

// ClassifyUnreachable classifies the error of a failure to reach an upstream: Closed if the
// connection was refused, otherwise Unreachable.
func ClassifyUnreachable(err error) schedule.Failure {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return schedule.Closed
	}
	return schedule.Unreachable
}

// recordFailure records a failure of an upstream in the scheduler's records, and logs and counts
// it if the upstream was ejected as a result.
func (c *Forwarder) recordFailure(u dialect.Upstream, f schedule.Failure, err error, took time.Duration, log *slog.Logger) {
	if !c.o.Scheduler.RecordFailure(clock.Now(), u, f) {
		return
	}
	c.o.Count("ejected")
	log.Warn("upstream ejected", "upstream", u.ID, "address", u.Address, "after_ms", took.Milliseconds(), "error", logs.ErrorText(err))
}
