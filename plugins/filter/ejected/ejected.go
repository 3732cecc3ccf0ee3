// Package ejected drops upstreams that were taken out of use after repeated
// failures, until their time is over.
package ejected

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter.
func (*Filter) Keep(d *kernel.Decision, u *kernel.Upstream, _ config.Role) bool {
	return !d.Now.Before(u.Health.EjectedUntil)
}
