// Package model keeps only upstreams that serve the model of the request, or run
// its plain service if the request is a service call.
package model

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// Filter implements kernel.Filter.
type Filter struct{}

// Keep implements kernel.Filter.
func (*Filter) Keep(d *kernel.Decision, u *kernel.Upstream, role config.Role) bool {
	if role == config.RoleService {
		return u.Spec.Service == d.Request.Service
	}
	return u.Serves(d.Request.Model)
}
