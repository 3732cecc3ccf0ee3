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

// retryView is when callers may come back whose route or key an instance doesn't know, if its
// configuration may be too old to know it: it asks the store and its peers at once.
const retryView = 300 * time.Millisecond

// NoRouteError reports a request that no route takes.
type NoRouteError struct{}

// Error implements error.
func (*NoRouteError) Error() string { return "no route takes the request" }

// KeyError reports a request without the key that its route asks for.
type KeyError struct {
	// Given means that it has a key, which no workspace holds.
	Given bool
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.Given {
		return "no workspace holds the key"
	}
	return "no key, or a malformed one"
}

// NoServiceError reports a route without a service.
type NoServiceError struct{ Route string }

// Error implements error.
func (e *NoServiceError) Error() string { return "route " + e.Route + " has no service" }

// admit finds a request's route, workspace and service, before its body is read. The error is
// a *NoRouteError, a *KeyError or a *NoServiceError.
func (f *Front) admit(r *http.Request, call *dialect.Call, table *routing.Table) (*carry.Job, error) {
	j := &carry.Job{Call: call, Version: table.Config().Version}
	if j.Route = table.Find(r.Host, r.URL.Path); j.Route == nil {
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

// authorize finds the workspace that holds the key of a request, and has the request name it
// in place of the key. Public routes serve those without one, and with an unknown one, too.
func (f *Front) authorize(j *carry.Job, table *routing.Table) error {
	j.Priority = j.Route.Priority
	if !table.Config().Keyed {
		return nil
	}
	name := ""
	if key := j.Call.Key; key != nil {
		j.Workspace = table.Workspace(*key)
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

// reject answers a request that admit did not let in.
func (f *Front) reject(w http.ResponseWriter, r *http.Request, call *dialect.Call, view *fleet.Snapshot, err error) {
	log := f.o.Log.With("request", call.ID, "host", r.Host, "path", r.URL.Path, "version", view.Version(), "error", err)
	var noService *NoServiceError
	if errors.As(err, &noService) {
		log.Error("refused", "reason", "no_service")
		f.problem(w, call, http.StatusServiceUnavailable, "no_service", api.NotRun, retryNotReady)
		return
	}
	// A newer configuration may have the route or the key. What a caller is told of those is
	// final, so it is not said by one that should know more by now.
	if age := f.o.ConfigAge(); age > f.o.InForce {
		f.o.Refresh()
		f.o.Count("refused_old_configuration")
		log.Info("refused", "reason", "old_configuration", "age_ms", age.Milliseconds())
		f.problem(w, call, http.StatusServiceUnavailable, "old_configuration", api.NotRun, retryView)
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

// unauthorized answers a request without a key of a workspace.
func (f *Front) unauthorized(w http.ResponseWriter, call *dialect.Call) {
	f.o.Dialect.Challenge(w.Header())
	f.problem(w, call, http.StatusUnauthorized, carry.ReasonNoKey, api.NotRun, 0)
}
