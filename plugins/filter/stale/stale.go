// Package stale bounds the use of upstreams whose load report is old.
package stale

import (
	"time"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// defaultAge is used where the bundle sets no view_stale.
const defaultAge = 2 * time.Second

// probes is how many of this instance's requests may be in flight at an
// upstream whose load is not known.
const probes = 2

// Filter implements kernel.Filter.
type Filter struct {
	age time.Duration
}

// Configure implements kernel.Configurer.
func (f *Filter) Configure(c *config.Content) { f.age = c.Policy.ViewStale }

// Keep implements kernel.Filter. An upstream with an old report is not shut
// out, as then no response could ever bring a newer one.
func (f *Filter) Keep(d *kernel.Decision, u *kernel.Upstream, _ config.Role) bool {
	age := f.age
	if age <= 0 {
		age = defaultAge
	}
	if d.Now.Sub(u.Load.At) <= age {
		return true
	}
	return u.Own.Requests < probes
}
