package front

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
	"github.com/wardspool/wardspool/ident"
)

// servicePrefix comes before a service's name and path.
const servicePrefix = "/services/"

// service answers calls of plain services.
func (f *Front) service(w http.ResponseWriter, r *http.Request) {
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
	name := mux.Vars(r)["service"]
	if !ident.ValidName(name) {
		f.fail(w, r, a, api.NewProblem(api.ProblemUnknownService, api.NotRun, "the path does not name a service"))
		return
	}
	req, problem := a.catalog.Service(a.headers, name, a.at)
	if problem != nil {
		f.fail(w, r, a, problem)
		return
	}
	body, release, problem := f.readBody(w, r)
	if problem != nil {
		f.fail(w, r, a, problem)
		return
	}
	defer release()
	ex := &driver.Exchange{Request: req, Service: f.serviceCall(r, a, name, body)}
	f.writeService(w, ex, f.opts.Submit.Submit(r.Context(), ex))
}

// serviceCall returns what is the same for all attempts of a call.
func (f *Front) serviceCall(r *http.Request, a arrival, name string, body []byte) *adapter.ServiceCall {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := r.Header.Clone()
	header.Del(api.HeaderTicket)
	return &adapter.ServiceCall{
		Method:         r.Method,
		Path:           path,
		Header:         header,
		Body:           body,
		IdempotencyKey: a.headers.IdempotencyKey,
		ResponseLimit:  f.opts.Limits.ResponseBytes,
	}
}

// writeService answers a call with the service's own answer.
func (f *Front) writeService(w http.ResponseWriter, ex *driver.Exchange, res driver.Result) {
	if res.Problem != nil || res.Service == nil {
		f.writeProblem(w, ex.Request.ID, res)
		return
	}
	h := w.Header()
	for name, values := range res.Service.Header {
		if name != api.HeaderInstance {
			h[name] = values
		}
	}
	writeResult(h, ex.Request.ID, res)
	f.extendWrite(w)
	w.WriteHeader(res.Service.Status)
	if _, err := w.Write(res.Service.Body); err != nil {
		f.opts.Log.Debug("answer not delivered", "request", ex.Request.ID, "error", err)
	}
}
