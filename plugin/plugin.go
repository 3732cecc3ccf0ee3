// Package plugin is the plug-in registry. A plug-in calls Register in its init
// function with a namespaced ID such as "scorer.first_output". A binary includes
// plug-ins by blank import; a settings file selects the ones to use and
// configures them.
package plugin

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// ID identifies a plug-in: a namespace and a name joined by a dot, for example
// "slots.lease".
type ID string

// Namespace returns the part of the ID before its last dot, empty if it has no
// dot.
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

// Plugin is implemented by every plug-in. The settings of a plug-in are its
// exported fields, which are decoded from YAML before any life-cycle method is
// called.
type Plugin interface {
	// PluginInfo returns the plug-in's ID and constructor.
	PluginInfo() Info
}

// Info is a plug-in's entry in the registry.
type Info struct {
	ID ID
	// New returns a pointer to a new plug-in without settings.
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

// UnknownError reports an ID that is not registered in this binary.
type UnknownError struct {
	ID ID
	// Known lists the registered IDs in the same namespace, sorted.
	Known []ID
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no plug-in %q; linked in this namespace: %v", e.ID, e.Known)
}

// LifecycleError reports an error of a plug-in's life-cycle method.
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

// Unwrap returns the error that the plug-in returned.
func (e *LifecycleError) Unwrap() error { return e.Err }

var (
	mu       sync.RWMutex
	registry = map[ID]Info{}
)

// Register adds a plug-in to the registry. It is meant for init functions. It
// panics if the ID has no namespace or is already registered, or if there is no
// constructor, since these are programming errors and not errors in settings.
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

// InNamespace returns the registered IDs in a namespace, sorted.
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

// Load creates the plug-in with the given ID, decodes its settings with decode,
// then provisions and validates it. If decode is nil, the settings stay empty.
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
	if err := initialize(id, p); err != nil {
		// The original error is returned; a failure of Cleanup is ignored.
		_ = Unload(id, p)
		return nil, err
	}
	return p, nil
}

// initialize calls Provision and then Validate, as far as p implements them.
func initialize(id ID, p Plugin) error {
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

// Unload calls the plug-in's Cleanup, if it has one. The error is a
// *LifecycleError.
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
