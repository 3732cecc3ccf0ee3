// Package stale bounds the use of upstreams whose load report is old.
package stale

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// defaultAge is used where the bundle sets no view_stale.
const defaultAge = 2 * time.Second

// probes is how many of this instance's requests may be in flight at an engine
// whose load is not known and that has no slots to share.
const probes = 2

// Filter implements kernel.Filter.
type Filter struct {
	age time.Duration
	// now and oldest are the time of the decision at hand, and the time of the
	// oldest report believed then.
	now, oldest time.Time
	// version and instances are the view's version and its live instances.
	version   uint64
	instances int
}

// Configure implements kernel.Configurer.
func (f *Filter) Configure(c *config.Content) {
	f.age = c.Policy.ViewStale
	f.now = time.Time{}
}

// Keep implements kernel.Filter. An upstream with an old report is not shut
// out, as then no response could ever bring a newer one. It gets no more of
// this instance's requests at a time than would be right if all instances sent
// it as many. Plain services report no load: the kernel bounds their calls by
// the concurrency that the bundle declares.
func (f *Filter) Keep(d *kernel.Decision, u *kernel.Upstream, role config.Role) bool {
	if role == config.RoleService {
		return true
	}
	if d.Now != f.now {
		f.begin(d.Now)
	}
	if !u.Load.At.Before(f.oldest) {
		return true
	}
	return u.Own.Requests < f.share(d.View, u)
}

// begin prepares the decisions at the given time.
func (f *Filter) begin(now time.Time) {
	age := f.age
	if age <= 0 {
		age = defaultAge
	}
	f.now = now
	f.oldest = now.Add(-age)
}

// share is how many of u's places this instance may use blindly.
func (f *Filter) share(v *kernel.View, u *kernel.Upstream) int {
	if f.version != v.Version || f.instances == 0 {
		f.version = v.Version
		f.instances = max(live(v), 1)
	}
	if u.Spec.Slots <= 0 {
		return probes
	}
	return max(u.Spec.Slots/f.instances, 1)
}

// live counts the instances that may be sending requests.
func live(v *kernel.View) int {
	n := 0
	for i := range v.Instances {
		if v.Instances[i].Life < kernel.Dead {
			n++
		}
	}
	return n
}
