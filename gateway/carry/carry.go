// Package carry takes requests to upstreams and brings their answers back: it
// sends, sends again where that is allowed, and says honestly what became of a
// request that got no answer. Where a request goes is decided by package schedule.
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

// Options are what a Carrier works with.
type Options struct {
	Dialect dialect.Dialect
	Books   *schedule.Books
	Budget  *schedule.Budget
	// Zone is the instance's own.
	Zone ident.Zone
	// View returns what is believed of the upstreams now.
	View func() *fleet.Snapshot
	// RegionOf returns the region of a zone, "" if it has none.
	RegionOf func(ident.Zone) ident.Region
	Log      *slog.Logger
	// Register is what is known of contents under which upstreams crashed; Trials allow
	// attempts with suspect ones, and Spread has the other instances told of news.
	Register *quarantine.Register
	Trials   Trials
	Spread   func()
	// AwaitInformed waits until this instance knows what its peers know, or until ctx ends;
	// engines says whether the request is one to engines.
	AwaitInformed func(ctx context.Context, engines bool)
	// Ends returns when this instance ends, once its stop has begun.
	Ends func() (time.Time, bool)
	// Count counts an event by name.
	Count func(name string)
}

// Carrier carries requests. It is safe for concurrent use.
type Carrier struct {
	o Options

	mu    sync.Mutex
	lines map[string]*line
	// caches are what engines keep.
	caches caches
	// streams are the running streams by the number of their placement.
	streams map[uint64]*stream
	// streamStarted wakes AwaitStreams when a stream starts.
	streamStarted chan struct{}
	underWay      attemptsUnderWay
	// examinations are of upstreams at which attempts broke off.
	examinations examinations
	undecided    undecided
	// cleanup counts releases that are still being sent.
	cleanup sync.WaitGroup
}

// New returns a carrier.
func New(o Options) *Carrier {
	return &Carrier{o: o, lines: map[string]*line{}, streams: map[uint64]*stream{}, streamStarted: make(chan struct{}, 1)}
}

// Close waits for the releases that are still being sent, until ctx ends. What is not
// released then lapses by itself.
func (c *Carrier) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.cleanup.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		c.o.Log.Warn("releases not waited for", "error", context.Cause(ctx))
	}
}

// Job is a request to carry.
type Job struct {
	Call    *dialect.Call
	Route   *routing.Route
	Service routing.Service
	// Workspace is that of the caller's key, nil without one.
	Workspace *routing.Workspace
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Regions are the regions in which the request may run and its KV cache may be stored.
	Regions routing.Regions
	// Version is that of the configuration that chose route and service.
	Version int64
	Arrived time.Time
	// Deadline is when the caller stops waiting, or the route's timeout.
	Deadline time.Time
	// Content names what the call asks for.
	Content quarantine.Content
	// Memory accounts for the request body and the answer. Nil disables accounting.
	Memory *memory.Account
}

// log returns a logger that names the request.
func (j *Job) log(l *slog.Logger) *slog.Logger {
	return l.With("request", j.Call.ID, "route", j.Route.Name, "service", j.Service.Name, "workspace", j.WorkspaceName(), "version", j.Version)
}

// WorkspaceName returns the name of the request's workspace, "" if it has none.
func (j *Job) WorkspaceName() string {
	if j.Workspace == nil {
		return ""
	}
	return j.Workspace.Name
}

// holdsKey reports whether the request's key still is one of a workspace. One that was taken
// away while the request waited ends no run, but nothing is sent with it any more.
func (j *Job) holdsKey(s *fleet.Snapshot) bool {
	return j.Workspace == nil || j.Route.Public || s.Table == nil || s.Table.Workspace(*j.Call.Key) != nil
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Fate says what became of a request that got no answer.
type Fate int

// The fates.
const (
	// NotRun requests did not run and will not.
	NotRun Fate = iota + 1
	// Unknown requests may have run.
	Unknown
	// TimedOut requests may have run, and their time is over.
	TimedOut
)

// fateAfter is the fate of a request that may have run so many times and is sent to no further
// upstream.
func fateAfter(runs int) Fate {
	if runs > 0 {
		return Unknown
	}
	return NotRun
}

// ReasonNoKey is the reason of a request without a key of a workspace.
const ReasonNoKey = "no_key"

// Error reports a request that got no answer.
type Error struct {
	Fate Fate
	// Reason is a short name for logs and metrics.
	Reason string
	// RetryAfter says when a request that did not run may come back.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Reason
	}
	return fmt.Sprintf("%s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AbandonedError reports a request whose caller has left.
type AbandonedError struct {
	// NotSent means that it had reached no upstream.
	NotSent bool
}

// Error implements error.
func (*AbandonedError) Error() string { return "the caller has left" }

const (
	// deadlineMargin is taken off the time that upstreams are given, for the way
	// back: links between zones take up to a few ms, and timers fire late.
	deadlineMargin = 10 * time.Millisecond
	// leastTime is the least time left for another attempt to make sense.
	leastTime = 20 * time.Millisecond
	// retryPlain is when a refused request of a plain service may come back: its
	// answers take some 60 ms, so a full queue has moved on by then.
	retryPlain = 300 * time.Millisecond
	// maxAnswerBytes bounds a plain answer that is held in memory.
	maxAnswerBytes = 16 << 20
)

// eligible returns the upstreams that may receive the request now.
func (c *Carrier) eligible(j *Job) []dialect.Upstream {
	return c.o.View().Eligible(j.Service.Name, j.Regions, c.o.RegionOf)
}

// noOpenZone reports whether the request's service has upstreams, but all of them are in
// evacuated zones or outside the request's regions.
func (c *Carrier) noOpenZone(j *Job) bool {
	return len(c.eligible(j)) == 0 && len(c.o.View().Upstreams[j.Service.Name]) > 0
}

// retryNoOpenZone is the Retry-After of requests refused for lack of an open zone. Only a change
// by the operators makes them servable.
const retryNoOpenZone = 3 * time.Second

// refuseNoOpenZone returns the error for a request without an eligible upstream.
func (c *Carrier) refuseNoOpenZone(fate Fate, log *slog.Logger) error {
	c.o.Count("refused_no_open_zone")
	e := c.o.View().Evacuation
	log.Info("refused", "reason", "no_open_zone", "evacuated", e.Zones)
	return &Error{Fate: fate, Reason: "no_open_zone", RetryAfter: retryNoOpenZone}
}

// NoUpstreamError reports a service without an upstream to send to.
type NoUpstreamError struct{ Service string }

// Error implements error.
func (e *NoUpstreamError) Error() string { return "service " + e.Service + " has no upstream" }

// attempt is what came of one sending.
type attempt struct {
	answer  *Answer
	verdict dialect.Verdict
	err     error
	// cause is the upstream's silence for which the attempt was ended, otherwise err.
	cause error
}

// AnswerTooLargeError reports an answer that exceeds maxAnswerBytes.
type AnswerTooLargeError struct {
	// Bytes is the declared length, or the number of bytes read if none was declared.
	Bytes int64
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer too large: at least %d bytes, limit is %d", e.Bytes, int64(maxAnswerBytes))
}

// readAnswerBody reads a response's whole body, waiting for memory if the account has too little.
func readAnswerBody(ctx context.Context, resp *http.Response, account *memory.Account) ([]byte, error) {
	if resp.ContentLength > maxAnswerBytes {
		return nil, &AnswerTooLargeError{Bytes: resp.ContentLength}
	}
	length := resp.ContentLength
	if length == 0 {
		length = memory.UnknownLength
	}
	grow := func(bytes int64) error { return account.Grow(ctx, bytes) }
	body, err := memory.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1), length, grow)
	if err == nil && len(body) > maxAnswerBytes {
		return nil, &AnswerTooLargeError{Bytes: int64(len(body))}
	}
	return body, err
}

// readAnswer reads a whole answer. One that breaks off counts only if it attests
// that nothing ran.
func readAnswer(ctx context.Context, resp *http.Response, v dialect.Verdict, account *memory.Account) *attempt {
	body, err := readAnswerBody(ctx, resp, account)
	if err != nil && (v == dialect.Success || v == dialect.Failure) {
		return &attempt{err: err}
	}
	return &attempt{answer: &Answer{Status: resp.StatusCode, Header: roundtrip.EndToEnd(resp.Header), Body: body}, verdict: v}
}

// evidence says whether an attempt that brought no answer can have run.
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

// note takes what an attempt showed of its upstream into the books.
func (c *Carrier) note(u dialect.Upstream, a *attempt, took time.Duration, log *slog.Logger) {
	var silent *SilentError
	switch {
	case a.err == nil && a.verdict == dialect.Success:
		c.o.Books.Answered(clock.Now(), u, took)
	case errors.As(a.err, &silent):
		c.failed(u, Unreached(silent.Err), a.err, took, log)
	case errors.Is(a.err, context.Canceled):
	case a.err == nil && (a.verdict == dialect.Failure || a.verdict == dialect.Refused):
		c.failed(u, schedule.Soft, a.err, took, log)
	case a.err == nil && a.verdict == dialect.WrongUpstream && u.Stage == "":
		c.o.Books.Replaced(u)
		log.Warn("upstream replaced", "upstream", u.ID, "address", u.Address)
	case a.err == nil && a.verdict == dialect.WrongUpstream:
		// Engines say the same when they have changed their stage: a probe tells.
		c.failed(u, schedule.Misdirected, a.err, took, log)
	case a.err != nil && adapter.AsCallError(a.err).Evidence == kernel.NotSent:
		c.failed(u, Unreached(a.err), a.err, took, log)
	default:
		c.failed(u, schedule.Hard, a.err, took, log)
	}
}

// mayResend reports whether the retry budget allows so many sends beyond the first; a stream
// under way may use what is kept back from others.
func (c *Carrier) mayResend(service string, sends int, underWay bool, log *slog.Logger) bool {
	allowed := c.o.Budget.Extra
	if underWay {
		allowed = c.o.Budget.Continue
	}
	if allowed(clock.Now(), service, sends) {
		return true
	}
	c.o.Count("retry_budget_spent")
	log.Info("not sent again", "reason", "retry_budget", "sends", sends)
	return false
}

// Unreached says what it means that an upstream was not reached.
func Unreached(err error) schedule.Failure {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return schedule.Closed
	}
	return schedule.Unreachable
}

// failed takes a failure of an upstream into the books, and says so if it was
// ejected for it.
func (c *Carrier) failed(u dialect.Upstream, f schedule.Failure, err error, took time.Duration, log *slog.Logger) {
	if !c.o.Books.Failed(clock.Now(), u, f) {
		return
	}
	c.o.Count("ejected")
	log.Warn("upstream ejected", "upstream", u.ID, "address", u.Address, "after_ms", took.Milliseconds(), "error", logs.ErrorText(err))
}
