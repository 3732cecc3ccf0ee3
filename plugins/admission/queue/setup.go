package queue

import (
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugin"
)

// ID is the name under which bundles select the plug-in.
const ID plugin.ID = "admission.queue"

var _ kernel.Admission = (*Check)(nil)

func init() { plugin.Register(new(Check)) }

// PluginInfo implements plugin.Plugin.
func (*Check) PluginInfo() plugin.Info {
	return plugin.Info{ID: ID, New: func() plugin.Plugin { return new(Check) }}
}
