// Package stale limits the number of requests to upstreams whose load report is
// too old.
package stale

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// defaultMaxAge is the maximum age of a load report if the bundle does not set
// view_stale.
const defaultMaxAge = 2 * time.Second

// maxBlindRequests is the maximum number of this instance's requests in flight
// at an engine whose load is not known and for which no number of slots is
// declared.
const maxBlindRequests = 2

// Filter implements kernel.Filter.
type Filter struct {
	// maxAge is the maximum age of a load report; 0 means defaultMaxAge.
	maxAge time.Duration
	// now is the time of the current decision. oldestAccepted is the time of
	// the oldest load report that is still accepted at that time.
	now, oldestAccepted time.Time
	// version is the version of the view in which instances was counted, the
	// number of instances that may be sending requests.
	version   uint64
	instances int
}

// Configure implements kernel.Configurer.
func (f *Filter) Configure(c *config.Content) {
	f.maxAge = c.Policy.ViewStale
	f.now = time.Time{}
}

// Keep implements kernel.Filter. An upstream with an old report is not excluded
// completely, because a newer report can only arrive with a response to a request.
// Instead, the number of this instance's concurrent requests to it is limited to
// an equal share of the upstream's slots among all instances. Plain services
// report no load; the kernel limits their calls to the concurrency that the bundle
// declares.
func (f *Filter) Keep(d *kernel.Decision, u *kernel.Upstream, role config.Role) bool {
	if role == config.RoleService {
		return true
	}
	if d.Now != f.now {
		f.begin(d.Now)
	}
	if !u.Load.At.Before(f.oldestAccepted) {
		return true
	}
	return u.LocalLoad.Requests < f.share(d.View, u)
}

// begin computes the values that all decisions at the given time have in common.
func (f *Filter) begin(now time.Time) {
	age := f.maxAge
	if age <= 0 {
		age = defaultMaxAge
	}
	f.now = now
	f.oldestAccepted = now.Add(-age)
}

// share returns the number of requests that this instance may have in flight at u
// without a current load report.
func (f *Filter) share(v *kernel.View, u *kernel.Upstream) int {
	if f.version != v.Version || f.instances == 0 {
		f.version = v.Version
		f.instances = max(notDead(v), 1)
	}
	if u.Spec.Slots <= 0 {
		return maxBlindRequests
	}
	return max(u.Spec.Slots/f.instances, 1)
}

// notDead returns the number of instances that may be sending requests, that
// is, all that are not dead.
func notDead(v *kernel.View) int {
	n := 0
	for i := range v.Instances {
		if v.Instances[i].Liveness < kernel.Dead {
			n++
		}
	}
	return n
}
