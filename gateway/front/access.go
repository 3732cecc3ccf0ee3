package front

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/routing"
)

// retryOldConfig is the Retry-After for requests whose route or key this instance does not know
// while its configuration may be out of date. The instance asks the store and its peers at once.
const retryOldConfig = 300 * time.Millisecond

// NoRouteError reports a request whose host and path match no route.
type NoRouteError struct{}

// Error implements error.
func (*NoRouteError) Error() string { return "no route matches the request's host and path" }

// KeyError reports a request to a route that requires a workspace's key, without such a key.
type KeyError struct {
	// Given means that the request has a well-formed key, but no workspace has that key.
	Given bool
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.Given {
		return "no workspace has the request's key"
	}
	return "the request's key is missing or malformed"
}

// NoServiceError reports a route that has no service in the configuration.
type NoServiceError struct{ Route string }

// Error implements error.
func (e *NoServiceError) Error() string { return "route " + e.Route + " has no configured service" }

// admit finds the route, workspace and service of a request before its body is read, and returns the job
// to carry out. The error is a *NoRouteError, a *KeyError or a *NoServiceError.
func (f *Front) admit(call *dialect.Call, table *routing.Table) (*carry.Job, error) {
	j := &carry.Job{Call: call, Version: table.Config().Version}
	if j.Route = table.Find(call.Host, call.Target); j.Route == nil {
		return nil, &NoRouteError{}
	}
	if err := f.authorize(j, table); err != nil {
		return nil, err
	}
	j.Regions = j.Route.Regions
	if j.Workspace != nil {
		j.Regions = j.Regions.Intersect(j.Workspace.Regions)
	}
	service, ok := table.Service(j.Route.Choose(rand.IntN))
	if !ok {
		return nil, &NoServiceError{Route: j.Route.Name}
	}
	j.Service = service
	return j, nil
}

// authorize sets a job's priority and, if the configuration requires keys, the workspace that has
// the request's key. The call then names the workspace instead of the key. Public routes also
// accept requests without a key or with an unknown one; their calls name no workspace. On other
// routes the error for these is a *KeyError.
func (f *Front) authorize(j *carry.Job, table *routing.Table) error {
	j.Priority = j.Route.Priority
	if !table.Config().KeysRequired {
		return nil
	}
	name := ""
	if key := j.Call.Key; key != nil {
		j.Workspace = table.WorkspaceByKey(*key)
	}
	switch {
	case j.Workspace != nil:
		name = j.Workspace.Name
	case !j.Route.Public:
		return &KeyError{Given: j.Call.Key != nil}
	}
	if j.Workspace != nil && j.Workspace.Priority != nil {
		j.Priority = *j.Workspace.Priority
	}
	f.o.Dialect.NameWorkspace(j.Call, name, j.Priority)
	return nil
}

// reject answers a request for which admit returned err.
func (f *Front) reject(w http.ResponseWriter, call *dialect.Call, view *fleet.Snapshot, err error) {
	log := f.o.Log.With("request", call.ID, "host", call.Host, "path", call.Target.Path(), "version", view.Version(), "error", err)
	var noService *NoServiceError
	if errors.As(err, &noService) {
		log.Error("refused", "reason", "no_service")
		f.problem(w, call, http.StatusServiceUnavailable, "no_service", api.NotRun, retryNotReady)
		return
	}
	// A newer configuration may have the route or the key. Callers take 401 and 404 as final, so
	// an instance whose configuration may be out of date must not answer with them.
	if age := f.o.ConfigAge(); age > f.o.MaxConfigAge {
		f.o.Refresh()
		f.o.Count("refused_old_configuration")
		log.Info("refused", "reason", "old_configuration", "age_ms", age.Milliseconds())
		f.problem(w, call, http.StatusServiceUnavailable, "old_configuration", api.NotRun, retryOldConfig)
		return
	}
	var key *KeyError
	if errors.As(err, &key) {
		f.o.Count("refused_no_key")
		log.Info("refused", "reason", carry.ReasonNoKey)
		f.unauthorized(w, call)
		return
	}
	f.o.Count("refused_no_route")
	log.Info("refused", "reason", "no_route")
	f.problem(w, call, http.StatusNotFound, "no_route", api.NotRun, 0)
}

// unauthorized answers a request without a workspace's key.
func (f *Front) unauthorized(w http.ResponseWriter, call *dialect.Call) {
	f.o.Dialect.Challenge(w.Header())
	f.problem(w, call, http.StatusUnauthorized, carry.ReasonNoKey, api.NotRun, 0)
}
