package front

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/wardspool/wardspool/api"
)

// modelList is the list of models in OpenAI's format.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is a model in a modelList.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models of the bundle in force.
func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	c, problem := f.readCall(r)
	if problem != nil {
		f.fail(w, c, problem)
		return
	}
	content := c.catalog.Content
	list := modelList{Object: "list", Data: make([]modelEntry, 0, len(content.Models))}
	for _, m := range content.Models {
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: content.Deployment})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(api.HeaderRequestID, string(c.headers.RequestID))
	w.Header().Set(api.HeaderOutcome, string(api.Complete))
	f.renewWriteDeadline(w)
	if err := json.NewEncoder(w).Encode(list); err != nil {
		f.opts.Log.Debug("answer not delivered", "error", err)
	}
}

// healthz reports that the process runs.
func (f *Front) healthz(w http.ResponseWriter, _ *http.Request) {
	f.writeText(w, http.StatusOK, "ok\n")
}

// readyz reports whether the platform's load balancer should send requests to
// this instance.
func (f *Front) readyz(w http.ResponseWriter, _ *http.Request) {
	if why := f.opts.Ready(); why != IsReady {
		f.writeText(w, http.StatusServiceUnavailable, string(why)+"\n")
		return
	}
	f.writeText(w, http.StatusOK, "ready\n")
}

// writeText writes a plain-text response.
func (f *Front) writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	f.renewWriteDeadline(w)
	w.WriteHeader(status)
	if _, err := io.WriteString(w, text); err != nil {
		f.opts.Log.Debug("answer not delivered", "error", err)
	}
}
