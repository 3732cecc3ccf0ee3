package driver

import (
	"context"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
)

// Output receives the tokens of a model's answer in order, each exactly once.
// An error means that the caller is unreachable.
type Output interface {
	Token(c adapter.Chunk) error
}

// Exchange is the state of one caller's request in the driver.
type Exchange struct {
	Request *kernel.Request
	// Model and Output are set for requests to models.
	Model  *adapter.ModelRequest
	Output Output
	// Service is set for calls to plain services. The driver sets the target of
	// each attempt.
	Service *adapter.ServiceCall

	result chan Result
	// delivery writes the tokens to Output in order.
	delivery delivery
	// The remaining fields are owned by the driver's goroutine.
	live         map[*attempt]struct{}
	decoded      adapter.DecodeResult
	served       *adapter.ServiceResponse
	prefillUsage prefillUsage
}

// Result is the final result of an exchange.
type Result struct {
	Outcome api.Outcome
	// Problem is nil when the outcome is api.Complete.
	Problem *api.Problem
	// BundleVersion is the version in force when the exchange ended.
	BundleVersion uint64
	// Decoded describes a complete model output, Service is the complete answer
	// of a plain service.
	Decoded adapter.DecodeResult
	Service *adapter.ServiceResponse
}

// Submit passes a request to the kernel and waits for its final answer. When
// ctx ends, the kernel is notified that the caller has disconnected, and Submit
// still waits for the answer. Nothing is written to the exchange's output after
// Submit returns.
func (d *Driver) Submit(ctx context.Context, ex *Exchange) Result {
	ex.result = make(chan Result, 1)
	ex.live = map[*attempt]struct{}{}
	ex.delivery.out = ex.Output
	defer ex.delivery.closeAndWait()
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

// lastResult returns the result of an exchange after the driver stopped. An
// exchange that the driver never accepted has no result and was not run.
func lastResult(ex *Exchange) Result {
	select {
	case r := <-ex.result:
		return r
	default:
		return stoppedResult(api.NotRun)
	}
}

// finish sets the exchange's result, if it has none yet, and prevents further
// output.
func (ex *Exchange) finish(r Result) {
	ex.delivery.close()
	select {
	case ex.result <- r:
	default:
	}
}

// stoppedResult returns the result of an exchange that was unfinished when the
// driver stopped.
func stoppedResult(outcome api.Outcome) Result {
	p := api.NewProblem(api.ProblemStopping, outcome, "this instance has stopped")
	return Result{Outcome: outcome, Problem: p}
}

// duplicateResult returns the result of a request whose ID is already in
// flight.
func duplicateResult(version uint64) Result {
	p := api.NewProblem(api.ProblemMalformed, api.NotRun,
		"another request with this X-Request-Id is in flight")
	return Result{Outcome: api.NotRun, Problem: p, BundleVersion: version}
}
