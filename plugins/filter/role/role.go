// Package role keeps only upstreams that have the role required by a placement:
// prefill, decode or service.
package role

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter.
func (*Filter) Keep(_ *kernel.Decision, u *kernel.Upstream, role config.Role) bool {
	return u.Spec.Role == role
}
