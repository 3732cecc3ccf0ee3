// Package tickets runs calls that carry a ticket. It uses the state machine of
// package ticket, lets repeated presentations wait for a call that is already
// running, and forwards calls to the instance that issued their ticket.
package tickets

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/journal"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/ticket"
)

// Call is a call that carries a ticket, in the form sent to the ticket's
// executor.
type Call struct {
	Ticket string `json:"ticket"`
	// Method and Path are those of the caller's request. Path includes the
	// query.
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	Workspace ident.Workspace `json:"workspace"`
	Kind      string          `json:"kind"`
	// Request is the caller's request ID.
	Request ident.RequestID `json:"request"`
	// DeadlineMS is the caller's remaining time in milliseconds, or 0 if the
	// caller set no deadline.
	DeadlineMS     int64               `json:"deadline_ms"`
	IdempotencyKey string              `json:"idempotency_key"`
	Header         map[string][]string `json:"header"`
	Body           []byte              `json:"body"`
	// Wait is the caller's remaining time, or the kind's deadline if the caller
	// set none. It is not used for calls forwarded by another instance, whose
	// context has a deadline.
	Wait time.Duration `json:"-"`
	// Run is the ID under which the call runs. Each instance derives it from
	// the ticket.
	Run ident.RequestID `json:"-"`
}

// digest returns the digest of the request that the call makes.
func (c *Call) digest() ticket.Digest {
	t := ticket.Call{
		Method:    c.Method,
		Path:      c.Path,
		Workspace: c.Workspace,
		Kind:      c.Kind,
		Body:      c.Body,
	}
	return t.Digest()
}

// Runner runs a call at this instance, once, and returns its final answer. The
// context is cancelled when no presentation waits for the answer any more.
type Runner func(ctx context.Context, c *Call) ticket.Result

// Forwarder forwards calls to other instances.
type Forwarder interface {
	// Known reports whether the instance's address is known.
	Known(id ident.InstanceID) bool
	// Forward presents the call to the given instance and returns its reply.
	Forward(ctx context.Context, to ident.InstanceID, c *Call) (*Reply, error)
}

// Reply is an executor's answer to a call: either a result or a problem.
type Reply struct {
	Result  *ticket.Result `json:"result,omitempty"`
	Problem *api.Problem   `json:"problem,omitempty"`
}

// Dispatcher executes the calls of tickets issued by this instance and forwards
// the calls of other instances' tickets. It is safe for concurrent use.
type Dispatcher struct {
	codec   *ticket.Codec
	forward Forwarder
	run     Runner
	observe func(journal.Presentation)
	log     *slog.Logger

	mu       sync.Mutex
	executor *ticket.Executor
	jobs     map[uint64]*job
	workers  sync.WaitGroup
}

// job is a call that is running at this instance.
type job struct {
	done   chan struct{}
	cancel context.CancelFunc
	// result is set before done is closed.
	result ticket.Result
}

// Options are the parameters of New.
type Options struct {
	Life    ticket.Process
	Limits  ticket.Limits
	Codec   *ticket.Codec
	Forward Forwarder
	// Observe is called for each presentation. It must not block. It may be
	// nil.
	Observe func(journal.Presentation)
	Log     *slog.Logger
}

// New returns the dispatcher of a newly started process. SetRunner must be called
// before the first call arrives.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		codec:    o.Codec,
		forward:  o.Forward,
		observe:  o.Observe,
		log:      o.Log,
		executor: ticket.NewExecutor(o.Life, o.Limits),
		jobs:     map[uint64]*job{},
	}
}

// SetRunner sets the function that runs calls.
func (d *Dispatcher) SetRunner(r Runner) { d.run = r }

// Issue returns the text and the expiry of a new ticket, or the problem that
// prevents issuing one.
func (d *Dispatcher) Issue(w ident.Workspace) (text string, expires time.Time, problem *api.Problem) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.Sweep(now)
	t, problem := d.executor.Issue(now, w)
	if problem != nil {
		return "", time.Time{}, problem
	}
	return d.codec.Seal(t), t.Expires, nil
}

const (
	// maxAnswerMargin and answerMarginPercent limit the time before the caller's
	// deadline at which the caller is told that no reply has come. It is shorter
	// than the kernel's, by which a running call ends.
	maxAnswerMargin     = 15 * time.Millisecond
	answerMarginPercent = 5
)

// replyWait returns how long a reply to a call is waited for.
func replyWait(c *Call) time.Duration {
	return c.Wait - min(c.Wait*answerMarginPercent/100, maxAnswerMargin)
}

// Execute asks the ticket's executor, which may be another instance, to run the
// call, and returns the reply. It returns before the caller's deadline: an executor
// behind a network partition does not answer, and a call started by another
// presentation may have a later deadline.
func (d *Dispatcher) Execute(ctx context.Context, c *Call) Reply {
	ctx, stop := context.WithTimeout(ctx, replyWait(c))
	defer stop()
	t, err := d.codec.Open(c.Ticket)
	if err != nil {
		return Reply{Problem: ticket.InvalidProblem(err)}
	}
	c.Run = RunID(c.Ticket)
	switch route := ticket.Route(t, d.process(), d.view(t)); route.Destination {
	case ticket.Local:
		return d.present(ctx, t, c)
	case ticket.Forward:
		d.reportPresentation(t, c, journal.PresentationForwarded)
		return d.forwardCall(ctx, t, route.To, c)
	default:
		d.reportPresentation(t, c, journal.PresentationUnreachable)
		return Reply{Problem: route.Problem}
	}
}

// ExecuteHere presents a call that another instance forwarded. It never
// forwards the call again.
func (d *Dispatcher) ExecuteHere(ctx context.Context, c *Call) Reply {
	t, err := d.codec.Open(c.Ticket)
	if err != nil {
		return Reply{Problem: ticket.InvalidProblem(err)}
	}
	c.Run = RunID(c.Ticket)
	return d.present(ctx, t, c)
}

func (d *Dispatcher) process() ticket.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.Process()
}

// view returns a view that tells ticket.Route whether the executor's address is
// known. The executor's liveness as seen by the agents is left out: only the
// executor itself can give a better answer than "unknown".
func (d *Dispatcher) view(t ticket.Ticket) *kernel.View {
	v := &kernel.View{}
	if d.forward != nil && d.forward.Known(t.Executor.Instance) {
		v.Instances = []kernel.Instance{{ID: t.Executor.Instance}}
	}
	return v
}

// forwardCall forwards a call to its executor.
func (d *Dispatcher) forwardCall(ctx context.Context, t ticket.Ticket, to ident.InstanceID, c *Call) Reply {
	r, err := d.forward.Forward(ctx, to, c)
	if err != nil {
		d.reportPresentation(t, c, journal.PresentationUnreachable)
		d.log.Info("forwarding call to executor failed", "request", c.Request, "executor", to, "error", err)
		return Reply{Problem: ticket.UnreachableProblem()}
	}
	return *r
}

// present asks the executor for a decision on a call and applies it.
func (d *Dispatcher) present(ctx context.Context, t ticket.Ticket, c *Call) Reply {
	d.mu.Lock()
	now := time.Now()
	d.executor.Sweep(now)
	v := d.executor.Present(now, t, c.digest())
	d.reportPresentation(t, c, presentationActions[v.Action])
	switch v.Action {
	case ticket.Refuse:
		d.mu.Unlock()
		return Reply{Problem: v.Problem}
	case ticket.Replay:
		result := *v.Result
		d.mu.Unlock()
		return Reply{Result: &result}
	case ticket.Run:
		d.startJob(t, c)
	}
	j := d.jobs[t.Sequence]
	d.mu.Unlock()
	return d.awaitJob(ctx, t, j)
}

// startJob starts a call. d.mu must be held.
func (d *Dispatcher) startJob(t ticket.Ticket, c *Call) {
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{done: make(chan struct{}), cancel: cancel}
	d.jobs[t.Sequence] = j
	d.workers.Go(func() {
		defer cancel()
		// Until the runner returns a result, the call counts as possibly run.
		result := ticket.Result{Outcome: api.Unknown}
		defer func() { d.finish(t, j, result) }()
		result = d.run(ctx, c)
	})
}

// finish records the result of a call and wakes the presentations that wait for
// it.
func (d *Dispatcher) finish(t ticket.Ticket, j *job, r ticket.Result) {
	d.mu.Lock()
	err := d.executor.Finish(time.Now(), t, r)
	delete(d.jobs, t.Sequence)
	d.mu.Unlock()
	if err != nil {
		d.log.Error("cannot record the result of a ticket's call", "error", err)
	}
	j.result = r
	close(j.done)
}

// awaitJob waits for the end of a call that is running at this instance. The call
// is cancelled when the last presentation stops waiting.
func (d *Dispatcher) awaitJob(ctx context.Context, t ticket.Ticket, j *job) Reply {
	select {
	case <-j.done:
		return Reply{Result: &j.result}
	case <-ctx.Done():
	}
	d.mu.Lock()
	left := d.executor.RemoveWaiter(t)
	d.mu.Unlock()
	if left == 0 {
		j.cancel()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Reply{Problem: api.NewProblem(api.ProblemDeadline, api.Unknown, "the deadline passed while the call ran")}
	}
	return Reply{Problem: api.NewProblem(api.ProblemCallerGone, api.Unknown, "the caller closed the connection")}
}

// Paused reports a pause of the process to the executor.
func (d *Dispatcher) Paused(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.Paused(time.Now(), gap)
}

// Stop starts a graceful shutdown. Wait waits for the running calls.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.Stop()
}

// Wait waits until no call is running.
func (d *Dispatcher) Wait() { d.workers.Wait() }
