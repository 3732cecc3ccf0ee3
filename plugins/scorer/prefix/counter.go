package prefix

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// counter counts the prefill engines of each model, anew for each view and
// bundle version.
type counter struct {
	version uint64
	// model and engines are the last answer; the calls for one decision all ask
	// for the same model.
	model   string
	engines int
	byModel map[string]int
}

// Configure implements kernel.Configurer: a bundle may change what engines run.
func (s *Scorer) Configure(*config.Content) { s.count = counter{} }

// of returns the number of engines among which the decision's model has homes.
func (c *counter) of(d *kernel.Decision) int {
	if c.byModel == nil || c.version != d.View.Version {
		c.recount(d.View)
	}
	if c.model != d.Request.Model {
		c.model = d.Request.Model
		c.engines = c.byModel[c.model]
	}
	return c.engines
}

// recount counts anew.
func (c *counter) recount(v *kernel.View) {
	*c = counter{version: v.Version, byModel: map[string]int{}}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role != config.RolePrefill || u.Life > kernel.Suspect {
			continue
		}
		for _, m := range u.Spec.Models {
			c.byModel[m]++
		}
	}
}
