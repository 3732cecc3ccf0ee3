// Package tickets runs calls that carry a ticket: it decides by the state
// machine of package ticket, waits for calls that run already, and forwards a
// call to the instance that issued its ticket.
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

// Call is a call that carries a ticket, as it travels to the ticket's executor.
type Call struct {
	Ticket string `json:"ticket"`
	// Method and Path are the caller's; the path has its query.
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	Workspace ident.Workspace `json:"workspace"`
	Kind      string          `json:"kind"`
	// Request is the caller's request ID.
	Request ident.RequestID `json:"request"`
	// DeadlineMS is the time the caller will wait from now on, 0 if it did not
	// say.
	DeadlineMS     int64               `json:"deadline_ms"`
	IdempotencyKey string              `json:"idempotency_key"`
	Header         map[string][]string `json:"header"`
	Body           []byte              `json:"body"`
	// Wait is the time that the caller will wait from now on, the kind's deadline
	// if it did not say. For a call that another instance forwarded, the context
	// ends in time.
	Wait time.Duration `json:"-"`
	// Run is the ID under which the call runs. Each instance sets it anew.
	Run ident.RequestID `json:"-"`
}

// digest identifies what the call asks for.
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
// context ends when nobody waits for the answer any more.
type Runner func(ctx context.Context, c *Call) ticket.Result

// Forwarder takes a call to another instance's desk.
type Forwarder interface {
	// Known reports whether the instance has an address.
	Known(id ident.InstanceID) bool
	// Forward presents the call there and returns the answer.
	Forward(ctx context.Context, to ident.InstanceID, c *Call) (*Reply, error)
}

// Reply is an executor's answer to a call: either a result or a problem.
type Reply struct {
	Result  *ticket.Result `json:"result,omitempty"`
	Problem *api.Problem   `json:"problem,omitempty"`
}

// Desk is an instance's executor and its way to the others'. It is safe for
// concurrent use.
type Desk struct {
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

// job is a call that runs here.
type job struct {
	done   chan struct{}
	cancel context.CancelFunc
	// result is set before done is closed.
	result ticket.Result
}

// Options are the parameters of New.
type Options struct {
	Life    ticket.Life
	Limits  ticket.Limits
	Codec   *ticket.Codec
	Forward Forwarder
	// Observe is told of each presentation. It must not block.
	Observe func(journal.Presentation)
	Log     *slog.Logger
}

// New returns a desk of a new life of an instance. SetRunner must be called
// before the first call comes.
func New(o Options) *Desk {
	return &Desk{
		codec:    o.Codec,
		forward:  o.Forward,
		observe:  o.Observe,
		log:      o.Log,
		executor: ticket.NewExecutor(o.Life, o.Limits),
		jobs:     map[uint64]*job{},
	}
}

// SetRunner sets what runs calls.
func (d *Desk) SetRunner(r Runner) { d.run = r }

// Issue returns a new ticket's text and its expiry, or why there is none.
func (d *Desk) Issue(w ident.Workspace) (text string, expires time.Time, problem *api.Problem) {
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

// answerMargin is the time that an answer has after the deadline: a call that
// runs ends by its deadline itself.
const answerMargin = time.Second

// Execute has a call run by its ticket's executor, here or elsewhere. It waits
// until soon after the caller's deadline: an executor that is cut off does not
// answer, and a call that another presentation began may have longer.
func (d *Desk) Execute(ctx context.Context, c *Call) Reply {
	ctx, stop := context.WithTimeout(ctx, c.Wait+answerMargin)
	defer stop()
	t, err := d.codec.Open(c.Ticket)
	if err != nil {
		return Reply{Problem: ticket.InvalidProblem(err)}
	}
	c.Run = RunID(c.Ticket)
	switch way := ticket.Route(t, d.life(), d.view(t)); way.Destination {
	case ticket.Here:
		return d.present(ctx, t, c)
	case ticket.Forward:
		d.note(t, c, journal.PresentationForwarded)
		return d.send(ctx, t, way.To, c)
	default:
		d.note(t, c, journal.PresentationUnreachable)
		return Reply{Problem: way.Problem}
	}
}

// ExecuteHere presents a call that another instance forwarded. It is never
// forwarded again.
func (d *Desk) ExecuteHere(ctx context.Context, c *Call) Reply {
	t, err := d.codec.Open(c.Ticket)
	if err != nil {
		return Reply{Problem: ticket.InvalidProblem(err)}
	}
	c.Run = RunID(c.Ticket)
	return d.present(ctx, t, c)
}

func (d *Desk) life() ticket.Life {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executor.Life()
}

// view tells ticket.Route whether the executor has an address. What the agents
// believe of its life is left out: only the executor itself gives an answer
// that is better than "unknown".
func (d *Desk) view(t ticket.Ticket) *kernel.View {
	v := &kernel.View{}
	if d.forward != nil && d.forward.Known(t.Executor.Instance) {
		v.Instances = []kernel.Instance{{ID: t.Executor.Instance}}
	}
	return v
}

// send forwards a call.
func (d *Desk) send(ctx context.Context, t ticket.Ticket, to ident.InstanceID, c *Call) Reply {
	r, err := d.forward.Forward(ctx, to, c)
	if err != nil {
		d.note(t, c, journal.PresentationUnreachable)
		d.log.Info("ticket not forwarded", "request", c.Request, "executor", to, "error", err)
		return Reply{Problem: ticket.UnreachableProblem()}
	}
	return *r
}

// present has the executor decide on a call and carries the decision out.
func (d *Desk) present(ctx context.Context, t ticket.Ticket, c *Call) Reply {
	d.mu.Lock()
	now := time.Now()
	d.executor.Sweep(now)
	v := d.executor.Present(now, t, c.digest())
	d.note(t, c, actionOf[v.Action])
	switch v.Action {
	case ticket.Refuse:
		d.mu.Unlock()
		return Reply{Problem: v.Problem}
	case ticket.Replay:
		result := *v.Result
		d.mu.Unlock()
		return Reply{Result: &result}
	case ticket.Run:
		d.begin(t, c)
	}
	j := d.jobs[t.Sequence]
	d.mu.Unlock()
	return d.await(ctx, t, j)
}

// begin starts a call. The caller holds mu.
func (d *Desk) begin(t ticket.Ticket, c *Call) {
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{done: make(chan struct{}), cancel: cancel}
	d.jobs[t.Sequence] = j
	d.workers.Go(func() {
		defer cancel()
		// Until the call says otherwise, it may have run.
		result := ticket.Result{Outcome: api.Unknown}
		defer func() { d.finish(t, j, result) }()
		result = d.run(ctx, c)
	})
}

// finish records the end of a call and wakes those that wait for it.
func (d *Desk) finish(t ticket.Ticket, j *job, r ticket.Result) {
	d.mu.Lock()
	err := d.executor.Finish(time.Now(), t, r)
	delete(d.jobs, t.Sequence)
	d.mu.Unlock()
	if err != nil {
		d.log.Error("ticket finished twice", "error", err)
	}
	j.result = r
	close(j.done)
}

// await waits for a call that runs here.
func (d *Desk) await(ctx context.Context, t ticket.Ticket, j *job) Reply {
	select {
	case <-j.done:
		return Reply{Result: &j.result}
	case <-ctx.Done():
	}
	d.mu.Lock()
	left := d.executor.Leave(t)
	d.mu.Unlock()
	if left == 0 {
		j.cancel()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Reply{Problem: api.NewProblem(api.ProblemDeadline, api.Unknown, "the deadline passed while the call ran")}
	}
	return Reply{Problem: api.NewProblem(api.ProblemCallerGone, api.Unknown, "the caller closed the connection")}
}

// Paused tells the executor of a pause of the process.
func (d *Desk) Paused(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.Paused(time.Now(), gap)
}

// Stop begins a graceful shutdown; Wait waits for the calls that run.
func (d *Desk) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.executor.Stop()
}

// Wait waits until no call runs.
func (d *Desk) Wait() { d.workers.Wait() }
