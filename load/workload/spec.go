// Package workload defines workload files in YAML and generates seeded arrivals
// from them. It does no I/O and reads no clock, so that the load generator and
// the virtual-time experiment offer the same load.
package workload

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// Spec describes the workload of one deployment.
type Spec struct {
	// Deployment is the deployment's name, for example "coastline".
	Deployment string `yaml:"deployment"`
	// Workspaces lists the workspaces that send requests, with their shares.
	Workspaces []Workspace `yaml:"workspaces"`
	// Kinds lists the kinds of request, with their shares.
	Kinds []Kind `yaml:"kinds"`
	// Bursts describes bursts of arrivals.
	Bursts Bursts `yaml:"bursts"`
	Caller Caller `yaml:"caller"`
}

// Workspace is the share of one workspace in the requests.
type Workspace struct {
	Name ident.Workspace `yaml:"name"`
	// Share is relative to the other workspaces' shares.
	Share float64 `yaml:"share"`
}

// Kind describes one kind of request and its share in the requests.
type Kind struct {
	// Name is the kind's name in the bundle.
	Name string `yaml:"name"`
	// Share is relative to the other kinds' shares.
	Share float64 `yaml:"share"`
	// Model or Service is the target of the requests; the other one is empty.
	Model   string `yaml:"model"`
	Service string `yaml:"service"`
	// Repeatable is false for requests that must run at most once. It must
	// agree with the bundle.
	Repeatable bool `yaml:"repeatable"`
	// FirstOutput, Pace and Deadline are the targets that answers must meet.
	// They must agree with the bundle. Services may leave out FirstOutput; their
	// answers are then due at the deadline.
	FirstOutput time.Duration `yaml:"first_output"`
	Pace        time.Duration `yaml:"pace"`
	Deadline    time.Duration `yaml:"deadline"`
	Prompt      Lengths       `yaml:"prompt"`
	Output      Lengths       `yaml:"output"`
	// Families describes the groups of prompts that share a prefix.
	Families Families `yaml:"families"`
	// CancelShare is the share of requests that their caller cancels early.
	CancelShare float64 `yaml:"cancel_share"`
}

// Route returns the route of the kind's requests.
func (k *Kind) Route() config.Route {
	if k.Service != "" {
		return config.RouteService
	}
	return config.RouteModel
}

// Lengths is a log-normal distribution of lengths in tokens, clamped to the range
// from Min to Max.
type Lengths struct {
	Median int     `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	Min    int     `yaml:"min"`
	Max    int     `yaml:"max"`
}

// Families describes the shared prefixes of a kind's prompts.
type Families struct {
	// Count is the number of families; 0 means that no prefixes are shared.
	Count int `yaml:"count"`
	// Prefix is the length of the shared prefix in tokens. A prompt that is not
	// longer than the prefix consists of the prefix's first tokens.
	Prefix int `yaml:"prefix"`
	// Share is the share of the kind's requests that belong to a family.
	Share float64 `yaml:"share"`
}

// Bursts alternates the arrival rate between two levels without changing the
// mean rate.
type Bursts struct {
	// Factor is the rate within a burst, as a multiple of the mean rate; 0 and 1
	// mean that there are no bursts.
	Factor float64 `yaml:"factor"`
	// On and Off are the mean durations of bursts and of the intervals between
	// them.
	On  time.Duration `yaml:"on"`
	Off time.Duration `yaml:"off"`
}

// Caller describes how callers react to refusals and lost connections.
type Caller struct {
	// RetryShare is the share of refused requests that the caller retries at
	// another instance when the answer tells it to retry.
	RetryShare float64 `yaml:"retry_share"`
	// MaxRetries is the maximum number of retries of one request.
	MaxRetries int `yaml:"max_retries"`
}

// SpecError reports an invalid workload file.
type SpecError struct {
	// Field is the name of the invalid field.
	Field string
	// Detail describes what is wrong with the field.
	Detail string
}

// Error implements error.
func (e *SpecError) Error() string { return fmt.Sprintf("workload: %s %s", e.Field, e.Detail) }

// Parse decodes and validates a workload file. Errors are those of the YAML
// decoder or a *SpecError.
func Parse(source []byte) (*Spec, error) {
	var s Spec
	if err := yaml.UnmarshalWithOptions(source, &s, yaml.Strict()); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// check validates the spec and sets defaults. It returns the first violation as a
// *SpecError.
func (s *Spec) check() error {
	if len(s.Workspaces) == 0 {
		return &SpecError{Field: "workspaces", Detail: "is empty"}
	}
	if len(s.Kinds) == 0 {
		return &SpecError{Field: "kinds", Detail: "is empty"}
	}
	for i := range s.Kinds {
		if err := s.Kinds[i].check(); err != nil {
			return err
		}
		if s.Kinds[i].FirstOutput == 0 {
			s.Kinds[i].FirstOutput = s.Kinds[i].Deadline
		}
	}
	b := s.Bursts
	if b.Factor > 1 && (b.On <= 0 || b.Off <= 0 || b.offFactor() < 0) {
		return &SpecError{Field: "bursts", Detail: "need on and off, and factor*on at most on+off"}
	}
	return nil
}

// check validates the kind. It returns the first violation as a *SpecError.
func (k *Kind) check() error {
	field := "kind " + k.Name
	if (k.Model == "") == (k.Service == "") {
		return &SpecError{Field: field, Detail: "must name either a model or a service"}
	}
	if k.Share <= 0 || k.Deadline <= 0 {
		return &SpecError{Field: field, Detail: "needs a share and a deadline above 0"}
	}
	if k.Model == "" {
		return nil
	}
	if k.FirstOutput <= 0 || k.Pace <= 0 {
		return &SpecError{Field: field, Detail: "needs first_output and pace above 0"}
	}
	for _, l := range []Lengths{k.Prompt, k.Output} {
		if l.Min < 1 || l.Median < l.Min || l.Max < l.Median {
			return &SpecError{Field: field, Detail: "needs lengths with 1 <= min <= median <= max"}
		}
	}
	return nil
}
