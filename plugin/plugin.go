// Package plugin is the registry through which plug-ins make themselves known.
// A plug-in calls Register in its init function under a namespaced ID such as
// "scorer.first_output"; a binary selects plug-ins by blank import, and a
// settings file names the ones to use and their settings.
package plugin

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// ID is a namespaced plug-in name: a namespace and a name joined by a dot,
// for example "slots.lease".
type ID string

// Namespace returns the part of the ID before its last dot.
func (id ID) Namespace() string {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return ""
	}
	return string(id)[:i]
}

// Name returns the part of the ID after its last dot.
func (id ID) Name() string {
	return string(id)[strings.LastIndexByte(string(id), '.')+1:]
}

// Plugin is implemented by every plug-in. Its settings are its exported fields,
// decoded from YAML before any life-cycle method is called.
type Plugin interface {
	// PluginInfo describes the plug-in.
	PluginInfo() Info
}

// Info describes a plug-in to the registry.
type Info struct {
	ID ID
	// New returns a new, empty instance of the plug-in, as a pointer.
	New func() Plugin
}

// Provisioner is implemented by plug-ins that set defaults or derive state
// from their settings. Provision is called once, before Validate.
type Provisioner interface{ Provision() error }

// Validator is implemented by plug-ins that check their settings.
// Validate must not change the plug-in.
type Validator interface{ Validate() error }

// Cleaner is implemented by plug-ins that hold resources. Cleanup is called
// once when the plug-in is no longer used, also after a failed Provision or
// Validate.
type Cleaner interface{ Cleanup() error }

// UnknownError reports an ID that no linked plug-in has.
type UnknownError struct {
	ID ID
	// Known lists the registered IDs of the same namespace, sorted.
	Known []ID
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no plug-in %q; linked in this namespace: %v", e.ID, e.Known)
}

// LifecycleError reports a plug-in that failed in one stage of its life cycle.
type LifecycleError struct {
	ID ID
	// Stage is "provision", "validate" or "cleanup".
	Stage string
	Err   error
}

// Error implements error.
func (e *LifecycleError) Error() string {
	return fmt.Sprintf("plug-in %s: %s: %v", e.ID, e.Stage, e.Err)
}

// Unwrap returns the plug-in's own error.
func (e *LifecycleError) Unwrap() error { return e.Err }

var (
	mu       sync.RWMutex
	registry = map[ID]Info{}
)

// Register adds a plug-in to the registry. It is meant for init functions and
// panics when the ID lacks a namespace, lacks a constructor or is taken: each
// is a fault of the build, not of the settings.
func Register(p Plugin) {
	info := p.PluginInfo()
	if info.ID.Namespace() == "" || info.ID.Name() == "" {
		panic(fmt.Sprintf("plugin: ID %q has no namespace", info.ID))
	}
	if info.New == nil {
		panic(fmt.Sprintf("plugin: %s has no constructor", info.ID))
	}
	mu.Lock()
	defer mu.Unlock()
	if _, taken := registry[info.ID]; taken {
		panic(fmt.Sprintf("plugin: %s registered twice", info.ID))
	}
	registry[info.ID] = info
}

// InNamespace lists the registered IDs of a namespace, sorted.
func InNamespace(namespace string) []ID {
	mu.RLock()
	defer mu.RUnlock()
	var ids []ID
	for id := range registry {
		if id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Load makes the plug-in with the given ID, lets decode fill in its settings,
// provisions it and validates it. A nil decode leaves the settings empty.
// Errors are *UnknownError, *LifecycleError, or what decode returned.
func Load(id ID, decode func(into any) error) (Plugin, error) {
	mu.RLock()
	info, ok := registry[id]
	mu.RUnlock()
	if !ok {
		return nil, &UnknownError{ID: id, Known: InNamespace(id.Namespace())}
	}
	p := info.New()
	if decode != nil {
		if err := decode(p); err != nil {
			return nil, err
		}
	}
	if err := start(id, p); err != nil {
		// The first failure is the one to report; Cleanup is best effort here.
		_ = Unload(id, p)
		return nil, err
	}
	return p, nil
}

// start runs Provision and Validate, in that order, where p has them.
func start(id ID, p Plugin) error {
	if pr, ok := p.(Provisioner); ok {
		if err := pr.Provision(); err != nil {
			return &LifecycleError{ID: id, Stage: "provision", Err: err}
		}
	}
	if v, ok := p.(Validator); ok {
		if err := v.Validate(); err != nil {
			return &LifecycleError{ID: id, Stage: "validate", Err: err}
		}
	}
	return nil
}

// Unload runs the plug-in's Cleanup, if it has one.
func Unload(id ID, p Plugin) error {
	c, ok := p.(Cleaner)
	if !ok {
		return nil
	}
	if err := c.Cleanup(); err != nil {
		return &LifecycleError{ID: id, Stage: "cleanup", Err: err}
	}
	return nil
}
