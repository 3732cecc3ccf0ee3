// Package intake converts callers' HTTP requests to requests for the kernel: it
// validates headers and bodies and applies the defaults of the bundle in force.
// It reports failures as *api.Problem with the outcome "not-run".
package intake

import (
	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Catalog indexes the declarations of a bundle version that the intake uses. It is
// immutable after NewCatalog.
type Catalog struct {
	Version uint64
	Content *config.Content

	kinds        map[string]*config.Kind
	defaultKinds map[config.Route]*config.Kind
	models       map[string]*config.Model
	// deduplicates holds, by service, whether its upstreams run an idempotency
	// key at most once.
	deduplicates map[string]bool
	workspaces   map[ident.Workspace]bool
}

// NewCatalog indexes the content of a bundle version.
func NewCatalog(version uint64, c *config.Content) *Catalog {
	cat := &Catalog{
		Version:      version,
		Content:      c,
		kinds:        make(map[string]*config.Kind, len(c.Kinds)),
		defaultKinds: map[config.Route]*config.Kind{},
		models:       make(map[string]*config.Model, len(c.Models)),
		deduplicates: make(map[string]bool, len(c.Services)),
		workspaces:   make(map[ident.Workspace]bool, len(c.Workspaces)),
	}
	for i := range c.Kinds {
		k := &c.Kinds[i]
		cat.kinds[k.Name] = k
		if cat.defaultKinds[k.Route] == nil {
			cat.defaultKinds[k.Route] = k
		}
	}
	for i := range c.Models {
		cat.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Services {
		cat.deduplicates[c.Services[i].Name] = c.Services[i].Deduplicates
	}
	for i := range c.Workspaces {
		cat.workspaces[c.Workspaces[i].Name] = true
	}
	return cat
}

// Workspace returns a problem if the bundle does not declare the workspace, else
// nil.
func (c *Catalog) Workspace(name ident.Workspace) *api.Problem {
	if c.workspaces[name] {
		return nil
	}
	return api.NewProblem(api.ProblemUnknownWorkspace, api.NotRun,
		"the bundle in force declares no such workspace")
}
