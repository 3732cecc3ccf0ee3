// Package ejected excludes upstreams that were ejected after repeated failures or
// asked for rest, until the ejection or the rest ends.
package ejected

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter. After its ejection an upstream gets one request
// of this instance at a time until one of them succeeds: the kernel counts
// consecutive ejections and resets the count after a success.
func (*Filter) Keep(d *kernel.Decision, u *kernel.Upstream, _ config.Role) bool {
	if d.Now.Before(u.Health.RestUntil) {
		return false
	}
	if u.Health.Ejections == 0 {
		return true
	}
	if d.Now.Before(u.Health.EjectedUntil) {
		return false
	}
	return u.LocalLoad.Requests == 0
}
