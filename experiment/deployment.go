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

// PolicyName identifies the policy that makes the decisions in a run.
type PolicyName string

// Policies that are not a file in policies/. A name that starts with PolicySlots
// is the current policy with another slot policy, for example "slots.shares".
const (
	// PolicyIdeal is a scheduler with a perfect view, one global queue and no
	// message delay.
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

// Deployment is one user's bundle and workload with the layout of its zones.
type Deployment struct {
	Name string
	// Content is the content of the bundle; its policy is PolicyCurrent.
	Content *config.Content
	Spec    *workload.Spec
	Zones   []ident.Zone
	// CrossZone is the one-way network delay between two zones.
	CrossZone time.Duration
}

// PolicyError reports a policy that doesn't exist or that the kernel rejects.
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
	Name   string
	Reason string
}

// Error implements error.
func (e *DeploymentError) Error() string { return fmt.Sprintf("deployment %s: %s", e.Name, e.Reason) }

// One-way delays between zones of the known deployments.
var crossZoneDelays = map[string]time.Duration{
	"coastline": 500 * time.Microsecond,
	"lagos":     1500 * time.Microsecond,
}

// NewDeployment combines a bundle's content and a workload. The zone of an
// upstream is the part of its ID before its role or service. Errors are of type
// *DeploymentError.
func NewDeployment(content *config.Content, spec *workload.Spec) (*Deployment, error) {
	d := &Deployment{Name: content.Deployment, Content: content, Spec: spec}
	if spec.Deployment != content.Deployment {
		return nil, &DeploymentError{Name: d.Name, Reason: "workload belongs to deployment " + spec.Deployment}
	}
	if len(content.Models) != 1 {
		return nil, &DeploymentError{Name: d.Name, Reason: "bundle must define exactly one model"}
	}
	cross, known := crossZoneDelays[d.Name]
	if !known {
		return nil, &DeploymentError{Name: d.Name, Reason: "cross-zone delay unknown"}
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

// zoneOf derives an upstream's zone from its ID.
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

// zones lists the zones of the simulated upstreams, in the bundle's order.
func (w *world) zones() []ident.Zone {
	var zones []ident.Zone
	seen := map[ident.Zone]bool{}
	for _, id := range w.upstreamOrder {
		if z := w.backends[id].base().zone; !seen[z] {
			seen[z] = true
			zones = append(zones, z)
		}
	}
	return zones
}

// policyContent returns the bundle's content with its policy replaced by the
// named one.
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
		// Cannot happen: the directory is embedded in the binary.
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
