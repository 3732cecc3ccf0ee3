package e2e

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/load/client"
	"github.com/wardspool/wardspool/testbed"
)

// idCounter counts request IDs, which are unique over all tests of a run.
var idCounter atomic.Uint64

// newRequestID returns a new request ID.
func newRequestID(kind string) string { return fmt.Sprintf("e2e-%s-%d", kind, idCounter.Add(1)) }

// deadline is the default deadline of calls.
const deadline = 120 * time.Second

// answerLimit is the time limit for an answer. It is well below the deadline, at
// which an instance would abandon a request that it had lost track of.
const answerLimit = 45 * time.Second

// decodeStep is the time per output token of the engines in
// testdata/bundle.yaml.
const decodeStep = 10 * time.Millisecond

// uniquePrompt returns a prompt of the given number of words that is unique to a
// request.
func uniquePrompt(id string, words int) string {
	return id + strings.Repeat(" word", words-1)
}

// completion returns a model request to an instance.
func completion(in *testbed.Instance, kind string, repeatable bool, words, tokens int) *client.Completion {
	id := newRequestID(kind)
	return &client.Completion{
		Call: client.Call{
			Target: in.Callers, RequestID: id, Kind: kind,
			Repeatable: repeatable, Deadline: deadline,
		},
		Model: "reader", Prompt: uniquePrompt(id, words), MaxTokens: tokens,
	}
}

// review returns a repeatable model request, triage one that is not repeatable.
func review(in *testbed.Instance, words, tokens int) *client.Completion {
	return completion(in, "review", true, words, tokens)
}

func triage(in *testbed.Instance, words, tokens int) *client.Completion {
	return completion(in, "triage", false, words, tokens)
}

// order returns a service call that is not repeatable and has no ticket yet;
// lookup returns a repeatable one.
func order(in *testbed.Instance) *client.ServiceCall { return serviceCall(in, "order", false) }

func lookup(in *testbed.Instance) *client.ServiceCall { return serviceCall(in, "lookup", true) }

func serviceCall(in *testbed.Instance, kind string, repeatable bool) *client.ServiceCall {
	id := newRequestID(kind)
	return &client.ServiceCall{
		Call: client.Call{
			Target: in.Callers, RequestID: id, Kind: kind,
			Repeatable: repeatable, Deadline: deadline,
		},
		Service: "preorder", Path: "/" + kind, Body: id,
	}
}

// withTicket sets the ticket of an order, issued by the instance that is its
// target. The idempotency key is the request ID; the stand-in services count the
// order's runs by it.
func (b *bed) withTicket(call *client.ServiceCall) *client.ServiceCall {
	b.t.Helper()
	ticket, err := b.client.Ticket(b.ctx, call.Call)
	assert.NilError(b.t, err)
	call.Ticket = ticket
	call.IdempotencyKey = call.RequestID
	return call
}

// pending is a call in progress.
type pending struct {
	id     string
	cancel context.CancelFunc
	result chan *client.Result
}

// startCompletion starts a model request in the background.
func (b *bed) startCompletion(call *client.Completion) *pending {
	return b.startCall(call.RequestID, func(ctx context.Context) *client.Result {
		return b.client.Complete(ctx, call, call.Body())
	})
}

// startStream starts a model request in the background and waits until an engine
// decodes it.
func (b *bed) startStream(call *client.Completion) *pending {
	b.t.Helper()
	p := b.startCompletion(call)
	b.awaitDecode(p.id)
	return p
}

// startServiceCall starts a service call in the background.
func (b *bed) startServiceCall(call *client.ServiceCall) *pending {
	return b.startCall(call.RequestID, func(ctx context.Context) *client.Result {
		return b.client.CallService(ctx, call)
	})
}

func (b *bed) startCall(id string, call func(context.Context) *client.Result) *pending {
	ctx, leave := context.WithCancel(b.ctx)
	p := &pending{id: id, cancel: leave, result: make(chan *client.Result, 1)}
	go func() { p.result <- call(ctx) }()
	return p
}

// await waits for the end of a call and returns its result.
func (b *bed) await(p *pending) *client.Result {
	b.t.Helper()
	select {
	case r := <-p.result:
		p.cancel()
		return r
	case <-time.After(answerLimit):
	case <-b.ctx.Done():
	}
	b.t.Fatalf("%s: no answer within the time limit", p.id)
	return nil
}

// requireComplete waits for the end of a call and fails the test unless its
// answer is complete and correct.
func (b *bed) requireComplete(p *pending) {
	b.t.Helper()
	r := b.await(p)
	assert.Assert(b.t, r.Complete(), "%s: %s", p.id, describe(r))
}

// describe formats a result for a failure message.
func describe(r *client.Result) string {
	return fmt.Sprintf("outcome %q, status %d, %d tokens, problem %v, error %v",
		r.Outcome, r.Status, r.Tokens, r.Problem, r.Err)
}

// connectionLost reports whether the connection of a call was lost.
func connectionLost(r *client.Result) bool {
	var conn *client.ConnError
	return errors.As(r.Err, &conn)
}
