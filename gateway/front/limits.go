package front

import (
	"context"
	"errors"
	"net/http"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/gateway/carry"
	"github.com/wardspool/wardspool/gateway/fleet"
	"github.com/wardspool/wardspool/gateway/limit"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/internal/clock"
)

// Limits enforces the rate limits of workspaces across all instances.
type Limits interface {
	// TakeTokens charges the cost of a request to its workspace's limit. The verdict says whether the
	// limit allows the request. version is that of the configuration that the limit is from.
	TakeTokens(ctx context.Context, w *routing.Workspace, version int64, cost float64) fleet.TokenDecision
	// ReturnTokens gives back the cost of a request that did not run.
	ReturnTokens(w *routing.Workspace, cost float64)
}

// charge charges the cost of a request to its workspace's limit and returns it; it is 0 if there is
// no limit. It returns false if it refused the request. If the caller has disconnected, it aborts
// the handler.
func (f *Front) charge(w http.ResponseWriter, r *http.Request, j *carry.Job) (float64, bool) {
	if j.Workspace == nil || !j.Workspace.Limit.Enabled() {
		return 0, true
	}
	cost := limit.CostOf(j.Workspace.Limit, j.Call.HasTokenCounts, j.Call.PromptTokens, j.Call.MaxOutputTokens)
	v := f.o.Limits.TakeTokens(r.Context(), j.Workspace, j.Version, cost)
	if v.Granted {
		f.o.CountLimitUnits(j.Workspace.Name, "granted", cost)
		return cost, true
	}
	if carry.Stopped(r.Context()) {
		f.refuseStopping(w, j)
		return 0, false
	}
	if r.Context().Err() != nil {
		f.o.Log.Info("caller disconnected while the rate limit was asked", "request", j.Call.ID, "route", j.Route.Name, "workspace", j.Workspace.Name, "left_ms", clock.Until(j.Deadline).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	status, reason := http.StatusTooManyRequests, "over_limit"
	if v.NoOwner {
		status, reason = http.StatusServiceUnavailable, "limit_unknown"
	}
	f.o.CountLimitUnits(j.Workspace.Name, reason, cost)
	f.o.Count("refused_" + reason)
	f.o.Log.Info("refused", "request", j.Call.ID, "reason", reason, "workspace", j.Workspace.Name, "cost", cost, "keeper", v.Owner,
		"level", v.Balance, "rate", j.Workspace.Limit.Rate, "burst", j.Workspace.Limit.Burst, "retry_ms", v.Wait.Milliseconds(), "version", j.Version)
	f.problem(w, j.Call, status, reason, api.NotRun, v.Wait)
	return 0, false
}

// didNotRun reports whether a request that ended with err has not run and will not run.
func didNotRun(err error) bool {
	var failed *carry.Error
	if errors.As(err, &failed) {
		return failed.Outcome == carry.NotRun
	}
	var abandoned *carry.AbandonedError
	return errors.As(err, &abandoned) && abandoned.NotSent
}
