package configservice

import (
	"fmt"

	"github.com/wardspool/wardspool/plugin"
)

// Namespace is the plug-ins' that read a platform.
const Namespace = "platform"

// Adapter is a plug-in that reads a platform. It is given its options before it
// is provisioned, and read once it is.
type Adapter interface {
	plugin.Plugin
	Reader
	// Use sets the options.
	Use(o Options)
}

// NotAdapterError reports a plug-in that reads no platform.
type NotAdapterError struct{ ID plugin.ID }

// Error implements error.
func (e *NotAdapterError) Error() string {
	return fmt.Sprintf("plug-in %s is no adapter for a platform", e.ID)
}

// Open makes the adapter with the given ID; close it with plugin.Unload. Errors
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
