package experiment

import (
	"embed"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/workload"
	"github.com/wardspool/wardspool/plugin"
)

// PolicyName names what decides in a run.
type PolicyName string

// The policies that are no file in policies/. A name that starts with
// PolicySlots is the current policy with another slot policy, for example
// "slots.shares".
const (
	// PolicyIdeal has a perfect view, one queue for all and no message delay.
	PolicyIdeal PolicyName = "ideal"
	// PolicyCurrent is the policy of the deployment's bundle.
	PolicyCurrent PolicyName = "current"
	// PolicyNaive is policies/naive.yaml.
	PolicyNaive PolicyName = "naive"
	// PolicySlots is the prefix of variants of the current policy.
	PolicySlots = "slots."
)

//go:embed policies/*.yaml
var policyFiles embed.FS

// Deployment is one user's bundle and workload, and where its zones are.
type Deployment struct {
	Name string
	// Content is the bundle's; its policy is PolicyCurrent.
	Content *config.Content
	Spec    *workload.Spec
	Zones   []ident.Zone
	// CrossZone is the one-way time between two zones.
	CrossZone time.Duration
}

// PolicyError reports a policy that the experiment doesn't have.
type PolicyError struct {
	Name PolicyName
	Err  error
}

// Error implements error.
func (e *PolicyError) Error() string { return fmt.Sprintf("experiment policy %q: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *PolicyError) Unwrap() error { return e.Err }

// DeploymentError reports a bundle and a workload that cannot be run together.
type DeploymentError struct {
	Name  string
	Wrong string
}

// Error implements error.
func (e *DeploymentError) Error() string { return fmt.Sprintf("deployment %s: %s", e.Name, e.Wrong) }

// Times between zones of the users whose deployments are known.
var crossZoneTimes = map[string]time.Duration{
	"coastline": 500 * time.Microsecond,
	"lagos":     1500 * time.Microsecond,
}

// NewDeployment joins a bundle's content and a workload. The zone of an
// upstream is what its ID starts with, up to its role or service. Errors are
// of type *DeploymentError.
func NewDeployment(content *config.Content, spec *workload.Spec) (*Deployment, error) {
	d := &Deployment{Name: content.Deployment, Content: content, Spec: spec}
	if spec.Deployment != content.Deployment {
		return nil, &DeploymentError{Name: d.Name, Wrong: "the workload is for " + spec.Deployment}
	}
	if len(content.Models) != 1 {
		return nil, &DeploymentError{Name: d.Name, Wrong: "the experiment needs exactly one model"}
	}
	cross, known := crossZoneTimes[d.Name]
	if !known {
		return nil, &DeploymentError{Name: d.Name, Wrong: "the times between its zones are not known"}
	}
	d.CrossZone = cross
	seen := map[ident.Zone]bool{}
	for _, u := range content.Upstreams {
		if zone := d.zoneOf(u.ID); !seen[zone] {
			seen[zone] = true
			d.Zones = append(d.Zones, zone)
		}
	}
	return d, nil
}

// zoneOf finds an upstream's zone by its name.
func (d *Deployment) zoneOf(id ident.UpstreamID) ident.Zone {
	for _, u := range d.Content.Upstreams {
		if u.ID != id {
			continue
		}
		what := string(u.Role)
		if u.Role == config.RoleService {
			what = u.Service
		}
		zone, _, _ := strings.Cut(string(id), "-"+what)
		return ident.Zone(zone)
	}
	return ""
}

// zones lists the zones of the world's back ends, in the bundle's order.
func (w *world) zones() []ident.Zone {
	var zones []ident.Zone
	seen := map[ident.Zone]bool{}
	for _, id := range w.order {
		if z := w.backends[id].base().zone; !seen[z] {
			seen[z] = true
			zones = append(zones, z)
		}
	}
	return zones
}

// policyContent returns the bundle's content with the named policy.
func (d *Deployment) policyContent(name PolicyName) (*config.Content, error) {
	content := *d.Content
	switch {
	case name == PolicyCurrent || name == PolicyIdeal:
	case strings.HasPrefix(string(name), PolicySlots):
		content.Policy.Slots = plugin.ID(name)
	default:
		source, err := policyFiles.ReadFile("policies/" + string(name) + ".yaml")
		if err != nil {
			return nil, &PolicyError{Name: name, Err: err}
		}
		content.Policy = config.Policy{}
		if err := yaml.UnmarshalWithOptions(source, &content.Policy, yaml.Strict()); err != nil {
			return nil, &PolicyError{Name: name, Err: err}
		}
	}
	return &content, nil
}

// PolicyVersions lists the earlier versions of the policy, oldest first.
func PolicyVersions() []PolicyName {
	entries, err := policyFiles.ReadDir("policies")
	if err != nil {
		// The directory is part of the program.
		return nil
	}
	var names []PolicyName
	for _, e := range entries {
		name := PolicyName(strings.TrimSuffix(e.Name(), ".yaml"))
		if name != PolicyNaive {
			names = append(names, name)
		}
	}
	return names
}
