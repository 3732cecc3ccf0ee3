package prefix

import (
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
)

// engineCounter counts the prefill engines of each model. The counts are cached and
// recomputed when the view's version or the bundle changes.
type engineCounter struct {
	version uint64
	// model and engines cache the most recent lookup, because all calls for one
	// decision are about the same model.
	model   string
	engines int
	byModel map[string]int
}

// Configure implements kernel.Configurer. It discards the counts, because a new
// bundle may change the roles and models of engines.
func (s *Scorer) Configure(*config.Content) { s.engineCounts = engineCounter{} }

// prefillEngines returns the number of prefill engines that serve the
// decision's model. The homes of the model's prefixes are chosen from these
// engines.
func (c *engineCounter) prefillEngines(d *kernel.Decision) int {
	if c.byModel == nil || c.version != d.View.Version {
		c.recount(d.View)
	}
	if c.model != d.Request.Model {
		c.model = d.Request.Model
		c.engines = c.byModel[c.model]
	}
	return c.engines
}

// recount counts the view's prefill engines by model. It leaves out engines that
// are leaving, unreachable or dead.
func (c *engineCounter) recount(v *kernel.View) {
	*c = engineCounter{version: v.Version, byModel: map[string]int{}}
	for i := range v.Upstreams {
		u := &v.Upstreams[i]
		if u.Spec.Role != config.RolePrefill || u.Liveness > kernel.Suspect {
			continue
		}
		for _, m := range u.Spec.Models {
			c.byModel[m]++
		}
	}
}
