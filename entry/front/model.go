package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/entry/intake"
	"github.com/wardspool/wardspool/ident"
)

// arrival is a request whose headers are checked.
type arrival struct {
	headers intake.Headers
	catalog *intake.Catalog
	at      time.Time
}

// arrive checks whether a request can be taken at all, and its headers.
func (f *Front) arrive(r *http.Request) (arrival, *api.Problem) {
	a := arrival{at: time.Now(), catalog: f.opts.Catalog()}
	var problem *api.Problem
	a.headers, problem = intake.ReadHeaders(r.Header)
	if a.headers.RequestID == "" {
		a.headers.RequestID = newRequestID()
	}
	if problem == nil {
		problem = f.unready()
	}
	if problem == nil && a.catalog == nil {
		problem = api.NewProblem(api.ProblemNotReady, api.NotRun, string(NoBundle)).RetryAfter(retryNotReady)
	}
	return a, problem
}

// fail answers an arrival with a problem.
func (f *Front) fail(w http.ResponseWriter, r *http.Request, a arrival, p *api.Problem) {
	p.RequestID = string(a.headers.RequestID)
	if a.catalog != nil {
		p.BundleVersion = a.catalog.Version
	}
	f.refuse(w, r, p)
}

// model answers the OpenAI-compatible requests.
func (f *Front) model(endpoint adapter.Endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, problem := f.arrive(r)
		if problem != nil {
			f.fail(w, r, a, problem)
			return
		}
		if !f.requests.take(1) {
			f.fail(w, r, a, overloaded("too many requests are in flight"))
			return
		}
		defer f.requests.give(1)
		ex, body, release, problem := f.modelExchange(w, r, a, endpoint)
		if problem != nil {
			f.fail(w, r, a, problem)
			return
		}
		defer release()
		f.runModel(w, r, ex, body.Stream, body.IncludeUsage)
	}
}

// modelExchange reads and checks a request to a model.
func (f *Front) modelExchange(w http.ResponseWriter, r *http.Request, a arrival, endpoint adapter.Endpoint) (*driver.Exchange, *intake.ModelBody, func(), *api.Problem) {
	data, release, problem := f.readBody(w, r)
	if problem != nil {
		return nil, nil, nil, problem
	}
	body, problem := intake.ReadModelBody(endpoint, data)
	if problem != nil {
		release()
		return nil, nil, nil, problem
	}
	req, model, problem := a.catalog.Model(a.headers, endpoint, body, a.at)
	if problem != nil {
		release()
		return nil, nil, nil, problem
	}
	// The prompt's text was counted; its JSON form is what goes on.
	body.Prompt = ""
	return &driver.Exchange{Request: req, Model: model}, body, release, nil
}

// runModel submits a request to a model and writes its answer.
func (f *Front) runModel(w http.ResponseWriter, r *http.Request, ex *driver.Exchange, stream, usage bool) {
	ident := newIdentity(ex)
	if !stream {
		out := &wholeOutput{}
		ex.Output = out
		res := f.opts.Submit.Submit(r.Context(), ex)
		f.writeWhole(w, ex, ident, out, res)
		return
	}
	out := newStreamOutput(f, w, ex, ident)
	ex.Output = out
	res := f.opts.Submit.Submit(r.Context(), ex)
	out.finish(res, usage)
}

// writeResult sets the headers that describe how a request ended.
func writeResult(h http.Header, id ident.RequestID, res driver.Result) {
	h.Set(api.HeaderRequestID, string(id))
	h.Set(api.HeaderOutcome, string(res.Outcome))
	h.Set(api.HeaderBundleVersion, strconv.FormatUint(res.BundleVersion, 10))
}

// writeProblem answers with the problem of a request that the kernel gave up.
func (f *Front) writeProblem(w http.ResponseWriter, id ident.RequestID, res driver.Result) {
	p := *res.Problem
	p.RequestID = string(id)
	p.BundleVersion = res.BundleVersion
	f.write(w, &p)
}
