package driver

import (
	"context"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// Output takes the tokens of a model's answer in order, each once. An error
// says that the caller cannot be reached any more.
type Output interface {
	Token(c adapter.Chunk) error
}

// Exchange is one caller's request on its way through the driver.
type Exchange struct {
	Request *kernel.Request
	// Model and Output are set for requests to models.
	Model  *adapter.ModelRequest
	Output Output
	// Service is set for calls of plain services; the driver fills in the
	// target of each attempt.
	Service *adapter.ServiceCall

	result chan Result
	// delivery is the order of the tokens.
	delivery delivery
	// The rest is owned by the driver's goroutine.
	live    map[*attempt]struct{}
	decoded adapter.Decoded
	served  *adapter.ServiceAnswer
	account prefillAccount
}

// Result is the end of an exchange.
type Result struct {
	Outcome api.Outcome
	// Problem is nil when the outcome is api.Complete.
	Problem *api.Problem
	// BundleVersion is the version in force at the end.
	BundleVersion uint64
	// Decoded describes a whole output, Service a service's whole answer.
	Decoded adapter.Decoded
	Service *adapter.ServiceAnswer
}

// Submit hands a request to the kernel and waits for its final answer. When ctx
// ends, the caller counts as gone; the answer comes all the same. Afterwards
// nothing is written to the exchange's output any more.
func (d *Driver) Submit(ctx context.Context, ex *Exchange) Result {
	ex.result = make(chan Result, 1)
	ex.live = map[*attempt]struct{}{}
	ex.delivery.out = ex.Output
	defer ex.delivery.seal()
	if !d.send(message{exchange: ex}) {
		return stoppedResult(api.NotRun)
	}
	select {
	case r := <-ex.result:
		return r
	case <-ctx.Done():
		d.Post(kernel.CallerGone{Request: ex.Request.ID})
	case <-d.stopped:
	}
	select {
	case r := <-ex.result:
		return r
	case <-d.stopped:
		return lastResult(ex)
	}
}

// lastResult returns the result of an exchange after the driver stopped. One
// that the driver did not take in has none.
func lastResult(ex *Exchange) Result {
	select {
	case r := <-ex.result:
		return r
	default:
		return stoppedResult(api.NotRun)
	}
}

// finish gives the exchange its only result and lets no output follow.
func (ex *Exchange) finish(r Result) {
	ex.delivery.close()
	select {
	case ex.result <- r:
	default:
	}
}

// stoppedResult answers an exchange that the driver did not finish.
func stoppedResult(outcome api.Outcome) Result {
	p := api.NewProblem(api.ProblemStopping, outcome, "this instance has stopped")
	return Result{Outcome: outcome, Problem: p}
}

// duplicateResult answers a request whose ID is in use.
func duplicateResult(version uint64) Result {
	p := api.NewProblem(api.ProblemMalformed, api.NotRun,
		"another request with this X-Request-Id is in flight")
	return Result{Outcome: api.NotRun, Problem: p, BundleVersion: version}
}
