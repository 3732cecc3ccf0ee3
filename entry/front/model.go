package front

import (
	"context"
	"net/http"
	"strconv"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/ident"
)

// dispatchModel runs a model request and writes its answer.
func (f *Front) dispatchModel(ctx context.Context, w http.ResponseWriter, c *call) {
	body, problem := intake.ReadModelBody(c.target.endpoint, c.body)
	if problem == nil && c.ticketed && body.Stream {
		problem = api.NewProblem(api.ProblemMalformed, api.NotRun, "a call with a ticket cannot be streamed")
	}
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	req, model, problem := c.catalog.Model(c.headers, c.target.endpoint, body, c.arrived)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	// The exchange holds what is needed from here on, and the prompt's tokens
	// were counted: the memory of the body can be freed.
	c.body, body.Prompt = nil, ""
	ex := &driver.Exchange{Request: req, Model: model}
	if body.Stream {
		out := newStreamOutput(f, w, ex)
		ex.Output = out
		out.finish(f.opts.Submit.Submit(ctx, ex), body.IncludeUsage)
		return
	}
	out := &bufferedOutput{}
	ex.Output = out
	f.writeBuffered(w, ex, out, f.opts.Submit.Submit(ctx, ex))
}

// writeResult sets the headers that describe the result of a request.
func writeResult(h http.Header, id ident.RequestID, res driver.Result) {
	h.Set(api.HeaderRequestID, string(id))
	h.Set(api.HeaderOutcome, string(res.Outcome))
	h.Set(api.HeaderBundleVersion, strconv.FormatUint(res.BundleVersion, 10))
}

// writeProblem writes the problem of a request that failed after it was
// submitted.
func (f *Front) writeProblem(w http.ResponseWriter, id ident.RequestID, res driver.Result) {
	p := *res.Problem
	p.RequestID = string(id)
	p.BundleVersion = res.BundleVersion
	f.writeProblemDocument(w, &p)
}
