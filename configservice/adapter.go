package configservice

import (
	"fmt"

	"github.com/wardspool/wardspool/plugin"
)

// Namespace is the namespace of the plug-ins that read a platform.
const Namespace = "platform"

// Adapter is a plug-in that reads a platform's configuration service. Use is
// called before it is provisioned, the methods of Reader only afterwards.
type Adapter interface {
	plugin.Plugin
	Reader
	// Use sets the options.
	Use(o Options)
}

// NotAdapterError reports a plug-in that does not implement Adapter.
type NotAdapterError struct{ ID plugin.ID }

// Error implements error.
func (e *NotAdapterError) Error() string {
	return fmt.Sprintf("plug-in %s is not a platform adapter", e.ID)
}

// Open loads the adapter with the given ID; close it with plugin.Unload. Errors
// are *plugin.UnknownError, *plugin.LifecycleError and *NotAdapterError.
func Open(id plugin.ID, o Options) (Adapter, error) {
	p, err := plugin.Load(id, func(into any) error {
		a, ok := into.(Adapter)
		if !ok {
			return &NotAdapterError{ID: id}
		}
		a.Use(o)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return p.(Adapter), nil
}
