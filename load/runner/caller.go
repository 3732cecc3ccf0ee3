package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/load/workload"
)

// Waits and limits of callers.
const (
	// reconnectWait is the base delay before another instance is tried; jitter adds
	// up to half of it.
	reconnectWait = 50 * time.Millisecond
	// answerGrace is how long after its deadline a caller still accepts an answer.
	answerGrace = 2 * time.Second
	// maxSendings bounds how often one request is sent, lost connections included.
	maxSendings = 6
)

// caller sends one request, with retries.
type caller struct {
	runner  *runner
	arrival *workload.Arrival
	due     time.Time
	ticket  string
	// body is the JSON body of a model request.
	body   []byte
	call   client.Completion
	record Record
}

// run sends the request, retries it where allowed, and returns its record.
func (c *caller) run(ctx context.Context) Record {
	a := c.arrival
	c.record = Record{
		ID: c.runner.requestID(a), Kind: a.Kind.Name, Workspace: string(a.Workspace),
		DueMS: milliseconds(a.At), Repeatable: a.Kind.Repeatable, Model: a.Kind.Model != "",
	}
	c.prepare()
	ctx, cancel := context.WithDeadline(ctx, c.due.Add(a.Kind.Deadline+answerGrace))
	defer cancel()
	if a.CancelAfter > 0 {
		leave := time.AfterFunc(time.Until(c.due.Add(a.CancelAfter)), cancel)
		defer leave.Stop()
	}
	for c.send(ctx) {
	}
	c.record.Cancelled = a.CancelAfter > 0 && ctx.Err() != nil && c.record.Outcome != api.Complete
	return c.record
}

// prepare builds the parts of the call that all sendings share.
func (c *caller) prepare() {
	a := c.arrival
	c.call = client.Completion{
		Call: client.Call{
			RequestID:  c.record.ID,
			Workspace:  a.Workspace,
			Kind:       a.Kind.Name,
			Repeatable: a.Kind.Repeatable,
		},
		Model:     a.Kind.Model,
		MaxTokens: a.OutputTokens,
	}
	if a.Kind.Model != "" {
		c.call.Prompt = a.Prompt()
		c.body = c.call.Body()
	}
}

// send sends the request once and reports whether it should be sent again.
func (c *caller) send(ctx context.Context) bool {
	left := time.Until(c.due.Add(c.arrival.Kind.Deadline))
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	c.call.Target = c.runner.target()
	c.call.Deadline = left
	c.call.Ticket = ""
	if !c.arrival.Kind.Repeatable && c.runner.opts.Tickets {
		if !c.takeTicket(ctx) {
			return c.waitWithJitter(ctx, reconnectWait) && c.record.Sendings+c.record.TicketFailures < maxSendings
		}
		c.call.Ticket = c.ticket
	}
	c.record.Sendings++
	r := c.roundTrip(ctx)
	c.record.add(r, c.due)
	return c.awaitRetry(ctx, r)
}

// takeTicket obtains a ticket unless the caller has one, and reports whether it has.
func (c *caller) takeTicket(ctx context.Context) bool {
	if c.ticket != "" {
		return true
	}
	call := c.call.Call
	ticket, err := c.runner.client.Ticket(ctx, call)
	if err != nil {
		c.record.TicketFailures++
		c.record.Error = err.Error()
		return false
	}
	c.ticket = ticket
	return true
}

// roundTrip performs the HTTP call and returns its result.
func (c *caller) roundTrip(ctx context.Context) *client.Result {
	if c.arrival.Kind.Model != "" {
		return c.runner.client.Complete(ctx, &c.call, c.body)
	}
	call := client.ServiceCall{
		Call:    c.call.Call,
		Service: c.arrival.Kind.Service,
		Path:    "/" + c.arrival.Kind.Name,
		Body:    fmt.Sprintf("%s %d", c.record.ID, c.arrival.Seed),
	}
	call.IdempotencyKey = c.record.ID
	return c.runner.client.CallService(ctx, &call)
}

// awaitRetry reports whether the request is to be sent once more, after waiting for
// the retry delay.
func (c *caller) awaitRetry(ctx context.Context, r *client.Result) bool {
	if c.record.Sendings >= maxSendings {
		return false
	}
	var conn *client.ConnError
	if errors.As(r.Err, &conn) {
		// With its ticket a request that is not repeatable still runs at most
		// once, at the one instance that the ticket names.
		safe := !conn.Sent || c.arrival.Kind.Repeatable || c.ticket != ""
		return safe && c.waitWithJitter(ctx, reconnectWait)
	}
	refused := r.Err == nil && r.Outcome == api.NotRun && r.Problem != nil && r.Problem.RetryAfterMS > 0
	if !refused || !c.arrival.Retries || c.record.Refusals > c.runner.opts.Spec.Caller.MaxRetries {
		return false
	}
	// A ticket is valid for one run; that of the refused sending stays unused.
	c.ticket = ""
	return c.waitWithJitter(ctx, time.Duration(r.Problem.RetryAfterMS)*time.Millisecond)
}

// waitWithJitter waits for mean plus up to half of it as jitter. It returns false if
// the caller left meanwhile or the wait would end after the deadline.
func (c *caller) waitWithJitter(ctx context.Context, mean time.Duration) bool {
	wait := mean + rand.N(mean/2+1)
	at := time.Now().Add(wait)
	if at.After(c.due.Add(c.arrival.Kind.Deadline)) {
		return false
	}
	return pause.For(ctx, time.Until(at))
}
