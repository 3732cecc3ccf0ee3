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

// numbers makes request IDs unique over all tests of a run.
var numbers atomic.Uint64

// newID names a request.
func newID(kind string) string { return fmt.Sprintf("e2e-%s-%d", kind, numbers.Add(1)) }

// deadline is how long callers wait unless the bundle says otherwise.
const deadline = 120 * time.Second

// answerLimit bounds the wait for an answer: well below the deadline, by which an
// instance would give up a request that it forgot.
const answerLimit = 45 * time.Second

// decodeStep is the time for a token of the engines in testdata/bundle.yaml.
const decodeStep = 10 * time.Millisecond

// promptOf is a prompt of some words that no other request has.
func promptOf(id string, words int) string {
	return id + strings.Repeat(" word", words-1)
}

// completion is a model request to an instance.
func completion(in *testbed.Instance, kind string, repeatable bool, words, tokens int) *client.Completion {
	id := newID(kind)
	return &client.Completion{
		Call: client.Call{
			Target: in.Callers, RequestID: id, Kind: kind,
			Repeatable: repeatable, Deadline: deadline,
		},
		Model: "reader", Prompt: promptOf(id, words), MaxTokens: tokens,
	}
}

// review is a repeatable model request, triage one that is not.
func review(in *testbed.Instance, words, tokens int) *client.Completion {
	return completion(in, "review", true, words, tokens)
}

func triage(in *testbed.Instance, words, tokens int) *client.Completion {
	return completion(in, "triage", false, words, tokens)
}

// order is a service call that is not repeatable and has no ticket yet; lookup
// is a repeatable one.
func order(in *testbed.Instance) *client.ServiceCall { return serviceCall(in, "order", false) }

func lookup(in *testbed.Instance) *client.ServiceCall { return serviceCall(in, "lookup", true) }

func serviceCall(in *testbed.Instance, kind string, repeatable bool) *client.ServiceCall {
	id := newID(kind)
	return &client.ServiceCall{
		Call: client.Call{
			Target: in.Callers, RequestID: id, Kind: kind,
			Repeatable: repeatable, Deadline: deadline,
		},
		Service: "preorder", Path: "/" + kind, Body: id,
	}
}

// ticketed gives an order a ticket of the instance that it is sent to. The
// request ID is the idempotency key by which the judge counts its runs.
func (b *bed) ticketed(call *client.ServiceCall) *client.ServiceCall {
	b.t.Helper()
	ticket, err := b.client.Ticket(b.ctx, call.Call)
	assert.NilError(b.t, err)
	call.Ticket = ticket
	call.IdempotencyKey = call.RequestID
	return call
}

// pending is a call on its way.
type pending struct {
	id     string
	leave  context.CancelFunc
	result chan *client.Result
}

// complete makes a model request in the background.
func (b *bed) complete(call *client.Completion) *pending {
	return b.begin(call.RequestID, func(ctx context.Context) *client.Result {
		return b.client.Complete(ctx, call, call.Body())
	})
}

// stream makes a model request in the background and waits until its answer is
// being generated.
func (b *bed) stream(call *client.Completion) *pending {
	b.t.Helper()
	p := b.complete(call)
	b.generating(p.id)
	return p
}

// serve makes a service call in the background.
func (b *bed) serve(call *client.ServiceCall) *pending {
	return b.begin(call.RequestID, func(ctx context.Context) *client.Result {
		return b.client.CallService(ctx, call)
	})
}

func (b *bed) begin(id string, call func(context.Context) *client.Result) *pending {
	ctx, leave := context.WithCancel(b.ctx)
	p := &pending{id: id, leave: leave, result: make(chan *client.Result, 1)}
	go func() { p.result <- call(ctx) }()
	return p
}

// done waits for the end of a call.
func (b *bed) done(p *pending) *client.Result {
	b.t.Helper()
	select {
	case r := <-p.result:
		p.leave()
		return r
	case <-time.After(answerLimit):
	case <-b.ctx.Done():
	}
	b.t.Fatalf("%s got no answer", p.id)
	return nil
}

// whole waits for a call's end and fails the test unless its answer is the
// whole answer to it.
func (b *bed) whole(p *pending) {
	b.t.Helper()
	r := b.done(p)
	assert.Assert(b.t, r.Complete(), "%s: %s", p.id, describe(r))
}

// describe renders a result for a failure message.
func describe(r *client.Result) string {
	return fmt.Sprintf("outcome %q, status %d, %d tokens, problem %v, error %v",
		r.Outcome, r.Status, r.Tokens, r.Problem, r.Err)
}

// lost reports whether a call's connection broke.
func lost(r *client.Result) bool {
	var conn *client.ConnError
	return errors.As(r.Err, &conn)
}
