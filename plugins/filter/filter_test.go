// Package filter_test tests all filters with one table, because they have the same
// interface: whether an upstream is kept for a role.
package filter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
	"github.com/wardspool/wardspool/plugins/filter/ejected"
	"github.com/wardspool/wardspool/plugins/filter/leaving"
	"github.com/wardspool/wardspool/plugins/filter/model"
	"github.com/wardspool/wardspool/plugins/filter/role"
	"github.com/wardspool/wardspool/plugins/filter/stale"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// TestKeep checks for each filter which upstreams it keeps.
func TestKeep(t *testing.T) {
	start := plugintest.Start
	tests := []struct {
		name   string
		id     plugin.ID
		role   config.Role
		change func(*kernel.Upstream)
		keep   bool
	}{
		{"role fits", role.ID, config.RoleDecode, func(*kernel.Upstream) {}, true},
		{"role changed by the bundle", role.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Spec.Role = config.RolePrefill
		}, false},
		{"not in the bundle", role.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Spec = config.Upstream{}
		}, false},
		{"model served", model.ID, config.RoleDecode, func(*kernel.Upstream) {}, true},
		{"model not served", model.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Spec.Models = []string{"other"}
		}, false},
		{"service run", model.ID, config.RoleService, func(u *kernel.Upstream) {
			u.Spec.Service = plugintest.Service
		}, true},
		{"service not run", model.ID, config.RoleService, func(*kernel.Upstream) {}, false},
		{"live", leaving.ID, config.RoleDecode, func(*kernel.Upstream) {}, true},
		{"suspect", leaving.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Liveness = kernel.Suspect
		}, true},
		{"leaving", leaving.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Liveness = kernel.Leaving
		}, false},
		{"unreachable", leaving.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Liveness = kernel.Unreachable
		}, false},
		{"dead", leaving.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Liveness = kernel.Dead
		}, false},
		{"life unknown", leaving.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Liveness = 0
		}, false},
		{"never ejected", ejected.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.LocalLoad.Requests = 20
		}, true},
		{"ejected", ejected.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Health = kernel.Health{Ejections: 1, EjectedUntil: start.Add(1)}
		}, false},
		{"ejection over", ejected.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Health = kernel.Health{Ejections: 1, EjectedUntil: start}
		}, true},
		{"ejection over, one request there", ejected.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Health = kernel.Health{Ejections: 1, EjectedUntil: start}
			u.LocalLoad.Requests = 1
		}, false},
		{"rests", ejected.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Health = kernel.Health{RestUntil: start.Add(1)}
		}, false},
		{"rest over", ejected.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Health = kernel.Health{RestUntil: start}
		}, true},
		{"report as old as allowed", stale.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Load.At = start.Add(-time.Second)
			u.LocalLoad.Requests = 20
		}, true},
		{"report too old, share used up", stale.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Load.At = start.Add(-time.Second - 1)
			u.LocalLoad.Requests = 5
		}, false},
		{"report too old, share left", stale.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Load.At = start.Add(-time.Second - 1)
			u.LocalLoad.Requests = 4
		}, true},
		{"no report ever, no slots declared", stale.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Load.At = time.Time{}
			u.Spec.Slots = 0
			u.LocalLoad.Requests = 2
		}, false},
		{"no report ever, first request", stale.ID, config.RoleDecode, func(u *kernel.Upstream) {
			u.Load.At = time.Time{}
			u.Spec.Slots = 0
		}, true},
		{"services report no load", stale.ID, config.RoleService, func(u *kernel.Upstream) {
			u.Load.At = time.Time{}
			u.Spec.Slots = 0
			u.LocalLoad.Requests = 20
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := plugin.Load(tt.id, nil)
			assert.NilError(t, err)
			if c, ok := p.(kernel.Configurer); ok {
				c.Configure(&config.Content{Policy: config.Policy{ViewStale: time.Second}})
			}
			// Four live instances share 20 slots.
			v := plugintest.View(0, 5)
			v.Instances[4].Liveness = kernel.Dead
			u := plugintest.Decode(0)
			tt.change(&u)
			r := plugintest.Request("r")
			r.Service = plugintest.Service
			got := p.(kernel.Filter).Keep(plugintest.Decision(r, v), &u, tt.role)
			assert.Equal(t, got, tt.keep)
		})
	}
}

// TestStaleFollowsTimeAndView checks that the stale filter does not reuse cached
// values: a report that was current becomes too old after a minute, and the share
// of the slots grows when a new view has fewer instances.
func TestStaleFollowsTimeAndView(t *testing.T) {
	f := &stale.Filter{}
	v := plugintest.View(0, 2)
	u := plugintest.Decode(0)
	u.LocalLoad.Requests = 10
	d := plugintest.Decision(plugintest.Request("r"), v)
	assert.Assert(t, f.Keep(d, &u, config.RoleDecode))
	d.Now = d.Now.Add(time.Minute)
	assert.Assert(t, !f.Keep(d, &u, config.RoleDecode))
	alone := *v
	alone.Version = 2
	alone.Instances = v.Instances[:1]
	d.View = &alone
	assert.Assert(t, f.Keep(d, &u, config.RoleDecode))
}
