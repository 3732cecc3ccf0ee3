// Package leaving excludes upstreams that are leaving, unreachable or dead, or
// whose state is not known.
package leaving

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter. A suspect upstream is kept: it is not known to
// have failed, and during a network partition it may be the only one left.
func (*Filter) Keep(_ *kernel.Decision, u *kernel.Upstream, _ config.Role) bool {
	return u.Liveness == kernel.Live || u.Liveness == kernel.Suspect
}
