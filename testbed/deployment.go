package testbed

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Deployment is one of the predefined examples.
type Deployment struct {
	// Name is the name of the directory below examples.
	Name   string
	Region ident.Region
	Zones  []ident.Zone
	// Content is the example's bundle, Source the path of its file, and Workload the
	// path of the workload file.
	Content  *config.Content
	Source   string
	Workload string
}

// exampleZones holds the region and the availability zones of each example.
var exampleZones = map[string]struct {
	region ident.Region
	zones  []ident.Zone
}{
	"coastline": {"bc-lower", []ident.Zone{"hall-a", "hall-b", "hall-c"}},
	"lagos":     {"lagos", []ident.Zone{"ikeja-hall", "lekki-hall", "apapa-hall"}},
}

// UnknownExampleError reports a name that is not one of the predefined examples.
type UnknownExampleError struct{ Name string }

// Error implements error.
func (e *UnknownExampleError) Error() string { return fmt.Sprintf("no example named %q", e.Name) }

// LoadDeployment reads a predefined example of the module at root. Errors are
// *UnknownExampleError, *os.PathError and *bundle.FindingsError.
func LoadDeployment(root, name string) (*Deployment, error) {
	location, ok := exampleZones[name]
	if !ok {
		return nil, &UnknownExampleError{Name: name}
	}
	d := &Deployment{
		Name:     name,
		Region:   location.region,
		Zones:    location.zones,
		Source:   filepath.Join(root, "examples", name, "bundle.yaml"),
		Workload: filepath.Join(root, "examples", name, "workload.yaml"),
	}
	b, err := os.ReadFile(d.Source)
	if err != nil {
		return nil, err
	}
	content, findings := bundle.ParseSource(d.Source, b)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	d.Content = content
	return d, nil
}

// ZoneOf returns the zone of an upstream, which in the examples is the prefix of its
// ID, or the first zone if the ID has no zone as its prefix.
func (d *Deployment) ZoneOf(id ident.UpstreamID) ident.Zone {
	for _, z := range d.Zones {
		if strings.HasPrefix(string(id), string(z)+"-") {
			return z
		}
	}
	return d.Zones[0]
}
