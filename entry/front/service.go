package front

import (
	"context"
	"net/http"

	"github.com/wardspool/wardspool/adapter"
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/entry/driver"
)

// dispatchService runs a call to a plain service and writes its answer.
func (f *Front) dispatchService(ctx context.Context, w http.ResponseWriter, c *call) {
	if !c.target.validService() {
		f.fail(w, c, api.NewProblem(api.ProblemUnknownService, api.NotRun, "the path does not name a service"))
		return
	}
	req, problem := c.catalog.Service(c.headers, c.target.service, c.arrived)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	ex := &driver.Exchange{Request: req, Service: f.serviceCall(c)}
	f.writeService(w, ex, f.opts.Submit.Submit(ctx, ex))
}

// serviceCall returns the parameters that all attempts of a call share.
func (f *Front) serviceCall(c *call) *adapter.ServiceCall {
	header := c.header.Clone()
	header.Del(api.HeaderTicket)
	limit := f.opts.Limits.ResponseBytes
	if c.ticketed {
		limit = min(limit, maxTicketBytes)
	}
	return &adapter.ServiceCall{
		Method:         c.method,
		Path:           c.target.servicePath,
		Header:         header,
		Body:           c.body,
		IdempotencyKey: c.headers.IdempotencyKey,
		ResponseLimit:  limit,
	}
}

// writeService writes the service's response as the answer.
func (f *Front) writeService(w http.ResponseWriter, ex *driver.Exchange, res driver.Result) {
	if res.Problem != nil {
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
	f.renewWriteDeadline(w)
	w.WriteHeader(res.Service.Status)
	if _, err := w.Write(res.Service.Body); err != nil {
		f.opts.Log.Debug("answer not delivered", "request", ex.Request.ID, "error", err)
	}
}
