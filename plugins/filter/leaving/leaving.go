// Package leaving drops upstreams that are leaving, cannot be reached or no
// longer run.
package leaving

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter. A suspect upstream is kept: nothing speaks
// against it, and in a partition it may be the only one left.
func (*Filter) Keep(_ *kernel.Decision, u *kernel.Upstream, _ config.Role) bool {
	return u.Life == kernel.Live || u.Life == kernel.Suspect
}
