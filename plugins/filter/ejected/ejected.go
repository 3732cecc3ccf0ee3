// Package ejected drops upstreams that were taken out of use after repeated
// failures, until their time is over.
package ejected

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter. After its time an upstream gets one request of
// this instance at a time until one has succeeded: the kernel counts ejections
// in a row and forgets them at a success.
func (*Filter) Keep(d *kernel.Decision, u *kernel.Upstream, _ config.Role) bool {
	if u.Health.Ejections == 0 {
		return true
	}
	if d.Now.Before(u.Health.EjectedUntil) {
		return false
	}
	return u.Own.Requests == 0
}
