// Package known refuses requests that name a workspace, model or service that
// the bundle does not declare, or that exceed the model's context length.
package known

import (
	"fmt"
	"slices"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Check implements kernel.Admission. Its refusals carry no Retry-After, since a
// repeated request would be refused again.
type Check struct {
	workspaces map[ident.Workspace]config.Workspace
	models     map[string]config.Model
	services   map[string]config.Service
}

// Attach implements kernel.Attacher.
func (*Check) Attach(kernel.Host) {}

// Configure implements kernel.Configurer.
func (c *Check) Configure(content *config.Content) {
	c.workspaces = map[ident.Workspace]config.Workspace{}
	for _, w := range content.Workspaces {
		c.workspaces[w.Name] = w
	}
	c.models = map[string]config.Model{}
	for _, m := range content.Models {
		c.models[m.Name] = m
	}
	c.services = map[string]config.Service{}
	for _, s := range content.Services {
		c.services[s.Name] = s
	}
}

// Admit implements kernel.Admission.
func (c *Check) Admit(r *kernel.Request) *kernel.Refusal {
	w, ok := c.workspaces[r.Workspace]
	if !ok {
		return &kernel.Refusal{
			Reason:  kernel.ReasonUnknownWorkspace,
			Problem: api.ProblemUnknownWorkspace,
			Detail:  fmt.Sprintf("workspace %q is not in the bundle", r.Workspace),
		}
	}
	if r.Route == config.RouteService {
		return c.admitService(r)
	}
	return c.admitModel(r, w)
}

// admitService checks a plain service call.
func (c *Check) admitService(r *kernel.Request) *kernel.Refusal {
	if _, ok := c.services[r.Service]; ok {
		return nil
	}
	return &kernel.Refusal{
		Reason:  kernel.ReasonUnknownService,
		Problem: api.ProblemUnknownService,
		Detail:  fmt.Sprintf("service %q is not in the bundle", r.Service),
	}
}

// admitModel checks a model request of workspace w.
func (c *Check) admitModel(r *kernel.Request, w config.Workspace) *kernel.Refusal {
	m, ok := c.models[r.Model]
	if !ok || !mayUse(w, r.Model) {
		return &kernel.Refusal{
			Reason:  kernel.ReasonUnknownModel,
			Problem: api.ProblemUnknownModel,
			Detail:  fmt.Sprintf("workspace %q has no model %q", r.Workspace, r.Model),
		}
	}
	total := r.PromptTokens + r.MaxOutputTokens
	if m.MaxContext > 0 && total > m.MaxContext {
		return &kernel.Refusal{
			Reason:  kernel.ReasonContextTooLong,
			Problem: api.ProblemMalformed,
			Detail: fmt.Sprintf("%d prompt and %d output tokens exceed the model's context of %d",
				r.PromptTokens, r.MaxOutputTokens, m.MaxContext),
		}
	}
	return nil
}

// mayUse reports whether the workspace may use the model. A workspace that lists
// no models may use all.
func mayUse(w config.Workspace, model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

// Finished implements kernel.Admission. It does nothing, since Admit keeps no
// state for a request.
func (*Check) Finished(*kernel.Request, api.Outcome) {}
